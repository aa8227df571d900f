//! Property test of the router: it chooses only available servers, and it chooses one
//! whenever one is available.

use mastweir_core::{
    id::Incarnation,
    route::{Policy, Request, Router, ServerView, Signal},
    time::Uptime,
    wire::Load,
};
use proptest::{prelude::*, test_runner::Config};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// An input of the router, or a choice.
#[derive(Clone, Debug)]
enum Step {
    Report(usize, u32, bool),
    Send(usize),
    End(usize, Signal),
    Advance(u64),
    Choose(u64, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..200_usize;
    let signal = prop_oneof![Just(Signal::Success), Just(Signal::Failed), Just(Signal::Stalled)];
    let step = prop_oneof![
        4 => (index.clone(), 0..5_000_u32, prop::bool::weighted(0.1))
            .prop_map(|(i, backlog, leaving)| Step::Report(i, backlog, leaving)),
        3 => index.clone().prop_map(Step::Send),
        2 => (index.clone(), signal).prop_map(|(i, signal)| Step::End(i, signal)),
        1 => (1..4_000_u64).prop_map(Step::Advance),
        4 => (any::<u64>(), index).prop_map(|(prefix, tried)| Step::Choose(prefix, tried)),
    ];
    prop::collection::vec(step, 1..120)
}

fn is_available(server: &ServerView, now: Uptime, policy: &Policy, tried: &[String]) -> bool {
    let Some((load, at)) = &server.report else { return false };
    let on_trial = server.health.is_trial(now) && server.in_flight > 0;
    !load.leaving
        && now.since(*at) <= policy.max_silence
        && !server.health.is_ejected(now)
        && !on_trial
        && !tried.contains(&server.name)
}

fn check(router: &Router, prefix: u64, tried: usize, now: Uptime, rng: &mut SmallRng) {
    let tried = vec![router.servers()[tried].name.clone()];
    let request = Request { prefix: Some(prefix), saved_units: 10, cost: 100, tried: &tried };
    let policy = Policy::default();
    let available = |server: &ServerView| is_available(server, now, &policy, &tried);
    match router.choose(&request, now, rng) {
        Some(choice) => {
            let server = &router.servers()[choice.index];
            assert!(available(server), "chose a server that is not available: {server:?}");
        }
        None => assert!(
            !router.servers().iter().any(available),
            "chose none although a server is available"
        ),
    }
}

fn run(servers: usize, steps: &[Step]) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut router = Router::new(Policy::default());
    let server = |i| ServerView::new(format!("s{i}"), i % 3 != 0);
    router.set_servers((0..servers).map(server).collect());
    let mut now = Uptime::from_secs(1);
    for step in steps {
        match step {
            Step::Report(i, backlog, leaving) => {
                let load = Load {
                    incarnation: Incarnation(1),
                    uptime: now,
                    slots: 4,
                    running: 2,
                    mean_remaining: 50,
                    rate: 400,
                    backlog: *backlog,
                    leaving: *leaving,
                    ..Load::default()
                };
                router.on_report(i % servers, &load, now);
            }
            Step::Send(i) => router.on_sent(i % servers, 100, now),
            Step::End(i, signal) => {
                router.on_ended(i % servers, Some(*signal), now);
            }
            Step::Advance(millis) => now = now + Duration::from_millis(*millis),
            Step::Choose(prefix, tried) => {
                check(&router, *prefix, tried % servers, now, &mut rng);
            }
        }
        let out = router.servers().iter().filter(|server| server.health.is_ejected(now)).count();
        assert!(
            out * 100 <= servers * Policy::default().eject_pct,
            "{out} of {servers} servers are ejected"
        );
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d77_0004),
        ..Config::default()
    })]

    #[test]
    fn only_available_servers_are_chosen(servers in 1..170_usize, steps in steps()) {
        run(servers, &steps);
    }
}

/// Guards against choosing no server when all servers are affinity targets of the prefix
/// and all of them are saturated.
#[test]
fn saturated_affinity_targets_are_still_candidates() {
    let full: Vec<Step> = (0..2).map(|i| Step::Report(i, 4_000, false)).collect();
    let steps = [full, vec![Step::Choose(7, 0), Step::Choose(9, 1)]].concat();
    run(2, &steps);
}

/// Guards against entries that choose servers in the same order and overload the first one.
#[test]
fn entries_start_with_different_servers() {
    let mut chosen = std::collections::HashSet::new();
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut router = Router::new(Policy::default());
        router.set_servers((0..20).map(|i| ServerView::new(format!("s{i}"), true)).collect());
        let now = Uptime::from_secs(1);
        for index in 0..20 {
            let load = Load { slots: 4, rate: 400, mean_remaining: 50, ..Load::default() };
            router.on_report(index, &load, now);
        }
        let choice = router.choose(&Request::default(), now, &mut rng);
        chosen.extend(choice.map(|choice| choice.index));
    }
    assert!(chosen.len() > 8, "20 entries started with {} servers", chosen.len());
}
