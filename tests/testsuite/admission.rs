//! Unit tests of single decisions of admission by urgency and by the length of passes.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Candidate, Directory, Fleet, Homes, LoadReport, PassCost, Refusal, Requirements, Server,
        ServerState, StreamRequest, UrgencyLevel,
    },
    revision::Revision,
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

const COST: PassCost =
    PassCost { steps: 7.0, step_ms: 4.84, request_ms: 0.435, expert_fraction: 0.5 };
const GAP_MS: f64 = 120.0;
const SERVERS: u8 = 4;
const SLOTS: u32 = 10;
/// Interval of load reports.
const INTERVAL_MS: u64 = 150;

fn stream(rank: u8, count: u8, draw: f64) -> StreamRequest {
    StreamRequest { draw, is_retry: false, level: UrgencyLevel { rank, count } }
}

/// Returns the part of draws that a level admits.
fn admitted(rank: u8, load: f64, limit: Option<f64>) -> f64 {
    let draws = (0..1_000).map(|number| f64::from(number) / 1_000.0);
    let admits = |draw: &f64| stream(rank, 3, *draw).admit(load, limit).is_ok();
    draws.filter(admits).count() as f64 / 1_000.0
}

/// Guards against bounds of services without ranked levels that differ from the fixed ones, and
/// against a pass limit there.
#[googletest::test]
fn unranked_and_most_urgent_streams_keep_their_bounds() {
    for count in [1, 3] {
        for limit in [None, Some(0.0)] {
            let admit = |draw, load| stream(0, count, draw).admit(load, limit);
            expect_that!(admit(0.999, 0.969), ok(eq(())));
            expect_that!(admit(0.49, 1.07), ok(eq(())));
            expect_that!(admit(0.51, 1.07), err(eq(Refusal::Full)));
            expect_that!(admit(0.0, 1.17), err(eq(Refusal::Full)));
        }
    }
}

/// Guards against levels that are shed in another order than that of their urgency.
#[googletest::test]
fn bounds_fall_with_the_rank() {
    for load in [0.75, 0.85, 0.95, 1.05, 1.15] {
        let parts = [0, 1, 2].map(|rank| admitted(rank, load, None));
        expect_that!(parts.is_sorted_by(|a, b| a >= b), is_true(), "{load}: {parts:?}");
    }
    expect_that!(admitted(0, 0.9, None), eq(1.0));
    expect_that!(admitted(2, 0.8, None), lt(0.6));
    expect_that!(admitted(2, 0.69, None), eq(1.0));
}

/// Guards against a level that is starved, by more urgent levels or by the pass limit.
#[googletest::test]
fn each_level_is_admitted_a_quarter_as_often_as_the_most_urgent() {
    for load in [0.0, 0.8, 0.95, 1.0, 1.1, 1.16] {
        for limit in [None, Some(0.0)] {
            for rank in [1, 2] {
                let (most, own) = (admitted(0, load, limit), admitted(rank, load, limit));
                expect_that!(own + 0.002, ge(most / 4.0), "{rank} at {load}, {limit:?}");
            }
        }
    }
}

/// Guards against refusals that name the wrong reason.
#[googletest::test]
fn refusals_name_what_stands_against_the_stream() {
    let admit = |load, limit| stream(2, 3, 0.5).admit(load, limit);
    expect_that!(admit(0.5, None), ok(eq(())));
    expect_that!(admit(0.5, Some(0.3)), err(eq(Refusal::LongPasses)));
    expect_that!(admit(0.95, None), err(eq(Refusal::LessUrgent)));
    expect_that!(admit(0.95, Some(0.3)), err(eq(Refusal::LessUrgent)));
    expect_that!(admit(1.1, None), err(eq(Refusal::Full)));
    let retry = StreamRequest { is_retry: true, ..stream(2, 3, 0.5) };
    expect_that!(retry.admit(0.7, None), err(eq(Refusal::LessUrgent)));
}

/// Guards against numbers that are no loads.
#[googletest::test]
fn no_number_panics_or_admits_without_reason() {
    for rank in [0, 2] {
        expect_that!(stream(rank, 3, 0.0).admit(f64::NAN, None), err(eq(Refusal::Full)));
        expect_that!(stream(rank, 3, 0.0).admit(f64::INFINITY, None), err(eq(Refusal::Full)));
        expect_that!(stream(rank, 3, 0.5).admit(0.5, Some(f64::NAN)), ok(eq(())));
        expect_that!(stream(rank, 3, 0.5).admit(0.5, Some(f64::INFINITY)), ok(eq(())));
    }
    expect_that!(stream(2, 3, 0.5).admit(0.5, Some(-1e300)), err(eq(Refusal::LongPasses)));
    expect_that!(
        stream(2, 3, 0.5).admit(0.5, Some(f64::NEG_INFINITY)),
        err(eq(Refusal::LongPasses))
    );
}

struct Group {
    fleet: Fleet,
    now: u64,
    rng: SmallRng,
}

impl Group {
    fn new(cost: PassCost) -> Self {
        let mut fleet = Fleet::new("here");
        let server = |number: u8| Server {
            id: format!("i-{number}"),
            incarnation: 0,
            service: "s".to_owned(),
            addr: ([10, 0, 0, number + 1], 80).into(),
            hall: "here".to_owned(),
            slots: SLOTS,
            state: ServerState::Ready,
            warmup_ms: 0,
            changed: Revision::new(0, 1),
        };
        let servers: BTreeMap<String, Server> =
            (0..SERVERS).map(|number| (format!("i-{number}"), server(number))).collect();
        let directory =
            Directory { revision: Revision::new(0, 1), servers, ..Directory::default() };
        fleet.replace(directory, false, Uptime::default());
        fleet.set_receiving(Some(Uptime::default()));
        fleet.set_pass_costs(HashMap::from([("s".to_owned(), cost)]));
        Self { fleet, now: 1_000, rng: SmallRng::seed_from_u64(1) }
    }

    /// Lets all servers report for some time.
    fn report(&mut self, ms: u64, running: u32, pass_ms: u32) {
        self.report_as(
            ms,
            Duration::from_millis(200),
            &LoadReport {
                running,
                pass_ms,
                group: Some("g".to_owned()),
                group_open: true,
                ..LoadReport::default()
            },
        );
    }

    fn report_as(&mut self, ms: u64, age: Duration, report: &LoadReport) {
        let end = self.now + ms;
        while self.now < end {
            let now = Uptime::from_millis(self.now);
            for number in 0..SERVERS {
                self.fleet.record_forwarded(&format!("i-{number}"), report.clone(), age, now);
            }
            self.now += INTERVAL_MS;
        }
    }

    fn choose(&mut self, stream: StreamRequest) -> std::result::Result<Candidate, Refusal> {
        let needs = Requirements {
            service: "s",
            tried: &[],
            max_load: 1.06,
            gap_ms: GAP_MS,
            stream: Some(stream),
            homes: Homes::default(),
        };
        // Not cached from an earlier choice.
        self.now += 20;
        self.fleet.choose(needs, Uptime::from_millis(self.now), &mut self.rng)
    }

    /// Returns the refusal of a least urgent stream that competes as such.
    fn refusal(&mut self) -> Option<Refusal> {
        self.choose(stream(2, 3, 0.9)).err()
    }
}

/// Guards against a pass limit that refuses more, or others, than it should.
#[googletest::test]
fn lasting_long_passes_hold_back_less_urgent_streams_only() {
    let mut group = Group::new(COST);
    group.report(3_000, 5, 60);
    expect_that!(group.refusal(), none());
    group.report(3_000, 5, 200);
    expect_that!(group.refusal(), some(eq(Refusal::LongPasses)));
    expect_that!(group.choose(stream(0, 3, 0.9)), ok(anything()));
    expect_that!(group.choose(stream(0, 1, 0.9)), ok(anything()));
    expect_that!(group.choose(stream(2, 3, 0.2)), ok(anything()));
    group.report(400, 5, 60);
    expect_that!(group.refusal(), none());
}

/// Guards against a cached refusal with another reason than the first one.
#[googletest::test]
fn cached_refusals_tell_the_same_reason() {
    let mut group = Group::new(COST);
    group.report(3_000, 5, 200);
    for _ in 0..2 {
        expect_that!(group.refusal(), some(eq(Refusal::LongPasses)));
        group.now -= 20;
    }
    group.report(600, 9, 60);
    for _ in 0..2 {
        expect_that!(group.refusal(), some(eq(Refusal::LessUrgent)));
        group.now -= 20;
    }
}

/// Guards against refusals while a change of the expert map is under way: the measured length
/// follows a rise of 0.6 s by a moving average.
#[googletest::test]
fn rise_that_a_map_change_ends_refuses_nobody() {
    let mut group = Group::new(COST);
    group.report(3_000, 5, 60);
    for pass_ms in [150, 220, 240, 240, 240, 160, 110, 80, 60] {
        group.report(INTERVAL_MS, 5, pass_ms);
        expect_that!(group.refusal(), none(), "{pass_ms}");
        group.now -= 20;
    }
}

/// Guards against limits from data that are missing, old, of an idle group or of a group that
/// has formed anew.
#[googletest::test]
fn missing_and_old_data_impose_no_limit() {
    let long = LoadReport {
        running: 5,
        pass_ms: 400,
        group: Some("g".to_owned()),
        group_open: true,
        ..LoadReport::default()
    };
    let age = Duration::from_millis(200);
    let limited = || {
        let mut group = Group::new(COST);
        group.report_as(3_000, age, &long);
        group
    };
    expect_that!(limited().refusal(), some(eq(Refusal::LongPasses)));

    let mut silent = limited();
    silent.now += 300;
    expect_that!(silent.refusal(), none());

    let mut reopened = limited();
    reopened.report_as(INTERVAL_MS, age, &LoadReport { group_open: false, ..long.clone() });
    reopened.report_as(600, age, &long);
    expect_that!(reopened.refusal(), none());

    let mut old = Group::new(COST);
    old.report_as(3_000, Duration::from_millis(400), &long);
    expect_that!(old.refusal(), none());

    let mut idle = limited();
    idle.report_as(3_000, age, &LoadReport { running: 0, ..long.clone() });
    expect_that!(idle.refusal(), none());

    let mut alone = Group::new(COST);
    alone.report_as(3_000, age, &LoadReport { group: None, ..long });
    expect_that!(alone.refusal(), none());
}

/// Guards against costs that yield no limit, or a limit of nothing.
#[googletest::test]
fn unusable_costs_impose_no_limit_and_are_named() {
    let wrong = [0.0, -1.0, f64::NAN, f64::INFINITY];
    let steps = wrong.map(|steps| PassCost { steps, ..COST });
    let requests = wrong.map(|request_ms| PassCost { request_ms, ..COST });
    let step = [-1.0, f64::NAN, f64::INFINITY].map(|step_ms| PassCost { step_ms, ..COST });
    for cost in steps.into_iter().chain(requests).chain(step) {
        let mut group = Group::new(cost);
        group.report(3_000, 5, 400);
        expect_that!(group.refusal(), none(), "{cost:?}");
        let named = group.fleet.set_pass_costs(HashMap::from([("s".to_owned(), cost)]));
        expect_that!(named, elements_are![eq("s")], "{cost:?}");
    }
    let mut huge = Group::new(PassCost { steps: 1e300, step_ms: 1e300, ..COST });
    huge.report(3_000, 5, 400);
    expect_that!(huge.refusal(), none());
}

/// Guards against a chance of admission that grows as a request waits.
#[googletest::test]
fn waiting_does_not_change_the_decision() {
    let mut group = Group::new(COST);
    group.report(3_000, 5, 200);
    for draw in [0.1, 0.24, 0.26, 0.9] {
        let first = group.choose(stream(2, 3, draw)).is_ok();
        for _ in 0..5 {
            expect_that!(group.choose(stream(2, 3, draw)).is_ok(), eq(first), "{draw}");
        }
    }
}

/// Guards against a log line per request, and against a change that is not logged.
#[googletest::test]
fn each_change_of_the_limit_is_told_once() {
    let mut group = Group::new(COST);
    group.report(3_000, 5, 200);
    for _ in 0..5 {
        group.refusal();
    }
    let begins = group.fleet.take_limit_changes();
    expect_that!(begins.len(), eq(1));
    expect_that!(begins[0].binds, is_true());
    expect_that!(begins[0].factor, some(gt(3.0)));
    group.report(600, 5, 60);
    group.refusal();
    group.refusal();
    let ends = group.fleet.take_limit_changes();
    expect_that!(ends.len(), eq(1));
    expect_that!(ends[0].binds, is_false());
}
