//! Finds out whether a server crashed when it broke off requests.
//!
//! In the gateway's process. A broken connection alone proves no crash: the connection may have
//! been reset, another rank of the server's group may have failed, or the answer may have been
//! malformed. So the server's port is probed, and a server is taken as crashed if it refuses
//! connections in two consecutive probes. One is not enough: a crashing process closes its port
//! after its connections, and a running one refuses connections when it has too many.

use super::{call::Call, quarantine, state::Gateway};
use crate::net::http::Connection;
use mastweir_core::gateway::{Candidate, Exclusion, Fingerprint};
use slog::info;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// A connection opens or is refused within a round trip; one that does neither in this time tells
/// nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Shorter than the restart of any server. More than one, since packets may be lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBES_MAX: u32 = 6;

#[derive(Clone, Copy, PartialEq, Eq)]
enum PortState {
    Open,
    Refused,
    Unknown,
}

/// Records that a server may have crashed under a request, and probes the server. The suspicion is
/// cleared if the server turns out to run. A request that may be repeated waits for the first
/// probe; probing continues if its caller disconnects.
pub async fn suspect_crash(gateway: &Rc<Gateway>, call: &Call, server: &Candidate) {
    let request = call.fingerprint();
    let incarnation = Fingerprint::of_incarnation(&server.id);
    gateway.suspects.borrow_mut().add_suspect(request, incarnation, gateway.clock.now());
    let (is_new, first) = gateway.pending_probes.add(&server.id, request);
    if is_new {
        task::spawn_local(probe_server(gateway.clone(), server.clone()));
    }
    if call.route().is_repeatable() {
        // A dropped sender means that probing has ended and its result is recorded.
        let _ = first.await;
    }
}

/// Probes a server until two consecutive probes agree.
async fn probe_server(gateway: Rc<Gateway>, server: Candidate) {
    let mut open = None;
    let mut previous = PortState::Unknown;
    let mut has_crashed = false;
    for _ in 0..PROBES_MAX {
        let state = probe_port(&gateway, &server, &mut open).await;
        gateway.pending_probes.notify_waiting(&server.id);
        if state == previous && state != PortState::Unknown {
            has_crashed = state == PortState::Refused;
            break;
        }
        previous = state;
        time::sleep(PROBE_INTERVAL).await;
    }
    if let Some(open) = open {
        gateway.server_pool.release(open, None);
    }
    conclude(&gateway, &server, has_crashed);
}

async fn probe_port(
    gateway: &Gateway,
    server: &Candidate,
    open: &mut Option<Connection>,
) -> PortState {
    if open.as_ref().is_some_and(|open| !open.is_closed()) {
        return PortState::Open;
    }
    *open = None;
    if gateway.fleet.borrow().exclusion(&server.id, gateway.clock.now())
        == Some(Exclusion::Evacuated)
    {
        return PortState::Unknown;
    }
    match gateway.server_pool.open(server.addr, PROBE_TIMEOUT).await {
        Ok(connection) => {
            *open = Some(connection);
            PortState::Open
        }
        Err(error) if error.is_refused() => {
            gateway.fleet.borrow_mut().record_unreachable(&server.id, gateway.clock.now());
            PortState::Refused
        }
        Err(_) => PortState::Unknown,
    }
}

fn conclude(gateway: &Rc<Gateway>, server: &Candidate, has_crashed: bool) {
    let requests = gateway.pending_probes.remove(&server.id);
    let now = gateway.clock.now();
    let incarnation = Fingerprint::of_incarnation(&server.id);
    let mut suspects = gateway.suspects.borrow_mut();
    if !has_crashed {
        requests.iter().for_each(|request| suspects.clear(*request, incarnation));
        return;
    }
    gateway.metrics.count("servers_ended_total", "under_requests");
    info!(gateway.log, "server crashed under requests"; "server" => &server.id,
        "requests" => requests.len(), "first" => requests.first().map(Fingerprint::to_string));
    for request in &requests {
        if suspects.record_crash(*request, incarnation, now) {
            quarantine::start(gateway, *request, quarantine::FROM_PROBES);
        }
    }
}
