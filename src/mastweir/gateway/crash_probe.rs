//! Whether a server ended when it broke requests off.
//!
//! An answer that breaks off proves nothing: its connection may have been reset, its group
//! may have lost another rank, its server may answer badly. So the server's port is looked
//! at: one that has ended refuses connections. Two looks in a row have to find the same: a
//! process that ends closes its port behind its connections, and one that lives turns some
//! away when it has too many.

use super::{call::Call, quarantine, state::Gateway};
use crate::net::http::Connection;
use mastweir_core::gateway::{Candidate, Fingerprint};
use slog::info;
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// A connection opens or is refused within a round trip; one that does neither in this time
/// tells nothing.
const LOOK_LASTS: Duration = Duration::from_millis(250);
/// Pause between two looks: less than any server takes to start again.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Looks at a server at most, for the case that packets are lost.
const LOOKS_MAX: u32 = 6;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Look {
    Opened,
    Refused,
    Silent,
}

/// A server broke a request off: counts that against the request until it is known that the
/// server lives. What may be sent again waits for the first look at it; the looks go on if
/// the caller leaves.
pub async fn broke_off(gateway: &Rc<Gateway>, call: &Call, server: &Candidate) {
    let request = call.fingerprint();
    let life = Fingerprint::of_incarnation(&server.id);
    gateway.suspects.borrow_mut().add_suspect(request, life, gateway.clock.now());
    let (is_new, first) = gateway.pending_probes.broke_off(&server.id, request);
    if is_new {
        task::spawn_local(examine(gateway.clone(), server.clone()));
    }
    if call.route().is_repeatable() {
        // Without an answer the look has ended, and its outcome is noted.
        let _ = first.await;
    }
}

/// Looks at a server until two looks in a row find the same.
async fn examine(gateway: Rc<Gateway>, server: Candidate) {
    let mut open = None;
    let mut before = Look::Silent;
    let mut ended = false;
    for _ in 0..LOOKS_MAX {
        let look = look(&gateway, &server, &mut open).await;
        gateway.pending_probes.looked(&server.id);
        if look == before && look != Look::Silent {
            ended = look == Look::Refused;
            break;
        }
        before = look;
        time::sleep(LOOK_AGAIN).await;
    }
    if let Some(open) = open {
        gateway.server_pool.release(open, None);
    }
    conclude(&gateway, &server, ended);
}

async fn look(gateway: &Gateway, server: &Candidate, open: &mut Option<Connection>) -> Look {
    if open.as_ref().is_some_and(|open| !open.is_closed()) {
        return Look::Opened;
    }
    *open = None;
    match gateway.server_pool.open(server.addr, LOOK_LASTS).await {
        Ok(exchange) => {
            *open = Some(exchange);
            Look::Opened
        }
        Err(error) if error.is_refused() => {
            gateway.fleet.borrow_mut().record_unreachable(&server.id, gateway.clock.now());
            Look::Refused
        }
        Err(_) => Look::Silent,
    }
}

fn conclude(gateway: &Rc<Gateway>, server: &Candidate, ended: bool) {
    let requests = gateway.pending_probes.conclude(&server.id);
    let now = gateway.clock.now();
    let life = Fingerprint::of_incarnation(&server.id);
    let mut suspects = gateway.suspects.borrow_mut();
    if !ended {
        requests.iter().for_each(|request| suspects.clear(*request, life));
        return;
    }
    gateway.metrics.count("servers_ended_total", "under_requests");
    info!(gateway.log, "server ended under requests"; "server" => &server.id,
        "requests" => requests.len(), "first" => requests.first().map(Fingerprint::to_string));
    for request in &requests {
        if suspects.record_crash(*request, life, now) {
            quarantine::start(gateway, *request, quarantine::FROM_PROBES);
        }
    }
}
