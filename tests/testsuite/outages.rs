//! Guards against callers that are held in vain, told to return too early or too late, or told to
//! return all at once, around an outage of a service's groups. The replay of whole outages is in
//! [`super::outage_replay`]; gateways are tested in [`super::outage_gateway`].

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        CONTINUED_WITHIN, FORM_TIME, Fleet, IDLE_END, LoadReport, OUTAGE_WAIT_MAX, Outage,
        OutageTracker, RefusedCaller, ServerState, UrgencyLevel, spread_by_level,
    },
    time::Uptime,
};
use std::{fmt::Write, time::Duration};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

const fn caller(time_left: Duration, draw: f64) -> RefusedCaller {
    let level = UrgencyLevel { rank: 0, count: 3 };
    RefusedCaller { level, waited: Duration::ZERO, time_left, is_retry: true, draw }
}

fn level(rank: u8) -> UrgencyLevel {
    UrgencyLevel { rank, count: 3 }
}

fn age(outages: &OutageTracker, now: u64) -> Option<u64> {
    outages.outage("s", at(now)).map(|outage| outage.age.as_millis() as u64)
}

fn is_ending(outages: &OutageTracker, now: u64) -> bool {
    outages.outage("s", at(now)).is_some_and(|outage| outage.is_ending)
}

#[googletest::test]
fn return_times_by_age_time_left_level_and_random_number() {
    let mut table = String::new();
    for (outage_ms, is_ending) in
        [(0, false), (1_000, false), (2_200, false), (6_000, false), (6_000, true)]
    {
        let outage = Outage { age: ms(outage_ms), is_ending };
        for left in [0, 900, 4_000, 8_000, 30_000] {
            write!(table, "age {outage_ms}, ending {is_ending}, left {left}:")
                .expect("a string takes all");
            for rank in 0..3 {
                for draw in [0.0, 0.5, 1.0] {
                    let caller = RefusedCaller { level: level(rank), ..caller(ms(left), draw) };
                    let retry_after = outage.retry_after(caller).as_millis();
                    write!(table, " {retry_after}").expect("a string takes all");
                }
                table.push(';');
            }
            table.push('\n');
        }
    }
    insta::assert_snapshot!(table);
}

#[googletest::test]
fn waits_by_age_time_left_and_attempt() {
    let mut table = String::new();
    for outage_ms in [0, 1_000, 5_400, 5_401, 9_000] {
        for left in [0, 500, 1_600, 5_000] {
            let wait = |is_ending, is_retry, waited| {
                let outage = Outage { age: ms(outage_ms), is_ending };
                let caller =
                    RefusedCaller { is_retry, waited: ms(waited), ..caller(ms(left), 0.0) };
                outage.wait_limit(caller).as_millis()
            };
            writeln!(
                table,
                "age {outage_ms}, left {left}: first {}, retry {}, ending {}, after 1000 {}",
                wait(true, false, 0),
                wait(false, true, 0),
                wait(true, true, 0),
                wait(false, true, 1_000),
            )
            .expect("a string takes all");
        }
    }
    insta::assert_snapshot!(table);
}

/// A return time beyond a third of the time left is not honoured; one below the time to form a
/// group leads to the next refusal.
#[googletest::test]
fn return_times_stay_within_their_bounds() {
    let times = [0, 1, 300, 1_799, 1_800, 2_500, 8_000, 3_600_000].map(ms);
    for age in times.into_iter().chain([Duration::MAX]) {
        for left in times.into_iter().chain([Duration::MAX]) {
            for is_ending in [false, true] {
                let outage = Outage { age, is_ending };
                let mut last = Duration::ZERO;
                for rank in 0..3 {
                    let back = |draw| {
                        let level = level(rank);
                        outage.retry_after(RefusedCaller { level, ..caller(left, draw) })
                    };
                    let (low, high) = (back(0.0), back(1.0));
                    expect_that!(high, le(left / 3), "{age:?}, {left:?}");
                    expect_that!(low, ge(FORM_TIME.min(left / 3)), "{age:?}, {left:?}");
                    expect_that!(back(0.5), all!(ge(low), le(high)), "{age:?}, {left:?}");
                    expect_that!(low, ge(last), "{age:?}, {left:?}, {rank}");
                    // Callers that are refused together don't return together.
                    if left > ms(1_800) {
                        expect_that!(high - low, gt(ms(1)), "{age:?}, {left:?}, {rank}");
                    }
                    last = low;
                }
                let wait = outage.wait_limit(caller(left, 0.0));
                expect_that!(wait, le(left.min(OUTAGE_WAIT_MAX)), "{age:?}, {left:?}");
            }
        }
    }
}

/// Callers of the most urgent level would otherwise be behind the others at each return.
#[googletest::test]
fn more_urgent_callers_return_earlier() {
    let outage = Outage { age: ms(700), is_ending: false };
    for draw in [0.0, 0.3, 1.0] {
        let back = |rank| {
            outage.retry_after(RefusedCaller { level: level(rank), ..caller(ms(8_000), draw) })
        };
        expect_that!(back(0), lt(back(1)), "{draw}");
        expect_that!(back(1), lt(back(2)), "{draw}");
        let full = |rank| spread_by_level(ms(600)..ms(2_400), level(rank), draw);
        expect_that!(full(0), lt(full(1)), "{draw}");
        expect_that!(full(2), le(ms(2_400)), "{draw}");
    }
}

/// A caller that would be held in vain is refused at once; one that began to wait is not refused
/// because its own wait has made the outage older.
#[googletest::test]
fn wait_needs_a_chance_of_one_in_four() {
    let wait = |age, is_ending, waited| {
        let caller = RefusedCaller { waited: ms(waited), ..caller(ms(6_000 - waited), 0.0) };
        Outage { age: ms(age), is_ending }.wait_limit(caller)
    };
    expect_that!(wait(5_400, false, 0), eq(OUTAGE_WAIT_MAX));
    expect_that!(wait(5_401, false, 0), eq(ms(0)));
    expect_that!(wait(7_000, false, 1_700), eq(OUTAGE_WAIT_MAX));
    expect_that!(wait(20_000, true, 0), eq(OUTAGE_WAIT_MAX));
    // The end seemed near, and a server is silent again.
    expect_that!(wait(20_000, false, 500), eq(ms(0)));
    // An earlier outage that this one continues counts from its own begin.
    expect_that!(wait(7_000, false, 500), eq(ms(0)));
}

/// An age that starts anew at each break of a group that forms and breaks again would tell
/// callers to return too early.
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
        expect_that!(outages.last_end("s"), some(eq(at(4_000))));
        expect_that!(outages.record("s", true, at(again)), eq(expected == 0));
        expect_that!(age(&outages, again), some(eq(expected)));
        expect_that!(outages.last_end("s"), none());
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
