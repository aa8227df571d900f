//! Inputs of the expert planner in a sidecar that coordinates a group: the group's map, the value
//! of shorter passes, and the parameters of the planner.

use mastweir_core::{
    experts::layer_planner::LayerPlanner,
    gateway::Model,
    switch::map_change::{GroupMap, RankExperts},
};
use std::collections::HashSet;

/// Seconds for which a map is expected to fit demand.
const HORIZON_S: f64 = 2.5;
/// Cost of loading one megabyte, in seconds of a pass at its mean load: 0.007 for an expert of
/// 1,700 MB. Between 0.002 and 0.01 for such an expert, most streams are in time.
const MB_COST: f64 = 0.007 / 1_700.0;
/// Fixed cost of a map change, in the same unit: its orders, and the pause of the group that it
/// may need.
const CHANGE_COST: f64 = 0.06;
/// Part by which passes take longer while a rank loads experts, as the platform states it.
const LOAD_SLOWDOWN: f64 = 0.15;
/// Part of a group's slots in use from which shorter passes gain value.
const PRESSURE_START: f64 = 0.3;
/// Part of a group's slots in use from which shorter passes have full value.
const PRESSURE_FULL: f64 = 0.7;
/// Least value of shorter passes, since a burst of requests may come.
const PRESSURE_MIN: f64 = 0.1;

/// Returns the value of shorter passes to a group, 0 to 1, from the number of running and waiting
/// requests at its ranks.
pub fn pressure(model: &Model, load: u32, ranks: usize) -> f64 {
    let slots = (model.slots as usize * ranks).max(1);
    let used = f64::from(load) / slots as f64;
    let ratio = (used - PRESSURE_START) / (PRESSURE_FULL - PRESSURE_START);
    ratio.clamp(PRESSURE_MIN, 1.0)
}

/// Assembles a group's map from the experts of its ranks. The first rank that is missing gets the
/// experts that no other rank has.
pub fn assemble_map(by_rank: &[Option<RankExperts>], experts: usize) -> GroupMap {
    let sets = by_rank.iter().flatten().map(Vec::len).max().unwrap_or(0);
    let of = |rank: &Option<RankExperts>, set: usize| {
        rank.as_ref().and_then(|layers| layers.get(set)).cloned().unwrap_or_default()
    };
    let by_set = |set: usize| {
        let mut ranks: Vec<Vec<u16>> = by_rank.iter().map(|rank| of(rank, set)).collect();
        let held: HashSet<u16> = ranks.iter().flatten().copied().collect();
        let all = 0..u16::try_from(experts).unwrap_or(u16::MAX);
        let unplaced: Vec<u16> = all.filter(|expert| !held.contains(expert)).collect();
        if let Some(missing) = by_rank.iter().position(Option::is_none) {
            ranks[missing] = unplaced;
        }
        ranks
    };
    (0..sets).map(by_set).collect()
}

/// Returns the planner for a model's groups.
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
