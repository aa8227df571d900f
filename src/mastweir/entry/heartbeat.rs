//! Heartbeats between entries: who is there, and how far its table is.

use super::{Shared, lock};
use crate::objects::InstanceRole;
use mastweir_core::{gateway::SuspectReport, wire::Packet};
use rand::seq::{IndexedRandom, IteratorRandom};
use std::{net::SocketAddr, sync::atomic::Ordering};

/// Peers that a heartbeat goes to.
const FANOUT: usize = 3;
/// Requests told beside a heartbeat, of 80 bytes at most.
const SUSPECTED_SENT: usize = 13;
/// Members named in a heartbeat.
const NAMED: usize = 6;

/// Sends a heartbeat to some peers of the hall, and to one of another hall.
pub async fn tell_some(shared: &Shared) {
    let peers = pick_peers(shared);
    if peers.is_empty() {
        return;
    }
    let packet = heartbeat(shared);
    let suspected = suspected(shared);
    for addr in peers {
        shared.socket.send(addr, &packet).await;
        if !suspected.is_empty() {
            shared.socket.send(addr, &Packet::Suspected(suspected.clone())).await;
        }
    }
}

/// Requests under which engines ended: what is new, and what is quarantined.
fn suspected(shared: &Shared) -> Vec<SuspectReport> {
    let now = shared.context.clock.now();
    let suspects = lock(&shared.suspects);
    let mut suspected = suspects.recent_reports(now);
    suspected.extend(suspects.quarantined_reports(SUSPECTED_SENT, now));
    suspected.truncate(SUSPECTED_SENT);
    suspected
}

fn pick_peers(shared: &Shared) -> Vec<SocketAddr> {
    let view = lock(&shared.view);
    let own = &shared.context;
    let peers: Vec<_> =
        view.of_role(InstanceRole::Entry).filter(|(name, _)| *name != own.name).collect();
    let near: Vec<_> = peers.iter().filter(|(_, spec)| spec.hall == own.hall).collect();
    let far = peers.iter().filter(|(_, spec)| spec.hall != own.hall);
    let mut rng = lock(&shared.rng);
    let mut addrs: Vec<SocketAddr> =
        near.choose_multiple(&mut *rng, FANOUT).map(|(_, spec)| spec.udp).collect();
    addrs.extend(far.choose(&mut *rng).map(|(_, spec)| spec.udp));
    addrs
}

fn heartbeat(shared: &Shared) -> Packet {
    let table = lock(&shared.table).digest();
    let leaving = shared.leaving.load(Ordering::SeqCst);
    let beat = shared.context.clock.now().0;
    let others = lock(&shared.members).sample(NAMED, &mut *lock(&shared.rng));
    Packet::Heartbeat { table, beat, leaving, others }
}
