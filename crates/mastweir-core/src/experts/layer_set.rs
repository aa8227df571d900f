//! One set of layers while a plan is made: who holds what, and what each rank carries.
//!
//! A step touches the ranks that hold the expert that it copies or drops, and those
//! that hold what makes room. What it does to the most loaded rank follows from these
//! and from the few most loaded others, so that weighing one costs the same in a group
//! of 8 ranks and of 512.

/// Most loaded ranks that are kept in order: a step lowers a few of them at once, those
/// that share an expert.
const TOP: usize = 8;
/// Ranks that may get a copy, in each step: the least loaded ones. With 12 instead of 6
/// a plan for 96 ranks is as good and takes 1.7 times as long.
const TARGETS: usize = 6;
/// Least gain of a step, in mean loads: of a copy, anything but rounding; of a drop,
/// more, since a copy that is gone has to be loaded again when demand shifts.
const COPY_GAIN_LEAST: f64 = 1e-6;
const DROP_GAIN_LEAST: f64 = 0.02;
/// Part of what a rank is lowered by that counts where others are loaded as much.
const PREPARES: f64 = 0.05;

/// What a map has to carry.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Demand by set and expert.
    pub demand: &'a [Vec<f64>],
    /// Time that each rank takes for the same work, over what is usual: 1 where
    /// nothing else is known.
    pub pace: &'a [f64],
}

/// A change of a set at one rank.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// An expert is loaded at a rank, in place of another where it has no room.
    Copy { to: usize, expert: u16, evicted: Option<u16> },
    /// A rank gives up an expert that others hold, too.
    Drop { from: usize, expert: u16 },
}

impl Step {
    /// Carries it out on the experts by rank.
    pub(super) fn apply(self, ranks: &mut [Vec<u16>]) {
        match self {
            Self::Copy { to, expert, evicted } => {
                ranks[to].retain(|held| Some(*held) != evicted);
                ranks[to].push(expert);
            }
            Self::Drop { from, expert } => ranks[from].retain(|held| *held != expert),
        }
    }
}

/// A step, and what it gains in mean loads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Move {
    pub(super) step: Step,
    pub(super) gain: f64,
}

impl Move {
    /// Whether it loads an expert at that rank.
    pub(super) fn loads_at(&self, rank: Option<usize>) -> bool {
        matches!(self.step, Step::Copy { to, .. } if Some(to) == rank)
    }
}

/// What a step may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room<'a> {
    /// Experts that a rank holds at most.
    pub(super) places: usize,
    /// Experts new to a rank that one plan may bring.
    pub(super) fresh: usize,
    /// Loads at each rank so far, over all sets.
    pub(super) spent: &'a [usize],
    /// Loads at a rank at most.
    pub(super) budget: usize,
}

/// Changes of load by rank, of one step.
type Changes = Vec<(usize, f64)>;

pub(super) struct Set<'a> {
    demand: &'a [f64],
    pace: &'a [f64],
    before: &'a [Vec<u16>],
    ranks: Vec<Vec<u16>>,
    /// Ranks that hold an expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Loads that the plan so far brings each rank.
    fresh: Vec<usize>,
    mean: f64,
}

impl<'a> Set<'a> {
    pub(super) fn new(before: &'a [Vec<u16>], demand: &'a [f64], pace: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in before.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let fresh = vec![0; before.len()];
        let mean = demand.iter().sum::<f64>() / before.len().max(1) as f64;
        let ranks = before.to_vec();
        let mut set = Self { demand, pace, before, ranks, holders, loads: Vec::new(), fresh, mean };
        set.loads = (0..set.ranks.len()).map(|rank| set.load(rank)).collect();
        set
    }

    /// Time that a rank takes for its part.
    fn load(&self, rank: usize) -> f64 {
        let parts: f64 = self.ranks[rank].iter().map(|expert| self.part(*expert)).sum();
        parts * self.pace(rank)
    }

    fn pace(&self, rank: usize) -> f64 {
        self.pace.get(rank).copied().unwrap_or(1.0)
    }

    fn part(&self, expert: u16) -> f64 {
        self.part_of(expert, self.copies(expert))
    }

    /// What one of so many copies gets.
    fn part_of(&self, expert: u16, copies: usize) -> f64 {
        self.demand[usize::from(expert)] / copies.max(1) as f64
    }

    fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// The most loaded rank over the mean.
    pub(super) fn skew(&self) -> f64 {
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        if self.mean > 0.0 { most / self.mean } else { 1.0 }
    }

    /// The most loaded ranks, in order.
    fn top(&self) -> Vec<usize> {
        let mut top: Vec<usize> = Vec::with_capacity(TOP + 1);
        for (rank, load) in self.loads.iter().enumerate() {
            let at = top.partition_point(|other| self.loads[*other] >= *load);
            if at < TOP {
                top.insert(at, rank);
                top.truncate(TOP);
            }
        }
        top
    }

    /// The least loaded ranks that may load another expert.
    fn targets(&self, room: Room<'_>) -> Vec<usize> {
        let mut targets: Vec<usize> = Vec::with_capacity(TARGETS + 1);
        for (rank, load) in self.loads.iter().enumerate() {
            if room.spent[rank] >= room.budget || self.fresh[rank] >= room.fresh {
                continue;
            }
            let at = targets.partition_point(|other| self.loads[*other] <= *load);
            if at < TARGETS {
                targets.insert(at, rank);
                targets.truncate(TARGETS);
            }
        }
        targets
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.ranks[rank].contains(&expert)
    }

    /// How a step changes the loads of the ranks that it touches.
    fn changes(&self, step: Step, changes: &mut Changes) {
        changes.clear();
        match step {
            Step::Copy { to, expert, evicted } => {
                let new = self.part_of(expert, self.copies(expert) + 1);
                self.shift(expert, to, new, changes);
                add(changes, to, new * self.pace(to));
                evicted.into_iter().for_each(|out| self.without(out, to, changes));
            }
            Step::Drop { from, expert } => self.without(expert, from, changes),
        }
    }

    /// A rank gives up an expert, and the others that hold it take its part.
    fn without(&self, expert: u16, from: usize, changes: &mut Changes) {
        add(changes, from, -self.part(expert) * self.pace(from));
        self.shift(expert, from, self.part_of(expert, self.copies(expert) - 1), changes);
    }

    /// All holders of an expert but one get another part of it.
    fn shift(&self, expert: u16, but: usize, part: f64, changes: &mut Changes) {
        let change = part - self.part(expert);
        let others = self.holders[usize::from(expert)].iter().filter(|rank| **rank != but);
        others.for_each(|rank| add(changes, *rank, change * self.pace(*rank)));
    }

    /// What can go from a rank to make room: the copy that is missed least.
    fn evictable(&self, rank: usize, but: u16) -> Option<u16> {
        let spare = self.ranks[rank]
            .iter()
            .copied()
            .filter(|expert| *expert != but && self.copies(*expert) > 1);
        let missed = |expert: u16| {
            let copies = self.copies(expert) as f64;
            self.demand[usize::from(expert)] / (copies * (copies - 1.0))
        };
        spare.min_by(|a, b| missed(*a).total_cmp(&missed(*b)))
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Copy { to, expert, evicted } => {
                evicted.into_iter().for_each(|out| self.remove(to, out));
                self.ranks[to].push(expert);
                self.holders[usize::from(expert)].push(to);
                self.fresh[to] += usize::from(!self.before[to].contains(&expert));
                self.weigh(expert);
            }
            Step::Drop { from, expert } => self.remove(from, expert),
        }
    }

    fn remove(&mut self, from: usize, expert: u16) {
        self.ranks[from].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|rank| *rank != from);
        self.fresh[from] -= usize::from(!self.before[from].contains(&expert));
        self.loads[from] = self.load(from);
        self.weigh(expert);
    }

    /// Loads of the ranks that hold an expert, anew.
    fn weigh(&mut self, expert: u16) {
        for at in 0..self.holders[usize::from(expert)].len() {
            let rank = self.holders[usize::from(expert)][at];
            self.loads[rank] = self.load(rank);
        }
    }

    /// The step that lowers the most loaded rank most, over the mean.
    pub(super) fn best(&self, room: Room<'_>) -> Option<Move> {
        let top = self.top();
        let peak = *top.first()?;
        let (most, mean) = (self.loads[peak], self.mean.max(f64::MIN_POSITIVE));
        let second = top.get(1).map_or(most, |rank| self.loads[*rank]);
        let mut changes = Changes::new();
        let mut best: Option<Move> = None;
        let mut weigh = |step: Step, least: f64| {
            self.changes(step, &mut changes);
            let after = |rank: usize| {
                let change = changes.iter().find(|(changed, _)| *changed == rank);
                self.loads[rank] + change.map_or(0.0, |(_, change)| *change)
            };
            let untouched = |rank: &&usize| !changes.iter().any(|(changed, _)| changed == *rank);
            // Where all of the top are touched, the last of them bounds the others.
            let others = top.iter().find(untouched).or(top.last());
            let others = others.map_or(0.0, |rank| self.loads[*rank]);
            let touched = changes.iter().map(|(rank, change)| self.loads[*rank] + change);
            let most_then = touched.fold(others, f64::max);
            // Where two ranks are equally loaded, lowering one of them only
            // prepares the next step.
            let lowered = (most - after(peak)).min(most - second.min(most)).max(0.0);
            let gain = (most - most_then + PREPARES * lowered) / mean;
            if gain > least && best.is_none_or(|best| gain > best.gain) {
                best = Some(Move { step, gain });
            }
        };
        let targets = self.targets(room);
        for expert in self.ranks[peak].iter().copied() {
            if self.copies(expert) > 1 {
                weigh(Step::Drop { from: peak, expert }, DROP_GAIN_LEAST);
            }
            for to in targets.iter().copied().filter(|to| !self.holds(*to, expert)) {
                let has_room = self.ranks[to].len() < room.places;
                let evicted = if has_room { None } else { self.evictable(to, expert) };
                if has_room || evicted.is_some() {
                    weigh(Step::Copy { to, expert, evicted }, COPY_GAIN_LEAST);
                }
            }
        }
        best
    }
}

fn add(changes: &mut Changes, rank: usize, change: f64) {
    match changes.iter_mut().find(|(changed, _)| *changed == rank) {
        Some((_, so_far)) => *so_far += change,
        None => changes.push((rank, change)),
    }
}

/// Skew of a set under a map, without what a plan needs besides.
pub(super) fn skew(ranks: &[Vec<u16>], demand: &[f64], work: Work<'_>) -> f64 {
    let mut copies = vec![0_u32; demand.len()];
    ranks.iter().flatten().for_each(|expert| copies[usize::from(*expert)] += 1);
    let part =
        |expert: &u16| demand[usize::from(*expert)] / f64::from(copies[usize::from(*expert)]);
    let load = |(rank, experts): (usize, &Vec<u16>)| {
        experts.iter().map(part).sum::<f64>() * work.pace.get(rank).copied().unwrap_or(1.0)
    };
    let most = ranks.iter().enumerate().map(load).fold(0.0, f64::max);
    let mean = demand.iter().sum::<f64>() / ranks.len().max(1) as f64;
    if mean > 0.0 { most / mean } else { 1.0 }
}
