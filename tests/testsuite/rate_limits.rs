//! Rate limits that servers state, as one gateway records them.

use googletest::prelude::*;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use mastweir::platform::headers::{LimitHeader, read_answer};
use mastweir_core::{
    gateway::{Fleet, LimitChange, LimitReport, LimitUpdate, Rate},
    time::Uptime,
};

fn read_limit(values: &[&str]) -> LimitHeader {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a header's value");
        headers.append("server-limit", value);
    }
    read_answer(StatusCode::OK, &headers).limit
}

fn rate(per_s: f64) -> Option<Rate> {
    Rate::per_second(per_s)
}

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

/// Returns the report of an answer received at `ms`, to a request sent 100 ms earlier.
fn report(per_s: Option<f64>, ms: u64) -> LimitReport {
    LimitReport { rate: per_s.and_then(rate), sent: at(ms - 100), received: at(ms) }
}

fn record(fleet: &mut Fleet, per_s: Option<f64>, ms: u64) -> Option<LimitChange> {
    fleet.record_limit("a", 0, report(per_s, ms), at(ms))
}

fn change(before: Option<f64>, now: Option<f64>) -> Option<LimitChange> {
    Some(LimitChange { before: before.and_then(rate), now: now.and_then(rate) })
}

#[googletest::test]
fn limit_must_be_a_decimal_number() {
    expect_that!(read_limit(&[]), eq(LimitHeader::Absent));
    for (text, per_s) in [("0.25", 0.25), ("1e9", 1e9), (" 7 ", 7.0), ("0", 0.0), ("1.30", 1.3)] {
        expect_that!(Some(read_limit(&[text])), eq(rate(per_s).map(LimitHeader::Valid)), "{text}");
    }
    for text in ["nan", "inf", "-inf", "infinity", "-1", "", "3/s", "1,3", "1e999"] {
        expect_that!(read_limit(&[text]), eq(LimitHeader::Malformed), "{text}");
    }
    expect_that!(read_limit(&["1", "2"]), eq(LimitHeader::Malformed));
}

#[googletest::test]
fn limit_applies_until_a_later_answer_states_none() {
    let mut fleet = Fleet::new("here");
    expect_that!(record(&mut fleet, None, 500), none());
    expect_that!(record(&mut fleet, Some(2.0), 1_000), eq(change(None, Some(2.0))));
    expect_that!(record(&mut fleet, Some(2.0), 1_200), none());
    expect_that!(record(&mut fleet, None, 1_400), eq(change(Some(2.0), None)));
}

/// Two answers that were under way at the same time may have been written in either order.
#[googletest::test]
fn overtaken_answer_neither_ends_nor_raises_a_limit() {
    let mut fleet = Fleet::new("here");
    record(&mut fleet, Some(2.0), 1_000);
    expect_that!(record(&mut fleet, None, 1_050), none());
    expect_that!(record(&mut fleet, Some(9.0), 1_050), none());
    expect_that!(record(&mut fleet, Some(1.0), 1_060), eq(change(Some(2.0), Some(1.0))));
    expect_that!(record(&mut fleet, Some(9.0), 1_160), eq(change(Some(1.0), Some(9.0))));
    // An end may have been overtaken as well.
    expect_that!(record(&mut fleet, None, 1_300), eq(change(Some(9.0), None)));
    expect_that!(record(&mut fleet, Some(4.0), 1_350), eq(change(None, Some(4.0))));
}

#[googletest::test]
fn older_report_of_another_gateway_changes_nothing() {
    let mut fleet = Fleet::new("here");
    record(&mut fleet, Some(2.0), 1_000);
    record(&mut fleet, None, 2_000);
    let update = |rate, sent_ms, received_ms| LimitUpdate {
        server: "a".to_owned(),
        incarnation: 0,
        rate,
        sent_ms,
        received_ms,
    };
    let mut apply =
        |update: LimitUpdate, ms| fleet.record_limit("a", 0, update.report(at(ms)), at(ms));
    // Received by the other gateway before the end.
    expect_that!(apply(update(rate(2.0), 1_600, 1_500), 2_500), none());
    // Received by the other gateway after the end.
    let later = update(rate(3.0), 200, 100);
    expect_that!(apply(later, 2_500), eq(change(None, Some(3.0))));
    // An end reported shortly after that may be older than stated.
    expect_that!(apply(update(None, 100, 50), 2_600), none());
    expect_that!(apply(update(None, 100, 50), 4_000), eq(change(Some(3.0), None)));
}

#[googletest::test]
fn new_incarnation_has_no_limit() {
    let mut fleet = Fleet::new("here");
    let update = |fleet: &mut Fleet, born, per_s, ms| {
        fleet.record_limit("a", born, report(per_s, ms), at(ms))
    };
    expect_that!(update(&mut fleet, 70, Some(1.0), 1_000), eq(change(None, Some(1.0))));
    expect_that!(update(&mut fleet, 40, None, 1_050), eq(change(Some(1.0), None)));
}

/// Guards against a limit that is not forwarded because the previous incarnation stated the
/// same: other gateways hold it for the previous incarnation only.
#[googletest::test]
fn same_limit_of_a_new_incarnation_is_forwarded() {
    let mut fleet = Fleet::new("here");
    fleet.record_limit("a", 70, report(Some(1.0), 1_000), at(1_000));
    expect_that!(fleet.limits_to_send(false, at(9_000)), is_empty());
    let recorded = fleet.record_limit("a", 40, report(Some(1.0), 9_000), at(9_000));
    expect_that!(recorded, eq(change(Some(1.0), Some(1.0))));
    let update = fleet.limits_to_send(false, at(9_100));
    expect_that!(update.iter().map(|update| update.incarnation).collect::<Vec<_>>(), eq(&vec![40]));
}

/// A gateway that receives a forwarded limit records the same limit.
#[googletest::test]
fn forwarded_limit_is_adopted() {
    let (mut one, mut other) = (Fleet::new("here"), Fleet::new("there"));
    record(&mut one, Some(0.5), 1_000);
    let updates = one.limits_to_send(false, at(1_200));
    expect_that!(updates, len(eq(1)));
    expect_that!(one.limits_to_send(false, at(9_000)), is_empty());
    expect_that!(one.limits_to_send(true, at(9_000)), len(eq(1)));
    for limited in updates {
        let report = limited.report(at(5_000));
        expect_that!(other.record_limit("a", 0, report, at(5_000)), eq(change(None, Some(0.5))));
    }
}
