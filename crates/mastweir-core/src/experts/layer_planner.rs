//! Plans for groups whose ranks have room for copies, over all sets of layers.
//!
//! A pass lasts, set by set, as long as its most loaded rank. So a plan lowers the
//! sum over the sets of that rank's load. Loading an expert takes a rank time,
//! during which demand moves on; so a plan loads little: each number of steps is weighed
//! by what they save in the time that is left of a horizon, less what their loads cost,
//! and the next plan goes on from there. A group with slots to spare gains little from
//! quicker passes: its pressure weighs the gain. A rank that is slow takes longer for the
//! same load, and all wait for it, so its experts go to others: copied there, and then
//! dropped, which costs no load.
//!
//! Steps are taken where they help most, first with one load a rank, then with more, and
//! what is best_prefix is the part of them, from the first on, that is net_gain most. A plan for
//! 96 ranks and 16 sets of 192 experts takes thousands of steps, so it can be made in
//! parts ([`Planning::advance`]): a process that has a seventh of a core goes on with
//! its heartbeats between them.

use super::{
    Workload,
    layer_set::{self, LayerSet, ScoredStep, Step, StepLimits},
};
use crate::switch::map_change::GroupMap;

/// Bounds and weights of plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayerPlanner {
    /// Experts that a rank holds in a set at most.
    pub slots: usize,
    /// Experts new to a rank in a set that one plan may bring.
    pub max_new: usize,
    /// Seconds that loading one expert takes a rank.
    pub load_s: f64,
    /// Seconds for which a plan is taken to help.
    pub horizon_s: f64,
    /// What loading one expert costs, in seconds of a pass at its mean load.
    pub load_cost: f64,
    /// What a change of map costs besides, in the same.
    pub change_cost: f64,
    /// Part by which passes are slower while a rank loads.
    pub load_slowdown: f64,
}

/// A map, and what it is expected to do.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlan {
    /// The map.
    pub map: GroupMap,
    /// Most loads at one rank.
    pub max_loads: usize,
    /// Loads at all ranks.
    pub total_loads: usize,
    /// Sum over the sets of the most loaded rank's load over the mean, before.
    pub skew_before: f64,
    /// And after, per set on average.
    pub skew_after: f64,
}

/// Loads at one rank that are tried, one behind the other. Experts of large groups are
/// small: 32 of them, two in each of 16 sets, load in 0.6 s.
const LOAD_BUDGETS: [usize; 8] = [1, 2, 3, 5, 8, 12, 20, 32];
/// Steps in a row that make a plan no better, a rank and beside that, after which more
/// loads at a rank are tried: so many ranks may be equally loaded.
const FUTILE_STEPS_PER_RANK: usize = 1;
const MIN_FUTILE_STEPS: usize = 32;

/// Mean skew over the sets: the most loaded rank over the mean at the usual slowdown.
pub fn mean_skew(map: &GroupMap, work: Workload<'_>) -> f64 {
    let sets = map.iter().zip(work.demand);
    let sum: f64 = sets.map(|(ranks, demand)| layer_set::skew(ranks, demand, work)).sum();
    sum / map.len().max(1) as f64
}

/// What the first steps of a plan come to.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    steps: usize,
    loads: usize,
    total_loads: usize,
    skew: f64,
    net_gain: f64,
}

/// A plan that is being made.
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
    /// Place in [`LOAD_BUDGETS`].
    budget_index: usize,
    /// Best prefix so far, and before the present level.
    best_prefix: Option<Prefix>,
    previous_gain: f64,
    /// Steps since a better one.
    futile_steps: usize,
}

impl<'a> Planning<'a> {
    /// Begins a plan from a map on. `pressure` is what a quicker pass is net_gain, 0 to 1.
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

    /// Takes some steps. True once there are no more that help.
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

    /// The plan, if one is net_gain it.
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

    /// Takes the step that helps most; false if none does, or none did for long.
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

    /// Allows more loads at a rank, unless those before were of no use.
    fn raise_budget(&mut self) {
        let net_gain = self.best_prefix.map_or(0.0, |prefix| prefix.net_gain);
        let is_first = self.budget_index == 0;
        let was_futile = net_gain <= self.previous_gain;
        self.previous_gain = net_gain;
        self.futile_steps = 0;
        self.budget_index += 1;
        let late = |loads: &usize| *loads as f64 * self.planner.load_s >= self.planner.horizon_s;
        if (was_futile && !is_first) || LOAD_BUDGETS.get(self.budget_index).is_none_or(late) {
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

    /// Keeps the steps so far if no fewer are net_gain more.
    fn score_prefix(&mut self) {
        let skew = self.skews.iter().sum::<f64>() / self.skews.len().max(1) as f64;
        let loads = self.loads_used.iter().copied().max().unwrap_or(0);
        let late = loads as f64 * self.planner.load_s;
        let saved = (self.skew_before - skew) * (self.planner.horizon_s - late).max(0.0);
        let slowed = self.planner.load_slowdown * self.skew_before * late;
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
    /// The best plan from a map on, if one is net_gain it, at once. `pressure` is what a
    /// quicker pass is net_gain, 0 to 1.
    pub fn plan(&self, map: &GroupMap, work: Workload<'_>, pressure: f64) -> Option<LayerPlan> {
        let mut planning = Planning::new(*self, map, work, pressure);
        while !planning.advance(usize::MAX) {}
        planning.finish()
    }
}
