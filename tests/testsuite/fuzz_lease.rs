//! Stateful fuzz of leases and members: processes that pause, writes whose
//! replies are lost, clocks that run apart. Two never hold one lease in one
//! epoch, and a member that is gone comes back only in a new life.

use mastweir_core::{
    id::{Fence, Incarnation},
    member::{Heartbeat, MemberState, Members, Timing},
    switch::{Lease, LeasePlan, LeaseRecord},
    time::Uptime,
};
use proptest::{prelude::*, test_runner::Config};
use std::{collections::HashMap, time::Duration};

const HOLDERS: usize = 3;
const TERM: Duration = Duration::from_secs(8);

/// What happens to the holders of a lease.
#[derive(Clone, Debug)]
enum Step {
    /// A holder reads the record.
    Read(usize),
    /// It writes what it planned by what it read; the reply may be lost.
    Write(usize, bool),
    /// Time passes for all, in milliseconds.
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..HOLDERS).prop_map(Step::Read),
        4 => (0..HOLDERS, prop::bool::weighted(0.2)).prop_map(|(i, lost)| Step::Write(i, lost)),
        3 => (1..6_000_u64).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..120)
}

/// A write that a holder has planned: on which version, and since when.
type Planned = (u64, LeaseRecord, Uptime);

fn run_leases(steps: &[Step]) {
    let mut now = Uptime::from_secs(1);
    let mut stored: Option<(u64, LeaseRecord)> = None;
    let fence = |i: usize| Fence { server: i.to_string(), incarnation: Incarnation(1) };
    let mut leases: Vec<Lease> = (0..HOLDERS).map(|i| Lease::new(fence(i), TERM)).collect();
    let mut planned: Vec<Option<Planned>> = vec![None; HOLDERS];
    let mut epochs: HashMap<u64, usize> = HashMap::new();
    for step in steps {
        match step {
            Step::Read(i) => {
                let version = stored.as_ref().map_or(0, |(version, _)| *version);
                let record = stored.as_ref().map(|(_, record)| record);
                planned[*i] = match leases[*i].plan(record, now) {
                    LeasePlan::Write(record) => Some((version, record, now)),
                    LeasePlan::Wait => None,
                };
            }
            Step::Write(i, lost) => {
                let Some((version, record, sent)) = planned[*i].take() else { continue };
                let current = stored.as_ref().map_or(0, |(version, _)| *version);
                if version != current {
                    leases[*i].mark_lost();
                    continue;
                }
                stored = Some((version + 1, record.clone()));
                if !lost {
                    leases[*i].mark_written(&record, sent);
                }
            }
            Step::Pass(millis) => now = now + Duration::from_millis(*millis),
        }
        let held = leases.iter().filter(|lease| lease.is_held(now)).count();
        assert!(held <= 1, "{held} hold the lease at one time");
        for (i, lease) in leases.iter().enumerate() {
            if let Some(epoch) = lease.epoch(now) {
                let holder = *epochs.entry(epoch).or_insert(i);
                assert_eq!(holder, i, "epoch {epoch} was held by two");
            }
        }
    }
}

/// What members hear: name, incarnation, beat, whether it leaves; or time.
#[derive(Clone, Debug)]
enum News {
    Heartbeat(usize, u64, u64, bool),
    Pass(u64),
}

fn news() -> impl Strategy<Value = Vec<News>> {
    let heard = (0..3_usize, 1..4_u64, 1..50_u64, prop::bool::weighted(0.1));
    let news = prop_oneof![
        4 => heard.prop_map(|(i, life, beat, leaves)| News::Heartbeat(i, life, beat, leaves)),
        2 => (1..20_000_u64).prop_map(News::Pass),
    ];
    prop::collection::vec(news, 1..80)
}

fn run_members(news: &[News]) {
    let mut now = Uptime::from_secs(1);
    let mut members = Members::new(Timing::default(), now);
    let mut done: HashMap<String, Incarnation> = HashMap::new();
    for item in news {
        match item {
            News::Heartbeat(i, life, beat, leaving) => {
                let name = i.to_string();
                let incarnation = Incarnation(*life);
                members.on_heartbeat(
                    &Heartbeat { name, incarnation, beat: *beat, leaving: *leaving },
                    now,
                );
            }
            News::Pass(millis) => {
                now = now + Duration::from_millis(*millis);
                members.tick(now);
            }
        }
        for i in 0..3 {
            let name = i.to_string();
            let Some(life) = members.state(&name) else { continue };
            let ended = matches!(life, MemberState::Removed(_) | MemberState::Leaving(_));
            if ended {
                let last = done.entry(name).or_default();
                *last = (*last).max(life.incarnation());
            } else if let Some(last) = done.get(&name) {
                assert!(life.incarnation() > *last, "{name} came back in a life that had ended");
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6d77_0005),
        ..Config::default()
    })]

    #[test]
    fn one_holder_an_epoch(steps in steps()) {
        run_leases(&steps);
    }

    #[test]
    fn ended_lives_stay_ended(news in news()) {
        run_members(&news);
    }
}

/// A mutation that the fuzz lets pass: late heartbeats of a former life must
/// not keep the present one alive.
#[test]
fn heartbeat_of_a_former_life_does_not_count() {
    let mut now = Uptime::from_secs(1);
    let mut members = Members::new(Timing::default(), now);
    let heard = |life, beat| Heartbeat {
        name: "e1".to_owned(),
        incarnation: Incarnation(life),
        beat,
        leaving: false,
    };
    members.on_heartbeat(&heard(2, 5), now);
    for _ in 0..8 {
        now = now + Duration::from_secs(1);
        members.tick(now);
        members.on_heartbeat(&heard(1, 100), now);
    }
    assert!(!members.is_alive("e1"));
}
