//! Gossip between gateways about the rate limits that servers state in their answers.
//!
//! In the gateway's process. A gateway sends new limits to the relay gateways of its hall, and they
//! forward them to their followers and to the relays of other halls; each forwards only what was
//! new to it. Relays also repeat the limits in force at intervals, a part each time, since messages
//! may be lost. A gateway that has just started gets all limits at once.

use super::{
    message::{LIMITS_PER_DATAGRAM, Message},
    permits,
    relay::send_chunks,
    server_notices::log_limit_change,
    state::Gateway,
    suspect_gossip::recipients,
};
use mastweir_core::gateway::LimitUpdate;
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time};

/// Through two relays, all gateways have an update within 0.5 s.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Gossip intervals between two times that a relay repeats limits in force.
const REPEAT_ROUNDS: u32 = 20;

/// Sends updates to other gateways until the task is dropped.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        if gateway.fleet.borrow().needs_permits() {
            permits::update_issuer(&gateway);
            send_updates(&gateway, &socket, round);
        }
        round = round.wrapping_add(1);
        time::sleep(GOSSIP_INTERVAL).await;
    }
}

fn send_updates(gateway: &Gateway, socket: &UdpSocket, round: u32) {
    let now = gateway.clock.now();
    let mut updates = gateway.fleet.borrow().limits_to_send(false, now);
    if gateway.is_relay.get() && round.is_multiple_of(REPEAT_ROUNDS) {
        let all = gateway.fleet.borrow().limits_to_send(true, now);
        let chunks = all.len().div_ceil(LIMITS_PER_DATAGRAM).max(1);
        let chunk = (round / REPEAT_ROUNDS) as usize % chunks;
        updates.extend(all.into_iter().skip(chunk * LIMITS_PER_DATAGRAM).take(LIMITS_PER_DATAGRAM));
    }
    if !updates.is_empty() {
        send(gateway, socket, &recipients(gateway), &updates);
    }
}

/// Sends all limits to a gateway that has just started.
pub fn send_all_to(gateway: &Gateway, socket: &UdpSocket, ip: IpAddr) {
    let all = gateway.fleet.borrow().limits_to_send(true, gateway.clock.now());
    send(gateway, socket, &[ip], &all);
}

fn send(gateway: &Gateway, socket: &UdpSocket, to: &[IpAddr], updates: &[LimitUpdate]) {
    send_chunks(gateway, socket, to, updates.chunks(LIMITS_PER_DATAGRAM), Message::Limits);
}

/// Records the limits that another gateway sent.
pub fn receive(gateway: &Gateway, updates: &[LimitUpdate]) {
    let now = gateway.clock.now();
    for update in updates {
        let LimitUpdate { server, incarnation, .. } = update;
        let report = update.report(now);
        let change = gateway.fleet.borrow_mut().record_limit(server, *incarnation, report, now);
        if let Some(change) = change {
            log_limit_change(gateway, server, change, "gateway");
        }
    }
}
