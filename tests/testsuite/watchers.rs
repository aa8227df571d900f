//! Which gateways of a hall watch the store while it turns some away, in halls of 3 to 62 gateways.

use super::peers::{ROUND, ip};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{PeerInfo, TRIES_PER_S, Watchers},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const RELAYS: usize = 3;
const FIRST: usize = 2;
const HALL: &str = "hall-0";
/// A watcher's probe is answered once a second.
const PROBE_ROUNDS: u64 = 4;
/// A change made while the store turns some gateways away has to be in force within 2 s, and 5 s
/// more at worst. Lists and hellos take less than the half second that is left out here.
const REPLACED: Duration = Duration::from_millis(6_500);
/// The same in a hall where the first of the others to try is served.
const REPLACED_AT_ONCE: Duration = Duration::from_millis(3_300);

/// A hall in which gateways exchange hellos as [`mastweir_core::gateway::Peers`] has them do:
/// relays with all, the others with relays.
struct Hall {
    gateways: Vec<Watchers>,
    is_watcher: Vec<bool>,
    /// Whether the store serves each gateway.
    is_served: Vec<bool>,
    lost_pct: u32,
    now: Uptime,
    round: u64,
    rng: SmallRng,
    /// When each try was made.
    tries: Vec<Uptime>,
}

fn info(number: usize) -> PeerInfo {
    PeerInfo { ip: ip(number), hall: HALL.to_owned(), power: 240 }
}

impl Hall {
    fn new(gateways: usize, seed: u64) -> Self {
        Self {
            gateways: (0..gateways).map(|number| Watchers::new(info(number))).collect(),
            is_watcher: vec![false; gateways],
            is_served: vec![true; gateways],
            lost_pct: 0,
            now: Uptime::default(),
            round: 0,
            rng: SmallRng::seed_from_u64(seed),
            tries: Vec::new(),
        }
    }

    fn hello(&mut self, from: usize, to: usize) {
        if from == to || self.rng.random_range(0..100) < self.lost_pct {
            return;
        }
        let size = if from < RELAYS { self.gateways.len() } else { RELAYS + 1 };
        let state = self.gateways[from].state(self.now);
        self.gateways[to].record_hello(&info(from), state, size as u32, self.now);
    }

    fn step(&mut self) {
        self.now = self.now + ROUND;
        self.round += 1;
        let all = self.gateways.len();
        for at in 0..all {
            let is_first = at < FIRST;
            self.is_watcher[at] = self.gateways[at].update(is_first, self.now);
            let is_probe_due = (self.round + at as u64).is_multiple_of(PROBE_ROUNDS);
            if self.is_watcher[at] && self.is_served[at] && is_probe_due {
                self.gateways[at].record_answer(self.now);
            }
            let (size, draw) = (if at < RELAYS { all } else { RELAYS + 1 }, self.rng.random());
            if !self.is_watcher[at] && self.gateways[at].is_try_due(size as u32, draw, self.now) {
                self.tries.push(self.now);
                if self.is_served[at] {
                    self.gateways[at].record_try(self.now);
                }
            }
        }
        for from in 0..all {
            let is_relay = from < RELAYS;
            if is_relay || self.round.is_multiple_of(2) {
                (0..if is_relay { all } else { RELAYS }).for_each(|to| self.hello(from, to));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the gateways that watch the store and are served.
    fn served_watchers(&self) -> Vec<usize> {
        (0..self.gateways.len()).filter(|at| self.is_watcher[*at] && self.is_served[*at]).collect()
    }

    fn checkers(&self) -> Vec<usize> {
        let checks = |at: &usize| self.is_watcher[*at] && self.gateways[*at].is_checker(self.now);
        (0..self.gateways.len()).filter(checks).collect()
    }

    fn substitutes(&self) -> usize {
        self.is_watcher.iter().skip(FIRST).filter(|is_watcher| **is_watcher).count()
    }

    /// The most tries within a second.
    fn max_tries(&self) -> usize {
        let within = |at: &Uptime| {
            let second = *at..*at + Duration::from_secs(1);
            self.tries.iter().filter(|at| second.contains(at)).count()
        };
        self.tries.iter().map(within).max().unwrap_or(0)
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// The platform bills each call.
#[googletest::test]
fn others_do_not_try_the_store_while_watchers_reach_it() {
    for gateways in [2, 3, 13, 62] {
        let mut hall = Hall::new(gateways, 3);
        hall.lost_pct = 3;
        hall.run(secs(120));
        expect_that!(hall.tries.len(), eq(0), "{gateways} gateways");
        hall.is_served[0] = false;
        hall.run(secs(60));
        expect_that!(hall.tries.len(), eq(0), "one of two watchers of {gateways} gateways");
    }
}

/// Guards against a hall that goes on with old state because the store turns its watchers away.
#[googletest::test]
fn watchers_that_are_turned_away_are_replaced_in_time() {
    for (gateways, served, replaced) in
        [(3, 1, REPLACED_AT_ONCE), (4, 2, REPLACED_AT_ONCE), (13, 4, REPLACED), (62, 18, REPLACED)]
    {
        for seed in 0..20 {
            let mut hall = Hall::new(gateways, seed);
            hall.run(secs(10) + ROUND * (seed as u32 % 4));
            hall.is_served.fill(false);
            hall.is_served[gateways - served..].fill(true);
            hall.run(replaced);
            expect_that!(hall.served_watchers().is_empty(), eq(false), "{gateways}, seed {seed}");
            // Those that found the store at the same time leave it to two of them.
            hall.run(secs(6));
            expect_that!(hall.served_watchers().len(), all!(ge(1), le(2)), "{gateways}, {seed}");
            let tries = hall.tries.len();
            hall.run(secs(20));
            expect_that!(hall.tries.len(), eq(tries), "{gateways} gateways, seed {seed}");
            expect_that!(hall.served_watchers().len(), all!(ge(1), le(2)), "{gateways}, {seed}");
        }
    }
}

#[googletest::test]
fn substitutes_stand_down_when_the_first_are_served_again() {
    for (gateways, seed) in [(3, 1), (13, 2), (62, 3)] {
        let mut hall = Hall::new(gateways, seed);
        hall.run(secs(10));
        hall.is_served[..FIRST].fill(false);
        hall.run(secs(10));
        expect_that!(hall.substitutes(), all!(ge(1), le(2)), "{gateways} gateways");
        hall.is_served[..FIRST].fill(true);
        hall.run(secs(4));
        expect_that!(hall.substitutes(), eq(0), "{gateways} gateways");
    }
}

/// A substitute that the store turns away in its turn does not keep the role.
#[googletest::test]
fn substitutes_that_are_turned_away_are_replaced() {
    let mut hall = Hall::new(13, 5);
    hall.run(secs(10));
    hall.is_served[..FIRST].fill(false);
    for _ in 0..5 {
        hall.run(secs(8));
        let watchers = hall.served_watchers();
        expect_that!(watchers.is_empty(), eq(false));
        watchers.iter().for_each(|at| hall.is_served[*at] = false);
        hall.run(secs(3));
        expect_that!(hall.substitutes(), le(2));
    }
}

/// The checker's probes cost ten times as much.
#[googletest::test]
fn one_of_the_watchers_that_are_answered_checks_for_missed_changes() {
    for gateways in [2, 3, 62] {
        let mut hall = Hall::new(gateways, 11);
        hall.run(secs(10));
        expect_that!(hall.checkers(), eq(&vec![0]), "{gateways} gateways");
        hall.is_served[0] = false;
        hall.run(secs(4));
        expect_that!(hall.checkers(), eq(&vec![1]), "{gateways} gateways");
        hall.is_served[1] = false;
        hall.run(secs(30));
        let substitute = hall.served_watchers().first().copied();
        expect_that!(hall.checkers(), eq(&Vec::from_iter(substitute)), "{gateways} gateways");
        hall.is_served.fill(false);
        hall.run(secs(4));
        expect_that!(hall.checkers().is_empty(), eq(true), "{gateways} gateways");
    }
}

/// Guards against a store that gets calls in proportion to the fleet while it is down: 432
/// gateways in 7 halls are 62 in each.
#[googletest::test]
fn store_that_is_down_gets_few_tries_from_any_hall() {
    for gateways in [3, 13, 62, 300] {
        let mut hall = Hall::new(gateways, 7);
        hall.run(secs(10));
        hall.is_served.fill(false);
        hall.run(secs(120));
        let per_s = hall.tries.len() as f64 / 120.0;
        expect_that!(per_s, le(TRIES_PER_S), "{gateways} gateways");
        expect_that!(hall.max_tries(), le(10), "{gateways} gateways");
        expect_that!(hall.substitutes(), eq(0));
        // Few begin together when it is back.
        hall.is_served[FIRST..].fill(true);
        let mut most = 0;
        for _ in 0..40 {
            hall.step();
            most = most.max(hall.substitutes());
        }
        expect_that!(most, le(5), "{gateways} gateways");
    }
}

/// All gateways start at once. Only those that the store serves can tell the others.
#[googletest::test]
fn gateways_that_start_while_watchers_are_turned_away_try_the_store() {
    for seed in 0..50 {
        let mut hall = Hall::new(8, seed);
        hall.is_served.fill(false);
        hall.is_served[7] = true;
        hall.run(secs(6));
        expect_that!(hall.served_watchers(), eq(&vec![7]), "seed {seed}");
    }
}
