//! Quarantine of parts of prompts that crash servers: sound parts of the same prompts are told
//! apart, and gateways converge despite lost messages.

use googletest::prelude::*;
use mastweir::platform::headers::read_request;
use mastweir_core::{
    gateway::{
        CrashedPart, Fingerprint, PartReport, PassedPart, PoisonPrompts, QUARANTINE_DURATION,
        RecentRuns, RunEnd,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::HashMap, rc::Rc};

/// Part that crashes servers, part of the same prompts that sound ones have, and part of all.
const HARMFUL: Fingerprint = Fingerprint(1);
const SHARED: Fingerprint = Fingerprint(2);
const FIRST: Fingerprint = Fingerprint(3);

fn incarnation(number: u64) -> Fingerprint {
    Fingerprint::of_incarnation(&format!("i-{number}"))
}

fn at(millis: u64) -> Uptime {
    Uptime::from_millis(millis)
}

fn gateway(number: usize) -> PoisonPrompts {
    PoisonPrompts::new(Fingerprint::of_instance(&format!("gateway-{number}")))
}

/// Records a crash during an answer whose prompt had these parts.
fn crash(prompts: &mut PoisonPrompts, parts: &[Fingerprint], server: u64, millis: u64) {
    let parts = parts.iter().map(|part| CrashedPart { part: *part, begun: true });
    let parts: Vec<CrashedPart> = parts.collect();
    prompts.record_crash(&parts, incarnation(server), at(millis), at(millis));
}

fn pass(prompts: &mut PoisonPrompts, part: Fingerprint, millis: u64) {
    prompts.record_passed(PassedPart { part, begun: at(millis) }, at(millis + 2_000));
}

/// Returns whether requests with only this shared part are held back.
fn is_held(prompts: &mut PoisonPrompts, part: Fingerprint, millis: u64) -> bool {
    prompts.hold(&[part], at(millis)).is_some()
}

#[googletest::test]
fn two_crashes_quarantine_the_part_that_was_not_in_use_before() {
    let mut prompts = gateway(0);
    pass(&mut prompts, FIRST, 1_000);
    crash(&mut prompts, &[FIRST, HARMFUL], 1, 5_000);
    expect_that!(prompts.quarantine_proven(at(6_000)), is_empty());
    expect_that!(is_held(&mut prompts, HARMFUL, 6_000), eq(true));
    expect_that!(is_held(&mut prompts, FIRST, 6_000), eq(false));
    crash(&mut prompts, &[FIRST, HARMFUL], 2, 12_000);
    // Other gateways may still report parts of the same crash.
    expect_that!(prompts.quarantine_proven(at(12_100)), is_empty());
    expect_that!(prompts.quarantine_proven(at(13_000)), elements_are![eq(&HARMFUL)]);
    let hold = prompts.hold(&[FIRST, HARMFUL], at(60_000));
    expect_that!(hold.map(|hold| (hold.part, hold.is_quarantined)), some(eq((HARMFUL, true))));
    expect_that!(is_held(&mut prompts, FIRST, 13_000), eq(false));
}

/// Of two new parts that crash together, the one that sound prompts have, too, is cleared by them.
#[googletest::test]
fn part_of_sound_prompts_is_cleared_by_a_trial() {
    let mut prompts = gateway(0);
    crash(&mut prompts, &[SHARED, HARMFUL], 1, 5_000);
    crash(&mut prompts, &[SHARED, HARMFUL], 2, 5_400);
    // Either may be at fault.
    expect_that!(prompts.quarantine_proven(at(9_000)), is_empty());
    expect_that!(is_held(&mut prompts, SHARED, 6_000), eq(true));
    expect_that!(is_held(&mut prompts, HARMFUL, 6_000), eq(true));
    let trial = (5_400..).step_by(50).find(|now| !is_held(&mut prompts, SHARED, *now));
    let trial = trial.unwrap_or_default();
    expect_that!(trial, all!(ge(6_400), le(8_400)));
    // Prompts with both wait for longer, and one trial at a time is made.
    expect_that!(prompts.hold(&[SHARED, HARMFUL], at(trial)), some(anything()));
    expect_that!(prompts.begin(&[SHARED], at(trial)), none());
    expect_that!(prompts.begin(&[SHARED], at(trial + 100)), some(anything()));
    pass(&mut prompts, SHARED, trial);
    expect_that!(is_held(&mut prompts, SHARED, trial + 2_000), eq(false));
    expect_that!(prompts.quarantine_proven(at(trial + 2_000)), elements_are![eq(&HARMFUL)]);
}

/// A part in use may begin to crash servers, but takes more crashes without an answer that goes on.
#[googletest::test]
fn part_in_use_is_quarantined_after_more_crashes() {
    let mut prompts = gateway(0);
    for part in [FIRST, HARMFUL] {
        pass(&mut prompts, part, 1_000);
    }
    for server in 0..2 {
        crash(&mut prompts, &[FIRST, HARMFUL], server, 5_000 + server * 4_000);
        expect_that!(is_held(&mut prompts, HARMFUL, 5_100 + server * 4_000), eq(false));
    }
    pass(&mut prompts, FIRST, 10_000);
    crash(&mut prompts, &[FIRST, HARMFUL], 3, 13_000);
    expect_that!(is_held(&mut prompts, HARMFUL, 13_100), eq(true));
    expect_that!(is_held(&mut prompts, FIRST, 13_100), eq(false));
    crash(&mut prompts, &[FIRST, HARMFUL], 4, 25_000);
    expect_that!(prompts.quarantine_proven(at(26_000)), elements_are![eq(&HARMFUL)]);
    // What passed long ago proves little.
    let mut prompts = gateway(0);
    pass(&mut prompts, HARMFUL, 1_000);
    crash(&mut prompts, &[HARMFUL], 1, 90_000);
    expect_that!(is_held(&mut prompts, HARMFUL, 90_100), eq(true));
}

/// A rack that fails crashes several servers at once, whatever they run.
#[googletest::test]
fn crashes_at_the_same_time_count_once() {
    let mut prompts = gateway(0);
    for server in 0..6 {
        crash(&mut prompts, &[HARMFUL], server, 5_000 + server * 10);
    }
    expect_that!(prompts.quarantine_proven(at(9_000)), is_empty());
    expect_that!(is_held(&mut prompts, HARMFUL, 5_100), eq(true));
    expect_that!(is_held(&mut prompts, HARMFUL, 15_000), eq(false));
}

/// Without a crash that is confirmed, the suspicion ends; others never learn of it.
#[googletest::test]
fn live_servers_clear_suspected_parts() {
    let mut prompts = gateway(0);
    let part = CrashedPart { part: HARMFUL, begun: true };
    prompts.add_suspects(&[part], incarnation(1), at(5_000));
    expect_that!(is_held(&mut prompts, HARMFUL, 5_100), eq(true));
    expect_that!(prompts.report(HARMFUL, at(5_100)), none());
    prompts.clear(incarnation(1));
    expect_that!(is_held(&mut prompts, HARMFUL, 5_200), eq(false));
    expect_that!(prompts.is_empty(), eq(true));
}

/// An operator lifts a quarantine; further crashes count anew. After an hour one request is tried.
#[googletest::test]
fn quarantine_ends_by_operator_or_trial() {
    let mut prompts = gateway(0);
    crash(&mut prompts, &[HARMFUL], 1, 5_000);
    crash(&mut prompts, &[HARMFUL], 2, 15_000);
    expect_that!(prompts.quarantine_proven(at(16_000)), len(eq(1)));
    let mut tried = prompts.clone();
    let lifted = prompts.report(HARMFUL, at(20_000));
    let lifted = lifted.map(|report| PartReport { passed_ms: Some(0), ..report });
    lifted.iter().for_each(|report| drop(prompts.merge(report, at(20_000))));
    expect_that!(is_held(&mut prompts, HARMFUL, 20_000), eq(false));
    crash(&mut prompts, &[HARMFUL], 3, 30_000);
    expect_that!(prompts.quarantine_proven(at(31_000)), is_empty());

    let hour = u64::try_from(QUARANTINE_DURATION.as_millis()).unwrap_or_default();
    let held = (16_000..).step_by(60_000).take_while(|now| is_held(&mut tried, HARMFUL, *now));
    let trial = held.last().unwrap_or_default() + 60_000;
    expect_that!(trial, all!(ge(hour), le(3 * hour + 100_000)));
    expect_that!(tried.begin(&[HARMFUL], at(trial)), none());
    // It crashes another server, and is quarantined as before.
    crash(&mut tried, &[HARMFUL], 3, trial + 100);
    expect_that!(is_held(&mut tried, HARMFUL, trial + hour / 2), eq(true));
    // Another one passes.
    pass(&mut tried, HARMFUL, trial + 1_000);
    expect_that!(is_held(&mut tried, HARMFUL, trial + 3_000), eq(false));
}

/// A part that is asked for again and again is forgotten at the same time as one that is not.
#[googletest::test]
fn refusals_do_not_extend_the_quarantine_of_a_part() {
    let mut prompts = gateway(0);
    crash(&mut prompts, &[HARMFUL], 1, 0);
    crash(&mut prompts, &[HARMFUL], 2, 1_000);
    expect_that!(prompts.quarantine_proven(at(2_000)), len(eq(1)));
    let end = u64::try_from((QUARANTINE_DURATION * 3).as_millis()).unwrap_or_default() + 120_000;
    (2_000..end).step_by(60_000).for_each(|now| {
        is_held(&mut prompts, HARMFUL, now);
    });
    prompts.expire(at(end));
    expect_that!(prompts.is_empty(), eq(true));
}

/// Trials crash one server an hour, however many crashed before.
#[googletest::test]
fn trials_of_a_harmful_part_are_an_hour_apart() {
    let mut prompts = gateway(0);
    let mut last = 0;
    for server in 0..12 {
        last = 5_000 + server * 1_000;
        crash(&mut prompts, &[HARMFUL], server, last);
    }
    expect_that!(prompts.quarantine_proven(at(last + 1_000)), len(eq(1)));
    let hour = u64::try_from(QUARANTINE_DURATION.as_millis()).unwrap_or_default();
    for server in 20..24 {
        let held = (last..).step_by(60_000).take_while(|now| is_held(&mut prompts, HARMFUL, *now));
        let trial = held.last().unwrap_or_default() + 60_000;
        expect_that!(trial - last, ge(hour), "{server}");
        expect_that!(prompts.begin(&[HARMFUL], at(trial)), none());
        last = trial + 100;
        crash(&mut prompts, &[HARMFUL], server, last);
    }
}

/// A gateway that starts anew represents times before its start.
#[googletest::test]
fn gateway_that_starts_learns_quarantines_with_their_age() {
    let mut prompts = gateway(0);
    pass(&mut prompts, SHARED, 1_000);
    for (server, millis) in [(1, 200_000), (2, 210_000)] {
        crash(&mut prompts, &[HARMFUL, SHARED], server, millis);
    }
    pass(&mut prompts, SHARED, 211_000);
    expect_that!(prompts.quarantine_proven(at(220_000)), elements_are![eq(&HARMFUL)]);
    let mut started = gateway(1);
    for report in prompts.quarantined_reports(9, at(300_000)) {
        expect_that!(started.merge(&report, at(500)).is_quarantined, eq(true));
    }
    expect_that!(is_held(&mut started, HARMFUL, 600), eq(true));
    // It has not seen the answer that refutes its crash, but a report on that arrives.
    started.merge(
        &PartReport {
            part: HARMFUL,
            crashes: Vec::new(),
            passed_ms: Some(10_000),
            is_quarantined: false,
            age_ms: 10_000,
        },
        at(700),
    );
    expect_that!(is_held(&mut started, HARMFUL, 800), eq(false));
}

/// Bounds hold whatever callers send, and quarantined parts are kept.
#[googletest::test]
fn memory_is_bounded_and_quarantined_parts_are_kept() {
    let mut prompts = gateway(0);
    crash(&mut prompts, &[HARMFUL], 1, 0);
    crash(&mut prompts, &[HARMFUL], 2, 1_000);
    expect_that!(prompts.quarantine_proven(at(2_000)), len(eq(1)));
    for number in 0..20_000 {
        crash(&mut prompts, &[Fingerprint(100 + number)], 3, 2_000 + number);
        pass(&mut prompts, Fingerprint(1_000_000 + number), 2_000 + number);
    }
    expect_that!(prompts.recent_reports(at(22_000)).len(), le(1_024));
    expect_that!(is_held(&mut prompts, HARMFUL, 22_000), eq(true));
}

/// Only answers that go on, or are complete, on a server that lives clear their parts.
#[googletest::test]
fn answers_clear_parts_only_if_servers_write_on() {
    let parts: Rc<[Fingerprint]> = Rc::from([FIRST]);
    let mut runs = RecentRuns::default();
    let mut start = |server, begun: Option<u64>| {
        let id = runs.start(incarnation(server), &parts);
        id.into_iter()
            .for_each(|id| begun.into_iter().for_each(|at_ms| runs.record_begun(id, at(at_ms))));
        id
    };
    let [writes, stalls, ends, waits, crashes] =
        [(1, Some(0)), (2, Some(0)), (3, Some(0)), (4, None), (5, Some(500))]
            .map(|(server, begun)| start(server, begun).into_iter().next());
    for (id, written) in [(writes, 1_500), (stalls, 300), (crashes, 1_900)] {
        id.into_iter().for_each(|id| runs.record_written(id, at(written)));
    }
    ends.into_iter().for_each(|id| runs.record_end(id, RunEnd::Completed, at(80)));
    waits.into_iter().for_each(|id| runs.record_end(id, RunEnd::NotRun, at(90)));
    // Of these two, the one whose answer began within a second of the crash is a suspect.
    expect_that!(runs.record_crash(incarnation(5), at(1_400)), len(eq(1)));
    expect_that!(runs.record_crash(incarnation(1), at(1_600)), is_empty());
    // A complete answer is a suspect as well, and one that may have begun.
    expect_that!(runs.suspects(incarnation(3), at(150)), len(eq(1)));
    let queued = runs.start(incarnation(6), &parts);
    queued.into_iter().for_each(|id| runs.record_end(id, RunEnd::Broken, at(200)));
    let suspects = runs.suspects(incarnation(6), at(210));
    expect_that!(suspects.first().map(|suspect| suspect.begun), some(eq(false)));
    let passed: Vec<Uptime> = runs.settle(at(2_600)).iter().map(|part| part.begun).collect();
    expect_that!(passed, eq(&vec![at(0), at(0)]));
}

/// Parts of prompts as callers send them: bounded, without the last one, never refused.
#[googletest::test]
fn prompt_header_is_read_leniently() {
    let shared = |values: &[&str]| {
        let mut headers = hyper::HeaderMap::new();
        for value in values {
            headers.append("prompt-prefix", value.parse().unwrap_or_else(|_| unreachable!()));
        }
        let prompt = read_request(&headers).prompt;
        (prompt.shared.len(), prompt.is_malformed)
    };
    let many = vec!["a1:4"; 70].join(",");
    let different: Vec<String> = (0..1_000).map(|number| format!("{number:x}:1")).collect();
    let rows = [
        shared(&[]),
        shared(&[""]),
        shared(&["5c1e07a2:800"]),
        shared(&["5c1e07a2:800,91bd3f06:410,e4402b7d:250"]),
        shared(&["5c1e07a2:800", "91bd3f06:410,e4402b7d:250"]),
        shared(&["no hex:1,5c1e07a2:800"]),
        shared(&["5c1e07a2,91bd3f06:x,:4,e4402b7d:250"]),
        shared(&["5c1e07a2:800,5c1e07a2:800,e4402b7d:250"]),
        // The last part may be one of the shared ones.
        shared(&["5c1e07a2:800,5c1e07a2:800"]),
        shared(&[&many]),
        shared(&[&different.join(",")]),
    ];
    expect_that!(
        rows,
        eq([
            (0, false),
            (0, true),
            (0, false),
            (2, false),
            (2, false),
            (1, false),
            (2, true),
            (1, false),
            (1, false),
            (1, true),
            (64, true),
        ])
    );
}

/// One of the gateways that play a fuzz.
struct Peer {
    prompts: PoisonPrompts,
    runs: RecentRuns,
}

/// Several gateways send harmful and sound requests to servers, which crash 0.1 s after the
/// beginning of a harmful answer. Half of the messages are lost. Harmful requests have to stop, and
/// sound ones with all other parts of the same prompts have to go on.
#[googletest::test]
fn gateways_stop_harmful_prompts_and_serve_sound_ones() {
    for seed in 0..40 {
        let count = [2, 7, 38][seed % 3];
        let mut rng = SmallRng::seed_from_u64(seed as u64);
        let mut peers: Vec<Peer> = (0..count)
            .map(|number| Peer { prompts: gateway(number), runs: RecentRuns::default() })
            .collect();
        let mut crashes: Vec<u64> = Vec::new();
        let mut servers = 0;
        let (mut served, mut sent) = (0, 0);
        let mut late_sends = 0;
        // Servers that will crash, and answers that go on, by time.
        let mut dying: HashMap<u64, u64> = HashMap::new();
        let mut writing = Vec::new();
        for now in (0..60_000).step_by(50) {
            let gateway = rng.random_range(0..count);
            let harmful = now >= 3_000 && rng.random_bool(0.1);
            let parts: Rc<[Fingerprint]> = match rng.random_range(0..2) {
                _ if harmful => Rc::from([FIRST, SHARED, HARMFUL]),
                0 => Rc::from([FIRST]),
                _ => Rc::from([FIRST, SHARED]),
            };
            let Peer { prompts, runs } = &mut peers[gateway];
            let is_sent = prompts.begin(&parts, at(now)).is_none();
            if is_sent {
                // Each request has a server of its own, so that crashes break off little else.
                servers += 1;
                let id = runs.start(incarnation(servers), &parts);
                id.into_iter().for_each(|id| runs.record_begun(id, at(now)));
                match harmful {
                    true => drop(dying.insert(servers, now + 100)),
                    false => writing.push((gateway, id, now)),
                }
            }
            if harmful {
                let fifth = crashes.get(4).copied().unwrap_or(u64::MAX);
                late_sends += usize::from(is_sent && now > fifth.saturating_add(3_000));
            } else if now > 20_000 {
                sent += 1;
                served += usize::from(is_sent);
            }
            writing.retain(|(gateway, id, begun)| {
                let runs = &mut peers[*gateway].runs;
                id.iter().for_each(|id| runs.record_written(*id, at(now)));
                now < begun + 1_500
            });
            // A gateway confirms the crash 0.3 s after it.
            let crashed: Vec<u64> =
                dying.iter().filter(|(_, crash)| **crash + 300 <= now).map(|(id, _)| *id).collect();
            for server in crashed {
                let crash = dying.remove(&server).unwrap_or_default();
                crashes.push(crash);
                for peer in &mut peers {
                    let parts = peer.runs.record_crash(incarnation(server), at(crash));
                    peer.prompts.record_crash(&parts, incarnation(server), at(crash), at(now));
                }
            }
            if now % 150 == 0 {
                let mut reports = Vec::new();
                for Peer { prompts, runs } in &mut peers {
                    runs.settle(at(now))
                        .into_iter()
                        .for_each(|part| prompts.record_passed(part, at(now)));
                    prompts.quarantine_proven(at(now));
                    reports.extend(prompts.recent_reports(at(now)));
                }
                for peer in &mut peers {
                    for report in reports.iter().filter(|_| rng.random_bool(0.5)) {
                        peer.prompts.merge(report, at(now));
                    }
                }
            }
        }
        expect_that!(crashes.len(), all!(ge(2), le(8)), "seed {seed}, {count} gateways");
        expect_that!(late_sends, le(3), "seed {seed}, {count} gateways");
        expect_that!(served as f64 / sent as f64, ge(0.9), "seed {seed}, {count} gateways");
        let quarantined =
            peers.iter().filter(|peer| peer.prompts.count_quarantined(&[HARMFUL]) > 0);
        expect_that!(quarantined.count(), eq(count), "seed {seed}");
        let falsely = peers.iter().map(|peer| peer.prompts.count_quarantined(&[FIRST, SHARED]));
        expect_that!(falsely.sum::<usize>(), eq(0), "seed {seed}");
        let late = peers.iter().flat_map(|peer| peer.prompts.recent_reports(at(90_000)));
        expect_that!(late.count(), eq(0), "seed {seed}: reports stop");
    }
}
