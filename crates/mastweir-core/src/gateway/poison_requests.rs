//! Requests under which servers ended.
//!
//! A request may end each server that runs it, and its caller sends it again, as a new
//! attempt, through any gateway. So what is known of it can't be kept with an attempt, nor
//! at one gateway: each keeps, by the request's [`Fingerprint`], which lives of servers
//! ended under it, and tells the others. A request under which [`MAX_CRASHES`] of them ended
//! is quarantined: sent to none any more.
//!
//! A server that ends takes with it all that it runs, so one end makes suspects of many, most of
//! them falsely; two lives that ended under the same request are rarely chance. Where the same is
//! asked often, it is: what was once answered whole is quarantined only behind
//! [`MAX_CRASHES_COMPLETED`].
//!
//! Ends only become more, and one that was answered stays so, so what gateways tell each
//! other can be joined in any order, and any number of times. All of it lapses when nobody
//! has asked for long.

use super::fingerprint::Fingerprint;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// Lives of servers under whose end a request is sent to no other one. By chance one of 9,477
/// requests had two, in three simulated days with 18 ends. With three, a request that ends
/// each server takes a third group of ranks with it (nine servers ended under one that was
/// never quarantined, and their groups stood still for 17 s of a simulated day).
pub const MAX_CRASHES: usize = 2;
/// The same for a request that was once answered whole: as many servers of one hall may end
/// at once, by no fault of what they ran.
pub const MAX_CRASHES_COMPLETED: usize = 8;
/// A request that nobody has sent for this long is forgotten, and may be tried again: what
/// servers run changes in hours.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// What is new is told on for this long, eight times by gateways and once by entries, which
/// tell what is quarantined each time: one in a hundred datagrams is lost.
const GOSSIP_DURATION: Duration = Duration::from_millis(1_200);
/// Requests that are remembered: some 0.5 MB. A server that ends makes a dozen.
const MAX_SUSPECTS: usize = 4_096;
/// Requests answered whole that are remembered, twice at most: two minutes of a gateway that
/// serves 40 a second, 0.1 MB.
const MAX_COMPLETED: usize = 2_048;

/// What gateways tell each other of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub request: Fingerprint,
    /// Lives of servers that ended under it.
    pub crashes: Vec<Fingerprint>,
    /// Whether it was once answered whole.
    pub completed: bool,
    /// Milliseconds since one of those ends, or since it was last refused.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Time since one of those ends, or since it was last refused.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Whether that is so long ago that it tells nothing any more.
    pub fn is_expired(&self) -> bool {
        self.age() >= QUARANTINE_DURATION
    }
}

/// Why a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Servers that ended under it, as far as is known here.
    pub crashes: usize,
    /// Time since the last of them, or since it was last refused.
    pub age: Duration,
    /// Whether all those ends are proved; if not, some of the servers may turn out to live.
    pub confirmed: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// Lives that ended under it, in order.
    crashes: Vec<Fingerprint>,
    /// Lives that may have: they broke off and are being looked at.
    unproven: Vec<Fingerprint>,
    completed: bool,
    /// When a server last ended under it, or it was last refused, here or elsewhere.
    last_seen: Uptime,
    /// When something was last learned of it.
    changed: Uptime,
}

impl SuspectRequest {
    fn limit(&self) -> usize {
        if self.completed { MAX_CRASHES_COMPLETED } else { MAX_CRASHES }
    }

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= self.limit()
    }

    /// Joins ends in; whether any of them is new.
    fn add_crashes(&mut self, ends: &[Fingerprint]) -> bool {
        let before = self.crashes.len();
        for end in ends {
            if let Err(at) = self.crashes.binary_search(end)
                && self.crashes.len() < MAX_CRASHES_COMPLETED
            {
                self.crashes.insert(at, *end);
            }
        }
        self.unproven.retain(|life| self.crashes.binary_search(life).is_err());
        self.crashes.len() > before
    }
}

/// Requests under which servers ended, as far as this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    suspects: HashMap<Fingerprint, SuspectRequest>,
    completed: Completed,
}

/// Requests that were answered whole, the last few thousand.
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
    /// A server broke a request off, and may have ended. That counts here until it is
    /// cleared or proved, but is not told to others.
    pub fn add_suspect(&mut self, request: Fingerprint, life: Fingerprint, now: Uptime) {
        let suspect = self.entry(request, now);
        let known =
            suspect.crashes.binary_search(&life).is_ok() || suspect.unproven.contains(&life);
        if !known {
            suspect.unproven.push(life);
        }
    }

    /// That server lives on.
    pub fn clear(&mut self, request: Fingerprint, life: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        suspect.unproven.retain(|other| *other != life);
        if suspect.unproven.is_empty() && suspect.crashes.is_empty() {
            self.suspects.remove(&request);
        }
    }

    /// A server ended under a request. Whether it is quarantined from now on.
    pub fn record_crash(&mut self, request: Fingerprint, life: Fingerprint, now: Uptime) -> bool {
        let suspect = self.entry(request, now);
        suspect.last_seen = now;
        Self::update(suspect, &[life], false, now)
    }

    /// A server answered a request whole.
    pub fn record_completed(&mut self, request: Fingerprint, now: Uptime) {
        self.completed.insert(request);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            Self::update(suspect, &[], true, now);
        }
    }

    /// Takes in what another gateway tells. Whether the request is quarantined from now on.
    pub fn merge(&mut self, suspected: &SuspectReport, now: Uptime) -> bool {
        if suspected.crashes.is_empty() || suspected.is_expired() {
            return false;
        }
        let suspect = self.entry(suspected.request, now);
        suspect.last_seen = suspect.last_seen.max(now - suspected.age());
        let is_quarantined = Self::update(suspect, &suspected.crashes, suspected.completed, now);
        // Who tells it lacks something: news that was lost, or told before it started.
        if suspect.crashes.len() > suspected.crashes.len()
            || suspect.completed != suspected.completed
        {
            suspect.changed = now;
        }
        is_quarantined
    }

    fn update(
        suspect: &mut SuspectRequest,
        ends: &[Fingerprint],
        finished: bool,
        now: Uptime,
    ) -> bool {
        let was_quarantined = suspect.is_quarantined();
        let finishes = finished && !suspect.completed;
        suspect.completed |= finished;
        if suspect.add_crashes(ends) || finishes {
            suspect.changed = now;
        }
        !was_quarantined && suspect.is_quarantined()
    }

    /// The request, which is new if it isn't known.
    fn entry(&mut self, request: Fingerprint, now: Uptime) -> &mut SuspectRequest {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.evict();
        }
        let finished = &self.completed;
        self.suspects.entry(request).or_insert_with(|| SuspectRequest {
            completed: finished.contains(request),
            last_seen: now,
            changed: now,
            ..SuspectRequest::default()
        })
    }

    /// Drops half of them: those with the fewest ends, and of these the oldest.
    fn evict(&mut self) {
        let rank = |request: &Fingerprint, suspect: &SuspectRequest| {
            (suspect.crashes.len(), suspect.last_seen, *request)
        };
        let mut ranks: Vec<_> = self.suspects.iter().map(|(of, is)| rank(of, is)).collect();
        ranks.sort_unstable();
        let middle = ranks[ranks.len() / 2];
        self.suspects.retain(|request, suspect| rank(request, suspect) > middle);
    }

    /// Why a request is quarantined now, if it is; one that is has been asked for again.
    pub fn quarantine(&mut self, request: Fingerprint, now: Uptime) -> Option<Quarantine> {
        let suspect = self.suspects.get_mut(&request)?;
        let ends = suspect.crashes.len() + suspect.unproven.len();
        if ends < suspect.limit() || now.since(suspect.last_seen) >= QUARANTINE_DURATION {
            return None;
        }
        let age = now.since(std::mem::replace(&mut suspect.last_seen, now));
        Some(Quarantine { crashes: ends, age, confirmed: suspect.is_quarantined() })
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets those that nobody has asked for.
    pub fn expire(&mut self, now: Uptime) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_seen) < QUARANTINE_DURATION);
    }

    /// What is known of a request, if a server ended under it.
    pub fn report(&self, request: Fingerprint, now: Uptime) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&request).filter(|suspect| !suspect.crashes.is_empty())?;
        Some(suspected(request, suspect, now))
    }

    /// What was learned of late, and is to be told to other gateways.
    pub fn recent_reports(&self, now: Uptime) -> Vec<SuspectReport> {
        let is_new = |suspect: &SuspectRequest| now.since(suspect.changed) < GOSSIP_DURATION;
        self.reports(now, is_new).collect()
    }

    /// What to tell those who may not have heard it: at most `count` that are quarantined,
    /// those that were last asked for.
    pub fn quarantined_reports(&self, count: usize, now: Uptime) -> Vec<SuspectReport> {
        let mut quarantined: Vec<SuspectReport> =
            self.reports(now, SuspectRequest::is_quarantined).collect();
        quarantined.sort_by_key(|suspected| suspected.age_ms);
        quarantined.truncate(count);
        quarantined
    }

    fn reports(
        &self,
        now: Uptime,
        fits: impl Fn(&SuspectRequest) -> bool,
    ) -> impl Iterator<Item = SuspectReport> {
        let proven = self.suspects.iter().filter(|(_, suspect)| !suspect.crashes.is_empty());
        let fitting = proven.filter(move |(_, suspect)| fits(suspect));
        fitting.map(move |(request, suspect)| suspected(*request, suspect, now))
    }
}

fn suspected(request: Fingerprint, suspect: &SuspectRequest, now: Uptime) -> SuspectReport {
    SuspectReport {
        request,
        crashes: suspect.crashes.clone(),
        completed: suspect.completed,
        age_ms: u32::try_from(now.since(suspect.last_seen).as_millis()).unwrap_or(u32::MAX),
    }
}
