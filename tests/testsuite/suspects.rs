//! Which requests are held back, told apart from those that merely ran where a server ended,
//! and known to all gateways whatever is lost between them.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{Fingerprint, PoisonRequests, QUARANTINE_DURATION, RequestParts, SuspectReport},
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

const SUSPECT: Fingerprint = Fingerprint(1);

fn life(number: u64) -> Fingerprint {
    Fingerprint::of_incarnation(&format!("i-{number}"))
}

fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn asked<'a>(customer: &'a str, path: &'a str, body: &'a str) -> Fingerprint {
    Fingerprint::of(RequestParts { customer, host: "a.example", path, body: body.as_bytes() })
}

#[googletest::test]
fn a_request_is_known_by_customer_path_and_body() {
    let all = [
        asked("north", "/a", "x"),
        asked("south", "/a", "x"),
        asked("north", "/b", "x"),
        asked("north", "/a", "y"),
        asked("north", "/a", ""),
        // Parts are kept apart.
        asked("north/a", "", "x"),
    ];
    expect_that!(all.iter().collect::<HashSet<_>>().len(), eq(all.len()));
    expect_that!(asked("north", "/a", "x"), eq(all[0]));
}

#[googletest::test]
fn two_servers_that_ended_hold_a_request_back_and_one_does_not() {
    let mut suspects = PoisonRequests::default();
    expect_that!(suspects.record_crash(SUSPECT, life(1), at(0)), eq(false));
    expect_that!(suspects.record_crash(SUSPECT, life(1), at(1)), eq(false));
    expect_that!(suspects.quarantine(SUSPECT, at(2)), none());
    expect_that!(suspects.record_crash(SUSPECT, life(2), at(3)), eq(true));
    expect_that!(suspects.quarantine(SUSPECT, at(4)).map(|hold| hold.crashes), some(eq(2)));
    expect_that!(suspects.quarantine(Fingerprint(2), at(4)), none());
}

/// A group that loses a rank breaks off the streams of all its servers, which live on.
#[googletest::test]
fn servers_that_live_on_make_no_suspects() {
    let mut suspects = PoisonRequests::default();
    for number in 0..5 {
        suspects.add_suspect(SUSPECT, life(number), at(number));
        suspects.clear(SUSPECT, life(number));
    }
    expect_that!(suspects.quarantine(SUSPECT, at(9)), none());
    expect_that!(suspects.is_empty(), eq(true));
    // Until that is known it is not sent to a third.
    suspects.add_suspect(SUSPECT, life(8), at(10));
    suspects.add_suspect(SUSPECT, life(9), at(10));
    let quarantine = suspects.quarantine(SUSPECT, at(11));
    expect_that!(quarantine.map(|quarantine| quarantine.confirmed), some(eq(false)));
    expect_that!(suspects.recent_reports(at(11)), is_empty());
}

/// What is often asked runs at many servers, of which a hall's may all end at once.
#[googletest::test]
fn a_request_that_was_answered_is_held_back_only_behind_many_ends() {
    let mut suspects = PoisonRequests::default();
    suspects.record_completed(SUSPECT, at(0));
    for number in 0..7 {
        expect_that!(suspects.record_crash(SUSPECT, life(number), at(number)), eq(false));
    }
    expect_that!(suspects.quarantine(SUSPECT, at(8)), none());
    expect_that!(suspects.record_crash(SUSPECT, life(7), at(9)), eq(true));
    // Another gateway's word that it was answered counts as much.
    let mut other = PoisonRequests::default();
    other.record_crash(SUSPECT, life(8), at(0));
    let ends = vec![life(9)];
    other.merge(
        &SuspectReport { request: SUSPECT, crashes: ends, completed: true, age_ms: 0 },
        at(1),
    );
    expect_that!(other.quarantine(SUSPECT, at(2)), none());
}

#[googletest::test]
fn a_request_is_forgotten_once_nobody_has_asked_for_long() {
    let mut suspects = PoisonRequests::default();
    suspects.record_crash(SUSPECT, life(1), at(0));
    suspects.record_crash(SUSPECT, life(2), at(0));
    let half = at(0) + QUARANTINE_DURATION / 2;
    expect_that!(suspects.quarantine(SUSPECT, half), some(anything()));
    let told = suspects.quarantined_reports(9, half + QUARANTINE_DURATION / 2);
    suspects.expire(at(0) + QUARANTINE_DURATION);
    expect_that!(suspects.is_empty(), eq(false));
    suspects.expire(half + QUARANTINE_DURATION);
    expect_that!(suspects.is_empty(), eq(true));
    // What others tell has the age of the last attempt, so it is not kept up for ever.
    let mut other = PoisonRequests::default();
    for suspected in &told {
        other.merge(suspected, at(0) + QUARANTINE_DURATION);
    }
    expect_that!(other.quarantine(SUSPECT, at(1) + QUARANTINE_DURATION), some(anything()));
    let mut late = PoisonRequests::default();
    told.iter().for_each(|suspected| {
        let age_ms = suspected.age_ms * 2;
        late.merge(&SuspectReport { age_ms, ..suspected.clone() }, at(9));
    });
    expect_that!(late.is_empty(), eq(true));
}

#[googletest::test]
fn memory_is_bounded_and_what_is_held_back_is_kept() {
    let mut suspects = PoisonRequests::default();
    suspects.record_crash(SUSPECT, life(1), at(0));
    suspects.record_crash(SUSPECT, life(2), at(0));
    for number in 0..50_000 {
        suspects.record_crash(Fingerprint(100 + number), life(3), at(number));
        suspects.record_completed(Fingerprint(1_000_000 + number), at(number));
    }
    expect_that!(suspects.recent_reports(at(49_999)).len(), le(4_096));
    expect_that!(suspects.quarantine(SUSPECT, at(50_000)), some(anything()));
}

/// Gateways that see ends, answers and each other's words, of which half are lost and some
/// come late or twice, against a plain count of all ends.
#[googletest::test]
fn gateways_agree_whatever_is_lost_between_them() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gateways = vec![PoisonRequests::default(); 5];
        let mut ends: HashMap<Fingerprint, HashSet<Fingerprint>> = HashMap::new();
        let mut answered: HashSet<Fingerprint> = HashSet::new();
        let mut on_way: Vec<SuspectReport> = Vec::new();
        let mut now = 0;
        for _ in 0..400 {
            now += rng.random_range(1..80);
            let gateway = rng.random_range(0..gateways.len());
            let request = Fingerprint(rng.random_range(0..6));
            match rng.random_range(0..10) {
                0 => {
                    let life = life(rng.random_range(0..12));
                    gateways[gateway].record_crash(request, life, at(now));
                    ends.entry(request).or_default().insert(life);
                }
                1 if request.0 == 0 => {
                    gateways[gateway].record_completed(request, at(now));
                    answered.insert(request);
                }
                // It starts again, and asks another what is held back.
                2 if rng.random_bool(0.2) => {
                    let other = (gateway + 1) % gateways.len();
                    let held = gateways[other].quarantined_reports(usize::MAX, at(now));
                    gateways[gateway] = PoisonRequests::default();
                    for suspected in held {
                        gateways[gateway].merge(&suspected, at(now));
                    }
                }
                3..6 => on_way.extend(gateways[gateway].recent_reports(at(now))),
                _ => {
                    on_way.shuffle(&mut rng);
                    if let Some(suspected) = on_way.last().cloned() {
                        gateways[gateway].merge(&suspected, at(now));
                    }
                    on_way.truncate(on_way.len() / 2);
                }
            }
            for suspects in &mut gateways {
                let hold = suspects.quarantine(request, at(now));
                let known = ends.get(&request).map_or(0, HashSet::len);
                expect_that!(hold.map_or(0, |hold| hold.crashes), le(known.min(8)), "seed {seed}");
            }
        }
        // All hear all, and find the same; what ended enough of them is held back.
        now += 2_000;
        for _ in 0..3 {
            let tells = |gateway: &PoisonRequests| {
                [gateway.quarantined_reports(usize::MAX, at(now)), gateway.recent_reports(at(now))]
                    .concat()
            };
            let told: Vec<SuspectReport> = gateways.iter().flat_map(tells).collect();
            for suspects in &mut gateways {
                for suspected in &told {
                    suspects.merge(suspected, at(now));
                }
            }
        }
        let tell = gateways.iter().flat_map(|gateway| gateway.recent_reports(at(now + 2_000)));
        expect_that!(tell.count(), eq(0), "seed {seed}: news ends");
        for request in (0..6).map(Fingerprint) {
            let mut found =
                gateways.iter_mut().map(|suspects| suspects.quarantine(request, at(now + 9)));
            let first = found.next().flatten().map(|hold| hold.crashes);
            let agree = found.all(|hold| hold.map(|hold| hold.crashes) == first);
            expect_that!(agree, eq(true), "seed {seed}, request {}", request.0);
        }
    }
}

/// What costs a gateway that serves and sees none of it: a look at an empty table.
#[googletest::test]
fn nothing_is_told_while_no_server_ends() {
    let mut suspects = PoisonRequests::default();
    (0..10_000).for_each(|number| suspects.record_completed(Fingerprint(number), at(number)));
    expect_that!(suspects.is_empty(), eq(true));
    expect_that!(suspects.recent_reports(at(10_000)), is_empty());
    expect_that!(suspects.quarantined_reports(9, at(10_000) + Duration::from_secs(9)), is_empty());
}
