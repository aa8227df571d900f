//! Starts the quarantine of requests, and parts of prompts, under which servers crashed, and keeps
//! quarantines in the store.
//!
//! Gateways exchange quarantines, but all of them may lose power at the same time. So the
//! gateway that proves a request harmful also writes the quarantine into the store. A gateway
//! that starts reads the quarantines from the store, or fetches them from another gateway, and
//! is not ready before it has them or a timeout has passed.

use super::{prompt_suspects, state::Gateway, unreadable::UnreadableLog};
use crate::platform::{
    objects::ObjectList,
    quarantine::{self as format, QuarantineReport, StoredQuarantine, Subject},
    store::StoreError,
};
use mastweir_core::gateway::{PartReport, QUARANTINE_DURATION, SuspectReport};
use rand::Rng;
use slog::{info, warn};
use std::{rc::Rc, slice, time::Duration};
use tokio::{
    task,
    time::{self, Instant},
};

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
/// Interval of reads while anything is quarantined, which operators may lift.
const LIFT_INTERVAL: Duration = Duration::from_secs(20);
/// With the pauses between them, the attempts take about three minutes.
const WRITE_ATTEMPTS: u32 = 15;

/// Merges reports on requests of another gateway or of the store.
pub fn merge(gateway: &Rc<Gateway>, all: &[SuspectReport], from: &str) {
    let now = gateway.clock.now();
    for report in all {
        if gateway.suspects.borrow_mut().merge(report, now) {
            start(gateway, Subject::Request(report.request), from);
        }
    }
}

/// Starts a quarantine after a report from `from`. The gateway that proved a request harmful writes
/// the quarantine into the store. If two gateways saw one crash each, neither proved it, so watchers
/// write it too. All gateways prove a part harmful at the same time, so only watchers write those.
pub fn start(gateway: &Rc<Gateway>, subject: Subject, from: &str) {
    let is_writer = match subject {
        Subject::Request(request) => {
            gateway.metrics.count("requests_quarantined_total", "first");
            info!(gateway.log, "request quarantined"; "fingerprint" => %request, "from" => from);
            from == FROM_PROBES
        }
        Subject::Part(part) => {
            gateway.metrics.count("prompt_parts_quarantined_total", "first");
            info!(gateway.log, "prompt part quarantined"; "part" => %part, "from" => from);
            gateway.prompt_changes.notify_waiters();
            false
        }
    };
    if from != FROM_STORE && (is_writer || *gateway.is_watcher.borrow()) {
        task::spawn_local(write(gateway.clone(), subject));
    }
}

/// Returns what this gateway knows of a quarantine.
fn report(gateway: &Gateway, subject: Subject) -> Option<QuarantineReport> {
    let now = gateway.clock.now();
    match subject {
        Subject::Request(request) => {
            gateway.suspects.borrow().report(request, now).map(QuarantineReport::Request)
        }
        Subject::Part(part) => {
            let report = gateway.prompts.borrow().report(part, now);
            let report = report.filter(|report| report.is_quarantined);
            // In an object this is the mark of an operator.
            report.map(|report| QuarantineReport::Part(PartReport { passed_ms: None, ..report }))
        }
    }
}

/// Writes a quarantine into the store.
async fn write(gateway: Rc<Gateway>, subject: Subject) {
    let mut pause = RETRY_FIRST;
    for _ in 0..WRITE_ATTEMPTS {
        let Some(report) = report(&gateway, subject) else { return };
        match gateway.store.write_quarantine(&report).await {
            // Another gateway has written it.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => {
                gateway.metrics.count("store_errors_total", "quarantine");
                warn!(gateway.log, "quarantine not written"; "object" => format::name(subject), "error" => %error);
            }
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

/// Reads the quarantines in the store, deletes expired ones, and writes missing ones again:
/// once per [`QUARANTINE_DURATION`], or [`LIFT_INTERVAL`] while anything is quarantined
/// or the list changes, and whenever the store was restored from an older copy. Does not return.
pub async fn sync(gateway: &Rc<Gateway>) {
    let unreadable = UnreadableLog::default();
    let mut pause = RETRY_FIRST;
    loop {
        let generation = gateway.store.generation();
        match gateway.store.quarantines().await {
            Ok(listed) => {
                let is_empty = listed.items.is_empty();
                let stored = merge_stored(gateway, listed, &unreadable).await;
                let written = write_missing(gateway, &stored).await;
                // What was deleted or written may cross a write or a lift of another watcher.
                let is_settled = is_empty && written == 0;
                pause = if is_settled { QUARANTINE_DURATION } else { LIFT_INTERVAL };
            }
            Err(error) => {
                gateway.metrics.count("store_errors_total", "quarantine");
                warn!(gateway.log, "quarantine not read"; "error" => %error);
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
        tokio::select! {
            () = wait_until_due(gateway, pause) => (),
            () = gateway.store.later_generation(generation) => {
                let spread = gateway.rng.borrow_mut().random_range(Duration::ZERO..REREAD_SPREAD);
                time::sleep(spread).await;
            }
        }
    }
}

/// Waits for so long, but no longer than [`LIFT_INTERVAL`] while anything is quarantined.
async fn wait_until_due(gateway: &Gateway, pause: Duration) {
    let end = Instant::now() + pause;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        time::sleep(left.min(LIFT_INTERVAL)).await;
        let has_quarantined = gateway.suspects.borrow().has_quarantined()
            || gateway.prompts.borrow().has_quarantined();
        if has_quarantined || Instant::now() >= end {
            return;
        }
    }
}

/// Writes the quarantines that the store lacks. Returns their number.
async fn write_missing(gateway: &Rc<Gateway>, stored: &[Subject]) -> usize {
    let now = gateway.clock.now();
    let requests = gateway.suspects.borrow().quarantined_reports(REWRITES_MAX, now);
    let requests = requests.into_iter().map(|report| Subject::Request(report.request));
    let parts = gateway.prompts.borrow().quarantined_reports(REWRITES_MAX, now);
    let parts = parts.into_iter().map(|report| Subject::Part(report.part));
    let missing: Vec<Subject> =
        requests.chain(parts).filter(|known| !stored.contains(known)).collect();
    for subject in &missing {
        write(gateway.clone(), *subject).await;
    }
    missing.len()
}

/// Merges the quarantines of the store and deletes expired and lifted ones. Returns those that
/// remain.
async fn merge_stored(
    gateway: &Rc<Gateway>,
    listed: ObjectList<StoredQuarantine>,
    unreadable: &UnreadableLog,
) -> Vec<Subject> {
    listed.unreadable.iter().for_each(|obj| unreadable.log(gateway, "quarantine", obj));
    let (lifted, active): (Vec<StoredQuarantine>, Vec<StoredQuarantine>) =
        listed.items.into_iter().partition(|stored| stored.report.is_lifted());
    let (expired, active): (Vec<StoredQuarantine>, Vec<StoredQuarantine>) =
        active.into_iter().partition(|stored| stored.report.is_expired());
    if !active.is_empty() {
        info!(gateway.log, "quarantine read"; "requests" => active.len(), "lapsed" => expired.len(),
            "revision" => %listed.revision);
    }
    for StoredQuarantine { report, .. } in active.iter().chain(&lifted) {
        match report {
            QuarantineReport::Request(report) => {
                merge(gateway, slice::from_ref(report), FROM_STORE);
            }
            QuarantineReport::Part(report) => {
                prompt_suspects::merge(gateway, slice::from_ref(report), FROM_STORE);
            }
        }
    }
    gateway.has_quarantines.set(true);
    // Answers may have refuted the crashes.
    let is_in_force = |stored: &&StoredQuarantine| match stored.report.subject() {
        Subject::Request(request) => gateway.suspects.borrow().is_quarantined(request),
        Subject::Part(part) => gateway.prompts.borrow().count_quarantined(&[part]) > 0,
    };
    let (active, refuted): (Vec<&StoredQuarantine>, Vec<&StoredQuarantine>) =
        active.iter().partition(is_in_force);
    let remaining = active.iter().map(|stored| stored.report.subject()).collect();
    for stored in lifted.iter().chain(&expired).chain(refuted) {
        // Fails if another gateway has deleted or rewritten it, which needs no action.
        if let Err(error) = gateway.store.delete_quarantine(stored).await {
            let object = format::name(stored.report.subject());
            info!(gateway.log, "expired quarantine not deleted"; "object" => object,
                "error" => %error);
        }
    }
    remaining
}
