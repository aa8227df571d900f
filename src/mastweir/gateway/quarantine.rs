//! Starts the quarantine of requests under which servers crashed, and keeps quarantines in the
//! store.
//!
//! Gateways exchange quarantines, but all of them may lose power at the same time. So the
//! gateway that proves a request harmful also writes the quarantine into the store. A gateway
//! that starts reads the quarantines from the store, or fetches them from another gateway, and
//! is not ready before it has them or a timeout has passed.

use super::{state::Gateway, unreadable::UnreadableLog};
use crate::platform::{objects::ObjectList, quarantine::StoredQuarantine, store::StoreError};
use mastweir_core::gateway::{Fingerprint, QUARANTINE_DURATION, SuspectReport};
use rand::Rng;
use slog::{info, warn};
use std::{rc::Rc, time::Duration};
use tokio::{task, time};

/// Source of a quarantine: this gateway's own probes of servers.
pub const FROM_PROBES: &str = "own";
/// Source of a quarantine: the store.
const FROM_STORE: &str = "store";
/// Pauses after failed calls to the store; doubled each time.
const RETRY_FIRST: Duration = Duration::from_millis(500);
const RETRY_MAX: Duration = Duration::from_secs(16);
/// After the store was restored from a copy, watchers read it again at random times within
/// this span, so that the first one writes the missing quarantines and the others find them.
const REREAD_SPREAD: Duration = Duration::from_secs(1);
/// Maximum number of requests that are written again in one round; each takes a call.
const REWRITES_MAX: usize = 256;
/// With the pauses between them, the attempts take about three minutes.
const WRITE_ATTEMPTS: u32 = 15;

/// Merges reports of another gateway or of the store.
pub fn merge(gateway: &Rc<Gateway>, all: &[SuspectReport], from: &str) {
    let now = gateway.clock.now();
    for report in all {
        if gateway.suspects.borrow_mut().merge(report, now) {
            start(gateway, report.request, from);
        }
    }
}

/// Starts the quarantine of a request after a report from `from`. The gateway that proved the
/// request harmful writes the quarantine into the store. If two gateways saw one crash each,
/// neither proved it, so watchers write it too.
pub fn start(gateway: &Rc<Gateway>, request: Fingerprint, from: &str) {
    gateway.metrics.count("requests_quarantined_total", "first");
    info!(gateway.log, "request quarantined"; "fingerprint" => %request, "from" => from);
    let is_stored = from == FROM_STORE;
    if !is_stored && (from == FROM_PROBES || *gateway.is_watcher.borrow()) {
        task::spawn_local(write(gateway.clone(), request));
    }
}

/// Writes a quarantine into the store.
async fn write(gateway: Rc<Gateway>, request: Fingerprint) {
    let mut pause = RETRY_FIRST;
    for _ in 0..WRITE_ATTEMPTS {
        let report = gateway.suspects.borrow().report(request, gateway.clock.now());
        let Some(report) = report else { return };
        match gateway.store.write_quarantine(&report).await {
            // Another gateway has written it.
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

/// Reads the quarantines in the store, deletes expired ones, and writes missing ones again:
/// once per [`QUARANTINE_DURATION`], and whenever the store was restored from an older copy.
/// Does not return.
pub async fn sync(gateway: &Rc<Gateway>) {
    let unreadable = UnreadableLog::default();
    let mut pause = RETRY_FIRST;
    loop {
        let generation = gateway.store.generation();
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
            () = gateway.store.later_generation(generation) => {
                let spread = gateway.rng.borrow_mut().random_range(Duration::ZERO..REREAD_SPREAD);
                time::sleep(spread).await;
            }
        }
    }
}

/// Writes the quarantines that the store lacks.
async fn write_missing(gateway: &Rc<Gateway>, stored: &[Fingerprint]) {
    let known = gateway.suspects.borrow().quarantined_reports(REWRITES_MAX, gateway.clock.now());
    let missing = known.iter().map(|known| known.request).filter(|known| !stored.contains(known));
    for request in missing {
        write(gateway.clone(), request).await;
    }
}

/// Merges the quarantines of the store and deletes expired ones. Returns the fingerprints of
/// those that remain.
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
    let reports: Vec<SuspectReport> = active.into_iter().map(|stored| stored.report).collect();
    merge(gateway, &reports, FROM_STORE);
    gateway.has_quarantines.set(true);
    let requests = reports.iter().map(|report| report.request).collect();
    for stored in expired {
        // Fails if another gateway has deleted or rewritten it, which needs no action.
        if let Err(error) = gateway.store.delete_quarantine(&stored).await {
            let request = stored.report.request;
            info!(gateway.log, "expired quarantine not deleted"; "fingerprint" => %request,
                "error" => %error);
        }
    }
    requests
}
