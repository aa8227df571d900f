//! What a gateway makes of what servers say of themselves: that they leave, and that they
//! want no requests for a time.

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Directory, Exclusion, Fleet, LoadReport, Refusal, Requirements, Server, ServerState,
    },
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(3);

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
    let needs =
        Requirements { service: "s", tried: &tried, max_load: 3.0, gap_ms: 0.0, stream: None };
    let mut rng = SmallRng::seed_from_u64(3);
    fleet.choose(needs, now, &mut rng).map(|found| found.id)
}

#[googletest::test]
fn a_pause_ends_when_the_longest_that_was_asked_for_does() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_backoff("a", 0, WAIT, at(0));
    fleet.set_backoff("a", 0, WAIT / 3, at(100));
    expect_that!(choose(&fleet, &["b"], at(2_900)), err(eq(&Refusal::Backoff(WAIT / 30))));
    expect_that!(choose(&fleet, &["b"], at(3_000)), ok(eq("a")));
}

/// Those that are left include the ones that this request has tried: they turned it away.
#[googletest::test]
fn callers_are_told_when_the_first_takes_requests_again() {
    let mut fleet = fleet(&["a", "b", "c"]);
    fleet.set_backoff("a", 0, WAIT, at(0));
    fleet.set_backoff("b", 0, WAIT * 2, at(0));
    expect_that!(choose(&fleet, &["a", "b"], at(10)), ok(eq("c")));
    expect_that!(
        choose(&fleet, &["a", "b", "c"], at(1_000)),
        err(eq(&Refusal::Backoff(WAIT - Duration::from_secs(1))))
    );
    fleet.mark_leaving("c", 0, at(10));
    expect_that!(choose(&fleet, &[], at(3_000)), ok(eq("a")));
}

/// One that leaves will not serve again, so its caller is told nothing of it.
#[googletest::test]
fn servers_that_leave_are_no_reason_to_wait() {
    let mut fleet = fleet(&["a"]);
    expect_that!(fleet.mark_leaving("a", 0, at(0)), eq(true));
    expect_that!(fleet.mark_leaving("a", 0, at(5)), eq(false));
    fleet.set_backoff("a", 0, WAIT, at(10));
    expect_that!(choose(&fleet, &[], at(20)), err(eq(&Refusal::NoServer)));
}

/// Entries lapse while the store is away; they come back as they were, or are used a
/// last time.
#[googletest::test]
fn an_entry_that_was_lost_brings_no_server_back() {
    for after_outage in [false, true] {
        let mut fleet = fleet(&["a", "b"]);
        fleet.mark_leaving("a", 0, at(0));
        fleet.set_backoff("b", 0, WAIT * 10, at(0));
        fleet.replace(list(6, &[]), after_outage, at(1_000));
        expect_that!(choose(&fleet, &[], at(1_100)), err(anything()));
        fleet.replace(list(7, &["a", "b"]), false, at(4_000));
        expect_that!(fleet.exclusion("a", at(4_000)), some(eq(Exclusion::Leaving)));
        expect_that!(
            choose(&fleet, &[], at(4_000)),
            err(eq(&Refusal::Backoff(WAIT * 10 - Duration::from_secs(4))))
        );
    }
}

#[googletest::test]
fn another_life_is_rid_of_what_the_one_before_said() {
    let with = |born| Server { incarnation: born, ..server("a", ServerState::Ready).1 };
    let lives = |revision, born| listed(revision, [("a".to_owned(), with(born))].into());
    let mut fleet = Fleet::new("here");
    fleet.replace(lives(5, 70), false, at(0));
    fleet.mark_leaving("a", 70, at(10));
    expect_that!(choose(&fleet, &[], at(20)), err(eq(&Refusal::NoServer)));
    fleet.replace(lives(6, 40), false, at(500));
    expect_that!(choose(&fleet, &[], at(600)), ok(eq("a")));
    // A late answer of the life before is not this one's word, and takes none of it back.
    fleet.mark_leaving("a", 70, at(700));
    expect_that!(choose(&fleet, &[], at(800)), ok(eq("a")));
    fleet.mark_leaving("a", 40, at(900));
    fleet.set_backoff("a", 70, WAIT, at(1_000));
    expect_that!(choose(&fleet, &[], at(1_100)), err(eq(&Refusal::NoServer)));
}

/// Gateways that sent it nothing hear it from its sidecar.
#[googletest::test]
fn a_sidecar_tells_that_its_server_leaves() {
    let mut fleet = fleet(&["a", "b"]);
    let told = |leaving| LoadReport { group_open: true, leaving, ..LoadReport::default() };
    expect_that!(fleet.record_report("a", told(false), at(0)).leaving, eq(false));
    expect_that!(fleet.record_report("a", told(true), at(100)).leaving, eq(true));
    expect_that!(
        fleet.record_forwarded("a", told(true), Duration::ZERO, at(200)).leaving,
        eq(false)
    );
    fleet.record_report("b", told(false), at(200));
    expect_that!(choose(&fleet, &[], at(250)), ok(eq("b")));
    expect_that!(choose(&fleet, &["b"], at(250)), err(eq(&Refusal::NoServer)));
}
