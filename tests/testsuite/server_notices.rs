//! Notices of servers in their answers: that they are leaving, and that they want no requests
//! for a time.

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Directory, Exclusion, Fleet, Homes, LoadReport, Refusal, Requirements, Server, ServerState,
    },
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const BACKOFF: Duration = Duration::from_secs(3);

fn list(revision: u64, ids: &[&str]) -> Directory {
    listed(revision, ids.iter().map(|id| server(id, ServerState::Ready)).collect())
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("here");
    fleet.replace(list(5, ids), false, at(0));
    fleet
}

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn choose(fleet: &Fleet, tried: &[&str], now: Uptime) -> std::result::Result<String, Refusal> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let needs = Requirements {
        service: "s",
        tried: &tried,
        max_load: 3.0,
        gap_ms: 0.0,
        stream: None,
        homes: Homes::default(),
    };
    let mut rng = SmallRng::seed_from_u64(3);
    fleet.choose(needs, now, &mut rng).map(|found| found.id)
}

#[googletest::test]
fn longest_backoff_applies() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_backoff("a", 0, BACKOFF, at(0));
    fleet.set_backoff("a", 0, BACKOFF / 3, at(100));
    expect_that!(choose(&fleet, &["b"], at(2_900)), err(eq(&Refusal::Backoff(BACKOFF / 30))));
    expect_that!(choose(&fleet, &["b"], at(3_000)), ok(eq("a")));
}

/// Servers that this request has tried are included, since they refused it.
#[googletest::test]
fn refusal_states_the_earliest_end_of_backoff() {
    let mut fleet = fleet(&["a", "b", "c"]);
    fleet.set_backoff("a", 0, BACKOFF, at(0));
    fleet.set_backoff("b", 0, BACKOFF * 2, at(0));
    expect_that!(choose(&fleet, &["a", "b"], at(10)), ok(eq("c")));
    expect_that!(
        choose(&fleet, &["a", "b", "c"], at(1_000)),
        err(eq(&Refusal::Backoff(BACKOFF - Duration::from_secs(1))))
    );
    fleet.mark_leaving("c", 0, at(10));
    expect_that!(choose(&fleet, &[], at(3_000)), ok(eq("a")));
}

/// A leaving server does not serve again, so its backoff is not stated to callers.
#[googletest::test]
fn leaving_servers_cause_no_wait() {
    let mut fleet = fleet(&["a"]);
    expect_that!(fleet.mark_leaving("a", 0, at(0)), eq(true));
    expect_that!(fleet.mark_leaving("a", 0, at(5)), eq(false));
    fleet.set_backoff("a", 0, BACKOFF, at(10));
    expect_that!(choose(&fleet, &[], at(20)), err(eq(&Refusal::NoServer)));
}

/// Entries that expired in an outage return later, or are used as a last resort.
#[googletest::test]
fn notices_survive_an_expired_entry() {
    for after_outage in [false, true] {
        let mut fleet = fleet(&["a", "b"]);
        fleet.mark_leaving("a", 0, at(0));
        fleet.set_backoff("b", 0, BACKOFF * 10, at(0));
        fleet.replace(list(6, &[]), after_outage, at(1_000));
        expect_that!(choose(&fleet, &[], at(1_100)), err(anything()));
        fleet.replace(list(7, &["a", "b"]), false, at(4_000));
        expect_that!(fleet.exclusion("a", at(4_000)), some(eq(Exclusion::Leaving)));
        expect_that!(
            choose(&fleet, &[], at(4_000)),
            err(eq(&Refusal::Backoff(BACKOFF * 10 - Duration::from_secs(4))))
        );
    }
}

#[googletest::test]
fn new_incarnation_starts_without_notices() {
    let with = |born| Server { incarnation: born, ..server("a", ServerState::Ready).1 };
    let incarnations = |revision, born| listed(revision, [("a".to_owned(), with(born))].into());
    let mut fleet = Fleet::new("here");
    fleet.replace(incarnations(5, 70), false, at(0));
    fleet.mark_leaving("a", 70, at(10));
    expect_that!(choose(&fleet, &[], at(20)), err(eq(&Refusal::NoServer)));
    fleet.replace(incarnations(6, 40), false, at(500));
    expect_that!(choose(&fleet, &[], at(600)), ok(eq("a")));
    // A late answer of the previous incarnation does not affect the notices of this one.
    fleet.mark_leaving("a", 70, at(700));
    expect_that!(choose(&fleet, &[], at(800)), ok(eq("a")));
    fleet.mark_leaving("a", 40, at(900));
    fleet.set_backoff("a", 70, BACKOFF, at(1_000));
    expect_that!(choose(&fleet, &[], at(1_100)), err(eq(&Refusal::NoServer)));
}

/// Gateways that sent the server no requests learn it from its sidecar.
#[googletest::test]
fn sidecar_reports_that_its_server_leaves() {
    let mut fleet = fleet(&["a", "b"]);
    let report = |leaving| LoadReport { group_open: true, leaving, ..LoadReport::default() };
    expect_that!(fleet.record_report("a", report(false), at(0)).leaving, eq(false));
    expect_that!(fleet.record_report("a", report(true), at(100)).leaving, eq(true));
    expect_that!(
        fleet.record_forwarded("a", report(true), Duration::ZERO, at(200)).leaving,
        eq(false)
    );
    fleet.record_report("b", report(false), at(200));
    expect_that!(choose(&fleet, &[], at(250)), ok(eq("b")));
    expect_that!(choose(&fleet, &["b"], at(250)), err(eq(&Refusal::NoServer)));
}
