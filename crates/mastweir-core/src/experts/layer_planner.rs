//! Plans whole expert maps of a group, over all sets of layers.
//!
//! A set is a number of layers that share one placement of their experts. In each set the
//! ranks wait for the one that works longest, so a plan lowers the skew, the work time of that
//! rank over the mean, on average over the sets. Transferring an expert's weights to a rank, as
//! in [`LayerPlanner::load_s`], takes time and slows passes down, and demand changes meanwhile.
//! So a plan is worth the time that it saves within a horizon, less the cost of its transfers.
//! Where a group has slots for requests to spare, faster passes help little; `pressure` scales
//! the gain. A slow rank takes longer for the same work, so its experts are copied to other
//! ranks and then dropped from the slow one; dropping needs no transfer.
//!
//! The planner takes the best step of any set (a copy of an expert, or dropping one), first
//! with one transfer per rank, then with larger budgets, and keeps the first steps up to the
//! highest net gain. A plan for a large group takes thousands of steps. [`Planning::advance`]
//! runs a few at a time, so that the sidecar can handle polls in between.

use super::{
    Workload,
    layer_set::{self, LayerSet, ScoredStep, Step, StepLimits},
};
use crate::switch::map_change::GroupMap;

/// Limits and costs of plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayerPlanner {
    /// Slots per rank in a set.
    pub slots: usize,
    /// Maximum number of experts per rank and set that one plan adds.
    pub max_new: usize,
    /// Seconds that a rank needs to load one expert.
    pub load_s: f64,
    /// Seconds for which a plan is assumed to help.
    pub horizon_s: f64,
    /// Cost of loading one expert, in seconds of the group's passes without skew.
    pub load_cost: f64,
    /// Fixed cost of a change of map, in the same unit.
    pub change_cost: f64,
    /// Relative increase of the pass time while a rank loads.
    pub load_slowdown: f64,
}

/// A map and its expected effect.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlan {
    pub map: GroupMap,
    /// Highest number of experts that one rank has to load.
    pub max_loads: usize,
    /// Number of experts that all ranks together have to load.
    pub total_loads: usize,
    /// Mean skew over the sets before the change.
    pub skew_before: f64,
    /// Mean skew over the sets after the change.
    pub skew_after: f64,
}

/// Limits on the experts that a rank has to load, tried in this order. Experts of large groups are
/// small: 32 of them, two in each of 16 sets, load in 0.6 s.
const LOAD_BUDGETS: [usize; 8] = [1, 2, 3, 5, 8, 12, 20, 32];
/// Steps without a higher net gain after which the next budget is tried: a fixed number, and
/// some per rank, since many ranks may be equally loaded.
const FUTILE_STEPS_PER_RANK: usize = 1;
const MIN_FUTILE_STEPS: usize = 32;

/// Returns the mean skew over the sets.
pub fn mean_skew(map: &GroupMap, work: Workload<'_>) -> f64 {
    let sets = map.iter().zip(work.demand);
    let sum: f64 = sets.map(|(ranks, demand)| layer_set::skew(ranks, demand, work)).sum();
    sum / map.len().max(1) as f64
}

/// Totals of the first `steps` steps of a plan.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    steps: usize,
    loads: usize,
    total_loads: usize,
    skew: f64,
    net_gain: f64,
}

/// A plan in progress.
pub struct Planning<'a> {
    planner: LayerPlanner,
    pressure: f64,
    map: &'a GroupMap,
    sets: Vec<LayerSet<'a>>,
    skews: Vec<f64>,
    skew_before: f64,
    best: Vec<Option<ScoredStep>>,
    loads_used: Vec<usize>,
    total_loads: usize,
    steps: Vec<(usize, Step)>,
    /// Index into [`LOAD_BUDGETS`].
    budget_index: usize,
    best_prefix: Option<Prefix>,
    previous_gain: f64,
    /// Steps since the best prefix.
    futile_steps: usize,
}

impl<'a> Planning<'a> {
    /// Starts a plan from `map`. `pressure` is the value of faster passes: 0 if they save
    /// nothing, 1 if all of the time saved counts.
    pub fn new(
        planner: LayerPlanner,
        map: &'a GroupMap,
        work: Workload<'a>,
        pressure: f64,
    ) -> Self {
        let pairs = map.iter().zip(work.demand);
        let sets: Vec<LayerSet<'_>> =
            pairs.map(|(ranks, demand)| LayerSet::new(ranks, demand, work.slowdown)).collect();
        let skews: Vec<f64> = sets.iter().map(LayerSet::skew).collect();
        let skew_before = skews.iter().sum::<f64>() / skews.len().max(1) as f64;
        let loads_used = vec![0; map.first().map_or(0, Vec::len)];
        let mut planning = Self {
            planner,
            pressure,
            map,
            best: vec![None; sets.len()],
            sets,
            skews,
            skew_before,
            loads_used,
            total_loads: 0,
            steps: Vec::new(),
            budget_index: 0,
            best_prefix: None,
            previous_gain: 0.0,
            futile_steps: 0,
        };
        planning.search_all();
        planning
    }

    /// Takes at most `steps` steps. Returns true once the plan is complete.
    pub fn advance(&mut self, steps: usize) -> bool {
        for _ in 0..steps {
            if self.budget_index >= LOAD_BUDGETS.len() {
                return true;
            }
            if !self.step() {
                self.raise_budget();
            }
        }
        self.budget_index >= LOAD_BUDGETS.len()
    }

    /// Returns the plan; `None` if no change is worth its cost.
    pub fn finish(self) -> Option<LayerPlan> {
        let best_prefix = self.best_prefix?;
        let mut map = self.map.clone();
        for (set, step) in &self.steps[..best_prefix.steps] {
            step.apply(&mut map[*set]);
        }
        Some(LayerPlan {
            map,
            max_loads: best_prefix.loads,
            total_loads: best_prefix.total_loads,
            skew_before: self.skew_before,
            skew_after: best_prefix.skew,
        })
    }

    /// Takes the best step. Returns false if there is none, or if recent steps did not
    /// improve the plan.
    fn step(&mut self) -> bool {
        let gain = |at: &usize| self.best[*at].as_ref().map_or(0.0, |step| step.gain);
        let at = (0..self.sets.len()).max_by(|a, b| gain(a).total_cmp(&gain(b)));
        let Some((at, ScoredStep { step, .. })) =
            at.and_then(|at| Some((at, self.best[at].take()?)))
        else {
            return false;
        };
        self.sets[at].apply(step);
        self.steps.push((at, step));
        self.skews[at] = self.sets[at].skew();
        let mut full = None;
        if let Step::Copy { to, .. } = step {
            self.loads_used[to] += 1;
            self.total_loads += 1;
            full = (self.loads_used[to] >= LOAD_BUDGETS[self.budget_index]).then_some(to);
        }
        for other in 0..self.sets.len() {
            if other == at || self.best[other].is_some_and(|best| best.loads_at(full)) {
                self.search_set(other);
            }
        }
        self.score_prefix();
        self.futile_steps <= MIN_FUTILE_STEPS + FUTILE_STEPS_PER_RANK * self.loads_used.len()
    }

    /// Continues with the next budget, or ends the plan if the last one did not improve it.
    fn raise_budget(&mut self) {
        let net_gain = self.best_prefix.map_or(0.0, |prefix| prefix.net_gain);
        let is_first = self.budget_index == 0;
        let was_futile = net_gain <= self.previous_gain;
        self.previous_gain = net_gain;
        self.futile_steps = 0;
        self.budget_index += 1;
        let exceeds_horizon =
            |loads: &usize| *loads as f64 * self.planner.load_s >= self.planner.horizon_s;
        if (was_futile && !is_first)
            || LOAD_BUDGETS.get(self.budget_index).is_none_or(exceeds_horizon)
        {
            self.budget_index = LOAD_BUDGETS.len();
            return;
        }
        self.search_all();
    }

    fn search_all(&mut self) {
        (0..self.sets.len()).for_each(|at| self.search_set(at));
    }

    fn search_set(&mut self, at: usize) {
        let limits = StepLimits {
            slots: self.planner.slots,
            max_new: self.planner.max_new,
            loads_used: &self.loads_used,
            budget: LOAD_BUDGETS[self.budget_index],
        };
        self.best[at] = self.sets[at].best_step(limits);
    }

    /// Records the steps so far if their net gain is the highest yet.
    fn score_prefix(&mut self) {
        let skew = self.skews.iter().sum::<f64>() / self.skews.len().max(1) as f64;
        let loads = self.loads_used.iter().copied().max().unwrap_or(0);
        let load_time = loads as f64 * self.planner.load_s;
        let saved = (self.skew_before - skew) * (self.planner.horizon_s - load_time).max(0.0);
        let slowed = self.planner.load_slowdown * self.skew_before * load_time;
        let cost = self.planner.load_cost * self.total_loads as f64 + self.planner.change_cost;
        let net_gain = self.pressure * (saved - slowed) - cost;
        if net_gain > self.best_prefix.map_or(0.0, |prefix| prefix.net_gain) {
            let (steps, total_loads) = (self.steps.len(), self.total_loads);
            self.best_prefix = Some(Prefix { steps, loads, total_loads, skew, net_gain });
            self.futile_steps = 0;
        } else {
            self.futile_steps += 1;
        }
    }
}

impl LayerPlanner {
    /// Makes a whole plan at once; `None` if no change is worth its cost. `pressure` is the
    /// value of faster passes, 0 to 1.
    pub fn plan(&self, map: &GroupMap, work: Workload<'_>, pressure: f64) -> Option<LayerPlan> {
        let mut planning = Planning::new(*self, map, work, pressure);
        while !planning.advance(usize::MAX) {}
        planning.finish()
    }
}
