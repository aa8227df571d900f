//! Answers that servers began lately, with the parts of their prompts.
//!
//! A gateway records here what it sent to servers. If a server crashes, the parts of the answers
//! that it had just begun are suspects; an answer that went on for longer than a crash takes shows
//! that its parts are harmless. Only the latter needs care: an answer that merely did not end,
//! because its group stalled or its server fell silent, shows nothing.

use super::fingerprint::Fingerprint;
use crate::time::Uptime;
use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

/// Longest time from the beginning of an answer to the crash that it causes. A server that is slow
/// or waits for its group takes longer than others.
const CRASH_DELAY: Duration = Duration::from_millis(1_000);
/// Time from the beginning of an answer to the decision that its server survived. Covers
/// [`CRASH_DELAY`] and the time in which gateways learn of a crash.
const SETTLE_DELAY: Duration = Duration::from_millis(2_000);
/// Bounds the memory to some 0.5 MB. Further answers are not recorded.
const RUNS_MAX: usize = 4_096;

/// Identifies a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer is complete.
    Completed,
    /// The server certainly did not begin it.
    NotRun,
    /// The connection broke, or the caller left.
    Broken,
}

/// A part of a prompt whose answer a server may have begun before it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedPart {
    pub part: Fingerprint,
    /// Whether the answer had begun for certain.
    pub begun: bool,
}

/// A part of a prompt on which a server wrote an answer without crashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedPart {
    pub part: Fingerprint,
    /// When the answer began.
    pub begun: Uptime,
}

#[derive(Clone, Debug)]
struct Run {
    incarnation: Fingerprint,
    parts: Rc<[Fingerprint]>,
    /// When the head of the answer was received.
    begun: Option<Uptime>,
    /// When the latest piece of the answer was received.
    written: Option<Uptime>,
    ended: Option<(RunEnd, Uptime)>,
    /// Whether the server crashed within [`CRASH_DELAY`].
    crashed: bool,
}

impl Run {
    /// Whether the answer went on for longer than a crash takes.
    fn has_passed(&self) -> bool {
        let is_complete = matches!(self.ended, Some((RunEnd::Completed, _)));
        let wrote_on = self
            .begun
            .zip(self.written)
            .is_some_and(|(begun, written)| written.since(begun) >= CRASH_DELAY);
        !self.crashed && (is_complete || wrote_on)
    }

    /// Whether a server that crashed at `at` may have crashed because of this request.
    fn is_suspect(&self, incarnation: Fingerprint, at: Uptime) -> bool {
        let may_begin = match (self.begun, self.ended) {
            (Some(begun), _) => at.since(begun) < CRASH_DELAY,
            (None, Some((_, ended))) => at.since(ended) < CRASH_DELAY,
            (None, None) => true,
        };
        may_begin && self.incarnation == incarnation
    }

    /// When the decision about this request is due.
    fn settles_at(&self) -> Option<Uptime> {
        let since = self.begun.or(self.ended.map(|(_, ended)| ended));
        Some(since? + SETTLE_DELAY)
    }
}

/// Answers that servers began lately.
#[derive(Clone, Debug, Default)]
pub struct RecentRuns {
    runs: BTreeMap<RunId, Run>,
    /// Servers that are being probed for a crash.
    suspected: HashSet<Fingerprint>,
    next: u64,
}

impl RecentRuns {
    /// Records that a request was sent to a server. Returns `None` if nothing needs to be
    /// recorded about it.
    pub fn start(&mut self, incarnation: Fingerprint, parts: &Rc<[Fingerprint]>) -> Option<RunId> {
        if parts.is_empty() || self.runs.len() >= RUNS_MAX {
            return None;
        }
        let id = RunId(self.next);
        self.next += 1;
        let run = Run {
            incarnation,
            parts: parts.clone(),
            begun: None,
            written: None,
            ended: None,
            crashed: false,
        };
        self.runs.insert(id, run);
        Some(id)
    }

    /// Records that the head of the answer was received.
    pub fn record_begun(&mut self, id: RunId, now: Uptime) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.begun.get_or_insert(now);
        }
    }

    /// Records that a piece of the answer was received.
    pub fn record_written(&mut self, id: RunId, now: Uptime) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.written = Some(now);
        }
    }

    /// Records the end of a request at its server; only the first end counts.
    pub fn record_end(&mut self, id: RunId, end: RunEnd, now: Uptime) {
        if end == RunEnd::NotRun {
            self.runs.remove(&id);
        } else if let Some(run) = self.runs.get_mut(&id) {
            run.ended.get_or_insert((end, now));
        }
    }

    /// Records that a server may have crashed; [`Self::clear`] or [`Self::record_crash`] ends it.
    pub fn suspect(&mut self, incarnation: Fingerprint) {
        self.suspected.insert(incarnation);
    }

    /// Records that a suspected server is alive.
    pub fn clear(&mut self, incarnation: Fingerprint) {
        self.suspected.remove(&incarnation);
    }

    /// Records that a server crashed at `at`. Returns the parts that may be the cause.
    pub fn record_crash(&mut self, incarnation: Fingerprint, at: Uptime) -> Vec<CrashedPart> {
        self.suspected.remove(&incarnation);
        let runs = self.runs.values_mut();
        runs.filter(|run| run.is_suspect(incarnation, at)).for_each(|run| run.crashed = true);
        self.suspects(incarnation, at)
    }

    /// Returns the parts that may be the cause if a server crashed at `at`.
    pub fn suspects(&self, incarnation: Fingerprint, at: Uptime) -> Vec<CrashedPart> {
        let mut parts: Vec<CrashedPart> = Vec::new();
        for run in self.runs.values().filter(|run| run.is_suspect(incarnation, at)) {
            let begun = run.begun.is_some();
            for part in run.parts.iter() {
                match parts.iter_mut().find(|other| other.part == *part) {
                    Some(other) => other.begun |= begun,
                    None => parts.push(CrashedPart { part: *part, begun }),
                }
            }
        }
        parts
    }

    /// Removes the requests about which nothing more is to be learnt, and returns the parts on
    /// which their servers wrote without crashing.
    pub fn settle(&mut self, now: Uptime) -> Vec<PassedPart> {
        let mut passed = Vec::new();
        self.runs.retain(|_, run| {
            let is_due = run.settles_at().is_some_and(|due| due <= now);
            if !is_due || self.suspected.contains(&run.incarnation) {
                return true;
            }
            let has_passed = run.has_passed();
            if let Some(begun) = run.begun.filter(|_| has_passed) {
                passed.extend(run.parts.iter().map(|part| PassedPart { part: *part, begun }));
            }
            // An answer that goes on may still pass.
            !has_passed && !run.crashed && run.ended.is_none()
        });
        passed
    }
}
