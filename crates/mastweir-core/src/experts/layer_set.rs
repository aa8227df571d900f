//! One set of layers during planning: which ranks hold which experts, and the load of each
//! rank, i.e. the time that it takes for its experts.
//!
//! A step only changes the loads of the ranks that hold the copied, evicted or dropped
//! experts. The new maximum follows from these and from a short list of the most loaded
//! ranks, so that the cost of evaluating a step does not grow with the size of the group.

/// Number of most loaded ranks kept in order. A step may lower several of them at once.
const TOP_RANKS: usize = 8;
/// Number of least loaded ranks considered as targets of a copy. With 12 instead of 6, a plan for
/// 96 ranks is as good and takes 1.7 times as long.
const TARGET_RANKS: usize = 6;
/// Minimum gain of a copy, relative to the mean load; excludes rounding errors.
const MIN_COPY_GAIN: f64 = 1e-6;
/// Minimum gain of a drop, relative to the mean load. Higher, since a dropped copy has to be
/// transferred again when demand shifts.
const MIN_DROP_GAIN: f64 = 0.02;
/// Weight of lowering the most loaded rank while another is equally loaded.
const TIE_WEIGHT: f64 = 0.05;

/// Demand that a map has to serve, and the speed of the ranks.
#[derive(Clone, Copy, Debug)]
pub struct Workload<'a> {
    /// Demand by set and expert.
    pub demand: &'a [Vec<f64>],
    /// Time per work of each rank over the usual; 1 where the slice ends earlier.
    pub slowdown: &'a [f64],
}

/// A change of one set at one rank.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Loads an expert at a rank, in place of another if no slot is free.
    Copy { to: usize, expert: u16, evict: Option<u16> },
    /// Removes an expert that other ranks hold, too.
    Drop { from: usize, expert: u16 },
}

impl Step {
    /// Applies the step to the experts by rank.
    pub(super) fn apply(self, ranks: &mut [Vec<u16>]) {
        match self {
            Self::Copy { to, expert, evict } => {
                ranks[to].retain(|held| Some(*held) != evict);
                ranks[to].push(expert);
            }
            Self::Drop { from, expert } => ranks[from].retain(|held| *held != expert),
        }
    }
}

/// A step and its gain relative to the mean load.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredStep {
    pub(super) step: Step,
    pub(super) gain: f64,
}

impl ScoredStep {
    /// Returns whether the step adds an expert at `rank`.
    pub(super) fn loads_at(&self, rank: Option<usize>) -> bool {
        matches!(self.step, Step::Copy { to, .. } if Some(to) == rank)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct StepLimits<'a> {
    /// Slots per rank.
    pub(super) slots: usize,
    /// Maximum number of experts per rank that one plan adds.
    pub(super) max_new: usize,
    /// Number of experts that the plan so far adds at each rank, over all sets.
    pub(super) loads_used: &'a [usize],
    /// Maximum of that number.
    pub(super) budget: usize,
}

/// Load changes of one step, by rank.
type LoadChanges = Vec<(usize, f64)>;

pub(super) struct LayerSet<'a> {
    demand: &'a [f64],
    slowdown: &'a [f64],
    initial: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    /// Ranks by expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Experts that the plan adds, by rank.
    new_experts: Vec<usize>,
    mean: f64,
}

impl<'a> LayerSet<'a> {
    pub(super) fn new(initial: &'a [Vec<u16>], demand: &'a [f64], slowdown: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in initial.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let new_experts = vec![0; initial.len()];
        let mean = demand.iter().sum::<f64>() / initial.len().max(1) as f64;
        let ranks = initial.to_vec();
        let mut set = Self {
            demand,
            slowdown,
            initial,
            ranks,
            holders,
            loads: Vec::new(),
            new_experts,
            mean,
        };
        set.loads = (0..set.ranks.len()).map(|rank| set.load(rank)).collect();
        set
    }

    /// Returns the time that a rank takes for its experts.
    fn load(&self, rank: usize) -> f64 {
        let parts: f64 = self.ranks[rank].iter().map(|expert| self.copy_load(*expert)).sum();
        parts * self.slowdown(rank)
    }

    fn slowdown(&self, rank: usize) -> f64 {
        self.slowdown.get(rank).copied().unwrap_or(1.0)
    }

    fn copy_load(&self, expert: u16) -> f64 {
        self.copy_load_of(expert, self.copies(expert))
    }

    /// Returns the load of each copy if there are `copies` of the expert.
    fn copy_load_of(&self, expert: u16, copies: usize) -> f64 {
        self.demand[usize::from(expert)] / copies.max(1) as f64
    }

    fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Returns the maximum load over the mean load.
    pub(super) fn skew(&self) -> f64 {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { most / self.mean } else { 1.0 }
    }

    /// Returns the most loaded ranks, highest first.
    fn most_loaded(&self) -> Vec<usize> {
        let mut top: Vec<usize> = Vec::with_capacity(TOP_RANKS + 1);
        for (rank, load) in self.loads.iter().enumerate() {
            let at = top.partition_point(|other| self.loads[*other] >= *load);
            if at < TOP_RANKS {
                top.insert(at, rank);
                top.truncate(TOP_RANKS);
            }
        }
        top
    }

    /// Returns the least loaded ranks that may get another expert.
    fn least_loaded(&self, limits: StepLimits<'_>) -> Vec<usize> {
        let mut targets: Vec<usize> = Vec::with_capacity(TARGET_RANKS + 1);
        for (rank, load) in self.loads.iter().enumerate() {
            if limits.loads_used[rank] >= limits.budget || self.new_experts[rank] >= limits.max_new
            {
                continue;
            }
            let at = targets.partition_point(|other| self.loads[*other] <= *load);
            if at < TARGET_RANKS {
                targets.insert(at, rank);
                targets.truncate(TARGET_RANKS);
            }
        }
        targets
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.ranks[rank].contains(&expert)
    }

    /// Computes how a step changes the loads of the affected ranks.
    fn load_changes(&self, step: Step, changes: &mut LoadChanges) {
        changes.clear();
        match step {
            Step::Copy { to, expert, evict } => {
                let new = self.copy_load_of(expert, self.copies(expert) + 1);
                self.reshare_changes(expert, to, new, changes);
                add(changes, to, new * self.slowdown(to));
                evict.into_iter().for_each(|out| self.drop_changes(out, to, changes));
            }
            Step::Drop { from, expert } => self.drop_changes(expert, from, changes),
        }
    }

    /// Adds the changes of removing an expert from a rank: the other holders take over its
    /// load.
    fn drop_changes(&self, expert: u16, from: usize, changes: &mut LoadChanges) {
        add(changes, from, -self.copy_load(expert) * self.slowdown(from));
        self.reshare_changes(
            expert,
            from,
            self.copy_load_of(expert, self.copies(expert) - 1),
            changes,
        );
    }

    /// Adds the changes for all holders except one when each copy gets the load `part`.
    fn reshare_changes(&self, expert: u16, except: usize, part: f64, changes: &mut LoadChanges) {
        let change = part - self.copy_load(expert);
        let others = self.holders[usize::from(expert)].iter().filter(|rank| **rank != except);
        others.for_each(|rank| add(changes, *rank, change * self.slowdown(*rank)));
    }

    /// Returns the redundant expert whose removal from the rank moves the least load to
    /// other ranks.
    fn eviction_candidate(&self, rank: usize, except: u16) -> Option<u16> {
        let spare = self.ranks[rank]
            .iter()
            .copied()
            .filter(|expert| *expert != except && self.copies(*expert) > 1);
        let cost = |expert: u16| {
            let copies = self.copies(expert) as f64;
            self.demand[usize::from(expert)] / (copies * (copies - 1.0))
        };
        spare.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Copy { to, expert, evict } => {
                evict.into_iter().for_each(|out| self.remove(to, out));
                self.ranks[to].push(expert);
                self.holders[usize::from(expert)].push(to);
                self.new_experts[to] += usize::from(!self.initial[to].contains(&expert));
                self.update_loads(expert);
            }
            Step::Drop { from, expert } => self.remove(from, expert),
        }
    }

    fn remove(&mut self, from: usize, expert: u16) {
        self.ranks[from].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|rank| *rank != from);
        self.new_experts[from] -= usize::from(!self.initial[from].contains(&expert));
        self.loads[from] = self.load(from);
        self.update_loads(expert);
    }

    /// Recomputes the loads of the ranks that hold an expert.
    fn update_loads(&mut self, expert: u16) {
        for at in 0..self.holders[usize::from(expert)].len() {
            let rank = self.holders[usize::from(expert)][at];
            self.loads[rank] = self.load(rank);
        }
    }

    /// Returns the step that lowers the maximum load most.
    pub(super) fn best_step(&self, limits: StepLimits<'_>) -> Option<ScoredStep> {
        let top = self.most_loaded();
        let peak = *top.first()?;
        let (most, mean) = (self.loads[peak], self.mean.max(f64::MIN_POSITIVE));
        let second = top.get(1).map_or(most, |rank| self.loads[*rank]);
        let mut changes = LoadChanges::new();
        let mut best: Option<ScoredStep> = None;
        let mut consider = |step: Step, min_gain: f64| {
            self.load_changes(step, &mut changes);
            let after = |rank: usize| {
                let change = changes.iter().find(|(changed, _)| *changed == rank);
                self.loads[rank] + change.map_or(0.0, |(_, change)| *change)
            };
            let untouched = |rank: &&usize| !changes.iter().any(|(changed, _)| changed == *rank);
            // If all of the top ranks are affected, the last of them bounds the load of the
            // others.
            let others = top.iter().find(untouched).or(top.last());
            let others = others.map_or(0.0, |rank| self.loads[*rank]);
            let touched = changes.iter().map(|(rank, change)| self.loads[*rank] + change);
            let peak_after = touched.fold(others, f64::max);
            // Lowering one of several equally loaded ranks only prepares the next step.
            let lowered = (most - after(peak)).min(most - second.min(most)).max(0.0);
            let gain = (most - peak_after + TIE_WEIGHT * lowered) / mean;
            if gain > min_gain && best.is_none_or(|best| gain > best.gain) {
                best = Some(ScoredStep { step, gain });
            }
        };
        let targets = self.least_loaded(limits);
        for expert in self.ranks[peak].iter().copied() {
            if self.copies(expert) > 1 {
                consider(Step::Drop { from: peak, expert }, MIN_DROP_GAIN);
            }
            for to in targets.iter().copied().filter(|to| !self.holds(*to, expert)) {
                let has_room = self.ranks[to].len() < limits.slots;
                let evict = if has_room { None } else { self.eviction_candidate(to, expert) };
                if has_room || evict.is_some() {
                    consider(Step::Copy { to, expert, evict }, MIN_COPY_GAIN);
                }
            }
        }
        best
    }
}

fn add(changes: &mut LoadChanges, rank: usize, change: f64) {
    match changes.iter_mut().find(|(changed, _)| *changed == rank) {
        Some((_, so_far)) => *so_far += change,
        None => changes.push((rank, change)),
    }
}

/// Returns the skew of a set under a map.
pub(super) fn skew(ranks: &[Vec<u16>], demand: &[f64], work: Workload<'_>) -> f64 {
    let mut copies = vec![0_u32; demand.len()];
    ranks.iter().flatten().for_each(|expert| copies[usize::from(*expert)] += 1);
    let part =
        |expert: &u16| demand[usize::from(*expert)] / f64::from(copies[usize::from(*expert)]);
    let load = |(rank, experts): (usize, &Vec<u16>)| {
        experts.iter().map(part).sum::<f64>() * work.slowdown.get(rank).copied().unwrap_or(1.0)
    };
    let most = ranks.iter().enumerate().map(load).fold(0.0, f64::max);
    let mean = demand.iter().sum::<f64>() / ranks.len().max(1) as f64;
    if mean > 0.0 { most / mean } else { 1.0 }
}
