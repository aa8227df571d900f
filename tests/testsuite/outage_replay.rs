//! Replay of callers around an outage, without a network: what becomes of them with today's fixed
//! `Retry-After` and without waiting, and with the estimates of the outage's rest.
//!
//! Callers have 8 s, return once after a refusal, honour `Retry-After` up to a third of the time
//! that they have left, and leave a stream that is silent for 2 s. Each gateway keeps its own
//! record of the outage. Admission by urgency is not part of the replay.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{FORM_TIME, OutageTracker, RefusedCaller, UrgencyLevel, spread_by_level},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    fmt::{Display, Formatter, Write},
    ops::Range,
    time::Duration,
};

const GATEWAYS: usize = 8;
const LEVELS: u8 = 3;
/// Usual arrivals per second at all gateways together.
const USUAL: f64 = 224.0;
/// Streams that the group takes at once, and the length of a stream, in milliseconds.
const SLOTS: usize = 611;
const STREAM_MS: Range<u64> = 500..2_500;
const DEADLINE_MS: u64 = 8_000;
const SILENCE_MS: u64 = 2_000;
/// Wait of first attempts, and `Retry-After` under overload and while the group is down, today.
const USUAL_WAIT_MS: u64 = 80;
const OVERLOAD: Range<Duration> = Duration::from_millis(600)..Duration::from_millis(2_400);
const DOWN: Duration = Duration::from_millis(2_500);
/// Time from the cut until reports show the stall, and until the servers that were cut off count
/// as silent; age of reports after the return.
const STALL_SEEN_MS: u64 = 600;
const SILENCE_SEEN_MS: u64 = 700;
const REPORT_AGE_MS: u64 = 150;
const LENGTH_MS: u64 = 30_000;
const WINDOW_MS: u64 = 200;

#[derive(Clone, Copy)]
struct Attempt {
    level: u8,
    /// Arrival of the caller, and of this attempt.
    arrived: u64,
    since: u64,
    gateway: usize,
    is_retry: bool,
}

#[derive(Default)]
struct Outcome {
    served: u32,
    refused_once: u32,
    refused_twice: u32,
    left: u32,
    /// By level, most urgent first.
    lost_by_level: [u32; LEVELS as usize],
    /// Sum over the served, in milliseconds.
    waited_ms: u64,
    /// When callers returned.
    returns: Vec<u64>,
    /// Most requests that waited at once.
    most_waiting: usize,
}

impl Outcome {
    /// Returns the most returns in a window after the end of an outage.
    fn burst(&self, ends: &[u64]) -> usize {
        let in_window = |start: u64| {
            self.returns.iter().filter(|ms| (start..start + WINDOW_MS).contains(*ms)).count()
        };
        let windows = ends.iter().flat_map(|end| (*end..*end + 4_000).step_by(10));
        windows.map(in_window).max().unwrap_or(0)
    }
}

struct World {
    outages: Vec<Range<u64>>,
    estimates: bool,
    trackers: Vec<OutageTracker>,
    waiting: Vec<Attempt>,
    /// When each running stream ends, without the time for which the group stands.
    running: Vec<u64>,
    /// Attempts sent to the group before its stall was seen.
    stuck: Vec<Attempt>,
    /// Of arrivals, which are the same with both rules, and of all else.
    arrivals: SmallRng,
    rng: SmallRng,
    outcome: Outcome,
}

impl World {
    fn new(outages: &[(u64, u64)], estimates: bool, seed: u64) -> Self {
        Self {
            outages: outages.iter().map(|(start, end)| *start..*end).collect(),
            estimates,
            trackers: vec![OutageTracker::default(); GATEWAYS],
            waiting: Vec::new(),
            running: Vec::new(),
            stuck: Vec::new(),
            arrivals: SmallRng::seed_from_u64(seed),
            rng: SmallRng::seed_from_u64(seed + 1_000),
            outcome: Outcome::default(),
        }
    }

    fn is_down(&self, ms: u64) -> bool {
        self.outages.iter().any(|outage| outage.contains(&ms))
    }

    fn is_stall_seen(&self, ms: u64) -> bool {
        let seen = |outage: &Range<u64>| outage.start + STALL_SEEN_MS..outage.end + REPORT_AGE_MS;
        self.outages.iter().any(|outage| seen(outage).contains(&ms))
    }

    fn are_all_reporting(&self, ms: u64) -> bool {
        let form_ms = FORM_TIME.as_millis() as u64;
        let silent = |outage: &Range<u64>| {
            outage.start + SILENCE_SEEN_MS..outage.end - form_ms + REPORT_AGE_MS
        };
        !self.outages.iter().any(|outage| silent(outage).contains(&ms))
    }

    fn play(mut self) -> Outcome {
        for ms in 0..LENGTH_MS {
            if self.arrivals.random_bool(USUAL / 1_000.0) && ms < LENGTH_MS - DEADLINE_MS {
                let level = self.arrivals.random_range(0..LEVELS);
                let gateway = self.arrivals.random_range(0..GATEWAYS);
                let attempt = Attempt { level, arrived: ms, since: ms, gateway, is_retry: false };
                self.waiting.push(attempt);
            }
            self.run_group(ms);
            if ms % 8 == 0 {
                self.place(ms);
            }
        }
        self.outcome
    }

    fn run_group(&mut self, ms: u64) {
        if self.is_down(ms) {
            self.running.iter_mut().for_each(|end| *end += 1);
            let cut = self.outages.iter().any(|outage| outage.start + SILENCE_MS == ms);
            if cut {
                self.running.clear();
            }
            let before = self.stuck.len();
            self.stuck.retain(|attempt| ms - attempt.since <= SILENCE_MS);
            self.outcome.left += (before - self.stuck.len()) as u32;
            return;
        }
        self.running.retain(|end| *end > ms);
        for attempt in std::mem::take(&mut self.stuck) {
            self.serve(attempt, ms);
        }
    }

    fn serve(&mut self, attempt: Attempt, ms: u64) {
        self.outcome.served += 1;
        self.outcome.waited_ms += ms - attempt.arrived;
        let length = self.rng.random_range(STREAM_MS);
        self.running.push(ms + length);
    }

    fn place(&mut self, ms: u64) {
        let now = Uptime::from_millis(ms);
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|attempt| (attempt.level, attempt.since));
        let mut held = 0;
        for attempt in waiting {
            if attempt.since > ms {
                self.waiting.push(attempt);
                continue;
            }
            let is_stalled = self.is_stall_seen(ms);
            let tracker = &mut self.trackers[attempt.gateway];
            tracker.record("s", is_stalled, now);
            if is_stalled {
                let are_all_reporting = self.are_all_reporting(ms);
                self.trackers[attempt.gateway].record_reports("s", are_all_reporting, now);
            } else if self.is_down(ms) {
                self.stuck.push(attempt);
                continue;
            } else if self.running.len() < SLOTS {
                self.serve(attempt, ms);
                continue;
            }
            if ms < self.wait_limit(attempt, is_stalled, ms) {
                held += 1;
                self.waiting.push(attempt);
            } else {
                self.refuse(attempt, is_stalled, ms);
            }
        }
        self.outcome.most_waiting = self.outcome.most_waiting.max(held);
    }

    fn caller(&mut self, attempt: Attempt, ms: u64) -> RefusedCaller {
        RefusedCaller {
            level: UrgencyLevel { rank: attempt.level, count: LEVELS },
            waited: Duration::from_millis(ms - attempt.since),
            time_left: Duration::from_millis((attempt.arrived + DEADLINE_MS).saturating_sub(ms)),
            is_retry: attempt.is_retry,
            draw: self.rng.random(),
        }
    }

    fn wait_limit(&mut self, attempt: Attempt, is_stalled: bool, ms: u64) -> u64 {
        let tracker = &self.trackers[attempt.gateway];
        let outage = tracker.outage("s", Uptime::from_millis(ms)).filter(|_| self.estimates);
        let ended = tracker.last_end("s").filter(|_| self.estimates && attempt.is_retry);
        let ended = ended.map_or(0, |ended| ended.0 / 1_000);
        match outage.filter(|_| is_stalled) {
            Some(outage) => {
                let wait = outage.wait_limit(self.caller(attempt, ms));
                attempt.since + wait.as_millis() as u64
            }
            None => attempt.since.max(ended) + USUAL_WAIT_MS,
        }
    }

    fn refuse(&mut self, attempt: Attempt, is_stalled: bool, ms: u64) {
        if attempt.is_retry {
            self.outcome.refused_twice += 1;
            self.outcome.lost_by_level[usize::from(attempt.level)] += 1;
            return;
        }
        self.outcome.refused_once += 1;
        let caller = self.caller(attempt, ms);
        let outage = self.trackers[attempt.gateway].outage("s", Uptime::from_millis(ms));
        let retry_after = match outage.filter(|_| is_stalled) {
            Some(outage) if self.estimates => outage.retry_after(caller),
            Some(_) => DOWN,
            None if self.estimates => spread_by_level(OVERLOAD, caller.level, caller.draw),
            None => self.rng.random_range(OVERLOAD),
        };
        let since = ms + retry_after.min(caller.time_left / 3).as_millis() as u64;
        self.outcome.returns.push(since);
        let gateway = self.rng.random_range(0..GATEWAYS);
        self.waiting.push(Attempt { since, gateway, is_retry: true, ..attempt });
    }
}

const SEEDS: Range<u64> = 1..11;

/// Sums over all seeds, and the most of any.
struct Total {
    served: u32,
    refused_once: u32,
    refused_twice: u32,
    lost_by_level: Vec<u32>,
    left: u32,
    /// Mean time from a caller's arrival to its send, of those that were served.
    mean_wait_ms: u64,
    most_returns: usize,
    most_waiting: usize,
}

impl Display for Total {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "served {}, refused once {}, twice {} (by level {:?}), left {}, mean wait {} ms, most \
             returns in {WINDOW_MS} ms {}, most waiting {}",
            self.served,
            self.refused_once,
            self.refused_twice,
            self.lost_by_level,
            self.left,
            self.mean_wait_ms,
            self.most_returns,
            self.most_waiting,
        )
    }
}

/// Plays outages with ten seeds, and sums the outcomes up.
fn play(outages: &[(u64, u64)], estimates: bool) -> Total {
    let ends: Vec<u64> = outages.iter().map(|(_, end)| *end).collect();
    let all: Vec<Outcome> = SEEDS.map(|seed| World::new(outages, estimates, seed).play()).collect();
    let sum = |of: &dyn Fn(&Outcome) -> u32| all.iter().map(of).sum::<u32>();
    let most = |of: &dyn Fn(&Outcome) -> usize| all.iter().map(of).max().unwrap_or(0);
    let served = sum(&|one| one.served);
    Total {
        served,
        refused_once: sum(&|one| one.refused_once),
        refused_twice: sum(&|one| one.refused_twice),
        lost_by_level: (0..usize::from(LEVELS))
            .map(|level| sum(&|one| one.lost_by_level[level]))
            .collect(),
        left: sum(&|one| one.left),
        mean_wait_ms: all.iter().map(|one| one.waited_ms).sum::<u64>() / u64::from(served),
        most_returns: most(&|one| one.burst(&ends)),
        most_waiting: most(&|one| one.most_waiting),
    }
}

/// Callers that return too early are refused again, which loses them; callers that return all at
/// once meet a full group.
#[googletest::test]
fn more_callers_are_served_around_an_outage() {
    let cases = [
        ("6 s", vec![(5_000, 11_000)]),
        ("1.5 s", vec![(5_000, 6_500)]),
        ("3 s twice, 1 s apart", vec![(5_000, 8_000), (9_000, 12_000)]),
        ("3 s twice, 3 s apart", vec![(5_000, 8_000), (11_000, 14_000)]),
    ];
    let mut table = String::new();
    for (name, outages) in cases {
        let (fixed, now) = (play(&outages, false), play(&outages, true));
        writeln!(table, "{name}, fixed: {fixed}").expect("a string takes all");
        writeln!(table, "{name}, estimates: {now}").expect("a string takes all");
        if fixed.refused_twice > 0 {
            expect_that!(now.served, gt(fixed.served), "{name}");
            expect_that!(now.refused_twice, lt(fixed.refused_twice), "{name}");
            // Nobody is lost to a shorter outage in either way, but callers return earlier.
        } else {
            expect_that!(now.served, ge(fixed.served), "{name}");
            expect_that!(now.refused_twice, eq(0), "{name}");
            expect_that!(now.mean_wait_ms, lt(fixed.mean_wait_ms), "{name}");
        }
        let usual = USUAL / 1_000.0 * WINDOW_MS as f64;
        expect_that!(now.most_returns as f64, le(usual * 2.0), "{name}");
        expect_that!(now.lost_by_level[0], le(now.lost_by_level[2]), "{name}");
    }
    insta::assert_snapshot!(table);
}
