//! Unit tests of single decisions of the gateway: routes, events, retries, stream timing.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        AttemptResult, AttemptState, Config, EventSplitter, Kind, Lag, Limits, NextAction,
        PassCost, PassTimer, Proof, RetryDetector, RetryWindow, Route, RouteIndex, StreamTiming,
        Target, Versions, max_deferral, next_action,
    },
    revision::Revision,
    time::Uptime,
};
use proptest::{
    prelude::*,
    test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::HashMap, time::Duration};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Once,
        targets: vec![Target { service: "s".to_owned(), weight: 1 }],
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: 0,
        priority: 0,
        attempts: 2,
        public: true,
        resumable: false,
        homes: Vec::new(),
    }
}

#[googletest::test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = [("a", "/x/"), ("a", "/x/y/"), ("b", "/"), ("b", "/x/y/z/")];
    let config = Config {
        version: 1,
        routes: routes.iter().map(|(host, prefix)| route(host, prefix)).collect(),
        services: HashMap::new(),
        customers: None,
        customer_homes: HashMap::new(),
        customer_priorities: HashMap::new(),
        invalid_priorities: Vec::new(),
        limits: Limits::default(),
    };
    let index = RouteIndex::new(&config);
    expect_that!(index.find("a", "/x/y/1"), some(eq(1)));
    expect_that!(index.find("A", "/x/yy"), some(eq(0)));
    expect_that!(index.find("a", "/x"), none());
    expect_that!(index.find("a", "/z/x/"), none());
    expect_that!(index.find("b", "/x/y/"), some(eq(2)));
    expect_that!(index.find("c", "/x/"), none());
}

/// Complete events are returned in order, however the stream is cut into pieces.
#[test]
fn events_stay_complete_however_the_stream_is_cut() {
    let config = Cases { cases: 300, failure_persistence: None, ..Cases::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let text = "id: 1\ndata: a\n\nid: 22\r\ndata: b\r\n\r\nid: 3\ndata: c\n\ndata: half";
    let cuts = prop::collection::vec(1..9_usize, 1..40);
    let result = TestRunner::new_with_rng(config, rng).run(&cuts, |cuts| {
        let mut events = EventSplitter::default();
        let (mut passed, mut rest) = (Vec::new(), text.as_bytes());
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, more) = rest.split_at((*cut).min(rest.len()));
            let whole = events.push(piece);
            prop_assert!(
                whole.is_empty() || whole.ends_with(b"\n\n") || whole.ends_with(b"\n\r\n")
            );
            passed.extend(whole);
            rest = more;
        }
        prop_assert_eq!(&text.as_bytes()[..passed.len()], &passed[..]);
        prop_assert_eq!(text.len() - passed.len(), "data: half".len());
        prop_assert_eq!(events.last_id(), Some("3"));
        prop_assert!(!events.is_at_boundary());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[googletest::test]
fn a_request_that_may_run_once_is_retried_only_on_proof() {
    let step = |repeatable, attempts_left| AttemptState {
        repeatable,
        may_have_run: false,
        attempts_left,
        time_left: Duration::from_secs(1),
    };
    for proof in [Proof::NeverSent, Proof::Refused, Proof::WrongServer] {
        expect_that!(
            next_action(step(false, 1), AttemptResult::NotRun(proof)),
            eq(NextAction::Retry)
        );
        expect_that!(
            next_action(step(false, 0), AttemptResult::NotRun(proof)),
            eq(NextAction::EndNotRun)
        );
    }
    expect_that!(next_action(step(false, 1), AttemptResult::Broken), eq(NextAction::EndUnknown));
    expect_that!(next_action(step(false, 1), AttemptResult::Failed), eq(NextAction::Forward));
    expect_that!(next_action(step(true, 1), AttemptResult::Broken), eq(NextAction::Retry));
    // A refusal does not prove that an earlier attempt has not run.
    let after = AttemptState { may_have_run: true, ..step(false, 0) };
    expect_that!(
        next_action(after, AttemptResult::NotRun(Proof::Refused)),
        eq(NextAction::EndUnknown)
    );
    let late = AttemptState { time_left: Duration::ZERO, ..step(true, 1) };
    expect_that!(next_action(late, AttemptResult::Broken), eq(NextAction::EndUnknown));
}

#[googletest::test]
fn retries_stay_within_the_budget_in_every_window() {
    // This gateway's share of the extra budget, 70 among seven gateways, is 10.
    let mut window = RetryWindow::new(Duration::from_secs(10), 0.2, 70.0);
    let mut taken = Vec::new();
    for ms in (0..60_000).step_by(10) {
        let now = Uptime::from_millis(ms);
        if ms % 100 == 0 {
            window.record_request(now);
        }
        if window.try_take(now, 6) {
            taken.push(ms);
        }
    }
    // 100 requests per window allow 20, plus the share of 10; a part is kept in reserve.
    let most = taken
        .iter()
        .map(|from| taken.iter().filter(|at| (*from..*from + 10_000).contains(*at)).count());
    expect_that!(most.max().unwrap_or(0), all!(ge(20), le(30)));
}

/// Guards against exceeding the retry budget when all gateways restart at once: retries before
/// and after the restart count in the same window.
#[googletest::test]
fn retries_stay_within_the_budget_when_all_gateways_restart() {
    const GATEWAYS: usize = 30;
    const EXTRA: f64 = 186.0;
    let (mut requests, mut retries) = (0, 0);
    for run_ms in [40_000, 5_000] {
        let mut windows = vec![RetryWindow::new(Duration::from_secs(10), 0.2, EXTRA); GATEWAYS];
        for ms in (0..run_ms).step_by(100) {
            let now = Uptime::from_millis(ms);
            // The other gateways are discovered within the first seconds.
            let others = if ms < 2_000 { 0 } else { GATEWAYS - 1 };
            let counts = run_ms - ms <= 5_000;
            for window in &mut windows {
                window.record_request(now);
                requests += usize::from(counts);
                let taken = (0..3).filter(|_| window.try_take(now, others)).count();
                retries += if counts { taken } else { 0 };
            }
        }
    }
    expect_that!(retries as f64, le(0.2 * requests as f64 + EXTRA));
}

/// An idle group makes no passes, so the first request after idle time is no stall.
#[googletest::test]
fn a_group_stalls_only_while_requests_run() {
    let mut passes = PassTimer::default();
    let ms = Uptime::from_millis;
    passes.record(7, 0, ms(1_000));
    passes.record(7, 0, ms(9_000));
    passes.record(7, 1, ms(9_200));
    expect_that!(passes.is_stalled(1, ms(9_200)), eq(false));
    passes.record(8, 3, ms(9_250));
    passes.record(12, 3, ms(9_450));
    expect_that!(passes.mean_ms(), gt(10.0));
    expect_that!(passes.is_stalled(3, ms(9_800)), eq(false));
    passes.record(12, 3, ms(9_950));
    expect_that!(passes.is_stalled(3, ms(9_950)), eq(true));
    expect_that!(passes.is_stalled(0, ms(9_950)), eq(false));
}

#[googletest::test]
fn a_stream_is_timed_by_its_first_event_and_longest_gap() {
    let at = |ms: u64| Uptime::from_secs(5) + Duration::from_millis(ms);
    let mut pauses = StreamTiming::new(at(0), Duration::from_millis(40));
    expect_that!(pauses.time_to_first(), none());
    // The wait for the first event is no gap.
    expect_that!(pauses.record_event(at(300)), eq(false));
    let longest: Vec<bool> = [360, 480, 500].map(|ms| pauses.record_event(at(ms))).to_vec();
    expect_that!(longest, elements_are![eq(&true), eq(&true), eq(&false)]);
    expect_that!(pauses.time_to_first(), some(eq(Duration::from_millis(340))));
    expect_that!(pauses.longest_gap(), eq(Duration::from_millis(120)));
    expect_that!(pauses.longest_gap_end(), eq(Duration::from_millis(520)));
}

#[googletest::test]
fn a_pass_grows_with_its_requests_and_with_the_most_loaded_rank() {
    let cost = PassCost { steps: 4.0, step_ms: 5.0, request_ms: 1.0, expert_fraction: 0.5 };
    expect_that!(cost.pass_ms(0.0, 1.0), approx_eq(20.0));
    expect_that!(cost.pass_ms(5.0, 1.0), approx_eq(40.0));
    expect_that!(cost.pass_ms(5.0, 3.0), approx_eq(80.0));
}

/// New streams are deferred while passes are close to the gap objective, as long as their first
/// event can still be in time.
#[googletest::test]
fn a_new_stream_is_deferred_while_passes_are_long_and_its_first_event_can_wait() {
    let deferral =
        |pass_ms: f64| max_deferral(pass_ms, 120.0, Duration::from_millis(500)).as_millis();
    expect_that!([60.0, 96.0].map(deferral), eq([0, 0]));
    expect_that!([100.0, 140.0].map(deferral), eq([250, 150]));
    expect_that!(deferral(300.0), eq(0));
    // A request without a gap objective is not deferred.
    let plain = max_deferral(400.0, 0.0, Duration::from_millis(500));
    expect_that!(plain, eq(Duration::ZERO));
}

/// Data is fetched from another gateway only if the store does not deliver it soon.
#[googletest::test]
fn only_data_that_the_store_does_not_deliver_is_fetched() {
    let at = |config, directory| Versions { config, directory: Revision::new(0, directory) };
    let ms = Uptime::from_millis;
    let mut lag = Lag::default();
    // The store delivers version 2 shortly after another gateway announces it.
    expect_that!(lag.is_fetch_due(at(1, 5), at(2, 5), false, ms(0)), eq(false));
    expect_that!(lag.is_fetch_due(at(2, 5), at(2, 5), false, ms(250)), eq(false));
    expect_that!(lag.is_fetch_due(at(2, 5), at(3, 5), false, ms(9_000)), eq(false));
    // Announcements of older or still newer versions don't restart the delay.
    expect_that!(lag.is_fetch_due(at(2, 5), at(2, 5), false, ms(9_100)), eq(false));
    expect_that!(lag.is_fetch_due(at(2, 5), at(4, 6), false, ms(9_200)), eq(false));
    expect_that!(lag.is_fetch_due(at(2, 5), at(4, 6), false, ms(9_350)), eq(true));
    // It is fetched once, and again if the first fetch did not help.
    expect_that!(lag.is_fetch_due(at(2, 5), at(4, 6), false, ms(9_400)), eq(false));
    expect_that!(lag.is_fetch_due(at(2, 5), at(4, 6), false, ms(9_750)), eq(true));
    // Lists of servers are handled like configurations; a gateway without data does not wait.
    expect_that!(lag.is_fetch_due(at(4, 5), at(4, 6), false, ms(9_800)), eq(false));
    let mut lag = Lag::default();
    expect_that!(lag.is_fetch_due(at(0, 0), at(4, 6), true, ms(9_900)), eq(true));
    expect_that!(lag.is_fetch_due(at(0, 0), at(4, 6), true, ms(9_910)), eq(false));
    expect_that!(lag.is_fetch_due(at(0, 0), at(4, 6), true, ms(10_250)), eq(true));
}

#[googletest::test]
fn retries_are_detected_by_their_shorter_timeouts() {
    let ms = Duration::from_millis;
    let mut detector = RetryDetector::default();
    expect_that!(detector.is_retry("r", ms(8_000)), eq(false));
    expect_that!(detector.is_retry("r", ms(5_400)), eq(true));
    expect_that!(detector.is_retry("r", ms(7_900)), eq(false));
    // Timeouts are tracked per route.
    expect_that!(detector.is_retry("s", ms(1_000)), eq(false));
    // The route's first attempts now have shorter timeouts, which are learned.
    let taken = (0..200).filter(|_| detector.is_retry("r", ms(7_000))).count();
    expect_that!(taken, le(100));
    expect_that!(detector.is_retry("r", ms(7_000)), eq(false));
    expect_that!(detector.is_retry("r", ms(4_400)), eq(true));
}
