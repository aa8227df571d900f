//! Finds out whether a server crashed when it broke off requests.
//!
//! In the gateway's process. A broken connection alone proves no crash: the connection may have
//! been reset, another rank of the server's group may have failed, or the answer may have been
//! malformed. So the server's port is probed, and a server is taken as crashed if it refuses
//! connections in two consecutive probes. One is not enough: a crashing process closes its port
//! after its connections, and a running one refuses connections when it has too many.

use super::{call::Call, prompt_suspects, quarantine, state::Gateway};
use crate::{net::http::Connection, platform::quarantine::Subject};
use mastweir_core::{
    gateway::{Candidate, Exclusion, Fingerprint},
    time::Uptime,
};
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
/// probe; probing continues if its caller disconnects. The end of a server that was leaving is no
/// crash.
pub async fn suspect_crash(gateway: &Rc<Gateway>, call: &Call, server: &Candidate) {
    let now = gateway.clock.now();
    if gateway.fleet.borrow().is_leaving(&server.id, now) {
        return;
    }
    let request = call.fingerprint();
    let incarnation = Fingerprint::of_incarnation(&server.id);
    gateway.suspects.borrow_mut().add_suspect(request, incarnation, now);
    let (is_new, first) = gateway.pending_probes.add(&server.id, request);
    if is_new {
        gateway.runs.borrow_mut().suspect(incarnation);
        task::spawn_local(probe_server(gateway.clone(), server.clone(), now));
    }
    if call.route().is_repeatable() {
        // A dropped sender means that probing has ended and its result is recorded.
        let _ = first.await;
    }
}

/// Probes a server that may have crashed at `at` until two consecutive probes agree.
async fn probe_server(gateway: Rc<Gateway>, server: Candidate, at: Uptime) {
    let incarnation = Fingerprint::of_incarnation(&server.id);
    let mut open = None;
    let mut previous = PortState::Unknown;
    let mut has_crashed = false;
    for _ in 0..PROBES_MAX {
        let state = probe_port(&gateway, &server, &mut open).await;
        if state == PortState::Refused {
            let parts = gateway.runs.borrow().suspects(incarnation, at);
            gateway.prompts.borrow_mut().add_suspects(&parts, incarnation, at);
            gateway.prompt_changes.notify_waiters();
        }
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
    conclude(&gateway, &server, has_crashed.then_some(at));
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

/// Ends the suspicion of a server that crashed at `crashed`, or that is alive.
fn conclude(gateway: &Rc<Gateway>, server: &Candidate, crashed: Option<Uptime>) {
    let requests = gateway.pending_probes.remove(&server.id);
    let now = gateway.clock.now();
    let incarnation = Fingerprint::of_incarnation(&server.id);
    let mut suspects = gateway.suspects.borrow_mut();
    let Some(at) = crashed else {
        prompt_suspects::clear(gateway, incarnation);
        requests.iter().for_each(|request| suspects.clear(*request, incarnation));
        return;
    };
    let parts = prompt_suspects::record_crash(gateway, incarnation, at);
    gateway.metrics.count("servers_ended_total", "under_requests");
    info!(gateway.log, "server crashed under requests"; "server" => &server.id,
        "requests" => requests.len(), "first" => requests.first().map(Fingerprint::to_string),
        "parts" => parts);
    for request in &requests {
        if suspects.record_crash(*request, incarnation, now) {
            quarantine::start(gateway, Subject::Request(*request), quarantine::FROM_PROBES);
        }
    }
}
