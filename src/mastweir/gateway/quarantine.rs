//! Requests that are quarantined: what begins a quarantine, and its place in the store.
//!
//! Gateways tell each other, but all of them may lose power at once, and a request that ends
//! servers would end two more behind each such loss. So the gateway that proves one writes it
//! into the store, and a gateway that starts reads what lies there, or asks another gateway.
//! Until it has, or had time for it, it does not call itself ready.

use super::{state::Gateway, unread::Noted};
use crate::platform::{objects::ObjectList, quarantine::StoredQuarantine, store::StoreError};
use mastweir_core::gateway::{Fingerprint, QUARANTINE_DURATION, SuspectReport};
use rand::Rng;
use slog::{info, warn};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// Who told of a request: this gateway's own looks, or the store.
pub const OWN: &str = "own";
const STORE: &str = "store";
/// Pauses between two calls that fail, doubled each time: the store may be away for long.
const RETRY_FIRST: Duration = Duration::from_millis(500);
const RETRY_LAST: Duration = Duration::from_secs(16);
/// Those who watch the store read it again within this time behind its return from a copy:
/// six of them at three halls.
const SPREAD: Duration = Duration::from_secs(1);
/// Requests that are written again at most; each is a call.
const WRITTEN_MAX: usize = 256;
/// Tries to write: some three minutes. Gateways that live know it all the same.
const WRITES_MAX: u32 = 15;

/// Takes in what another gateway, or the store, tells.
pub fn told(gateway: &Rc<Gateway>, all: &[SuspectReport], from: &str) {
    let now = gateway.clock.now();
    for suspected in all {
        if gateway.suspects.borrow_mut().merge(suspected, now) {
            begun(gateway, suspected.request, from);
        }
    }
}

/// A request is quarantined from now on, by what `from` told. Who proved it writes it into the
/// store; where two gateways proved one end each, neither did, so those who watch the store
/// do, too.
pub fn begun(gateway: &Rc<Gateway>, request: Fingerprint, from: &str) {
    gateway.metrics.count("requests_quarantined_total", "first");
    info!(gateway.log, "request quarantined"; "fingerprint" => %request, "from" => from);
    let is_stored = from == STORE;
    if !is_stored && (from == OWN || *gateway.is_watcher.borrow()) {
        task::spawn_local(write(gateway.clone(), request));
    }
}

/// Writes a request that is quarantined into the store.
async fn write(gateway: Rc<Gateway>, request: Fingerprint) {
    let mut pause = RETRY_FIRST;
    for _ in 0..WRITES_MAX {
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
        pause = (pause * 2).min(RETRY_LAST);
    }
}

/// Reads what lies in the store, clears it of what has lapsed, and writes again what it has
/// lost: once in the time that a quarantine lasts, and each time that the store came back
/// from an older copy, for ever.
pub async fn follow(gateway: &Rc<Gateway>) {
    let noted = Noted::default();
    let mut pause = RETRY_FIRST;
    loop {
        let era = gateway.store.generation();
        match gateway.store.quarantines().await {
            Ok(listed) => {
                let stored = take(gateway, listed, &noted).await;
                write_lost(gateway, &stored).await;
                pause = QUARANTINE_DURATION;
            }
            Err(error) => {
                gateway.metrics.count("store_errors_total", "quarantine");
                warn!(gateway.log, "quarantine not read"; "error" => %error);
                pause = (pause * 2).min(RETRY_LAST);
            }
        }
        tokio::select! {
            () = time::sleep(pause) => (),
            () = gateway.store.later_generation(era) => {
                // One of those who watch comes first, and the others find what it wrote.
                let spread = gateway.rng.borrow_mut().random_range(Duration::ZERO..SPREAD);
                time::sleep(spread).await;
            }
        }
    }
}

/// Writes what is quarantined here and does not lie in the store.
async fn write_lost(gateway: &Rc<Gateway>, stored: &[Fingerprint]) {
    let known = gateway.suspects.borrow().quarantined_reports(WRITTEN_MAX, gateway.clock.now());
    let lost = known.iter().map(|known| known.request).filter(|known| !stored.contains(known));
    for request in lost {
        write(gateway.clone(), request).await;
    }
}

/// Takes in what lies in the store; gives the requests that it names.
async fn take(
    gateway: &Rc<Gateway>,
    listed: ObjectList<StoredQuarantine>,
    noted: &Noted,
) -> Vec<Fingerprint> {
    listed.unreadable.iter().for_each(|unread| noted.note(gateway, "quarantine", unread));
    let (lapsed, young): (Vec<StoredQuarantine>, Vec<StoredQuarantine>) =
        listed.items.into_iter().partition(|stored| stored.report.is_expired());
    if !young.is_empty() {
        info!(gateway.log, "quarantine read"; "requests" => young.len(), "lapsed" => lapsed.len(),
            "revision" => %listed.revision);
    }
    let suspected: Vec<SuspectReport> = young.into_iter().map(|stored| stored.report).collect();
    told(gateway, &suspected, STORE);
    gateway.has_quarantines.set(true);
    let requests = suspected.iter().map(|suspected| suspected.request).collect();
    for stored in lapsed {
        // One that another gateway has cleared or written again is none of ours.
        if let Err(error) = gateway.store.delete_quarantine(&stored).await {
            let request = stored.report.request;
            info!(gateway.log, "lapsed quarantine not cleared"; "fingerprint" => %request,
                "error" => %error);
        }
    }
    requests
}
