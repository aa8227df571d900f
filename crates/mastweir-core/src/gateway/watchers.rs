//! Decides which gateways of a hall watch the platform's store.
//!
//! The first two gateways of a hall by rank watch it, whether or not it answers them
//! ([`Peers::is_watcher`](super::Peers::is_watcher)). The store may turn some gateways away and
//! serve others, so a hello states how long ago the store last answered its sender's watches.
//! While no watcher of a hall was answered lately, the other gateways of the hall try the store
//! in turn, with a cheap call. The interval of a gateway's tries grows with its hall, so that a
//! hall makes at most [`TRIES_PER_S`] of them a second, whatever its size. A gateway whose try is
//! answered becomes a substitute watcher. It stands down when the store no longer answers it, or
//! when two others of the hall watch with answers.
//!
//! A watch whose connection fell silent looks like one without changes, and stale reads show what it
//! missed only seconds later. So one watcher, the checker, probes the store with reads that are not
//! stale, and the others hear of what it finds. It is the first by rank among the watchers of all
//! halls that are known to have been answered lately. Gateways that do not hear each other have a
//! checker each.
//!
//! Followers send hellos only to relays, so a hello also names the watchers from which its sender
//! itself heard of a recent answer. Such names are not passed on; otherwise gateways would confirm
//! each other's outdated news.

use super::PeerInfo;
use crate::time::Uptime;
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr, time::Duration};

/// Substitutes stand down when this many others watch, and hellos name this many.
const WATCHERS: usize = 2;
/// An answer is recent for this time: longer than the interval of probes and hellos, and one slow
/// answer.
const RECENT: Duration = Duration::from_secs(2);
/// What a gateway names counts for this time; several hello intervals.
const HELLO_TIMEOUT: Duration = Duration::from_millis(900);
/// Tries a second of all gateways of a hall: as many as probes of its watchers. With that, one
/// gateway of three tries each 0.75 s.
pub const TRIES_PER_S: f64 = 4.0;
/// A new substitute does not stand down for this time, so that relays learn of it first.
/// Otherwise several that begin together could all stand down for each other.
const STAND_DOWN_DELAY: Duration = Duration::from_secs(1);

/// What a gateway's hello states about watches of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchState {
    /// Milliseconds since the store last answered the sender's watches; `None` if it does not
    /// watch, or was not answered yet.
    pub answer_age_ms: Option<u32>,
    /// The first gateways of its hall whose watches were answered lately, by their own hellos.
    pub watchers: Vec<IpAddr>,
}

/// The highest power first, as relays are ranked.
type Rank = (Reverse<u32>, IpAddr);

fn rank(peer: &PeerInfo) -> Rank {
    (Reverse(peer.power), peer.ip)
}

fn is_recent(answer: Option<Uptime>, now: Uptime) -> bool {
    answer.is_some_and(|at| now.since(at) < RECENT)
}

/// What a gateway stated last.
#[derive(Clone, Debug)]
struct Heard {
    is_own_hall: bool,
    last_answer: Option<Uptime>,
    watchers: Vec<IpAddr>,
    hall_size: u32,
    at: Uptime,
}

/// Whether this gateway watches the store, and what it knows of the watches of its hall.
#[derive(Clone, Debug)]
pub struct Watchers {
    own: PeerInfo,
    /// When the store last answered this gateway's watches.
    last_answer: Option<Uptime>,
    heard: BTreeMap<Rank, Heard>,
    /// Since when this gateway is a substitute.
    substitute: Option<Uptime>,
    next_try: Option<Uptime>,
}

impl Watchers {
    pub fn new(own: PeerInfo) -> Self {
        Self { own, last_answer: None, heard: BTreeMap::new(), substitute: None, next_try: None }
    }

    /// Records what a gateway's hello states. `hall_size` is the number of gateways of the sender's
    /// hall that it knows.
    pub fn record_hello(
        &mut self,
        sender: &PeerInfo,
        state: WatchState,
        hall_size: u32,
        now: Uptime,
    ) {
        if sender.ip == self.own.ip {
            return;
        }
        let age = state.answer_age_ms.map(|age| Duration::from_millis(age.into()));
        let last_answer = age.filter(|age| *age < RECENT).map(|age| now - age);
        let is_own_hall = sender.hall == self.own.hall;
        let watchers = state.watchers;
        let heard = Heard { is_own_hall, last_answer, watchers, hall_size, at: now };
        self.heard.insert(rank(sender), heard);
    }

    /// Records that the store answered a watch, or a probe beside it.
    pub const fn record_answer(&mut self, now: Uptime) {
        self.last_answer = Some(now);
    }

    /// Records that the store answered a try.
    pub fn record_try(&mut self, now: Uptime) {
        if self.substitute.is_none() {
            self.substitute = Some(now);
            self.record_answer(now);
        }
    }

    /// Returns what the own hello states.
    pub fn state(&self, now: Uptime) -> WatchState {
        let age = self.last_answer.map(|at| now.since(at).as_millis());
        let answer_age_ms = age.map(|age| u32::try_from(age).unwrap_or(u32::MAX));
        WatchState { answer_age_ms, watchers: self.answered(now) }
    }

    /// Returns the first gateways whose watches were answered lately, by their own hellos.
    fn answered(&self, now: Uptime) -> Vec<IpAddr> {
        let others = self.local().filter(|(_, heard)| is_recent(heard.last_answer, now));
        let own = Some(rank(&self.own)).filter(|_| is_recent(self.last_answer, now));
        let mut ranks: Vec<Rank> = others.map(|(rank, _)| *rank).chain(own).collect();
        ranks.sort_unstable();
        ranks.into_iter().map(|(_, ip)| ip).take(WATCHERS).collect()
    }

    /// Returns the other gateways of the own hall.
    fn local(&self) -> impl Iterator<Item = (&Rank, &Heard)> {
        self.heard.iter().filter(|(_, heard)| heard.is_own_hall)
    }

    /// Returns whether this gateway, which watches the store, is the checker. While the store does
    /// not answer anyone, nobody is: refused calls are billed, too.
    pub fn is_checker(&self, now: Uptime) -> bool {
        let better = self.heard.range(..rank(&self.own)).map(|(_, other)| other);
        let is_watching = |other: &Heard| {
            now.since(other.at) < HELLO_TIMEOUT && is_recent(other.last_answer, now)
        };
        let has_better = better.into_iter().any(is_watching);
        // Followers hear of each other from relays.
        let is_later = |list: Vec<IpAddr>| list.iter().skip(1).any(|ip| *ip == self.own.ip);
        is_recent(self.last_answer, now) && !has_better && !self.lists(now).any(is_later)
    }

    /// Returns the lists of watchers: the own one, and those that others stated lately.
    fn lists(&self, now: Uptime) -> impl Iterator<Item = Vec<IpAddr>> {
        let told = self.local().filter(move |(_, heard)| now.since(heard.at) < HELLO_TIMEOUT);
        [self.answered(now)].into_iter().chain(told.map(|(_, heard)| heard.watchers.clone()))
    }

    /// Returns whether this gateway watches the store. `is_first` says whether it is one of the
    /// first of its hall, which always watch. Called at intervals.
    pub fn update(&mut self, is_first: bool, now: Uptime) -> bool {
        self.heard.retain(|_, heard| now.since(heard.at) < RECENT);
        if is_first || !is_recent(self.last_answer, now) || self.is_surplus(now) {
            self.substitute = None;
        }
        let is_watcher = is_first || self.substitute.is_some();
        if !is_watcher {
            self.last_answer = None;
        }
        is_watcher
    }

    /// Returns whether enough others of the hall watch.
    fn is_surplus(&self, now: Uptime) -> bool {
        let is_old = self.substitute.is_some_and(|since| now.since(since) >= STAND_DOWN_DELAY);
        let is_enough = |list: Vec<IpAddr>| list.len() >= WATCHERS && !list.contains(&self.own.ip);
        is_old && self.lists(now).any(is_enough)
    }

    /// Returns whether this gateway, which does not watch, has to try the store now. `hall_size`
    /// is the number of gateways of the hall that it knows, and `draw` a random number from 0 to 1.
    /// Called at intervals.
    pub fn is_try_due(&mut self, hall_size: u32, draw: f64, now: Uptime) -> bool {
        // Right after the start, nobody can have heard of an answer.
        let is_starting = now.since(Uptime::default()) < RECENT;
        if is_starting || self.lists(now).any(|list| !list.is_empty()) {
            self.next_try = None;
            return false;
        }
        // A follower hears only relays, which know the others.
        let told = self.local().map(|(_, heard)| heard.hall_size);
        let hall_size = told.fold(hall_size, u32::max);
        let interval = Duration::from_secs_f64(f64::from(hall_size) / TRIES_PER_S);
        let Some(at) = self.next_try else {
            self.next_try = Some(now + interval.mul_f64(draw.clamp(0.0, 1.0)));
            return false;
        };
        let is_due = now >= at;
        if is_due {
            self.next_try = Some(now + interval);
        }
        is_due
    }
}
