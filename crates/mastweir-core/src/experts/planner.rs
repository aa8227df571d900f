//! Planner that makes a few slot changes at a time.
//!
//! Skew is the load of the most loaded rank over the mean load; the time of a pass is
//! proportional to it. The planner takes the best next step, a copy (one slot change) or a
//! swap (two), until none is left, and keeps the first steps up to the highest net gain. It
//! changes nothing if the gain is within the error of the demand estimate.

use super::{Demand, Placement, SlotChange, skew};

/// Weighs the time lost to skew against the cost of rebalancing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Seconds for which a saving is assumed to last.
    pub horizon_s: f64,
    /// Cost of loading one expert, in seconds of the group's time.
    pub load_cost_s: f64,
    /// Skew up to which no change is made.
    pub min_skew: f64,
    /// Number of changes at which a plan ends. A swap as its last step may exceed it by one.
    pub max_changes: usize,
    /// Number of standard errors of the estimated skew that a saving has to exceed.
    pub confidence: f64,
}

impl PlannerConfig {
    /// For deployments that prefer low skew.
    pub const LOW_SKEW: Self = Self {
        horizon_s: 60.0,
        load_cost_s: 0.12,
        min_skew: 1.02,
        max_changes: 12,
        confidence: 2.5,
    };
    /// For deployments that prefer to load few experts.
    pub const LOW_COST: Self =
        Self { horizon_s: 60.0, load_cost_s: 0.9, min_skew: 1.05, max_changes: 6, confidence: 3.0 };
}

/// Why a plan was made or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReason {
    /// The changes save more than they cost.
    Worthwhile,
    /// The skew is too small to act on.
    Balanced,
    /// No change saves more than it costs, or than the error of the estimate.
    TooCostly,
    /// Too few reports were counted.
    InsufficientData,
    /// A rank is stalled, or reports are missing, so that the measured skew is not
    /// reliable.
    Stalled,
}

/// The changes to make, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub reason: PlanReason,
    /// Estimated skew of the current placement.
    pub skew_before: f64,
    /// Estimated skew after the changes.
    pub skew_after: f64,
    pub changes: Vec<SlotChange>,
}

/// Plans changes for one group.
#[derive(Clone, Copy, Debug)]
pub struct Planner {
    config: PlannerConfig,
}

/// Reports needed before the first plan.
const REPORTS_MIN: u32 = 24;

impl Planner {
    pub const fn new(config: PlannerConfig) -> Self {
        Self { config }
    }

    /// Plans changes of the current placement. `stalled` means that a rank makes no
    /// progress or that reports are missing.
    pub fn plan(&self, demand: &Demand, placement: &Placement, stalled: bool) -> Decision {
        let by_expert = demand.by_expert();
        let skew_before = skew(&placement.loads(by_expert));
        let nothing =
            |reason| Decision { reason, skew_before, skew_after: skew_before, changes: Vec::new() };
        if stalled {
            return nothing(PlanReason::Stalled);
        }
        if demand.reports() < REPORTS_MIN {
            return nothing(PlanReason::InsufficientData);
        }
        let noise = self.config.confidence * peak_load_error(demand, placement);
        if skew_before <= self.config.min_skew.max(1.0 + noise) {
            return nothing(PlanReason::Balanced);
        }
        let (changes, skew_after) = self.search(by_expert, placement, skew_before);
        // The maximum of noisy estimates is biased upwards, so small savings are ignored.
        if changes.is_empty() || skew_before - skew_after < noise {
            return nothing(PlanReason::TooCostly);
        }
        Decision { reason: PlanReason::Worthwhile, skew_before, skew_after, changes }
    }

    /// Takes the best next step until none is left. Returns the changes up to the highest net
    /// gain, and the skew after them. A step that costs more than it saves may be worth its
    /// cost together with the next one.
    fn search(&self, demand: &[f64], from: &Placement, skew_before: f64) -> (Vec<SlotChange>, f64) {
        let mut placement = from.clone();
        let mut changes: Vec<SlotChange> = Vec::new();
        let mut best = (0.0, 0, skew_before);
        while changes.len() < self.config.max_changes {
            let Some(step) = best_step(demand, &placement) else { break };
            step.iter().for_each(|change| placement.apply(*change));
            changes.extend(step);
            let after = skew(&placement.loads(demand));
            let net = self.gain(skew_before, after) - self.cost(changes.len());
            if net > best.0 {
                best = (net, changes.len(), after);
            }
            if after <= self.config.min_skew {
                break;
            }
        }
        changes.truncate(best.1);
        (changes, best.2)
    }

    /// Returns the seconds saved over the horizon by a lower skew.
    fn gain(&self, before: f64, after: f64) -> f64 {
        self.config.horizon_s * (before - after) / before
    }

    /// Returns the cost of loading experts for the changes, in seconds of the group's time.
    fn cost(&self, changes: usize) -> f64 {
        self.config.load_cost_s * changes as f64
    }
}

/// Returns the standard error of the most loaded rank's load, over the mean load.
fn peak_load_error(demand: &Demand, placement: &Placement) -> f64 {
    let loads = placement.loads(demand.by_expert());
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let slowest = (0..loads.len()).max_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let Some(slowest) = slowest.filter(|_| mean > 0.0) else { return 0.0 };
    let part = |expert: &usize| {
        demand.estimate_variance(*expert) / f64::from(placement.copies(*expert).max(1)).powi(2)
    };
    placement.slots()[slowest].iter().map(part).sum::<f64>().sqrt() / mean
}

/// Returns the step that lowers the most loaded rank most: a copy of one of its experts in
/// place of a redundant copy elsewhere, or a swap of one of its experts for a less loaded
/// one.
fn best_step(demand: &[f64], placement: &Placement) -> Option<Vec<SlotChange>> {
    let loads = placement.loads(demand);
    let slowest = (0..loads.len()).max_by(|a, b| loads[*a].total_cmp(&loads[*b]))?;
    let copies = copy_steps(demand, placement, slowest);
    let swaps = swap_steps(demand, placement, slowest, &loads);
    // A swap takes two loads, so the score is per load.
    let score = |step: &Vec<SlotChange>| {
        let mut next = placement.clone();
        step.iter().for_each(|change| next.apply(*change));
        let after = next.loads(demand);
        let most = after.iter().copied().fold(0.0, f64::max);
        // Breaks ties, where another rank is as loaded: prefers the step that takes more load
        // off this rank.
        let lowered = loads[slowest] - after[slowest].min(loads[slowest]);
        (loads[slowest] - most + lowered * 1e-3) / step.len() as f64
    };
    let scored = copies.into_iter().chain(swaps).map(|step| (score(&step), step));
    let (best, step) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best > 0.0).then_some(step)
}

/// Number of least loaded ranks considered for swaps.
const SWAP_TARGETS: usize = 6;

fn least_loaded(loads: &[f64], except: usize) -> Vec<usize> {
    let mut ranks: Vec<usize> = (0..loads.len()).filter(|rank| *rank != except).collect();
    ranks.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    ranks.truncate(SWAP_TARGETS);
    ranks
}

fn copy_steps(demand: &[f64], placement: &Placement, slowest: usize) -> Vec<Vec<SlotChange>> {
    let hot = &placement.slots()[slowest];
    let mut steps = Vec::new();
    for (rank, experts) in placement.slots().iter().enumerate() {
        if rank == slowest {
            continue;
        }
        // The redundant copy whose removal moves the least load to other ranks.
        let spare = (0..experts.len()).filter(|slot| placement.copies(experts[*slot]) > 1);
        let shift = |slot: &usize| {
            let expert = experts[*slot];
            placement.copy_load(expert, demand) / f64::from(placement.copies(expert) - 1)
        };
        let Some(slot) = spare.min_by(|a, b| shift(a).total_cmp(&shift(b))) else { continue };
        let candidates = hot.iter().filter(|expert| !experts.contains(expert));
        steps.extend(candidates.map(|expert| vec![SlotChange { rank, slot, expert: *expert }]));
    }
    steps
}

fn swap_steps(
    demand: &[f64],
    placement: &Placement,
    slowest: usize,
    loads: &[f64],
) -> Vec<Vec<SlotChange>> {
    let hot = &placement.slots()[slowest];
    let mut steps = Vec::new();
    for rank in least_loaded(loads, slowest) {
        let experts = &placement.slots()[rank];
        for (from, a) in hot.iter().enumerate() {
            for (slot, b) in experts.iter().enumerate() {
                let less = placement.copy_load(*b, demand) < placement.copy_load(*a, demand);
                let addable = !experts.contains(a) && !hot.contains(b);
                if less && addable {
                    let there = SlotChange { rank, slot, expert: *a };
                    let here = SlotChange { rank: slowest, slot: from, expert: *b };
                    steps.push(vec![there, here]);
                }
            }
        }
    }
    steps
}
