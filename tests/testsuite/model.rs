//! Fleets in virtual time: limits, pauses and leaving of servers, while gateways are killed, stand
//! still and are cut off from each other.

use googletest::prelude::*;
use mastweir_model::{BadScenario, Fault, Scenario, Strike, draw, run, shrink};

/// Seeds that are played in the suite.
const SEEDS: u64 = 60;

const SCENARIO: &str = r#"
gateways = 8
halls = 3
servers = 2
seconds = 30.0
requests_s = 40.0
[[faults]]
at = 1.0
for_s = 25.0
kind = "limit"
server = 0
per_s = 1.5
[[faults]]
at = 10.0
for_s = 4.0
kind = "cut_hall"
hall = 0
"#;

#[googletest::test]
fn what_servers_ask_for_is_kept() {
    for seed in 0..SEEDS {
        let scenario = draw(seed);
        let broken = run(&scenario, seed).broken;
        if !broken.is_empty() {
            let least = shrink(&scenario, seed);
            expect_that!(broken, is_empty(), "seed {seed}, the least that breaks it: {least:#?}");
        }
    }
}

/// A gateway that is cut off asks the lender in vain, and is back before it would lend itself.
/// Told by silence alone it lent for four seconds beside the lender: 36 requests in 4 s of 35.
#[googletest::test]
fn one_that_got_no_answer_does_not_take_itself_for_the_lender() {
    let limit = Strike { at: 4.568, for_s: 16.56, fault: Fault::Limit { server: 1, per_s: 5.0 } };
    let cut = Strike { at: 7.86, for_s: 4.132, fault: Fault::CutGateway { gateway: 10 } };
    let scenario = Scenario {
        gateways: 12,
        halls: 3,
        servers: 4,
        seconds: 40.0,
        requests_s: 150.0,
        faults: vec![limit, cut],
    };
    for seed in 2_415..2_425 {
        expect_that!(run(&scenario, seed).broken, is_empty(), "seed {seed}");
    }
}

#[googletest::test]
fn a_seed_gives_the_same_run() {
    for seed in [3, 14] {
        expect_that!(run(&draw(seed), seed), eq(&run(&draw(seed), seed)));
    }
}

/// A limit is used, also where all servers name one.
#[googletest::test]
fn limits_are_used() {
    let limit =
        |server| Strike { at: 0.5, for_s: 60.0, fault: Fault::Limit { server, per_s: 2.0 } };
    let scenario = Scenario {
        gateways: 8,
        halls: 3,
        servers: 3,
        seconds: 40.0,
        requests_s: 40.0,
        faults: (0..3).map(limit).collect(),
    };
    let outcome = run(&scenario, 5);
    expect_that!(outcome.broken, is_empty());
    // Six a second from the fourth second on, and what came before they were known.
    expect_that!(outcome.served, ge(170));
    expect_that!(outcome.refused, ge(1_000));
}

#[googletest::test]
fn a_scenario_is_read_from_a_file() {
    let scenario = Scenario::read(SCENARIO);
    expect_that!(scenario.as_ref().map(|read| read.faults.len()), ok(eq(2)));
    let outcome = scenario.map(|scenario| run(&scenario, 1));
    expect_that!(outcome.as_ref().map(|outcome| outcome.broken.len()), ok(eq(0)));
}

#[googletest::test]
fn a_scenario_that_cant_be_is_refused_with_its_remedy() {
    let told = |from: &str, to: &str| {
        let read = Scenario::read(&SCENARIO.replace(from, to));
        read.map_err(|error: BadScenario| error.to_string()).err().unwrap_or_default()
    };
    expect_that!(
        told("at = 10.0", "at = 31.0"),
        eq("scenario: faults[1].at can't be 31; give a time before the end of the run")
    );
    expect_that!(
        told("server = 0", "server = 2"),
        eq("scenario: faults[0].server can't be 2; give one that there is")
    );
    expect_that!(
        told("per_s = 1.5", "per_s = -1"),
        eq("scenario: faults[0].per_s can't be -1; give a number from 0 on")
    );
    expect_that!(told("cut_hall", "cut_all"), contains_substring("line 13"));
    expect_that!(told("halls = 3", "halls = 9"), contains_substring("halls can't be 9"));
}
