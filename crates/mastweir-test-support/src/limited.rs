//! A server that names a limit, and whether the gateways keep to it together.
//!
//! It counts the requests of four seconds, from a while after the limit was first named. What
//! is allowed is half as much again and five: room for gateways that have not heard of one
//! another yet. [`Limit::arrived`] gives two counts: of gateways that had been told by this
//! server itself, and of all, since one that has heard tells the others.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::{Duration, Instant},
};

/// Requests are counted over this time.
const COUNTED: Duration = Duration::from_secs(4);
/// Gateways keep to a limit from so long after it was first named.
const SETTLES: Duration = Duration::from_secs(3);
/// One that was told keeps to it from so long after the answer.
const TOLD: Duration = Duration::from_millis(500);
/// What is allowed over what the limit says: as many times, and so many more.
const TIMES: f64 = 1.5;
const MORE: f64 = 5.0;

/// What arrived within the time that is counted, when too much did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Requests of gateways that the server had told.
    pub told: usize,
    /// Requests of all gateways.
    pub all: usize,
    /// What is allowed.
    pub allowed: f64,
}

/// What a server named, and what it got since.
#[derive(Debug)]
pub struct Limit<G> {
    /// Limits, and when they were named; none from when it named none.
    named: VecDeque<(Instant, Option<f64>)>,
    /// When each gateway was first told.
    told: HashMap<G, Instant>,
    /// Arrivals, and whether their gateway had been told.
    came: VecDeque<(Instant, bool)>,
}

impl<G> Default for Limit<G> {
    fn default() -> Self {
        Self { named: VecDeque::new(), told: HashMap::new(), came: VecDeque::new() }
    }
}

impl<G: Copy + Eq + Hash> Limit<G> {
    /// The server names a limit from now on, or none.
    pub fn name(&mut self, per_s: Option<f64>, now: Instant) {
        let before = self.named.back().and_then(|(_, before)| *before);
        if before.is_none() {
            self.told.clear();
        }
        if before != per_s {
            self.named.push_back((now, per_s));
        }
    }

    /// What it names.
    pub fn named(&self) -> Option<f64> {
        self.named.back().and_then(|(_, named)| *named)
    }

    /// An answer names the limit to a gateway.
    pub fn told(&mut self, gateway: G, now: Instant) {
        if self.named().is_some() {
            self.told.entry(gateway).or_insert(now);
        }
    }

    /// A gateway started anew, stood still or was cut off: it may have forgotten.
    pub fn excuse(&mut self, gateway: G) {
        self.told.remove(&gateway);
    }

    /// All gateways started anew: what they sent before counts no more, and none was told.
    pub fn forget(&mut self) {
        self.told.clear();
        self.came.clear();
    }

    /// A request of a gateway arrives; gives the counts where one is over what is allowed.
    pub fn arrived(&mut self, gateway: G, now: Instant) -> Option<Exceeded> {
        let is_told = self.told.get(&gateway).is_some_and(|at| now >= *at + TOLD);
        self.came.push_back((now, is_told));
        self.came.retain(|(at, _)| now - *at < COUNTED);
        let allowed = self.allowed(now)?;
        let told = self.came.iter().filter(|(_, is_told)| *is_told).count();
        let exceeded = Exceeded { told, all: self.came.len(), allowed };
        (exceeded.all as f64 > allowed).then_some(exceeded)
    }

    /// What is allowed by the highest limit that may still be meant; none while none binds.
    fn allowed(&mut self, now: Instant) -> Option<f64> {
        let from = now.checked_sub(COUNTED + SETTLES)?;
        // The last one named before that holds at its beginning.
        while self.named.get(1).is_some_and(|(at, _)| *at <= from) {
            self.named.pop_front();
        }
        if self.named.front().is_none_or(|(at, _)| *at > from) {
            return None;
        }
        let rates = self.named.iter().map(|(_, named)| *named);
        let highest = rates.collect::<Option<Vec<f64>>>()?.into_iter().fold(0.0, f64::max);
        Some(highest * COUNTED.as_secs_f64() * TIMES + MORE)
    }
}
