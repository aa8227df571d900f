//! Exchange of expert maps as deltas: with lost or late deltas and restarted sidecars, all sidecars
//! must have the same map for a version.

use googletest::prelude::*;
use mastweir_core::switch::{
    map_change::GroupMap,
    maps::{MapCache, MapDelta, round_robin_map},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::sync::Arc;

const SETS: usize = 2;
const EXPERTS: usize = 12;
const RANKS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The coordinator plans a map on its current base.
    Plan(usize, u16),
    /// A sidecar receives the last delta or an earlier one.
    Receive(usize, usize),
    /// A sidecar that lacks the base receives the full map.
    Full(usize),
    /// A sidecar restarts.
    Restart(usize),
    /// A coordinator that knows fewer maps plans on an older base.
    Rewind,
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..64_usize;
    prop_oneof![
        4 => (any.clone(), 0..12_u16).prop_map(|(rank, expert)| Step::Plan(rank, expert)),
        10 => (any.clone(), 0..4_usize).prop_map(|(at, back)| Step::Receive(at, back)),
        2 => any.clone().prop_map(Step::Full),
        1 => any.prop_map(Step::Restart),
        1 => Just(Step::Rewind),
    ]
}

fn new_cache() -> MapCache {
    let mut maps = MapCache::default();
    maps.set_epoch(1);
    maps.insert(0, Arc::new(round_robin_map(SETS, EXPERTS, RANKS)));
    maps
}

#[test]
fn version_denotes_one_map_despite_losses() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(step(), 60);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut sidecars: Vec<MapCache> = (0..RANKS).map(|_| new_cache()).collect();
        let mut planned: Vec<(u64, GroupMap)> = vec![(0, round_robin_map(SETS, EXPERTS, RANKS))];
        let mut deltas: Vec<MapDelta> = Vec::new();
        let mut base = 0;
        for step in steps {
            match step {
                Step::Plan(rank, expert) => {
                    let (version, map) = &planned[base];
                    let mut next = map.clone();
                    next[rank % SETS][rank % RANKS].push(expert);
                    let number = planned.len() as u64;
                    deltas.push(MapDelta::from_base((*version, map), number, &next));
                    planned.push((number, next));
                    base = planned.len() - 1;
                }
                Step::Receive(at, back) => {
                    let Some(position) = deltas.len().checked_sub(back + 1) else { continue };
                    let delta = &deltas[position];
                    if let Some(map) = sidecars[at % RANKS].apply(delta) {
                        prop_assert_eq!(&*map, &planned[delta.version as usize].1);
                    }
                }
                Step::Full(at) => {
                    let (version, map) = &planned[base];
                    let received = sidecars[at % RANKS].apply(&MapDelta::full(*version, map));
                    prop_assert_eq!(received.as_deref(), Some(map));
                }
                Step::Restart(at) => sidecars[at % RANKS] = new_cache(),
                Step::Rewind => base = base.saturating_sub(1),
            }
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against deltas applied to a base map of a previous epoch.
#[googletest::test]
fn new_epoch_of_the_group_knows_no_map() {
    let mut maps = new_cache();
    let (before, mut next) =
        (round_robin_map(SETS, EXPERTS, RANKS), round_robin_map(SETS, EXPERTS, RANKS));
    next[0][0].push(11);
    let delta = MapDelta::from_base((0, &before), 9, &next);
    expect_that!(maps.apply(&delta).as_deref(), some(eq(&next)));
    maps.set_epoch(2);
    expect_that!(maps.get(9), none());
    expect_that!(maps.apply(&delta), none());
}

/// Guards against deltas applied to another map than their base.
#[googletest::test]
fn delta_on_another_base_is_refused() {
    let (before, mut next) =
        (round_robin_map(SETS, EXPERTS, RANKS), round_robin_map(SETS, EXPERTS, RANKS));
    next[1][2].push(7);
    let delta = MapDelta::from_base((0, &before), 3, &next);
    let mut maps = MapCache::default();
    maps.set_epoch(1);
    maps.insert(0, Arc::new(round_robin_map(SETS, EXPERTS, RANKS - 1)));
    expect_that!(maps.apply(&delta), none());
}
