//! Quarantine of requests that crash servers.
//!
//! Runs in gateways and entry instances. A request may crash each server that runs it, and its
//! caller may send it again as a new attempt, through any gateway. So each gateway records, by
//! the request's [`Fingerprint`], which incarnations (starts) of servers crashed while they ran
//! it, and exchanges these records with the others. A request with [`MAX_CRASHES`] crashes is
//! quarantined: no further server gets it.
//!
//! A crash makes a suspect of every request that the server was running, most of them harmless,
//! but two crashes while running the same request are rarely a coincidence. For a request that
//! is sent often they may be one, so a request that was ever completed is quarantined only after
//! [`MAX_CRASHES_COMPLETED`] crashes. Each time that a server completes it refutes one crash, the
//! oldest: a sound request that runs wherever servers crash is completed far more often.
//!
//! Crashes are only added to a record, and refuted ones stay refuted, so gateways can merge records
//! in any order and any number of times.
//!
//! A quarantine lasts for [`QUARANTINE_DURATION`] from the last crash, however often the request is
//! refused meanwhile; for a request that was completed before, twice as long as its crashes went
//! on, since all servers may have crashed for another reason. Then one gateway after the other
//! sends one request. If the server completes it, a crash is refuted; if it crashes, the time
//! begins anew.

use super::fingerprint::Fingerprint;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// Crashes after which a request is quarantined. Each further crash would stall another group. By
/// chance, one of 9,477 requests had two crashes, in three simulated days with 18 crashes. With
/// three, a request that crashes each server takes a third group with it: nine servers crashed
/// under one that was never quarantined, and their groups stalled for 17 s.
pub const MAX_CRASHES: usize = 2;
/// The same for a request that was ever completed, since several servers of one hall may crash
/// together for other reasons.
pub const MAX_CRASHES_COMPLETED: usize = 8;
/// Time since the last crash after which a quarantined request may run again. What servers run
/// changes within hours.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Time since the last crash after which it no longer counts. Within the time between, gateways
/// try a quarantined request one after the other.
const MEMORY_DURATION: Duration = Duration::from_secs(5_400);
/// Shortest quarantine of a request that was completed before. Groups open again within it.
const QUARANTINE_MIN: Duration = Duration::from_secs(3);
/// Quarantine of such a request, in multiples of the time for which its crashes went on.
const QUARANTINE_FACTOR: u32 = 2;
/// Time for each gateway in which they try a request one after the other. Within it, the others
/// learn of a crash.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// Crashes closer together add nothing to [`MAX_CRASHES_COMPLETED`] of them.
const BURST_DURATION: Duration = Duration::from_secs(1);
/// Bounds the crashes that are kept of a request, and the refuted ones. The first
/// [`MAX_CRASHES_COMPLETED`] decide on the quarantine, the last ones on its length.
const CRASHES_KEPT: usize = 12;
/// Time for which refuted crashes are kept, for reports that are under way and quarantines in the
/// store.
const REFUTED_DURATION: Duration = Duration::from_secs(60);
/// Age in a report whose crashes are refuted.
const REFUTED_AGE: u32 = u32::MAX;
/// Time after the beginning of a trial for which this gateway begins no other: within it the
/// server crashes, or answers.
const TRIAL_DURATION: Duration = Duration::from_millis(2_500);
/// Time after the beginning of a trial in which its request is sent. It is checked more than once
/// until then.
const TRIAL_SEND: Duration = Duration::from_millis(50);
/// Added to the times of this process, so that times before its start can be represented.
const PAST: Duration = Duration::from_secs(4 * 3_600);
/// Time after a change for which the record is sent to other gateways again and again, since
/// datagrams may be lost. One datagram in a hundred is lost; gateways send the record eight times
/// in this time.
const GOSSIP_DURATION: Duration = Duration::from_millis(1_200);
/// Bounds the memory for suspect requests. All of them take some 0.5 MB; a crash adds about a
/// dozen.
const MAX_SUSPECTS: usize = 4_096;
/// Bounds the memory for each of the two sets of completed requests. A set covers two minutes of a
/// gateway that serves 40 requests a second, in 0.1 MB.
const MAX_COMPLETED: usize = 2_048;

/// The servers that crashed while they ran a request, as gateways exchange them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    pub request: Fingerprint,
    /// Fingerprints of the incarnations that crashed while they ran it.
    pub crashes: Vec<Fingerprint>,
    /// Whether a server has ever completed the request.
    pub completed: bool,
    /// Milliseconds since the last of those crashes; the maximum if they are refuted.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Returns the time since the last crash.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Returns whether the crashes are refuted, by answers or by an operator.
    pub const fn is_refuted(&self) -> bool {
        self.age_ms == REFUTED_AGE
    }

    /// Returns a report that refutes these crashes.
    #[must_use]
    pub fn refuted(&self) -> Self {
        Self { completed: true, age_ms: REFUTED_AGE, ..self.clone() }
    }

    /// Returns whether the report is too old to count.
    pub fn is_expired(&self) -> bool {
        self.age() >= MEMORY_DURATION
    }
}

/// Why a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Known and suspected crashes while running the request, up to [`MAX_CRASHES_COMPLETED`].
    pub crashes: usize,
    /// Time since the last known or suspected crash.
    pub age: Duration,
    /// Whether the known crashes alone suffice; otherwise some of the servers may be alive.
    pub confirmed: bool,
    /// Time from the last crash to the first trial.
    pub duration: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: Fingerprint,
    at: Uptime,
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// Crashes that count, by incarnation; at most [`CRASHES_KEPT`].
    crashes: Vec<Crash>,
    /// Incarnations whose crashes were refuted, the last [`CRASHES_KEPT`].
    refuted: Vec<Fingerprint>,
    /// Incarnations that may have crashed and are being probed, and since when.
    suspected: Vec<(Fingerprint, Uptime)>,
    completed: bool,
    /// When a server last crashed.
    last_crash: Uptime,
    /// When this record last changed.
    changed: Uptime,
    /// When this gateway last began a trial.
    trial: Option<Uptime>,
}

impl SuspectRequest {
    fn limit(&self) -> usize {
        if self.completed { MAX_CRASHES_COMPLETED } else { MAX_CRASHES }
    }

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= self.limit()
    }

    fn has_crashed(&self, incarnation: Fingerprint) -> bool {
        self.crashes.binary_search_by_key(&incarnation, |crash| crash.incarnation).is_ok()
    }

    /// Adds a crash. Returns whether it tells anything new.
    fn add(&mut self, crash: Crash) -> bool {
        self.suspected.retain(|(incarnation, _)| *incarnation != crash.incarnation);
        let found =
            self.crashes.binary_search_by_key(&crash.incarnation, |known| known.incarnation);
        let is_burst = crash.at.since(self.last_crash) < BURST_DURATION;
        let is_needless = is_burst && self.crashes.len() >= MAX_CRASHES_COMPLETED;
        if found.is_ok() || is_needless || self.refuted.contains(&crash.incarnation) {
            return false;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.sort_unstable_by_key(|known| known.at);
            self.crashes.remove(MAX_CRASHES_COMPLETED);
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable_by_key(|known| known.incarnation);
        // A report of a known crash may have been under way for long.
        self.last_crash = self.last_crash.max(crash.at);
        true
    }

    /// Records that a crash is refuted. Returns whether this is new.
    fn refute(&mut self, incarnation: Fingerprint) -> bool {
        self.crashes.retain(|crash| crash.incarnation != incarnation);
        self.suspected.retain(|(suspected, _)| *suspected != incarnation);
        if self.refuted.contains(&incarnation) {
            return false;
        }
        if self.refuted.len() >= CRASHES_KEPT {
            self.refuted.remove(0);
        }
        self.refuted.push(incarnation);
        true
    }

    /// Returns the crash that a completion refutes.
    fn oldest(&self) -> Option<Fingerprint> {
        let oldest = self.crashes.iter().min_by_key(|crash| (crash.at, crash.incarnation));
        oldest.map(|crash| crash.incarnation)
    }

    /// Returns the time from the last crash to the first trial.
    fn duration(&self) -> Duration {
        if !self.completed {
            return QUARANTINE_DURATION;
        }
        let first = self.crashes.iter().map(|crash| crash.at).min().unwrap_or_default();
        let span = self.last_crash.since(first);
        (span * QUARANTINE_FACTOR).clamp(QUARANTINE_MIN, QUARANTINE_DURATION)
    }

    /// Returns when a server last crashed, or was last suspected of it.
    fn last_event(&self) -> Uptime {
        let suspected = self.suspected.iter().map(|(_, at)| *at).max();
        self.last_crash.max(suspected.unwrap_or_default())
    }

    /// Returns whether a request may be sent as a trial, beginning one if none is under way.
    fn may_try(&mut self, now: Uptime) -> bool {
        match self.trial.map(|trial| now.since(trial)) {
            Some(age) if age < TRIAL_DURATION => age < TRIAL_SEND,
            _ => {
                self.trial = Some(now);
                true
            }
        }
    }
}

/// Suspect requests that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    /// Tells this gateway from others, so that they try a request at different times.
    own: Fingerprint,
    /// Number of gateways that take turns in trying a request.
    gateways: u32,
    suspects: HashMap<Fingerprint, SuspectRequest>,
    completed: Completed,
}

/// Recently completed requests. When the current set is full, it replaces the previous one.
#[derive(Clone, Debug, Default)]
struct Completed {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
}

impl Completed {
    fn insert(&mut self, request: Fingerprint) {
        if self.current.len() >= MAX_COMPLETED {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(request);
    }

    fn contains(&self, request: Fingerprint) -> bool {
        self.current.contains(&request) || self.previous.contains(&request)
    }
}

impl PoisonRequests {
    /// Returns the state at the start of the gateway or entry with the given fingerprint.
    pub fn new(own: Fingerprint) -> Self {
        Self { own, ..Self::default() }
    }

    /// Sets the number of gateways, which take turns in trying requests.
    pub const fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways;
    }

    /// Records that a server may have crashed while running a request. Other gateways do not
    /// get this suspicion; [`Self::clear`] or [`Self::record_crash`] ends it.
    pub fn add_suspect(&mut self, request: Fingerprint, incarnation: Fingerprint, now: Uptime) {
        let now = now + PAST;
        let suspect = self.entry(request, now);
        let known = suspect.has_crashed(incarnation)
            || suspect.suspected.iter().any(|(other, _)| *other == incarnation);
        if !known {
            suspect.suspected.push((incarnation, now));
        }
    }

    /// Records that a server suspected of a crash is alive.
    pub fn clear(&mut self, request: Fingerprint, incarnation: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        suspect.suspected.retain(|(other, _)| *other != incarnation);
        let is_unsuspected = suspect.suspected.is_empty() && suspect.crashes.is_empty();
        if is_unsuspected && suspect.refuted.is_empty() {
            self.suspects.remove(&request);
        }
    }

    /// Records that a server crashed while running a request. Returns whether this put the
    /// request into quarantine.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        incarnation: Fingerprint,
        now: Uptime,
    ) -> bool {
        let now = now + PAST;
        let suspect = self.entry(request, now);
        let was_quarantined = suspect.is_quarantined();
        if suspect.add(Crash { incarnation, at: now }) {
            suspect.changed = now;
        }
        !was_quarantined && suspect.is_quarantined()
    }

    /// Records that a server completed a request, which refutes a crash.
    pub fn record_completed(&mut self, request: Fingerprint, now: Uptime) {
        self.completed.insert(request);
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        let is_refuted = suspect.oldest().is_some_and(|oldest| suspect.refute(oldest));
        if is_refuted || !suspect.completed {
            suspect.changed = now + PAST;
        }
        suspect.completed = true;
    }

    /// Merges another gateway's report. Returns whether this put the request into quarantine.
    pub fn merge(&mut self, report: &SuspectReport, now: Uptime) -> bool {
        let now = now + PAST;
        if report.is_refuted() {
            self.merge_refuted(report, now);
            return false;
        }
        if report.crashes.is_empty() || report.is_expired() {
            return false;
        }
        let at = now - report.age();
        let suspect = self.entry(report.request, now);
        let was_quarantined = suspect.is_quarantined();
        let mut is_changed = report.completed && !suspect.completed;
        suspect.completed |= report.completed;
        for incarnation in &report.crashes {
            is_changed |= suspect.add(Crash { incarnation: *incarnation, at });
        }
        // The sender may lack what is known here, so the record is sent again.
        let lacks = suspect.crashes.len() > report.crashes.len()
            || suspect.completed != report.completed
            || report.crashes.iter().any(|crash| suspect.refuted.contains(crash));
        if is_changed || lacks {
            suspect.changed = now;
        }
        !was_quarantined && suspect.is_quarantined()
    }

    fn merge_refuted(&mut self, report: &SuspectReport, now: Uptime) {
        self.completed.insert(report.request);
        let Some(suspect) = self.suspects.get_mut(&report.request) else { return };
        let mut is_changed = !suspect.completed;
        suspect.completed = true;
        for incarnation in &report.crashes {
            is_changed |= suspect.refute(*incarnation);
        }
        if is_changed {
            suspect.changed = now;
        }
    }

    /// Returns the record of a request, creating it if needed.
    fn entry(&mut self, request: Fingerprint, now: Uptime) -> &mut SuspectRequest {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.evict();
        }
        let completed = &self.completed;
        self.suspects.entry(request).or_insert_with(|| SuspectRequest {
            completed: completed.contains(request),
            changed: now,
            ..SuspectRequest::default()
        })
    }

    /// Removes half of the records: those with the fewest crashes, and of these the oldest.
    fn evict(&mut self) {
        let rank = |request: &Fingerprint, suspect: &SuspectRequest| {
            (suspect.crashes.len(), suspect.last_crash, *request)
        };
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(request, suspect)| rank(request, suspect)).collect();
        ranks.sort_unstable();
        let middle = ranks[ranks.len() / 2];
        self.suspects.retain(|request, suspect| rank(request, suspect) > middle);
    }

    /// Returns why a request is quarantined now, if so. To be called right before the request is
    /// sent: after a quarantine, what is sent is a trial.
    pub fn quarantine(&mut self, request: Fingerprint, now: Uptime) -> Option<Quarantine> {
        let (turn, gateways, now) = (self.turn(request), self.gateways, now + PAST);
        let suspect = self.suspects.get_mut(&request)?;
        let crashes = suspect.crashes.len() + suspect.suspected.len();
        let age = now.since(suspect.last_event());
        if crashes < suspect.limit() || age >= MEMORY_DURATION {
            return None;
        }
        let duration = suspect.duration();
        let turns = TURN_DURATION.saturating_mul(gateways);
        let spread = (duration / 2).max(turns).min(MEMORY_DURATION - duration);
        if age >= duration + spread.mul_f64(turn) && suspect.may_try(now) {
            return None;
        }
        let crashes = crashes.min(MAX_CRASHES_COMPLETED);
        Some(Quarantine { crashes, age, confirmed: suspect.is_quarantined(), duration })
    }

    /// Returns whether enough crashes are known, also if the request may be tried now.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_some_and(SuspectRequest::is_quarantined)
    }

    /// Returns this gateway's place in the order in which gateways try a request, from 0 to 1.
    fn turn(&self, request: Fingerprint) -> f64 {
        let drawn = (self.own.0 ^ request.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        drawn as f64 / f64::from(u32::MAX)
    }

    pub fn has_quarantined(&self) -> bool {
        self.suspects.values().any(SuspectRequest::is_quarantined)
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Uptime) {
        let now = now + PAST;
        self.suspects.retain(|_, suspect| {
            if suspect.crashes.is_empty() && suspect.suspected.is_empty() {
                now.since(suspect.changed) < REFUTED_DURATION
            } else {
                now.since(suspect.last_event()) < MEMORY_DURATION
            }
        });
    }

    /// Returns the report on a request; `None` without a known crash.
    pub fn report(&self, request: Fingerprint, now: Uptime) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&request).filter(|suspect| !suspect.crashes.is_empty())?;
        Some(report(request, suspect, now + PAST))
    }

    /// Returns the reports that changed recently, to be sent to other gateways.
    pub fn recent_reports(&self, now: Uptime) -> Vec<SuspectReport> {
        let is_new =
            |suspect: &SuspectRequest| (now + PAST).since(suspect.changed) < GOSSIP_DURATION;
        let refuted = self.suspects.iter().filter(|(_, suspect)| !suspect.refuted.is_empty());
        let refuted = refuted.filter(|(_, suspect)| is_new(suspect));
        let refuted = refuted.map(|(request, suspect)| SuspectReport {
            request: *request,
            crashes: suspect.refuted.clone(),
            completed: true,
            age_ms: REFUTED_AGE,
        });
        self.reports(now, is_new).chain(refuted).collect()
    }

    /// Returns the reports on at most `count` quarantined requests, the most recent ones, for
    /// processes that may have missed them.
    pub fn quarantined_reports(&self, count: usize, now: Uptime) -> Vec<SuspectReport> {
        let mut reports: Vec<SuspectReport> =
            self.reports(now, SuspectRequest::is_quarantined).collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(count);
        reports
    }

    fn reports(
        &self,
        now: Uptime,
        filter: impl Fn(&SuspectRequest) -> bool,
    ) -> impl Iterator<Item = SuspectReport> {
        let crashed = self.suspects.iter().filter(|(_, suspect)| !suspect.crashes.is_empty());
        let matching = crashed.filter(move |(_, suspect)| filter(suspect));
        matching.map(move |(request, suspect)| report(*request, suspect, now + PAST))
    }
}

fn report(request: Fingerprint, suspect: &SuspectRequest, now: Uptime) -> SuspectReport {
    SuspectReport {
        request,
        crashes: suspect.crashes.iter().map(|crash| crash.incarnation).collect(),
        completed: suspect.completed,
        age_ms: u32::try_from(now.since(suspect.last_crash).as_millis()).unwrap_or(u32::MAX),
    }
}
