//! What goes into a plan: the group's map, its pressure, and the planner's weights.

use mastweir_core::{
    experts::layer_planner::LayerPlanner,
    gateway::Model,
    switch::map_change::{GroupMap, RankExperts},
};
use std::collections::HashSet;

/// Seconds for which a map helps, as demand shifts every few seconds.
const HORIZON_S: f64 = 2.5;
/// What loading a megabyte costs, in seconds of a pass at its mean load: 0.007 for the
/// 1,700 MB of an expert; between 0.002 and 0.01 streams kept pace best there
/// (docs/benchmarks/platform.md).
const MB_COST: f64 = 0.007 / 1_700.0;
/// What a change of map costs besides, in the same: its orders, and a group that now and
/// then stands for some of them.
const CHANGE_COST: f64 = 0.06;
/// Passes take 15 in 100 longer while a rank loads, says the users' page.
const LOAD_SLOWDOWN: f64 = 0.15;
/// Part of a group's places in use at which quicker passes begin to count, and at
/// which they count in full.
const PRESSURE_START: f64 = 0.3;
const PRESSURE_FULL: f64 = 0.7;
/// What they count at least: a burst may come.
const PRESSURE_MIN: f64 = 0.1;

/// What quicker passes are worth to a group, 0 to 1, by the requests that run and
/// wait at its ranks.
pub fn pressure(model: &Model, load: u32, ranks: usize) -> f64 {
    let slots = (model.slots as usize * ranks).max(1);
    let used = f64::from(load) / slots as f64;
    let ratio = (used - PRESSURE_START) / (PRESSURE_FULL - PRESSURE_START);
    ratio.clamp(PRESSURE_MIN, 1.0)
}

/// A group's map from its ranks' parts. One that is missing gets what no other has.
pub fn assemble_map(by_rank: &[Option<RankExperts>], experts: usize) -> GroupMap {
    let sets = by_rank.iter().flatten().map(Vec::len).max().unwrap_or(0);
    let of = |rank: &Option<RankExperts>, set: usize| {
        rank.as_ref().and_then(|layers| layers.get(set)).cloned().unwrap_or_default()
    };
    let by_set = |set: usize| {
        let mut ranks: Vec<Vec<u16>> = by_rank.iter().map(|rank| of(rank, set)).collect();
        let held: HashSet<u16> = ranks.iter().flatten().copied().collect();
        let all = 0..u16::try_from(experts).unwrap_or(u16::MAX);
        let lacking: Vec<u16> = all.filter(|expert| !held.contains(expert)).collect();
        if let Some(missing) = by_rank.iter().position(Option::is_none) {
            ranks[missing] = lacking;
        }
        ranks
    };
    (0..sets).map(by_set).collect()
}

/// The planner for a model's groups.
pub fn planner(model: &Model) -> LayerPlanner {
    LayerPlanner {
        slots: model.expert_slots,
        max_new: model.max_new,
        load_s: model.load_s,
        horizon_s: HORIZON_S,
        load_cost: MB_COST * model.load_mb,
        change_cost: CHANGE_COST,
        load_slowdown: LOAD_SLOWDOWN,
    }
}
