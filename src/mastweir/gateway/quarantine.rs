//! Requests that are quarantined: what begins a quarantine, and its place in the store.
//!
//! Gateways tell each other, but all of them may lose power at once, and a request that ends
//! servers would end two more behind each such loss. So the gateway that proves one writes it
//! into the store, and a gateway that starts reads what lies there, or asks another gateway.
//! Until it has, or had time for it, it does not call itself ready.

use super::{state::Gateway, unreadable::UnreadableLog};
use crate::platform::{objects::ObjectList, quarantine::StoredQuarantine, store::StoreError};
use mastweir_core::gateway::{Fingerprint, QUARANTINE_DURATION, SuspectReport};
use rand::Rng;
use slog::{info, warn};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// Who told of a request: this gateway's own looks, or the store.
pub const FROM_PROBES: &str = "own";
const FROM_STORE: &str = "store";
/// Pauses between two calls that fail, doubled each time: the store may be away for long.
const RETRY_FIRST: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(16);
/// Those who watch the store read it again within this time behind its return from a copy:
/// six of them at three halls.
const REREAD_SPREAD: Duration = Duration::from_secs(1);
/// Requests that are written again at most; each is a call.
const REWRITES_MAX: usize = 256;
/// Tries to write: some three minutes. Gateways that live know it all the same.
const WRITE_ATTEMPTS: u32 = 15;

/// Takes in what another gateway, or the store, tells.
pub fn merge(gateway: &Rc<Gateway>, all: &[SuspectReport], from: &str) {
    let now = gateway.clock.now();
    for suspected in all {
        if gateway.suspects.borrow_mut().merge(suspected, now) {
            start(gateway, suspected.request, from);
        }
    }
}

/// A request is quarantined from now on, by what `from` told. Who proved it writes it into the
/// store; where two gateways proved one end each, neither did, so those who watch the store
/// do, too.
pub fn start(gateway: &Rc<Gateway>, request: Fingerprint, from: &str) {
    gateway.metrics.count("requests_quarantined_total", "first");
    info!(gateway.log, "request quarantined"; "fingerprint" => %request, "from" => from);
    let is_stored = from == FROM_STORE;
    if !is_stored && (from == FROM_PROBES || *gateway.is_watcher.borrow()) {
        task::spawn_local(write(gateway.clone(), request));
    }
}

/// Writes a request that is quarantined into the store.
async fn write(gateway: Rc<Gateway>, request: Fingerprint) {
    let mut pause = RETRY_FIRST;
    for _ in 0..WRITE_ATTEMPTS {
        let suspected = gateway.suspects.borrow().report(request, gateway.clock.now());
        let Some(suspected) = suspected else { return };
        match gateway.store.write_quarantine(&suspected).await {
            // Another gateway was first.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => {
                gateway.metrics.count("store_errors_total", "quarantine");
                warn!(gateway.log, "quarantine not written"; "fingerprint" => %request, "error" => %error);
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

/// Reads what lies in the store, clears it of what has lapsed, and writes again what it has
/// lost: once in the time that a quarantine lasts, and each time that the store came back
/// from an older copy, for ever.
pub async fn sync(gateway: &Rc<Gateway>) {
    let unreadable = UnreadableLog::default();
    let mut pause = RETRY_FIRST;
    loop {
        let era = gateway.store.generation();
        match gateway.store.quarantines().await {
            Ok(listed) => {
                let stored = merge_stored(gateway, listed, &unreadable).await;
                write_missing(gateway, &stored).await;
                pause = QUARANTINE_DURATION;
            }
            Err(error) => {
                gateway.metrics.count("store_errors_total", "quarantine");
                warn!(gateway.log, "quarantine not read"; "error" => %error);
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
        tokio::select! {
            () = time::sleep(pause) => (),
            () = gateway.store.later_generation(era) => {
                // One of those who watch comes first, and the others find what it wrote.
                let spread = gateway.rng.borrow_mut().random_range(Duration::ZERO..REREAD_SPREAD);
                time::sleep(spread).await;
            }
        }
    }
}

/// Writes what is quarantined here and does not lie in the store.
async fn write_missing(gateway: &Rc<Gateway>, stored: &[Fingerprint]) {
    let known = gateway.suspects.borrow().quarantined_reports(REWRITES_MAX, gateway.clock.now());
    let lost = known.iter().map(|known| known.request).filter(|known| !stored.contains(known));
    for request in lost {
        write(gateway.clone(), request).await;
    }
}

/// Takes in what lies in the store; gives the requests that it names.
async fn merge_stored(
    gateway: &Rc<Gateway>,
    listed: ObjectList<StoredQuarantine>,
    unreadable: &UnreadableLog,
) -> Vec<Fingerprint> {
    listed.unreadable.iter().for_each(|obj| unreadable.log(gateway, "quarantine", obj));
    let (expired, active): (Vec<StoredQuarantine>, Vec<StoredQuarantine>) =
        listed.items.into_iter().partition(|stored| stored.report.is_expired());
    if !active.is_empty() {
        info!(gateway.log, "quarantine read"; "requests" => active.len(), "lapsed" => expired.len(),
            "revision" => %listed.revision);
    }
    let suspected: Vec<SuspectReport> = active.into_iter().map(|stored| stored.report).collect();
    merge(gateway, &suspected, FROM_STORE);
    gateway.has_quarantines.set(true);
    let requests = suspected.iter().map(|suspected| suspected.request).collect();
    for stored in expired {
        // One that another gateway has cleared or written again is none of ours.
        if let Err(error) = gateway.store.delete_quarantine(&stored).await {
            let request = stored.report.request;
            info!(gateway.log, "lapsed quarantine not cleared"; "fingerprint" => %request,
                "error" => %error);
        }
    }
    requests
}
