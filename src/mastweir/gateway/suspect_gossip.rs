//! What gateways tell each other of requests under which servers ended.
//!
//! A gateway tells the speakers of its hall, and they those who follow them and the other
//! halls' speakers; each tells on only what was new to it, so nothing goes in a circle. What
//! is quarantined speakers tell again and again: some was lost, or told before a gateway
//! started.

use super::{
    message::{Message, SUSPECTS_PER_DATAGRAM},
    relay::send_all,
    state::Gateway,
};
use std::{net::IpAddr, rc::Rc, time::Duration};
use tokio::{net::UdpSocket, time};

/// News is told on this often: through two speakers all gateways have it within 0.5 s.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Rounds of that between two times that a speaker tells what is quarantined: a gateway that
/// has just started knows it 1.5 s later.
const REPEAT_ROUNDS: u32 = 10;

/// Tells others, for ever.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round = 0_u32;
    loop {
        round = round.wrapping_add(1);
        if !gateway.suspects.borrow().is_empty() {
            send_reports(&gateway, &socket, round.is_multiple_of(REPEAT_ROUNDS));
        }
        time::sleep(GOSSIP_INTERVAL).await;
    }
}

fn send_reports(gateway: &Gateway, socket: &UdpSocket, with_quarantined: bool) {
    let now = gateway.clock.now();
    let suspects = gateway.suspects.borrow();
    let mut told = suspects.recent_reports(now);
    if with_quarantined && gateway.is_relay.get() {
        told.extend(suspects.quarantined_reports(SUSPECTS_PER_DATAGRAM, now));
    }
    drop(suspects);
    if told.is_empty() {
        return;
    }
    let messages: Vec<Vec<u8>> = told
        .chunks(SUSPECTS_PER_DATAGRAM)
        // What can't be encoded can't be told; no message is of that kind.
        .filter_map(|chunk| postcard::to_stdvec(&Message::Suspects(chunk.to_vec())).ok())
        .collect();
    send_all(gateway, socket, &recipients(gateway), &messages);
}

/// The speakers of the hall, and, of one of them, its followers and the other halls' speakers.
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
