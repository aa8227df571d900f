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
//! [`MAX_CRASHES_COMPLETED`] crashes.
//!
//! Crashes are only added to a record, up to a maximum, so gateways can merge records in any
//! order and any number of times.
//!
//! A quarantine lasts for [`QUARANTINE_DURATION`] from the last crash, however often the request is
//! refused meanwhile. Then one gateway after the other sends one request; a crash of its server
//! begins the time anew.

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
    /// Milliseconds since the last of those crashes.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Returns the time since the last crash.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Returns whether the report is too old to count.
    pub fn is_expired(&self) -> bool {
        self.age() >= MEMORY_DURATION
    }
}

/// Why a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Known and suspected crashes while running the request.
    pub crashes: usize,
    /// Time since the last known or suspected crash.
    pub age: Duration,
    /// Whether the known crashes alone suffice; otherwise some of the servers may be alive.
    pub confirmed: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// Incarnations that crashed, sorted; at most [`MAX_CRASHES_COMPLETED`].
    crashes: Vec<Fingerprint>,
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

    /// Adds crashes. Returns whether any of them is new.
    fn add_crashes(&mut self, crashes: &[Fingerprint]) -> bool {
        let before = self.crashes.len();
        for crash in crashes {
            if let Err(at) = self.crashes.binary_search(crash)
                && self.crashes.len() < MAX_CRASHES_COMPLETED
            {
                self.crashes.insert(at, *crash);
            }
        }
        self.suspected.retain(|(incarnation, _)| self.crashes.binary_search(incarnation).is_err());
        self.crashes.len() > before
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

    /// Records that a server may have crashed while running a request. Other gateways do not
    /// get this suspicion; [`Self::clear`] or [`Self::record_crash`] ends it.
    pub fn add_suspect(&mut self, request: Fingerprint, incarnation: Fingerprint, now: Uptime) {
        let now = now + PAST;
        let suspect = self.entry(request, now);
        let known = suspect.crashes.binary_search(&incarnation).is_ok()
            || suspect.suspected.iter().any(|(other, _)| *other == incarnation);
        if !known {
            suspect.suspected.push((incarnation, now));
        }
    }

    /// Records that a server suspected of a crash is alive.
    pub fn clear(&mut self, request: Fingerprint, incarnation: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        suspect.suspected.retain(|(other, _)| *other != incarnation);
        if suspect.suspected.is_empty() && suspect.crashes.is_empty() {
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
        if suspect.crashes.binary_search(&incarnation).is_err() {
            suspect.last_crash = now;
        }
        Self::update(suspect, &[incarnation], false, now)
    }

    /// Records that a server completed a request.
    pub fn record_completed(&mut self, request: Fingerprint, now: Uptime) {
        self.completed.insert(request);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            Self::update(suspect, &[], true, now + PAST);
        }
    }

    /// Merges another gateway's report. Returns whether this put the request into quarantine.
    pub fn merge(&mut self, report: &SuspectReport, now: Uptime) -> bool {
        if report.crashes.is_empty() || report.is_expired() {
            return false;
        }
        let now = now + PAST;
        let suspect = self.entry(report.request, now);
        let known = suspect.crashes.len();
        let is_quarantined = Self::update(suspect, &report.crashes, report.completed, now);
        // Only a further crash may extend a quarantine: a report may have been under way for long.
        if suspect.crashes.len() > known {
            suspect.last_crash = suspect.last_crash.max(now - report.age());
        }
        // The sender may lack crashes or the completion known here, so the record is sent again.
        if suspect.crashes.len() > report.crashes.len() || suspect.completed != report.completed {
            suspect.changed = now;
        }
        is_quarantined
    }

    fn update(
        suspect: &mut SuspectRequest,
        crashes: &[Fingerprint],
        completed: bool,
        now: Uptime,
    ) -> bool {
        let was_quarantined = suspect.is_quarantined();
        let is_new_completion = completed && !suspect.completed;
        suspect.completed |= completed;
        if suspect.add_crashes(crashes) || is_new_completion {
            suspect.changed = now;
        }
        !was_quarantined && suspect.is_quarantined()
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
        let (turn, now) = (self.turn(request), now + PAST);
        let suspect = self.suspects.get_mut(&request)?;
        let crashes = suspect.crashes.len() + suspect.suspected.len();
        let age = now.since(suspect.last_event());
        if crashes < suspect.limit() || age >= MEMORY_DURATION {
            return None;
        }
        let spread = MEMORY_DURATION - QUARANTINE_DURATION;
        if age >= QUARANTINE_DURATION + spread.mul_f64(turn) && suspect.may_try(now) {
            return None;
        }
        Some(Quarantine { crashes, age, confirmed: suspect.is_quarantined() })
    }

    /// Returns this gateway's place in the order in which gateways try a request, from 0 to 1.
    fn turn(&self, request: Fingerprint) -> f64 {
        let drawn = (self.own.0 ^ request.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        drawn as f64 / f64::from(u32::MAX)
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Uptime) {
        let now = now + PAST;
        self.suspects.retain(|_, suspect| now.since(suspect.last_event()) < MEMORY_DURATION);
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
        self.reports(now, is_new).collect()
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
        crashes: suspect.crashes.clone(),
        completed: suspect.completed,
        age_ms: u32::try_from(now.since(suspect.last_crash).as_millis()).unwrap_or(u32::MAX),
    }
}
