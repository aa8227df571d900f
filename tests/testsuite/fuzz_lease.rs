//! Fuzz tests of leases and members with delays, lost replies and passing time: two processes must
//! not hold a lease in one epoch, and an incarnation that left or was removed must not return.

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
    /// A holder writes what it planned at its last read; the reply may be lost.
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

/// A planned write: version read, record, and time of the read.
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

/// A heartbeat (member, incarnation, number, whether it leaves), or time that passes.
#[derive(Clone, Debug)]
enum Event {
    Heartbeat(usize, u64, u64, bool),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let heard = (0..3_usize, 1..4_u64, 1..50_u64, prop::bool::weighted(0.1));
    let events = prop_oneof![
        4 => heard.prop_map(|(i, number, beat, leaves)| Event::Heartbeat(i, number, beat, leaves)),
        2 => (1..20_000_u64).prop_map(Event::Pass),
    ];
    prop::collection::vec(events, 1..80)
}

fn run_members(events: &[Event]) {
    let mut now = Uptime::from_secs(1);
    let mut members = Members::new(Timing::default(), now);
    let mut done: HashMap<String, Incarnation> = HashMap::new();
    for item in events {
        match item {
            Event::Heartbeat(i, number, beat, leaving) => {
                let name = i.to_string();
                let incarnation = Incarnation(*number);
                members.on_heartbeat(
                    &Heartbeat { name, incarnation, beat: *beat, leaving: *leaving },
                    now,
                );
            }
            Event::Pass(millis) => {
                now = now + Duration::from_millis(*millis);
                members.tick(now);
            }
        }
        for i in 0..3 {
            let name = i.to_string();
            let Some(state) = members.state(&name) else { continue };
            let ended = matches!(state, MemberState::Removed(_) | MemberState::Leaving(_));
            if ended {
                let last = done.entry(name).or_default();
                *last = (*last).max(state.incarnation());
            } else if let Some(last) = done.get(&name) {
                assert!(
                    state.incarnation() > *last,
                    "{name} came back in an incarnation that had ended"
                );
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
    fn lease_has_one_holder_per_epoch(steps in steps()) {
        run_leases(&steps);
    }

    #[test]
    fn ended_incarnations_stay_ended(events in events()) {
        run_members(&events);
    }
}

/// Guards against late heartbeats of a previous incarnation keeping the current one alive.
#[test]
fn heartbeat_of_previous_incarnation_is_ignored() {
    let mut now = Uptime::from_secs(1);
    let mut members = Members::new(Timing::default(), now);
    let heard = |number, beat| Heartbeat {
        name: "e1".to_owned(),
        incarnation: Incarnation(number),
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
