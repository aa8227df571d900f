//! Quarantine of requests that crash servers: innocent requests are told apart, and gateways
//! converge despite lost messages.

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

fn incarnation(number: u64) -> Fingerprint {
    Fingerprint::of_incarnation(&format!("i-{number}"))
}

fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn merge_all(suspects: &mut PoisonRequests, reports: &[SuspectReport], now: Uptime) {
    for report in reports {
        suspects.merge(report, now);
    }
}

fn fingerprint<'a>(customer: &'a str, path: &'a str, body: &'a str) -> Fingerprint {
    Fingerprint::of(RequestParts { customer, host: "a.example", path, body: body.as_bytes() })
}

#[googletest::test]
fn fingerprint_covers_customer_path_and_body() {
    let all = [
        fingerprint("north", "/a", "x"),
        fingerprint("south", "/a", "x"),
        fingerprint("north", "/b", "x"),
        fingerprint("north", "/a", "y"),
        fingerprint("north", "/a", ""),
        // Parts are separated.
        fingerprint("north/a", "", "x"),
    ];
    expect_that!(all.iter().collect::<HashSet<_>>().len(), eq(all.len()));
    expect_that!(fingerprint("north", "/a", "x"), eq(all[0]));
}

/// A caller may repeat the attempt's id in the query, but asks for other things by other queries.
#[googletest::test]
fn fingerprint_covers_method_and_query_without_the_id() {
    let of = |method, query, id| {
        let parts = RequestParts { customer: "north", host: "a.example", path: "/a", body: b"" };
        Fingerprint::of_attempt(method, query, id, parts)
    };
    let all = [
        of("GET", "", "q-1"),
        of("GET", "thing=1", "q-1"),
        of("GET", "thing=2", "q-1"),
        of("GET", "thing=1&page=2", "q-1"),
        of("POST", "thing=1", "q-1"),
        of("POST", "", "q-1"),
        of("PUT", "", "q-1"),
    ];
    expect_that!(all.iter().collect::<HashSet<_>>().len(), eq(all.len()));
    expect_that!(of("GET", "thing=1", "q-2"), eq(all[1]));
    expect_that!(of("GET", "try=q-2&thing=1", "q-2"), eq(all[1]));
    expect_that!(of("POST", "try=q-2", "q-2"), eq(fingerprint("north", "/a", "")));
    // Digits alone may be the number of a thing.
    expect_that!(of("GET", "thing=1", "1"), eq(all[1]));
}

#[googletest::test]
fn two_crashes_quarantine_a_request() {
    let mut suspects = PoisonRequests::default();
    expect_that!(suspects.record_crash(SUSPECT, incarnation(1), at(0)), eq(false));
    expect_that!(suspects.record_crash(SUSPECT, incarnation(1), at(1)), eq(false));
    expect_that!(suspects.quarantine(SUSPECT, at(2)), none());
    expect_that!(suspects.record_crash(SUSPECT, incarnation(2), at(3)), eq(true));
    expect_that!(
        suspects.quarantine(SUSPECT, at(4)).map(|quarantine| quarantine.crashes),
        some(eq(2))
    );
    expect_that!(suspects.quarantine(Fingerprint(2), at(4)), none());
}

/// A group that loses a rank breaks off the streams of all its servers, which stay alive.
#[googletest::test]
fn live_servers_clear_a_suspect() {
    let mut suspects = PoisonRequests::default();
    for number in 0..5 {
        suspects.add_suspect(SUSPECT, incarnation(number), at(number));
        suspects.clear(SUSPECT, incarnation(number));
    }
    expect_that!(suspects.quarantine(SUSPECT, at(9)), none());
    expect_that!(suspects.is_empty(), eq(true));
    // Until the servers are probed, the request is not sent to a third one.
    suspects.add_suspect(SUSPECT, incarnation(8), at(10));
    suspects.add_suspect(SUSPECT, incarnation(9), at(10));
    let quarantine = suspects.quarantine(SUSPECT, at(11));
    expect_that!(quarantine.map(|quarantine| quarantine.confirmed), some(eq(false)));
    expect_that!(suspects.recent_reports(at(11)), is_empty());
}

/// Frequent requests run on many servers, and those of a hall may all crash together.
#[googletest::test]
fn completed_request_is_quarantined_only_after_many_crashes() {
    let mut suspects = PoisonRequests::default();
    suspects.record_completed(SUSPECT, at(0));
    for number in 0..7 {
        expect_that!(suspects.record_crash(SUSPECT, incarnation(number), at(number)), eq(false));
    }
    expect_that!(suspects.quarantine(SUSPECT, at(8)), none());
    expect_that!(suspects.record_crash(SUSPECT, incarnation(7), at(9)), eq(true));
    // Another gateway's report of the completion counts as much.
    let mut other = PoisonRequests::default();
    other.record_crash(SUSPECT, incarnation(8), at(0));
    let crashes = vec![incarnation(9)];
    other.merge(&SuspectReport { request: SUSPECT, crashes, completed: true, age_ms: 0 }, at(1));
    expect_that!(other.quarantine(SUSPECT, at(2)), none());
}

#[googletest::test]
fn quarantine_expires_without_new_attempts() {
    let mut suspects = PoisonRequests::default();
    suspects.record_crash(SUSPECT, incarnation(1), at(0));
    suspects.record_crash(SUSPECT, incarnation(2), at(0));
    let half = at(0) + QUARANTINE_DURATION / 2;
    expect_that!(suspects.quarantine(SUSPECT, half), some(anything()));
    let reports = suspects.quarantined_reports(9, half + QUARANTINE_DURATION / 2);
    suspects.expire(at(0) + QUARANTINE_DURATION);
    expect_that!(suspects.is_empty(), eq(false));
    suspects.expire(half + QUARANTINE_DURATION);
    expect_that!(suspects.is_empty(), eq(true));
    // Reports contain the age of the last attempt, so that exchanging them does not extend a
    // quarantine.
    let mut other = PoisonRequests::default();
    for report in &reports {
        other.merge(report, at(0) + QUARANTINE_DURATION);
    }
    expect_that!(other.quarantine(SUSPECT, at(1) + QUARANTINE_DURATION), some(anything()));
    let mut late = PoisonRequests::default();
    reports.iter().for_each(|report| {
        let age_ms = report.age_ms * 2;
        late.merge(&SuspectReport { age_ms, ..report.clone() }, at(9));
    });
    expect_that!(late.is_empty(), eq(true));
}

/// A caller asks again and again. After the time of the quarantine one request is tried, whatever
/// was refused before, and a crash of its server begins the time anew.
#[googletest::test]
fn refusals_do_not_extend_a_quarantine() {
    let mut suspects = PoisonRequests::default();
    suspects.record_crash(SUSPECT, incarnation(1), at(0));
    suspects.record_crash(SUSPECT, incarnation(2), at(0));
    let mut last = at(0);
    for server in 3..6 {
        let asked = (0..180).map(|minute| last + Duration::from_secs(minute * 60));
        let trial = asked.clone().find(|now| suspects.quarantine(SUSPECT, *now).is_none());
        let trial = trial.unwrap_or_default();
        expect_that!(
            trial.since(last),
            all!(ge(QUARANTINE_DURATION), lt(QUARANTINE_DURATION * 3 / 2))
        );
        // One at a time.
        expect_that!(suspects.quarantine(SUSPECT, trial + Duration::from_millis(1)), none());
        expect_that!(
            suspects.quarantine(SUSPECT, trial + Duration::from_secs(1)),
            some(anything())
        );
        last = trial + Duration::from_secs(2);
        suspects.add_suspect(SUSPECT, incarnation(server), last);
        expect_that!(suspects.quarantine(SUSPECT, last), some(anything()));
        suspects.record_crash(SUSPECT, incarnation(server), last);
    }
}

/// A process that starts anew keeps the age of a quarantine, and reports that were under way for
/// long tell of no later crash.
#[googletest::test]
fn restarts_and_late_reports_do_not_extend_a_quarantine() {
    let mut suspects = PoisonRequests::default();
    let crashes = vec![incarnation(1), incarnation(2)];
    let age_ms = u32::try_from((QUARANTINE_DURATION * 3 / 4).as_millis()).unwrap_or_default();
    let report = SuspectReport { request: SUSPECT, crashes, completed: false, age_ms };
    suspects.merge(&report, at(5));
    expect_that!(suspects.quarantine(SUSPECT, at(6)), some(anything()));
    suspects.merge(&report, at(0) + QUARANTINE_DURATION / 2);
    suspects.expire(at(5) + QUARANTINE_DURATION * 3 / 4);
    expect_that!(suspects.is_empty(), eq(true));
}

/// A frequent request runs wherever servers crash, and is completed by others all the time.
#[googletest::test]
fn completions_refute_crashes() {
    let mut suspects = PoisonRequests::default();
    let mut other = PoisonRequests::default();
    suspects.record_completed(SUSPECT, at(0));
    for number in 0..40 {
        let now = at(2_000 * (number + 1));
        suspects.record_crash(SUSPECT, incarnation(number), now);
        merge_all(&mut other, &suspects.recent_reports(now), now);
        expect_that!(suspects.quarantine(SUSPECT, now), none(), "{number}");
        expect_that!(other.quarantine(SUSPECT, now), none(), "{number}");
        suspects.record_completed(SUSPECT, now);
        merge_all(&mut other, &suspects.recent_reports(now), now);
    }
    expect_that!(suspects.quarantined_reports(9, at(90_000)), is_empty());
    suspects.expire(at(150_000));
    expect_that!(suspects.is_empty(), eq(true));
}

/// Returns a gateway at which a request was completed once and then ran at eight servers that
/// crashed within a second.
fn after_burst() -> PoisonRequests {
    let mut suspects = PoisonRequests::default();
    suspects.record_completed(SUSPECT, at(0));
    for number in 0..8 {
        suspects.record_crash(SUSPECT, incarnation(number), at(10_000 + number * 100));
    }
    suspects
}

/// All servers crashed for a reason that is no request. A sound one lifts the quarantine at all
/// gateways, also if another one still reports the crashes.
#[googletest::test]
fn trial_lifts_the_quarantine_of_a_request_that_was_completed_before() {
    let mut suspects = after_burst();
    expect_that!(suspects.quarantine(SUSPECT, at(11_000)), some(anything()));
    let mut others = [suspects.clone(), PoisonRequests::default()];
    let reports = suspects.quarantined_reports(9, at(11_000));
    merge_all(&mut others[1], &reports, at(11_000));
    expect_that!(others[1].quarantine(SUSPECT, at(11_000)), some(anything()));
    let mut asked = (11_000..30_000).step_by(100);
    let trial = asked.find(|now| suspects.quarantine(SUSPECT, at(*now)).is_none());
    let trial = trial.unwrap_or_default();
    expect_that!(trial, all!(ge(13_000), le(18_000)));
    suspects.record_completed(SUSPECT, at(trial));
    for other in &mut others {
        merge_all(other, &suspects.recent_reports(at(trial)), at(trial));
        merge_all(other, &reports, at(trial));
        expect_that!(other.quarantine(SUSPECT, at(trial)), none());
    }
    merge_all(&mut suspects, &reports, at(trial));
    for now in (trial..trial + 100).step_by(10) {
        expect_that!(suspects.quarantine(SUSPECT, at(now)), none());
    }
}

/// A request that was completed before, and crashes servers since, is tried more and more seldom.
#[googletest::test]
fn trials_of_a_request_that_crashes_servers_are_further_and_further_apart() {
    let mut suspects = after_burst();
    let mut trials = Vec::new();
    for second in 12..3_612 {
        let now = at(second * 1_000);
        if suspects.quarantine(SUSPECT, now).is_none() {
            suspects.record_crash(SUSPECT, incarnation(second), now + Duration::from_millis(300));
            trials.push(second);
        }
    }
    expect_that!(trials.len(), all!(ge(2), le(8)));
    let pauses: Vec<u64> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(pauses.is_sorted(), eq(true));
}

#[googletest::test]
fn memory_is_bounded_and_quarantined_requests_are_kept() {
    let mut suspects = PoisonRequests::default();
    suspects.record_crash(SUSPECT, incarnation(1), at(0));
    suspects.record_crash(SUSPECT, incarnation(2), at(0));
    for number in 0..50_000 {
        suspects.record_crash(Fingerprint(100 + number), incarnation(3), at(number));
        suspects.record_completed(Fingerprint(1_000_000 + number), at(number));
    }
    expect_that!(suspects.recent_reports(at(49_999)).len(), le(4_096));
    expect_that!(suspects.quarantine(SUSPECT, at(50_000)), some(anything()));
}

/// Gateways record crashes and completions and exchange reports, of which half are lost and
/// some arrive late or twice. Compares them with a plain count of all crashes.
#[googletest::test]
fn gateways_converge_despite_lost_messages() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut gateways = vec![PoisonRequests::default(); 5];
        let mut crashes: HashMap<Fingerprint, HashSet<Fingerprint>> = HashMap::new();
        let mut completed: HashSet<Fingerprint> = HashSet::new();
        let mut in_flight: Vec<SuspectReport> = Vec::new();
        let mut now = 0;
        for _ in 0..400 {
            now += rng.random_range(1..80);
            let gateway = rng.random_range(0..gateways.len());
            let request = Fingerprint(rng.random_range(0..6));
            match rng.random_range(0..10) {
                0 => {
                    let crashed = incarnation(rng.random_range(0..12));
                    gateways[gateway].record_crash(request, crashed, at(now));
                    crashes.entry(request).or_default().insert(crashed);
                }
                1 if request.0 == 0 => {
                    gateways[gateway].record_completed(request, at(now));
                    completed.insert(request);
                }
                // The gateway restarts, and fetches the quarantined requests from another one.
                2 if rng.random_bool(0.2) => {
                    let other = (gateway + 1) % gateways.len();
                    let quarantined = gateways[other].quarantined_reports(usize::MAX, at(now));
                    gateways[gateway] = PoisonRequests::default();
                    for report in quarantined {
                        gateways[gateway].merge(&report, at(now));
                    }
                }
                3..6 => in_flight.extend(gateways[gateway].recent_reports(at(now))),
                _ => {
                    in_flight.shuffle(&mut rng);
                    if let Some(report) = in_flight.last().cloned() {
                        gateways[gateway].merge(&report, at(now));
                    }
                    in_flight.truncate(in_flight.len() / 2);
                }
            }
            for suspects in &mut gateways {
                let quarantine = suspects.quarantine(request, at(now));
                let known = crashes.get(&request).map_or(0, HashSet::len);
                expect_that!(
                    quarantine.map_or(0, |quarantine| quarantine.crashes),
                    le(known.min(8)),
                    "seed {seed}"
                );
            }
        }
        // All gateways receive all reports, and have to agree.
        now += 2_000;
        for _ in 0..3 {
            let reports_of = |gateway: &PoisonRequests| {
                [gateway.quarantined_reports(usize::MAX, at(now)), gateway.recent_reports(at(now))]
                    .concat()
            };
            let reports: Vec<SuspectReport> = gateways.iter().flat_map(reports_of).collect();
            for suspects in &mut gateways {
                for report in &reports {
                    suspects.merge(report, at(now));
                }
            }
        }
        let late = gateways.iter().flat_map(|gateway| gateway.recent_reports(at(now + 2_000)));
        expect_that!(late.count(), eq(0), "seed {seed}: reports stop");
        for request in (0..6).map(Fingerprint) {
            let mut found =
                gateways.iter_mut().map(|suspects| suspects.quarantine(request, at(now + 9)));
            let first = found.next().flatten().map(|quarantine| quarantine.crashes);
            let agree =
                found.all(|quarantine| quarantine.map(|quarantine| quarantine.crashes) == first);
            expect_that!(agree, eq(true), "seed {seed}, request {}", request.0);
        }
    }
}

/// Without crashes, the table stays empty.
#[googletest::test]
fn no_reports_without_crashes() {
    let mut suspects = PoisonRequests::default();
    (0..10_000).for_each(|number| suspects.record_completed(Fingerprint(number), at(number)));
    expect_that!(suspects.is_empty(), eq(true));
    expect_that!(suspects.recent_reports(at(10_000)), is_empty());
    expect_that!(suspects.quarantined_reports(9, at(10_000) + Duration::from_secs(9)), is_empty());
}
