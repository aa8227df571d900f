//! Guards against a record of outages that hides how long callers have been refused, or that tells
//! of outages that are none.

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{CONTINUED_WITHIN, Fleet, IDLE_END, LoadReport, OutageTracker, ServerState},
    time::Uptime,
};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn age(outages: &OutageTracker, now: u64) -> Option<u64> {
    outages.outage("s", at(now)).map(|outage| outage.age.as_millis() as u64)
}

fn is_ending(outages: &OutageTracker, now: u64) -> bool {
    outages.outage("s", at(now)).is_some_and(|outage| outage.is_ending)
}

/// An age that starts anew at each break of a group that forms and breaks again would hide
/// how long callers have been refused.
#[googletest::test]
fn stall_soon_after_the_end_continues_the_outage() {
    let gap = CONTINUED_WITHIN.as_millis() as u64;
    for (again, expected) in [(4_000 + gap - 1, 3_000 + gap - 1), (4_000 + gap, 0)] {
        let mut outages = OutageTracker::default();
        expect_that!(outages.record("s", false, at(500)), eq(false));
        expect_that!(outages.record("s", true, at(1_000)), eq(true));
        expect_that!(outages.record("s", true, at(3_500)), eq(false));
        expect_that!(age(&outages, 3_600), some(eq(2_600)));
        outages.record("s", false, at(4_000));
        // The end is that of the first choice that met it.
        outages.record("s", false, at(4_900));
        expect_that!(age(&outages, 4_950), none());
        expect_that!(outages.record("s", true, at(again)), eq(expected == 0));
        expect_that!(age(&outages, again), some(eq(expected)));
        // Other services have outages of their own.
        expect_that!(outages.outage("t", at(again)), none());
    }
}

/// Nobody asks any more: the outage would otherwise last forever, and the next stall would seem to
/// be hours old.
#[googletest::test]
fn outage_ends_when_nobody_asks() {
    let mut outages = OutageTracker::default();
    let idle = IDLE_END.as_millis() as u64;
    outages.record("s", true, at(1_000));
    outages.record("s", true, at(2_000));
    expect_that!(age(&outages, 2_000 + idle - 1), some(eq(1_000 + idle - 1)));
    expect_that!(outages.expire(at(2_000 + idle - 1)), is_empty());
    expect_that!(age(&outages, 2_000 + idle), none());
    expect_that!(outages.clone().record("s", true, at(2_000 + idle)), eq(true));
    let ended = outages.expire(at(3_000 + idle));
    expect_that!(ended.len(), eq(1));
    expect_that!((ended[0].age, ended[0].is_idle), eq((ms(1_000), true)));
    expect_that!(outages.expire(at(3_000 + idle)), is_empty());
}

/// At the begin of an outage, reports of servers that were just cut off still look recent; and a
/// group may stay closed although all known servers report, since the list lacks a rank.
#[googletest::test]
fn end_is_near_only_while_servers_report_again() {
    let mut outages = OutageTracker::default();
    let mut step = |now, all_report| {
        outages.record("s", true, at(now));
        outages.record_reports("s", all_report, at(now));
        is_ending(&outages, now)
    };
    expect_that!(step(1_000, true), eq(false));
    expect_that!(step(1_300, false), eq(false));
    expect_that!(step(5_000, true), eq(true));
    expect_that!(step(5_300, false), eq(false));
    expect_that!(step(6_000, true), eq(true));
    expect_that!(step(7_700, true), eq(true));
    expect_that!(step(7_800, true), eq(false));
    // A second cut begins as the first one did.
    outages.record("s", false, at(8_000));
    outages.record("s", true, at(8_500));
    outages.record_reports("s", true, at(8_500));
    expect_that!(is_ending(&outages, 8_500), eq(false));
    expect_that!(age(&outages, 8_500), some(eq(7_500)));
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new("here");
    let servers = ["a", "b"].map(|id| server(id, ServerState::Ready)).into_iter().collect();
    fleet.replace(listed(5, servers), false, Uptime::default());
    fleet
}

/// A gateway that is itself cut off gets no reports, and a choice is only a guess: it would take
/// the outage for ended.
#[googletest::test]
fn gateway_that_was_cut_off_knows_by_the_reports() {
    let mut fleet = fleet();
    let seen = |fleet: &Fleet, now| {
        (fleet.are_all_reporting("s", at(now)), fleet.are_all_silent("s", at(now)))
    };
    // A service without sidecars is neither reported on nor silent.
    expect_that!(seen(&fleet, 500), eq((false, false)));
    expect_that!(seen(&Fleet::default(), 500), eq((false, false)));
    fleet.record_report("a", LoadReport::default(), at(1_000));
    expect_that!(seen(&fleet, 1_100), eq((false, false)));
    // The other server may have no sidecar, and work.
    expect_that!(seen(&fleet, 2_500), eq((false, false)));
    fleet.record_report("b", LoadReport::default(), at(1_100));
    expect_that!(seen(&fleet, 1_200), eq((true, false)));
    expect_that!(seen(&fleet, 1_699), eq((true, false)));
    // One is silent, then both are.
    expect_that!(seen(&fleet, 1_700), eq((false, false)));
    expect_that!(seen(&fleet, 2_099), eq((false, false)));
    expect_that!(seen(&fleet, 2_100), eq((false, true)));
    // A forwarded report counts by its age.
    fleet.record_forwarded("a", LoadReport::default(), ms(900), at(3_000));
    expect_that!(seen(&fleet, 3_050), eq((false, false)));
    fleet.record_report("a", LoadReport::default(), at(6_000));
    fleet.record_report("b", LoadReport::default(), at(6_000));
    expect_that!(seen(&fleet, 6_100), eq((true, false)));
    // Sidecars that are silent for long are assumed to be gone.
    expect_that!(seen(&fleet, 17_000), eq((false, false)));
}
