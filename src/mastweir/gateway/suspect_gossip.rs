//! Exchanges reports between gateways on requests, and parts of prompts, under which servers
//! crashed.
//!
//! A gateway sends them to the relays of its hall; a relay also sends them to its followers and
//! to the remote relays. Each gateway forwards only what was new to it, so reports do not loop.
//! Relays repeat quarantined requests, for gateways that have just started and for lost
//! datagrams.

use super::{
    message::{Message, SUSPECTS_PER_DATAGRAM},
    prompt_suspects,
    relay::send_chunks,
    state::Gateway,
};
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time};

/// Through two relays, all gateways have a report within 0.5 s.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds between two repetitions of the quarantined requests. A gateway that has just started
/// knows the quarantined requests 1.5 s later.
const REPEAT_ROUNDS: u32 = 10;

/// Sends reports to the other gateways. Does not return.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        round = round.wrapping_add(1);
        let repeats = round.is_multiple_of(REPEAT_ROUNDS);
        if repeats {
            let count = gateway.gateways.borrow().estimated_count(gateway.clock.now());
            gateway.suspects.borrow_mut().set_gateways(count);
        }
        if !gateway.suspects.borrow().is_empty() {
            send_reports(&gateway, &socket, repeats);
        }
        prompt_suspects::update(&gateway);
        prompt_suspects::send_reports(&gateway, &socket, repeats);
        time::sleep(GOSSIP_INTERVAL).await;
    }
}

fn send_reports(gateway: &Gateway, socket: &UdpSocket, with_quarantined: bool) {
    let now = gateway.clock.now();
    let suspects = gateway.suspects.borrow();
    let mut reports = suspects.recent_reports(now);
    if with_quarantined && gateway.is_relay.get() {
        reports.extend(suspects.quarantined_reports(SUSPECTS_PER_DATAGRAM, now));
    }
    drop(suspects);
    if !reports.is_empty() {
        let chunks = reports.chunks(SUSPECTS_PER_DATAGRAM);
        send_chunks(gateway, socket, &recipients(gateway), chunks, Message::Suspects);
    }
}

/// Gateways to which this gateway sends gossip: the other relays of its hall and, if it is a
/// relay, its followers and the remote relays.
pub fn recipients(gateway: &Gateway) -> Vec<IpAddr> {
    let now = gateway.clock.now();
    let settings = gateway.settings.borrow();
    let gateways = gateway.gateways.borrow();
    let mut recipients = gateways.relays(&settings.hall, now);
    if gateway.is_relay.get() {
        recipients.extend(gateways.followers());
        recipients.extend(gateways.remote_relays(now));
    }
    recipients.sort_unstable();
    recipients.dedup();
    recipients.retain(|ip| *ip != settings.ip);
    recipients
}
