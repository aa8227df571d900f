//! Quarantine of prompt parts that crash servers.
//!
//! Runs in gateways. A part of a prompt may crash each server that begins an answer on it, in
//! requests that are alike in nothing else, so [`super::PoisonRequests`] does not recognize them.
//! Sound requests share their other parts, so a crash makes suspects of several parts:
//! all those of the answers that the server had just begun ([`super::RecentRuns`]). Gateways
//! exchange these suspects; those of one crash are joined.
//!
//! A part is cleared by an answer that began after the crash and went on for longer than a crash
//! takes. A part that was in use without crashes shortly before is trusted more than a new one
//! ([`TRUST`]), but not without limit: a part may begin to crash servers at any time.
//!
//! A suspected part is held back for seconds ([`HOLD_SINGLE`]) and then tried again: by one gateway
//! after the other, one request at a time, and first in prompts with no other suspected part. The
//! trial clears a sound part. A part is quarantined when it was present at crashes enough
//! ([`PROOF`]) and no other part was present at all of them. It then explains these crashes, so
//! that the other parts of the same prompts are no suspects any more.
//!
//! All that is exchanged only grows, but for crashes that a later answer refutes, so that gateways
//! can merge reports in any order and any number of times.

use super::{
    fingerprint::Fingerprint,
    poison_requests::QUARANTINE_DURATION,
    recent_runs::{CrashedPart, PassedPart},
};
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// Weight of a crash during an answer on a part.
const BEGUN: u32 = 2;
/// Weight of a crash where the answer may not have begun: most requests in a server's queue are
/// not at fault.
const MAYBE_BEGUN: u32 = 1;
/// Weight from which a part is held back.
const SUSPICION: u32 = 2;
/// Weight from which a part is quarantined.
const PROOF: u32 = 4;
/// Weight from which parts are quarantined together that were present at the same crashes, if those
/// were [`SEPARATION`] apart and no prompt with only one of them has cleared it in that time.
const PROOF_SHARED: u32 = 6;
const SEPARATION: Duration = Duration::from_secs(10);
/// Weight that a part in recent use needs in addition. Parts that many requests share are present
/// at most crashes.
const TRUST: u32 = 4;
/// Time for which an answer without a crash counts as recent use.
const TRUST_DURATION: Duration = Duration::from_secs(60);
/// Crashes closer together may have one cause that is no request, as a rack that fails, and count
/// as one.
const COMMON_CAUSE: Duration = Duration::from_millis(250);
/// The same for a trusted part, which sound requests have to clear between two crashes.
const COMMON_CAUSE_TRUSTED: Duration = Duration::from_millis(1_500);
/// Time after a crash in which all gateways report the parts of the answers that it broke off.
/// Before, a part that is not at fault may seem to be the only one.
const JOIN_DELAY: Duration = Duration::from_millis(700);
/// Time after a crash for which a part is held back that alone explains it; the last gateway tries
/// it after three times as long. Groups open again within it.
const HOLD_SINGLE: Duration = Duration::from_millis(3_000);
/// The same if other parts explain the crash as well. The part is likely sound, and a prompt
/// without the others soon shows so.
const HOLD_SHARED: Duration = Duration::from_millis(1_000);
/// The same for prompts with several suspected parts, doubled with each further crash. The parts
/// are tried singly first, which shows more.
const HOLD_SEVERAL: Duration = Duration::from_millis(6_000);
/// Most doublings of it.
const DOUBLINGS_MAX: u32 = 8;
/// Time after the beginning of a trial for which this gateway begins no other: within it the
/// server crashes, or the part is cleared.
const TRIAL_DURATION: Duration = Duration::from_millis(2_500);
/// Time after a change for which the record is sent to other gateways again and again.
const GOSSIP_DURATION: Duration = Duration::from_millis(1_200);
/// Time for which a cleared part is kept, for reports that are under way.
const CLEARED_DURATION: Duration = Duration::from_secs(10);
/// Time since the last crash for which a quarantined part is kept: the last gateway tries it after
/// three times [`QUARANTINE_DURATION`].
const MEMORY_DURATION: Duration = Duration::from_secs(3 * 3_600 + 60);
/// Crashes that are kept of a part, the last ones, which decide on the next trial.
const CRASHES_MAX: usize = 8;
/// Added to the times of this process, so that times before its start can be represented.
const PAST: Duration = Duration::from_secs(4 * 3_600);
/// Bounds the memory for suspected parts to some 0.5 MB.
const SUSPECTS_MAX: usize = 1_024;
/// Bounds the memory for each of the two sets of parts in use.
const PASSED_MAX: usize = 4_096;

/// A crash during an answer on a part, as gateways exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    pub incarnation: Fingerprint,
    pub age_ms: u32,
    /// Whether the answer had begun for certain.
    pub begun: bool,
}

/// What gateways exchange about a suspected part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    pub part: Fingerprint,
    pub crashes: Vec<PartCrash>,
    /// Milliseconds since the latest answer on it began that went on, or since an operator lifted
    /// its quarantine.
    pub passed_ms: Option<u32>,
    pub is_quarantined: bool,
    /// Milliseconds since the last crash.
    pub age_ms: u32,
}

impl PartReport {
    /// Returns whether the report is too old to count.
    pub const fn is_expired(&self) -> bool {
        let memory = if self.is_quarantined { MEMORY_DURATION } else { QUARANTINE_DURATION };
        self.age_ms as u128 >= memory.as_millis()
    }
}

/// What a report of another gateway changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedPart {
    /// Whether it put the part into quarantine.
    pub is_quarantined: bool,
    /// Crashes that were unknown, with their times.
    pub crashes: Vec<(Fingerprint, Uptime)>,
}

/// Why a request is not sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptHold {
    pub part: Fingerprint,
    /// Known and presumed crashes during answers on the part.
    pub crashes: usize,
    /// Whether the part is quarantined; otherwise it is held back until a trial.
    pub is_quarantined: bool,
    /// Time after which the request may be sent.
    pub remaining: Duration,
    /// Number of suspected parts of the prompt.
    pub suspects: usize,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: Fingerprint,
    at: Uptime,
    begun: bool,
    /// Whether the server has crashed for certain; otherwise it is being probed.
    confirmed: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectPart {
    /// By time; the last [`CRASHES_MAX`].
    crashes: Vec<Crash>,
    passed: Option<Uptime>,
    is_quarantined: bool,
    /// When a server last crashed.
    last_crash: Uptime,
    changed: Uptime,
    /// When this gateway last sent a request with the part after its crashes.
    trial: Option<Uptime>,
}

impl SuspectPart {
    /// Whether the part was in use without crashes shortly before its crashes.
    fn is_trusted(&self) -> bool {
        let first = self.crashes.first().map(|crash| crash.at);
        self.passed.zip(first).is_some_and(|(passed, first)| first.since(passed) < TRUST_DURATION)
    }

    /// Returns the weight of the crashes that are not explained otherwise, of those close together
    /// only the weightiest.
    fn weight(&self, explained: &HashSet<Fingerprint>) -> u32 {
        let apart = if self.is_trusted() { COMMON_CAUSE_TRUSTED } else { COMMON_CAUSE };
        let mut total = 0;
        let mut event: Option<(Uptime, u32)> = None;
        for crash in self.crashes.iter().filter(|crash| !explained.contains(&crash.incarnation)) {
            let weight = if crash.begun { BEGUN } else { MAYBE_BEGUN };
            match &mut event {
                Some((first, heaviest)) if crash.at.since(*first) < apart => {
                    total += weight.saturating_sub(*heaviest);
                    *heaviest = weight.max(*heaviest);
                }
                _ => {
                    total += weight;
                    event = Some((crash.at, weight));
                }
            }
        }
        if self.is_trusted() { total.saturating_sub(TRUST) } else { total }
    }

    /// Returns the time since the last crash after which the crashes no longer count.
    fn memory(&self) -> Duration {
        if self.is_quarantined { MEMORY_DURATION } else { QUARANTINE_DURATION }
    }

    fn has_crashed(&self, incarnation: Fingerprint) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == incarnation)
    }

    /// Adds a crash. Returns whether it tells anything new.
    fn add(&mut self, crash: Crash) -> bool {
        let is_refuted = self.passed.is_some_and(|passed| crash.at <= passed);
        if is_refuted {
            return false;
        }
        let at = self.crashes.iter().position(|known| known.incarnation == crash.incarnation);
        let is_new = match at {
            Some(at) => {
                let known = &mut self.crashes[at];
                let is_new = (crash.begun && !known.begun) || (crash.confirmed && !known.confirmed);
                known.begun |= crash.begun;
                known.confirmed |= crash.confirmed;
                // The age grows with each hop of a report.
                known.at = known.at.min(crash.at);
                is_new
            }
            None => {
                let is_full = self.crashes.len() >= CRASHES_MAX;
                if is_full && self.crashes.first().is_some_and(|first| crash.at <= first.at) {
                    return false;
                }
                if is_full {
                    self.crashes.remove(0);
                }
                self.crashes.push(crash);
                true
            }
        };
        self.crashes.sort_by_key(|crash| crash.at);
        is_new
    }

    /// Records an answer that went on. Returns whether other gateways need to know: it refutes a
    /// crash, or makes the part trusted.
    fn pass(&mut self, begun: Uptime) -> bool {
        let (before, was_trusted) = (self.crashes.len(), self.is_trusted());
        self.passed = self.passed.max(Some(begun));
        self.crashes.retain(|crash| crash.at > begun);
        self.is_quarantined &= !self.crashes.is_empty();
        self.crashes.len() < before || self.is_trusted() != was_trusted
    }
}

/// Parts on which answers went on, with the time when the latest of these began. When the current
/// set is full, it replaces the previous one.
#[derive(Clone, Debug, Default)]
struct PassedParts {
    current: HashMap<Fingerprint, Uptime>,
    previous: HashMap<Fingerprint, Uptime>,
}

impl PassedParts {
    fn insert(&mut self, part: Fingerprint, begun: Uptime) {
        if self.current.len() >= PASSED_MAX && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let latest = self.current.entry(part).or_insert(begun);
        *latest = begun.max(*latest);
    }

    fn get(&self, part: Fingerprint) -> Option<Uptime> {
        let latest = self.current.get(&part).max(self.previous.get(&part));
        latest.copied()
    }
}

/// Suspected parts that this gateway knows.
#[derive(Clone, Debug)]
pub struct PoisonPrompts {
    /// Tells this gateway from others, so that they try a part at different times.
    own: Fingerprint,
    suspects: HashMap<Fingerprint, SuspectPart>,
    passed: PassedParts,
}

impl PoisonPrompts {
    /// Returns the state at the start of the gateway with the given fingerprint.
    pub fn new(own: Fingerprint) -> Self {
        Self { own, suspects: HashMap::new(), passed: PassedParts::default() }
    }

    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a server wrote an answer on a part without crashing.
    pub fn record_passed(&mut self, passed: PassedPart, now: Uptime) {
        let (part, begun, now) = (passed.part, passed.begun + PAST, now + PAST);
        self.passed.insert(part, begun);
        if let Some(suspect) = self.suspects.get_mut(&part)
            && suspect.pass(begun)
        {
            suspect.changed = now;
        }
    }

    /// Records that a server may have crashed at `at` because of its answers on these parts. Other
    /// gateways do not get this; [`Self::clear`] or [`Self::record_crash`] ends it.
    pub fn add_suspects(&mut self, parts: &[CrashedPart], incarnation: Fingerprint, at: Uptime) {
        let at = at + PAST;
        for CrashedPart { part, begun } in parts {
            let crash = Crash { incarnation, at, begun: *begun, confirmed: false };
            self.entry(*part, at).add(crash);
        }
    }

    /// Records that a server suspected of a crash is alive.
    pub fn clear(&mut self, incarnation: Fingerprint) {
        self.suspects.retain(|_, suspect| {
            let before = suspect.crashes.len();
            suspect.crashes.retain(|crash| crash.confirmed || crash.incarnation != incarnation);
            suspect.crashes.len() == before || !suspect.crashes.is_empty()
        });
    }

    /// Records that a server crashed at `at` and that its answers on these parts may be the cause.
    pub fn record_crash(
        &mut self,
        parts: &[CrashedPart],
        incarnation: Fingerprint,
        at: Uptime,
        now: Uptime,
    ) {
        let (at, now) = (at + PAST, now + PAST);
        for CrashedPart { part, begun } in parts {
            let suspect = self.entry(*part, at);
            if suspect.add(Crash { incarnation, at, begun: *begun, confirmed: true }) {
                suspect.changed = now;
                suspect.last_crash = suspect.last_crash.max(at);
            }
        }
    }

    /// Merges another gateway's report.
    pub fn merge(&mut self, report: &PartReport, now: Uptime) -> MergedPart {
        let mut merged = MergedPart::default();
        let now = now + PAST;
        if report.is_expired() {
            return merged;
        }
        let since = |age_ms: u32| now - Duration::from_millis(age_ms.into());
        let suspect = self.entry(report.part, since(report.age_ms));
        let mut is_changed = false;
        if let Some(passed) = report.passed_ms.map(since) {
            is_changed |= suspect.pass(passed);
        }
        for PartCrash { incarnation, age_ms, begun } in &report.crashes {
            let at = since(*age_ms);
            let is_known = suspect.has_crashed(*incarnation);
            let crash = Crash { incarnation: *incarnation, at, begun: *begun, confirmed: true };
            if suspect.add(crash) {
                is_changed = true;
                suspect.last_crash = suspect.last_crash.max(at);
                merged.crashes.extend((!is_known).then_some((*incarnation, at - PAST)));
            }
        }
        if report.is_quarantined && !suspect.is_quarantined && !suspect.crashes.is_empty() {
            suspect.is_quarantined = true;
            is_changed = true;
            merged.is_quarantined = true;
        }
        // The sender may lack what is known here, so the record is sent again.
        let known = suspect.crashes.iter().filter(|crash| crash.confirmed).count();
        let lacks = known > report.crashes.len()
            || suspect.is_quarantined && !report.is_quarantined
            || suspect.crashes.is_empty() && !report.crashes.is_empty()
            || suspect.is_trusted() && report.passed_ms.is_none();
        if is_changed || lacks {
            suspect.changed = now;
        }
        merged
    }

    /// Returns the incarnations whose crashes the quarantined parts explain.
    fn explained(&self) -> HashSet<Fingerprint> {
        let quarantined = self.suspects.values().filter(|suspect| suspect.is_quarantined);
        let crashes = quarantined.flat_map(|suspect| &suspect.crashes);
        crashes.map(|crash| crash.incarnation).collect()
    }

    /// Puts the parts into quarantine that explain their crashes better than any other, and
    /// returns them. To be called a few times a second.
    pub fn quarantine_proven(&mut self, now: Uptime) -> Vec<Fingerprint> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let now = now + PAST;
        let explained = self.explained();
        let is_separated = |suspect: &SuspectPart, explained: &HashSet<Fingerprint>| {
            let (first, last) = (suspect.crashes.first(), suspect.crashes.last());
            let span = last.zip(first).map(|(last, first)| last.at.since(first.at));
            suspect.weight(explained) >= PROOF_SHARED && span >= Some(SEPARATION)
        };
        let is_proven = |part: Fingerprint, suspect: &SuspectPart| {
            let is_joined = suspect
                .crashes
                .iter()
                .all(|crash| crash.confirmed && now.since(crash.at) >= JOIN_DELAY);
            !suspect.is_quarantined
                && is_joined
                && suspect.weight(&explained) >= PROOF
                && (is_separated(suspect, &explained) || !self.is_shared(part, suspect, &explained))
        };
        let proven = self.suspects.iter().filter(|(part, suspect)| is_proven(**part, suspect));
        let proven: Vec<Fingerprint> = proven.map(|(part, _)| *part).collect();
        for part in &proven {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.is_quarantined = true;
                suspect.changed = now;
            }
        }
        proven
    }

    /// Whether another part, not trusted more, was present at all unexplained crashes of this one.
    fn is_shared(
        &self,
        part: Fingerprint,
        suspect: &SuspectPart,
        explained: &HashSet<Fingerprint>,
    ) -> bool {
        let crashes = || {
            let all = suspect.crashes.iter().map(|crash| crash.incarnation);
            all.filter(|incarnation| !explained.contains(incarnation))
        };
        let covers = |(other, record): (&Fingerprint, &SuspectPart)| {
            *other != part
                && !record.is_quarantined
                && (suspect.is_trusted() || !record.is_trusted())
                && crashes().all(|incarnation| record.has_crashed(incarnation))
        };
        self.suspects.iter().any(covers)
    }

    /// Returns why a request with these parts is not sent now, if so.
    pub fn hold(&self, parts: &[Fingerprint], now: Uptime) -> Option<PromptHold> {
        if self.suspects.is_empty() {
            return None;
        }
        let now = now + PAST;
        Self::longest(&self.holds(parts, now))
    }

    /// Like [`Self::hold`], right before a request is sent; what is sent counts as a trial.
    pub fn begin(&mut self, parts: &[Fingerprint], now: Uptime) -> Option<PromptHold> {
        if self.suspects.is_empty() {
            return None;
        }
        let now = now + PAST;
        let holds = self.holds(parts, now);
        let hold = Self::longest(&holds);
        if hold.is_none() {
            for hold in &holds {
                if let Some(suspect) = self.suspects.get_mut(&hold.part) {
                    suspect.trial = Some(now);
                }
            }
        }
        hold
    }

    /// Returns the hold that decides, unless all are over.
    fn longest(holds: &[PromptHold]) -> Option<PromptHold> {
        let hold = *holds.iter().max_by_key(|hold| (hold.is_quarantined, hold.remaining))?;
        (!hold.remaining.is_zero()).then_some(hold)
    }

    pub fn has_quarantined(&self) -> bool {
        self.suspects.values().any(|suspect| suspect.is_quarantined)
    }

    /// Returns how many of these parts are quarantined.
    pub fn count_quarantined(&self, parts: &[Fingerprint]) -> usize {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        suspects.filter(|suspect| suspect.is_quarantined).count()
    }

    /// Returns the suspected parts among these, also those that may be tried now.
    fn holds(&self, parts: &[Fingerprint], now: Uptime) -> Vec<PromptHold> {
        if !parts.iter().any(|part| self.suspects.contains_key(part)) {
            return Vec::new();
        }
        let explained = self.explained();
        let suspected = parts.iter().filter_map(|part| {
            let suspect = self.suspects.get(part)?;
            let is_fresh = now.since(suspect.last_crash) < suspect.memory();
            let is_held = suspect.is_quarantined || suspect.weight(&explained) >= SUSPICION;
            (is_fresh && is_held).then_some((*part, suspect))
        });
        let suspected: Vec<(Fingerprint, &SuspectPart)> = suspected.collect();
        let count = suspected.len();
        let holds = suspected.into_iter().map(|(part, suspect)| PromptHold {
            part,
            crashes: suspect.crashes.len(),
            is_quarantined: suspect.is_quarantined,
            remaining: self.release(part, suspect, count, &explained).since(now),
            suspects: count,
        });
        holds.collect()
    }

    /// Returns when this gateway may send a request with a suspected part, of which the request has
    /// `suspects`.
    fn release(
        &self,
        part: Fingerprint,
        suspect: &SuspectPart,
        suspects: usize,
        explained: &HashSet<Fingerprint>,
    ) -> Uptime {
        let doublings = u32::try_from(suspect.crashes.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let hold = match suspects {
            _ if suspect.is_quarantined => QUARANTINE_DURATION,
            0 | 1 if self.is_shared(part, suspect, explained) => HOLD_SHARED,
            0 | 1 => HOLD_SINGLE,
            _ => HOLD_SEVERAL * (1 << doublings.min(DOUBLINGS_MAX)),
        };
        let last = suspect.crashes.last().map_or(Uptime::default(), |crash| crash.at);
        let trial = suspect.trial.map_or(Uptime::default(), |trial| trial + TRIAL_DURATION);
        trial.max(last + hold.mul_f64(1.0 + 2.0 * self.turn(part)))
    }

    /// Returns this gateway's place in the order in which gateways try a part, from 0 to 1.
    fn turn(&self, part: Fingerprint) -> f64 {
        let drawn = (self.own.0 ^ part.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        drawn as f64 / f64::from(u32::MAX)
    }

    /// Returns the record of a part, creating it if needed.
    fn entry(&mut self, part: Fingerprint, now: Uptime) -> &mut SuspectPart {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&part) {
            self.evict();
        }
        let passed = self.passed.get(part);
        self.suspects.entry(part).or_insert_with(|| SuspectPart {
            passed,
            last_crash: now,
            changed: now,
            ..SuspectPart::default()
        })
    }

    /// Removes half of the records: those not in quarantine, and of these the oldest.
    fn evict(&mut self) {
        let rank = |part: &Fingerprint, suspect: &SuspectPart| {
            (suspect.is_quarantined, suspect.last_crash, *part)
        };
        let mut ranks: Vec<_> =
            self.suspects.iter().map(|(part, suspect)| rank(part, suspect)).collect();
        ranks.sort_unstable();
        let middle = ranks[ranks.len() / 2];
        self.suspects.retain(|part, suspect| rank(part, suspect) > middle);
    }

    /// Removes expired and cleared records.
    pub fn expire(&mut self, now: Uptime) {
        let now = now + PAST;
        self.suspects.retain(|_, suspect| {
            let is_cleared = suspect.crashes.is_empty();
            let age = now.since(suspect.last_crash.max(suspect.changed));
            age < if is_cleared { CLEARED_DURATION } else { suspect.memory() }
        });
    }

    /// Returns the report on a part; `None` without a known crash.
    pub fn report(&self, part: Fingerprint, now: Uptime) -> Option<PartReport> {
        let suspect = self.suspects.get(&part)?;
        Some(report(part, suspect, now + PAST)).filter(|report| !report.crashes.is_empty())
    }

    /// Returns the reports that changed recently, to be sent to other gateways.
    pub fn recent_reports(&self, now: Uptime) -> Vec<PartReport> {
        let now = now + PAST;
        let recent = self
            .suspects
            .iter()
            .filter(|(_, suspect)| now.since(suspect.changed) < GOSSIP_DURATION);
        recent.map(|(part, suspect)| report(*part, suspect, now)).collect()
    }

    /// Returns the reports on at most `count` quarantined parts, the most recent ones.
    pub fn quarantined_reports(&self, count: usize, now: Uptime) -> Vec<PartReport> {
        let now = now + PAST;
        let quarantined = self.suspects.iter().filter(|(_, suspect)| suspect.is_quarantined);
        let reports = quarantined.map(|(part, suspect)| report(*part, suspect, now));
        let mut reports: Vec<PartReport> = reports.filter(|report| !report.is_expired()).collect();
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(count);
        reports
    }
}

fn report(part: Fingerprint, suspect: &SuspectPart, now: Uptime) -> PartReport {
    let age_ms = |at: Uptime| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
    let confirmed = suspect.crashes.iter().filter(|crash| crash.confirmed);
    PartReport {
        part,
        crashes: confirmed
            .map(|crash| PartCrash {
                incarnation: crash.incarnation,
                age_ms: age_ms(crash.at),
                begun: crash.begun,
            })
            .collect(),
        passed_ms: suspect.passed.map(age_ms),
        is_quarantined: suspect.is_quarantined,
        age_ms: age_ms(suspect.last_crash),
    }
}
