//! Heartbeats between entries.
//!
//! A heartbeat states that the sender is alive, forwards the heartbeats of some other entries, and
//! carries the digest of the sender's table. Reports on requests that crashed servers go with it.

use super::{Shared, lock};
use crate::objects::InstanceRole;
use mastweir_core::{gateway::SuspectReport, wire::Packet};
use rand::seq::{IndexedRandom, IteratorRandom};
use std::{net::SocketAddr, sync::atomic::Ordering};

/// Number of peers in the hall that get a heartbeat.
const FANOUT: usize = 3;
/// Maximum suspect requests reported with a heartbeat.
const SUSPECTS_MAX: usize = 8;
/// Maximum heartbeats of other entries in a heartbeat.
const MEMBERS_MAX: usize = 6;

/// Sends a heartbeat to random peers of this hall, and to one of another hall.
pub async fn send_to_some(shared: &Shared) {
    let peers = pick_peers(shared);
    if peers.is_empty() {
        return;
    }
    let packet = heartbeat(shared);
    let reports = suspect_reports(shared);
    for addr in peers {
        shared.socket.send(addr, &packet).await;
        if !reports.is_empty() {
            shared.socket.send(addr, &Packet::Suspected(reports.clone())).await;
        }
    }
}

/// Returns the recent reports on requests that crashed servers, then those on quarantined
/// requests.
fn suspect_reports(shared: &Shared) -> Vec<SuspectReport> {
    let now = shared.context.clock.now();
    let poison_requests = lock(&shared.poison_requests);
    let mut reports = poison_requests.recent_reports(now);
    reports.extend(poison_requests.quarantined_reports(SUSPECTS_MAX, now));
    reports.truncate(SUSPECTS_MAX);
    reports
}

fn pick_peers(shared: &Shared) -> Vec<SocketAddr> {
    let view = lock(&shared.view);
    let own = &shared.context;
    let peers: Vec<_> =
        view.with_role(InstanceRole::Entry).filter(|(name, _)| *name != own.name).collect();
    let local: Vec<_> = peers.iter().filter(|(_, spec)| spec.hall == own.hall).collect();
    let remote = peers.iter().filter(|(_, spec)| spec.hall != own.hall);
    let mut rng = lock(&shared.rng);
    let mut addrs: Vec<SocketAddr> =
        local.choose_multiple(&mut *rng, FANOUT).map(|(_, spec)| spec.udp).collect();
    addrs.extend(remote.choose(&mut *rng).map(|(_, spec)| spec.udp));
    addrs
}

fn heartbeat(shared: &Shared) -> Packet {
    let table = lock(&shared.table).digest();
    let leaving = shared.leaving.load(Ordering::SeqCst);
    let beat = shared.context.clock.now().0;
    let others = lock(&shared.members).sample(MEMBERS_MAX, &mut *lock(&shared.rng));
    Packet::Heartbeat { table, beat, leaving, others }
}
