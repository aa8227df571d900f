//! Requests under which servers ended.
//!
//! A request may end each server that runs it, and its caller sends it again, as a new
//! attempt, through any gateway. So what is known of it can't be kept with an attempt, nor
//! at one gateway: each keeps, by the request's [`Fingerprint`], which lives of servers
//! ended under it, and tells the others. A request under which [`ENDS_MAX`] of them ended
//! is quarantined: sent to none any more.
//!
//! A server that ends takes with it all that it runs, so one end makes suspects of many, most of
//! them falsely; two lives that ended under the same request are rarely chance. Where the same is
//! asked often, it is: what was once answered whole is quarantined only behind
//! [`ENDS_FINISHED`].
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
pub const ENDS_MAX: usize = 2;
/// The same for a request that was once answered whole: as many servers of one hall may end
/// at once, by no fault of what they ran.
pub const ENDS_FINISHED: usize = 8;
/// A request that nobody has sent for this long is forgotten, and may be tried again: what
/// servers run changes in hours.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// What is new is told on for this long, eight times by gateways and once by entries, which
/// tell what is quarantined each time: one in a hundred datagrams is lost.
const NEWS_LASTS: Duration = Duration::from_millis(1_200);
/// Requests that are remembered: some 0.5 MB. A server that ends makes a dozen.
const SUSPECTS_MAX: usize = 4_096;
/// Requests answered whole that are remembered, twice at most: two minutes of a gateway that
/// serves 40 a second, 0.1 MB.
const FINISHED_MAX: usize = 2_048;

/// What gateways tell each other of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub request: Fingerprint,
    /// Lives of servers that ended under it.
    pub ends: Vec<Fingerprint>,
    /// Whether it was once answered whole.
    pub finished: bool,
    /// Milliseconds since one of those ends, or since it was last refused.
    pub age_ms: u32,
}

impl SuspectReport {
    /// Time since one of those ends, or since it was last refused.
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Whether that is so long ago that it tells nothing any more.
    pub fn has_lapsed(&self) -> bool {
        self.age() >= QUARANTINE_DURATION
    }
}

/// Why a request is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Servers that ended under it, as far as is known here.
    pub ends: usize,
    /// Time since the last of them, or since it was last refused.
    pub age: Duration,
    /// Whether all those ends are proved; if not, some of the servers may turn out to live.
    pub proved: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    /// Lives that ended under it, in order.
    ends: Vec<Fingerprint>,
    /// Lives that may have: they broke off and are being looked at.
    unproven: Vec<Fingerprint>,
    finished: bool,
    /// When a server last ended under it, or it was last refused, here or elsewhere.
    seen: Uptime,
    /// When something was last learned of it.
    changed: Uptime,
}

impl SuspectRequest {
    fn limit(&self) -> usize {
        if self.finished { ENDS_FINISHED } else { ENDS_MAX }
    }

    fn is_quarantined(&self) -> bool {
        self.ends.len() >= self.limit()
    }

    /// Joins ends in; whether any of them is new.
    fn join(&mut self, ends: &[Fingerprint]) -> bool {
        let before = self.ends.len();
        for end in ends {
            if let Err(at) = self.ends.binary_search(end)
                && self.ends.len() < ENDS_FINISHED
            {
                self.ends.insert(at, *end);
            }
        }
        self.unproven.retain(|life| self.ends.binary_search(life).is_err());
        self.ends.len() > before
    }
}

/// Requests under which servers ended, as far as this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    suspects: HashMap<Fingerprint, SuspectRequest>,
    finished: Finished,
}

/// Requests that were answered whole, the last few thousand.
#[derive(Clone, Debug, Default)]
struct Finished {
    now: HashSet<Fingerprint>,
    before: HashSet<Fingerprint>,
}

impl Finished {
    fn insert(&mut self, request: Fingerprint) {
        if self.now.len() >= FINISHED_MAX {
            self.before = std::mem::take(&mut self.now);
        }
        self.now.insert(request);
    }

    fn contains(&self, request: Fingerprint) -> bool {
        self.now.contains(&request) || self.before.contains(&request)
    }
}

impl PoisonRequests {
    /// A server broke a request off, and may have ended. That counts here until it is
    /// cleared or proved, but is not told to others.
    pub fn suspect(&mut self, request: Fingerprint, life: Fingerprint, now: Uptime) {
        let suspect = self.entry(request, now);
        let known = suspect.ends.binary_search(&life).is_ok() || suspect.unproven.contains(&life);
        if !known {
            suspect.unproven.push(life);
        }
    }

    /// That server lives on.
    pub fn clear(&mut self, request: Fingerprint, life: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&request) else { return };
        suspect.unproven.retain(|other| *other != life);
        if suspect.unproven.is_empty() && suspect.ends.is_empty() {
            self.suspects.remove(&request);
        }
    }

    /// A server ended under a request. Whether it is quarantined from now on.
    pub fn ended(&mut self, request: Fingerprint, life: Fingerprint, now: Uptime) -> bool {
        let suspect = self.entry(request, now);
        suspect.seen = now;
        Self::learn(suspect, &[life], false, now)
    }

    /// A server answered a request whole.
    pub fn finished(&mut self, request: Fingerprint, now: Uptime) {
        self.finished.insert(request);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            Self::learn(suspect, &[], true, now);
        }
    }

    /// Takes in what another gateway tells. Whether the request is quarantined from now on.
    pub fn told(&mut self, suspected: &SuspectReport, now: Uptime) -> bool {
        if suspected.ends.is_empty() || suspected.has_lapsed() {
            return false;
        }
        let suspect = self.entry(suspected.request, now);
        suspect.seen = suspect.seen.max(now - suspected.age());
        let is_quarantined = Self::learn(suspect, &suspected.ends, suspected.finished, now);
        // Who tells it lacks something: news that was lost, or told before it started.
        if suspect.ends.len() > suspected.ends.len() || suspect.finished != suspected.finished {
            suspect.changed = now;
        }
        is_quarantined
    }

    fn learn(
        suspect: &mut SuspectRequest,
        ends: &[Fingerprint],
        finished: bool,
        now: Uptime,
    ) -> bool {
        let was_quarantined = suspect.is_quarantined();
        let finishes = finished && !suspect.finished;
        suspect.finished |= finished;
        if suspect.join(ends) || finishes {
            suspect.changed = now;
        }
        !was_quarantined && suspect.is_quarantined()
    }

    /// The request, which is new if it isn't known.
    fn entry(&mut self, request: Fingerprint, now: Uptime) -> &mut SuspectRequest {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&request) {
            self.drop_least();
        }
        let finished = &self.finished;
        self.suspects.entry(request).or_insert_with(|| SuspectRequest {
            finished: finished.contains(request),
            seen: now,
            changed: now,
            ..SuspectRequest::default()
        })
    }

    /// Drops half of them: those with the fewest ends, and of these the oldest.
    fn drop_least(&mut self) {
        let rank = |request: &Fingerprint, suspect: &SuspectRequest| {
            (suspect.ends.len(), suspect.seen, *request)
        };
        let mut ranks: Vec<_> = self.suspects.iter().map(|(of, is)| rank(of, is)).collect();
        ranks.sort_unstable();
        let middle = ranks[ranks.len() / 2];
        self.suspects.retain(|request, suspect| rank(request, suspect) > middle);
    }

    /// Why a request is quarantined now, if it is; one that is has been asked for again.
    pub fn quarantine(&mut self, request: Fingerprint, now: Uptime) -> Option<Quarantine> {
        let suspect = self.suspects.get_mut(&request)?;
        let ends = suspect.ends.len() + suspect.unproven.len();
        if ends < suspect.limit() || now.since(suspect.seen) >= QUARANTINE_DURATION {
            return None;
        }
        let age = now.since(std::mem::replace(&mut suspect.seen, now));
        Some(Quarantine { ends, age, proved: suspect.is_quarantined() })
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets those that nobody has asked for.
    pub fn expire(&mut self, now: Uptime) {
        self.suspects.retain(|_, suspect| now.since(suspect.seen) < QUARANTINE_DURATION);
    }

    /// What is known of a request, if a server ended under it.
    pub fn suspected_of(&self, request: Fingerprint, now: Uptime) -> Option<SuspectReport> {
        let suspect = self.suspects.get(&request).filter(|suspect| !suspect.ends.is_empty())?;
        Some(suspected(request, suspect, now))
    }

    /// What was learned of late, and is to be told to other gateways.
    pub fn news(&self, now: Uptime) -> Vec<SuspectReport> {
        let is_new = |suspect: &SuspectRequest| now.since(suspect.changed) < NEWS_LASTS;
        self.suspected(now, is_new).collect()
    }

    /// What to tell those who may not have heard it: at most `count` that are quarantined,
    /// those that were last asked for.
    pub fn quarantined(&self, count: usize, now: Uptime) -> Vec<SuspectReport> {
        let mut quarantined: Vec<SuspectReport> =
            self.suspected(now, SuspectRequest::is_quarantined).collect();
        quarantined.sort_by_key(|suspected| suspected.age_ms);
        quarantined.truncate(count);
        quarantined
    }

    fn suspected(
        &self,
        now: Uptime,
        fits: impl Fn(&SuspectRequest) -> bool,
    ) -> impl Iterator<Item = SuspectReport> {
        let proven = self.suspects.iter().filter(|(_, suspect)| !suspect.ends.is_empty());
        let fitting = proven.filter(move |(_, suspect)| fits(suspect));
        fitting.map(move |(request, suspect)| suspected(*request, suspect, now))
    }
}

fn suspected(request: Fingerprint, suspect: &SuspectRequest, now: Uptime) -> SuspectReport {
    SuspectReport {
        request,
        ends: suspect.ends.clone(),
        finished: suspect.finished,
        age_ms: u32::try_from(now.since(suspect.seen).as_millis()).unwrap_or(u32::MAX),
    }
}
