//! Maps of a group by what changes against others: whatever parts are lost, come late or
//! come to sidecars that know nothing, no two ranks take one version for two maps.

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
    /// The coordinator plans another map on the one that it holds for in force.
    Plan(usize, u16),
    /// A sidecar hears of the last change, or of one before.
    Hear(usize, usize),
    /// It says that it lacks the base, and gets all of the last.
    Whole(usize),
    /// A sidecar starts anew.
    Restart(usize),
    /// Another coordinator, which was told of fewer maps, plans on an older one.
    Older,
}

fn step() -> impl Strategy<Value = Step> {
    let any = 0..64_usize;
    prop_oneof![
        4 => (any.clone(), 0..12_u16).prop_map(|(rank, expert)| Step::Plan(rank, expert)),
        10 => (any.clone(), 0..4_usize).prop_map(|(at, back)| Step::Hear(at, back)),
        2 => any.clone().prop_map(Step::Whole),
        1 => any.prop_map(Step::Restart),
        1 => Just(Step::Older),
    ]
}

fn fresh() -> MapCache {
    let mut maps = MapCache::default();
    maps.set_epoch(1);
    maps.insert(0, Arc::new(round_robin_map(SETS, EXPERTS, RANKS)));
    maps
}

#[test]
fn one_version_is_one_map_whatever_is_lost() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = prop::collection::vec(step(), 60);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut sidecars: Vec<MapCache> = (0..RANKS).map(|_| fresh()).collect();
        let mut planned: Vec<(u64, GroupMap)> = vec![(0, round_robin_map(SETS, EXPERTS, RANKS))];
        let mut changes: Vec<MapDelta> = Vec::new();
        let mut base = 0;
        for step in steps {
            match step {
                Step::Plan(rank, expert) => {
                    let (version, map) = &planned[base];
                    let mut next = map.clone();
                    next[rank % SETS][rank % RANKS].push(expert);
                    let number = planned.len() as u64;
                    changes.push(MapDelta::from_base((*version, map), number, &next));
                    planned.push((number, next));
                    base = planned.len() - 1;
                }
                Step::Hear(at, back) => {
                    let Some(at_change) = changes.len().checked_sub(back + 1) else { continue };
                    let change = &changes[at_change];
                    if let Some(map) = sidecars[at % RANKS].apply(change) {
                        prop_assert_eq!(&*map, &planned[change.version as usize].1);
                    }
                }
                Step::Whole(at) => {
                    let (version, map) = &planned[base];
                    let told = sidecars[at % RANKS].apply(&MapDelta::full(*version, map));
                    prop_assert_eq!(told.as_deref(), Some(map));
                }
                Step::Restart(at) => sidecars[at % RANKS] = fresh(),
                Step::Older => base = base.saturating_sub(1),
            }
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// What was known of a life of the group is nothing to the next one.
#[googletest::test]
fn another_life_of_the_group_knows_no_map() {
    let mut maps = fresh();
    let (before, mut next) =
        (round_robin_map(SETS, EXPERTS, RANKS), round_robin_map(SETS, EXPERTS, RANKS));
    next[0][0].push(11);
    let change = MapDelta::from_base((0, &before), 9, &next);
    expect_that!(maps.apply(&change).as_deref(), some(eq(&next)));
    maps.set_epoch(2);
    expect_that!(maps.get(9), none());
    expect_that!(maps.apply(&change), none());
}

/// A base that differs is not taken for the one that was meant.
#[googletest::test]
fn a_change_on_another_base_is_refused() {
    let (before, mut next) =
        (round_robin_map(SETS, EXPERTS, RANKS), round_robin_map(SETS, EXPERTS, RANKS));
    next[1][2].push(7);
    let change = MapDelta::from_base((0, &before), 3, &next);
    let mut maps = MapCache::default();
    maps.set_epoch(1);
    maps.insert(0, Arc::new(round_robin_map(SETS, EXPERTS, RANKS - 1)));
    expect_that!(maps.apply(&change), none());
}
