//! Whether a server ended when it broke requests off.
//!
//! An answer that breaks off accuses nobody: its connection may have been reset, its group
//! may have lost another rank, its server may answer badly. So the server's port is looked
//! at: one that has ended refuses connections at once. A second look a little later is the
//! proof, as a server with too many connections turns some away.

use super::state::Gateway;
use mastweir_core::gateway::{Candidate, Fingerprint};
use slog::info;
use std::{
    cell::RefCell,
    collections::{HashMap, hash_map::Entry},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::oneshot, task, time};

/// A connection opens or is refused within a round trip; one that does neither in this time
/// tells nothing.
const LOOK_LASTS: Duration = Duration::from_millis(250);
/// Pause between two looks: less than any server takes to start again.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Looks at a server at most, for the case that packets are lost.
const LOOKS_MAX: u32 = 4;
/// Refusals in a row that prove the end of a server.
const REFUSALS: u32 = 2;

/// Servers that are looked at, each with the requests that it broke off and those who wait
/// for the first look.
#[derive(Debug, Default)]
pub struct Looks(RefCell<HashMap<String, Looked>>);

#[derive(Debug, Default)]
struct Looked {
    requests: Vec<Fingerprint>,
    waiting: Vec<oneshot::Sender<()>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Look {
    Opened,
    Refused,
    Silent,
}

/// A server broke a request off: counts that against the request until it is known that the
/// server lives, and waits for the first look at it. The looks go on if the caller leaves.
pub async fn broke_off(gateway: &Rc<Gateway>, request: Fingerprint, server: &Candidate) {
    let life = Fingerprint::of_life(&server.id);
    gateway.suspects.borrow_mut().suspect(request, life, gateway.clock.now());
    let (seen, first) = oneshot::channel();
    match gateway.looks.0.borrow_mut().entry(server.id.clone()) {
        Entry::Occupied(mut known) => {
            known.get_mut().requests.push(request);
            known.get_mut().waiting.push(seen);
        }
        Entry::Vacant(free) => {
            free.insert(Looked { requests: vec![request], waiting: vec![seen] });
            task::spawn_local(examine(gateway.clone(), server.clone()));
        }
    }
    // Without an answer the look has ended, and its outcome is noted.
    let _ = first.await;
}

/// Looks at a server until it is clear whether it ended.
async fn examine(gateway: Rc<Gateway>, server: Candidate) {
    let mut refusals = 0;
    for _ in 0..LOOKS_MAX {
        let look = look(&gateway, &server).await;
        match look {
            Look::Opened => break,
            Look::Refused => refusals += 1,
            Look::Silent => (),
        }
        if refusals >= REFUSALS {
            break;
        }
        let waiting = gateway
            .looks
            .0
            .borrow_mut()
            .get_mut(&server.id)
            .map(|looked| std::mem::take(&mut looked.waiting));
        // Those whose caller has left wait no more.
        waiting.into_iter().flatten().for_each(|seen| seen.send(()).unwrap_or_default());
        time::sleep(LOOK_AGAIN).await;
    }
    let ended = refusals >= REFUSALS;
    let looked = gateway.looks.0.borrow_mut().remove(&server.id).unwrap_or_default();
    conclude(&gateway, &server, &looked.requests, ended);
}

async fn look(gateway: &Gateway, server: &Candidate) -> Look {
    match gateway.servers.open(server.addr, LOOK_LASTS).await {
        Ok(exchange) => {
            gateway.servers.give_back(exchange, None);
            Look::Opened
        }
        Err(error) if error.is_refused() => {
            gateway.fleet.borrow_mut().unreachable(&server.id, gateway.clock.now());
            Look::Refused
        }
        Err(_) => Look::Silent,
    }
}

fn conclude(gateway: &Gateway, server: &Candidate, requests: &[Fingerprint], ended: bool) {
    let now = gateway.clock.now();
    let life = Fingerprint::of_life(&server.id);
    let mut suspects = gateway.suspects.borrow_mut();
    if !ended {
        requests.iter().for_each(|request| suspects.clear(*request, life));
        return;
    }
    gateway.tally.count("servers_ended_total", "under_requests");
    info!(gateway.log, "server ended under requests"; "server" => &server.id,
        "requests" => requests.len(), "first" => requests.first().map(Fingerprint::to_string));
    for request in requests {
        if suspects.ended(*request, life, now) {
            log_held(gateway, *request, "own");
        }
    }
}

/// The line of a request that is held back from now on; `from` says who told it.
pub fn log_held(gateway: &Gateway, request: Fingerprint, from: &str) {
    gateway.tally.count("requests_held_total", "first");
    info!(gateway.log, "request to be held back"; "fingerprint" => %request, "from" => from);
}
