//! What servers name as limits, as gateways tell each other.
//!
//! A gateway tells the speakers of its hall, and they their followers and the other halls'
//! speakers; each tells on only what was new to it. Speakers tell what holds again now and
//! then, some at a time: a word may have been lost. One that has just started is told all at
//! once, and does not learn each limit by breaking it.

use super::{
    message::{LIMITS_PER_DATAGRAM, Message},
    permits,
    relay::send_all,
    server_notices::log_limit_change,
    state::Gateway,
    suspect_gossip::recipients,
};
use mastweir_core::gateway::LimitUpdate;
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time};

/// News is told on this often: through two speakers all gateways have it within 0.5 s.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds of that between two times that a speaker tells what holds.
const REPEAT_ROUNDS: u32 = 20;

/// Tells others, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        if gateway.fleet.borrow().has_limits() {
            permits::update_issuer(&gateway);
            send_updates(&gateway, &socket, round);
        }
        round = round.wrapping_add(1);
        time::sleep(GOSSIP_INTERVAL).await;
    }
}

fn send_updates(gateway: &Gateway, socket: &UdpSocket, round: u32) {
    let now = gateway.clock.now();
    let mut told = gateway.fleet.borrow().limits_to_send(false, now);
    if gateway.is_relay.get() && round.is_multiple_of(REPEAT_ROUNDS) {
        let all = gateway.fleet.borrow().limits_to_send(true, now);
        let chunks = all.len().div_ceil(LIMITS_PER_DATAGRAM).max(1);
        let turn = (round / REPEAT_ROUNDS) as usize % chunks;
        told.extend(all.into_iter().skip(turn * LIMITS_PER_DATAGRAM).take(LIMITS_PER_DATAGRAM));
    }
    if !told.is_empty() {
        send(gateway, socket, &recipients(gateway), &told);
    }
}

/// Tells a gateway that has just started.
pub fn send_all_to(gateway: &Gateway, socket: &UdpSocket, ip: IpAddr) {
    let all = gateway.fleet.borrow().limits_to_send(true, gateway.clock.now());
    send(gateway, socket, &[ip], &all);
}

fn send(gateway: &Gateway, socket: &UdpSocket, to: &[IpAddr], told: &[LimitUpdate]) {
    // What can't be encoded can't be told; no message is of that kind.
    let message =
        |chunk: &[LimitUpdate]| postcard::to_stdvec(&Message::Limits(chunk.to_vec())).ok();
    let messages: Vec<Vec<u8>> = told.chunks(LIMITS_PER_DATAGRAM).filter_map(message).collect();
    send_all(gateway, socket, to, &messages);
}

/// Takes in what another gateway tells.
pub fn receive(gateway: &Gateway, all: &[LimitUpdate]) {
    let now = gateway.clock.now();
    for limited in all {
        let LimitUpdate { server, incarnation: born, .. } = limited;
        let word = limited.report(now);
        let change = gateway.fleet.borrow_mut().record_limit(server, *born, word, now);
        if let Some(change) = change {
            log_limit_change(gateway, server, change, "gateway");
        }
    }
}
