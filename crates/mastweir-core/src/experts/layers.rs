//! Plans for groups whose ranks have room for copies, over all sets of layers.
//!
//! A pass lasts, set by set, as long as its most loaded rank. So a plan lowers the
//! sum over the sets of that rank's load. Loading an expert takes a rank time,
//! during which demand moves on; so a plan loads little: each number of steps is weighed
//! by what they save in the time that is left of a horizon, less what their loads cost,
//! and the next plan goes on from there. A group with places to spare gains little from
//! quicker passes: its pressure weighs the gain. A rank that is slow takes longer for the
//! same load, and all wait for it, so its experts go to others: copied there, and then
//! dropped, which costs no load.
//!
//! Steps are taken where they help most, first with one load a rank, then with more, and
//! what is kept is the part of them, from the first on, that is worth most. A plan for
//! 96 ranks and 16 sets of 192 experts takes thousands of steps, so it can be made in
//! parts ([`Planning::advance`]): a process that has a seventh of a core goes on with
//! its heartbeats between them.

use super::{
    Work,
    layer_set::{self, Move, Room, Set, Step},
};
use crate::switch::map_change::GroupMap;

/// Bounds and weights of plans.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LayerPlanner {
    /// Experts that a rank holds in a set at most.
    pub places: usize,
    /// Experts new to a rank in a set that one plan may bring.
    pub fresh: usize,
    /// Seconds that loading one expert takes a rank.
    pub load_s: f64,
    /// Seconds for which a plan is taken to help.
    pub horizon_s: f64,
    /// What loading one expert costs, in seconds of a pass at its mean load.
    pub load_cost: f64,
    /// What a change of map costs besides, in the same.
    pub change_cost: f64,
    /// Part by which passes are slower while a rank loads.
    pub load_slows: f64,
}

/// A map, and what it is expected to do.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerPlan {
    /// The map.
    pub map: GroupMap,
    /// Most loads at one rank.
    pub loads: usize,
    /// Loads at all ranks.
    pub moved: usize,
    /// Sum over the sets of the most loaded rank's load over the mean, before.
    pub skew_now: f64,
    /// And after, per set on average.
    pub skew_then: f64,
}

/// Loads at one rank that are tried, one behind the other. Experts of large groups are
/// small: 32 of them, two in each of 16 sets, load in 0.6 s.
const LOADS: [usize; 8] = [1, 2, 3, 5, 8, 12, 20, 32];
/// Steps in a row that make a plan no better, a rank and beside that, after which more
/// loads at a rank are tried: so many ranks may be equally loaded.
const PATIENCE_PER_RANK: usize = 1;
const PATIENCE_LEAST: usize = 32;

/// Mean skew over the sets: the most loaded rank over the mean at the usual pace.
pub fn mean_skew(map: &GroupMap, work: Work<'_>) -> f64 {
    let sets = map.iter().zip(work.demand);
    let sum: f64 = sets.map(|(ranks, demand)| layer_set::skew(ranks, demand, work)).sum();
    sum / map.len().max(1) as f64
}

/// What the first steps of a plan come to.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    steps: usize,
    loads: usize,
    moved: usize,
    skew: f64,
    worth: f64,
}

/// A plan that is being made.
pub struct Planning<'a> {
    planner: LayerPlanner,
    pressure: f64,
    map: &'a GroupMap,
    sets: Vec<Set<'a>>,
    skews: Vec<f64>,
    skew_now: f64,
    best: Vec<Option<Move>>,
    spent: Vec<usize>,
    moved: usize,
    steps: Vec<(usize, Step)>,
    /// Place in [`LOADS`].
    level: usize,
    /// Best prefix so far, and before the present level.
    kept: Option<Prefix>,
    kept_before: f64,
    /// Steps since a better one.
    vain: usize,
}

impl<'a> Planning<'a> {
    /// Begins a plan from a map on. `pressure` is what a quicker pass is worth, 0 to 1.
    pub fn new(planner: LayerPlanner, map: &'a GroupMap, work: Work<'a>, pressure: f64) -> Self {
        let pairs = map.iter().zip(work.demand);
        let sets: Vec<Set<'_>> =
            pairs.map(|(ranks, demand)| Set::new(ranks, demand, work.pace)).collect();
        let skews: Vec<f64> = sets.iter().map(Set::skew).collect();
        let skew_now = skews.iter().sum::<f64>() / skews.len().max(1) as f64;
        let spent = vec![0; map.first().map_or(0, Vec::len)];
        let mut planning = Self {
            planner,
            pressure,
            map,
            best: vec![None; sets.len()],
            sets,
            skews,
            skew_now,
            spent,
            moved: 0,
            steps: Vec::new(),
            level: 0,
            kept: None,
            kept_before: 0.0,
            vain: 0,
        };
        planning.look_at_all();
        planning
    }

    /// Takes some steps. True once there are no more that help.
    pub fn advance(&mut self, steps: usize) -> bool {
        for _ in 0..steps {
            if self.level >= LOADS.len() {
                return true;
            }
            if !self.step() {
                self.rise();
            }
        }
        self.level >= LOADS.len()
    }

    /// The plan, if one is worth it.
    pub fn finish(self) -> Option<LayerPlan> {
        let kept = self.kept?;
        let mut map = self.map.clone();
        for (set, step) in &self.steps[..kept.steps] {
            step.apply(&mut map[*set]);
        }
        Some(LayerPlan {
            map,
            loads: kept.loads,
            moved: kept.moved,
            skew_now: self.skew_now,
            skew_then: kept.skew,
        })
    }

    /// Takes the step that helps most; false if none does, or none did for long.
    fn step(&mut self) -> bool {
        let gain = |at: &usize| self.best[*at].as_ref().map_or(0.0, |step| step.gain);
        let at = (0..self.sets.len()).max_by(|a, b| gain(a).total_cmp(&gain(b)));
        let Some((at, Move { step, .. })) = at.and_then(|at| Some((at, self.best[at].take()?)))
        else {
            return false;
        };
        self.sets[at].apply(step);
        self.steps.push((at, step));
        self.skews[at] = self.sets[at].skew();
        let mut full = None;
        if let Step::Copy { to, .. } = step {
            self.spent[to] += 1;
            self.moved += 1;
            full = (self.spent[to] >= LOADS[self.level]).then_some(to);
        }
        for other in 0..self.sets.len() {
            if other == at || self.best[other].is_some_and(|best| best.loads_at(full)) {
                self.look_at(other);
            }
        }
        self.weigh();
        self.vain <= PATIENCE_LEAST + PATIENCE_PER_RANK * self.spent.len()
    }

    /// Allows more loads at a rank, unless those before were of no use.
    fn rise(&mut self) {
        let worth = self.kept.map_or(0.0, |kept| kept.worth);
        let is_first = self.level == 0;
        let was_vain = worth <= self.kept_before;
        self.kept_before = worth;
        self.vain = 0;
        self.level += 1;
        let late = |loads: &usize| *loads as f64 * self.planner.load_s >= self.planner.horizon_s;
        if (was_vain && !is_first) || LOADS.get(self.level).is_none_or(late) {
            self.level = LOADS.len();
            return;
        }
        self.look_at_all();
    }

    fn look_at_all(&mut self) {
        (0..self.sets.len()).for_each(|at| self.look_at(at));
    }

    fn look_at(&mut self, at: usize) {
        let room = Room {
            places: self.planner.places,
            fresh: self.planner.fresh,
            spent: &self.spent,
            budget: LOADS[self.level],
        };
        self.best[at] = self.sets[at].best(room);
    }

    /// Keeps the steps so far if no fewer are worth more.
    fn weigh(&mut self) {
        let skew = self.skews.iter().sum::<f64>() / self.skews.len().max(1) as f64;
        let loads = self.spent.iter().copied().max().unwrap_or(0);
        let late = loads as f64 * self.planner.load_s;
        let saved = (self.skew_now - skew) * (self.planner.horizon_s - late).max(0.0);
        let slowed = self.planner.load_slows * self.skew_now * late;
        let cost = self.planner.load_cost * self.moved as f64 + self.planner.change_cost;
        let worth = self.pressure * (saved - slowed) - cost;
        if worth > self.kept.map_or(0.0, |kept| kept.worth) {
            let (steps, moved) = (self.steps.len(), self.moved);
            self.kept = Some(Prefix { steps, loads, moved, skew, worth });
            self.vain = 0;
        } else {
            self.vain += 1;
        }
    }
}

impl LayerPlanner {
    /// The best plan from a map on, if one is worth it, at once. `pressure` is what a
    /// quicker pass is worth, 0 to 1.
    pub fn plan(&self, map: &GroupMap, work: Work<'_>, pressure: f64) -> Option<LayerPlan> {
        let mut planning = Planning::new(*self, map, work, pressure);
        while !planning.advance(usize::MAX) {}
        planning.finish()
    }
}
