//! What servers name as their limits, as one gateway hears of it.

use googletest::prelude::*;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use mastweir::platform::headers::{NamedLimit, read_answer};
use mastweir_core::{
    gateway::{Fleet, LimitChange, LimitReport, LimitUpdate, Rate},
    time::Uptime,
};

fn named(values: &[&str]) -> NamedLimit {
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

/// An answer that came `ms` after the start, to a request that left 100 ms before.
fn word(per_s: Option<f64>, ms: u64) -> LimitReport {
    LimitReport { rate: per_s.and_then(rate), sent: at(ms - 100), received: at(ms) }
}

fn heard(fleet: &mut Fleet, per_s: Option<f64>, ms: u64) -> Option<LimitChange> {
    fleet.record_limit("a", 0, word(per_s, ms), at(ms))
}

fn change(before: Option<f64>, now: Option<f64>) -> Option<LimitChange> {
    Some(LimitChange { before: before.and_then(rate), now: now.and_then(rate) })
}

#[googletest::test]
fn a_limit_is_a_decimal_number_and_nothing_else() {
    expect_that!(named(&[]), eq(NamedLimit::Nothing));
    for (text, per_s) in [("0.25", 0.25), ("1e9", 1e9), (" 7 ", 7.0), ("0", 0.0), ("1.30", 1.3)] {
        expect_that!(Some(named(&[text])), eq(rate(per_s).map(NamedLimit::At)), "{text}");
    }
    for text in ["nan", "inf", "-inf", "infinity", "-1", "", "3/s", "1,3", "1e999"] {
        expect_that!(named(&[text]), eq(NamedLimit::Unreadable), "{text}");
    }
    expect_that!(named(&["1", "2"]), eq(NamedLimit::Unreadable));
}

#[googletest::test]
fn a_limit_holds_until_a_later_answer_names_none() {
    let mut fleet = Fleet::new("here");
    expect_that!(heard(&mut fleet, None, 500), none());
    expect_that!(heard(&mut fleet, Some(2.0), 1_000), eq(change(None, Some(2.0))));
    expect_that!(heard(&mut fleet, Some(2.0), 1_200), none());
    expect_that!(heard(&mut fleet, None, 1_400), eq(change(Some(2.0), None)));
}

/// Two answers that were under way at one moment may have been written in either order.
#[googletest::test]
fn an_answer_that_was_overtaken_ends_and_raises_nothing() {
    let mut fleet = Fleet::new("here");
    heard(&mut fleet, Some(2.0), 1_000);
    expect_that!(heard(&mut fleet, None, 1_050), none());
    expect_that!(heard(&mut fleet, Some(9.0), 1_050), none());
    expect_that!(heard(&mut fleet, Some(1.0), 1_060), eq(change(Some(2.0), Some(1.0))));
    expect_that!(heard(&mut fleet, Some(9.0), 1_160), eq(change(Some(1.0), Some(9.0))));
    // An end may have been overtaken as well.
    expect_that!(heard(&mut fleet, None, 1_300), eq(change(Some(9.0), None)));
    expect_that!(heard(&mut fleet, Some(4.0), 1_350), eq(change(None, Some(4.0))));
}

#[googletest::test]
fn an_older_word_of_another_gateway_changes_nothing() {
    let mut fleet = Fleet::new("here");
    heard(&mut fleet, Some(2.0), 1_000);
    heard(&mut fleet, None, 2_000);
    let told = |rate, asked_ms, heard_ms| LimitUpdate {
        server: "a".to_owned(),
        incarnation: 0,
        rate,
        sent_ms: asked_ms,
        received_ms: heard_ms,
    };
    let mut takes = |told: LimitUpdate, ms| fleet.record_limit("a", 0, told.report(at(ms)), at(ms));
    // What that gateway heard before the end.
    expect_that!(takes(told(rate(2.0), 1_600, 1_500), 2_500), none());
    // What it heard behind it.
    let later = told(rate(3.0), 200, 100);
    expect_that!(takes(later, 2_500), eq(change(None, Some(3.0))));
    // An end that came just behind that may be older than it says.
    expect_that!(takes(told(None, 100, 50), 2_600), none());
    expect_that!(takes(told(None, 100, 50), 4_000), eq(change(Some(3.0), None)));
}

#[googletest::test]
fn another_life_has_no_limit() {
    let mut fleet = Fleet::new("here");
    let told =
        |fleet: &mut Fleet, born, per_s, ms| fleet.record_limit("a", born, word(per_s, ms), at(ms));
    expect_that!(told(&mut fleet, 70, Some(1.0), 1_000), eq(change(None, Some(1.0))));
    expect_that!(told(&mut fleet, 40, None, 1_050), eq(change(Some(1.0), None)));
}

/// The next life of a server names the same limit: those who held it for the life before have
/// to hear of it all the same. Taken for no news, it was told to nobody, and 19 gateways sent
/// a request each in 4 s where 11 were allowed.
#[googletest::test]
fn the_same_limit_of_another_life_is_news() {
    let mut fleet = Fleet::new("here");
    fleet.record_limit("a", 70, word(Some(1.0), 1_000), at(1_000));
    expect_that!(fleet.limits_to_send(false, at(9_000)), is_empty());
    let news = fleet.record_limit("a", 40, word(Some(1.0), 9_000), at(9_000));
    expect_that!(news, eq(change(Some(1.0), Some(1.0))));
    let told = fleet.limits_to_send(false, at(9_100));
    expect_that!(told.iter().map(|told| told.incarnation).collect::<Vec<_>>(), eq(&vec![40]));
}

/// What is told on is what the other needs to hold the same.
#[googletest::test]
fn what_is_told_on_is_held_by_whoever_is_told() {
    let (mut one, mut other) = (Fleet::new("here"), Fleet::new("there"));
    heard(&mut one, Some(0.5), 1_000);
    let news = one.limits_to_send(false, at(1_200));
    expect_that!(news, len(eq(1)));
    expect_that!(one.limits_to_send(false, at(9_000)), is_empty());
    expect_that!(one.limits_to_send(true, at(9_000)), len(eq(1)));
    for limited in news {
        let word = limited.report(at(5_000));
        expect_that!(other.record_limit("a", 0, word, at(5_000)), eq(change(None, Some(0.5))));
    }
}
