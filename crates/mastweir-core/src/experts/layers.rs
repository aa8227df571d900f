//! Plans for groups whose ranks have room for copies, over all sets of layers.
//!
//! A pass lasts, set by set, as long as its most loaded rank. So a plan lowers the
//! sum over the sets of that rank's load. Loading an expert takes a rank time,
//! during which demand moves on; so a plan loads little ([`LayerPlanner::plan`] weighs each
//! number of loads a rank by what it saves in the time that is left of a horizon,
//! less what the loads cost), and the next plan goes on from there. A group with
//! places to spare gains little from quicker passes: its pressure weighs the gain.
//! A rank that is slow takes longer for the same load, and all wait for it, so its
//! experts go to others: copied there, and then dropped, which costs no load.

use crate::switch::hold::GroupMap;

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

/// Loads at one rank that are tried. Experts of large groups are small, and load in a
/// quarter of the time.
const LOADS: [usize; 6] = [1, 2, 3, 5, 8, 12];
/// Ranks that may get a copy, in each step: the least loaded ones of the set, so that
/// a step among 32 ranks looks at a fifth of them.
const TARGETS: usize = 6;
/// Least gain of a step, in mean loads: of a copy, anything but rounding; of a drop,
/// more, since a copy that is gone has to be loaded again when demand shifts.
const COPY_GAIN_LEAST: f64 = 1e-6;
const DROP_GAIN_LEAST: f64 = 0.02;
/// Part of what a rank is lowered by that counts where others are loaded as much.
const PREPARES: f64 = 0.05;
/// Steps of a plan, over all sets: far more than there are places to change.
const STEPS_MAX: usize = 600;

/// What a map has to carry.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Demand by set and expert.
    pub demand: &'a [Vec<f64>],
    /// Time that each rank takes for the same work, over what is usual: 1 where
    /// nothing else is known.
    pub pace: &'a [f64],
}

struct Set<'a> {
    demand: &'a [f64],
    pace: &'a [f64],
    ranks: Vec<Vec<u16>>,
    before: Vec<Vec<u16>>,
    /// Ranks that hold an expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Loads that the plan so far brings each rank.
    fresh: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An expert is loaded at a rank, in place of another where it has no room.
    Copy { to: usize, expert: u16, evicted: Option<u16> },
    /// A rank gives up an expert that others hold, too.
    Drop { from: usize, expert: u16 },
}

#[derive(Clone, Copy, Debug)]
struct Move {
    step: Step,
    gain: f64,
}

/// Mean skew over the sets: the most loaded rank over the mean at the usual pace.
pub fn mean_skew(map: &GroupMap, work: Work<'_>) -> f64 {
    let sets: Vec<Set<'_>> = sets(map, work);
    sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64
}

fn sets<'a>(map: &GroupMap, work: Work<'a>) -> Vec<Set<'a>> {
    let sets = map.iter().zip(work.demand);
    sets.map(|(ranks, demand)| Set::new(ranks, demand, work.pace)).collect()
}

impl<'a> Set<'a> {
    fn new(ranks: &[Vec<u16>], demand: &'a [f64], pace: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let (ranks, before) = (ranks.to_vec(), ranks.to_vec());
        let fresh = vec![0; ranks.len()];
        let mut set = Self { demand, pace, ranks, before, holders, loads: Vec::new(), fresh };
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

    fn most(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    fn mean(&self) -> f64 {
        self.demand.iter().sum::<f64>() / self.ranks.len().max(1) as f64
    }

    fn skew(&self) -> f64 {
        let mean = self.mean();
        if mean > 0.0 { self.most() / mean } else { 1.0 }
    }

    /// The most loaded rank, and the load of the next.
    fn peak(&self) -> (usize, f64) {
        let mut peak = (0, f64::MIN);
        let mut second = f64::MIN;
        for (rank, load) in self.loads.iter().enumerate() {
            if *load > peak.1 {
                second = peak.1;
                peak = (rank, *load);
            } else if *load > second {
                second = *load;
            }
        }
        (peak.0, second)
    }

    /// The least loaded ranks among those that may be used.
    fn lightest(&self, usable: impl Fn(&usize) -> bool) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.ranks.len()).filter(usable).collect();
        ranks.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        ranks.truncate(TARGETS);
        ranks
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.holders[usize::from(expert)].contains(&rank)
    }

    /// Loads of the ranks after a step, into a buffer that is used again: a plan asks
    /// for thousands of them.
    fn after(&self, step: Step, loads: &mut Vec<f64>) {
        loads.clone_from(&self.loads);
        match step {
            Step::Copy { to, expert, evicted } => {
                let new = self.part_of(expert, self.copies(expert) + 1);
                self.shift(expert, to, new, loads);
                loads[to] += new * self.pace(to);
                evicted.into_iter().for_each(|out| self.without(out, to, loads));
            }
            Step::Drop { from, expert } => self.without(expert, from, loads),
        }
    }

    /// A rank gives up an expert, and the others that hold it take its part.
    fn without(&self, expert: u16, from: usize, loads: &mut [f64]) {
        loads[from] -= self.part(expert) * self.pace(from);
        self.shift(expert, from, self.part_of(expert, self.copies(expert) - 1), loads);
    }

    /// All holders of an expert but one get another part of it.
    fn shift(&self, expert: u16, but: usize, part: f64, loads: &mut [f64]) {
        let change = part - self.part(expert);
        let others = self.holders[usize::from(expert)].iter().filter(|rank| **rank != but);
        others.for_each(|rank| loads[*rank] += change * self.pace(*rank));
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

    fn apply(&mut self, step: Step) {
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
        for rank in self.holders[usize::from(expert)].clone() {
            self.loads[rank] = self.load(rank);
        }
    }
}

impl LayerPlanner {
    /// The best plan from a map on, if one is worth it. `pressure` is what a quicker
    /// pass is worth, 0 to 1.
    pub fn plan(&self, map: &GroupMap, work: Work<'_>, pressure: f64) -> Option<LayerPlan> {
        let now = mean_skew(map, work);
        let tried = LOADS.iter().map(|loads| self.with_loads(map, work, *loads));
        let worth = |plan: &LayerPlan| {
            let late = plan.loads as f64 * self.load_s;
            let saved = (now - plan.skew_then) * (self.horizon_s - late).max(0.0);
            let slowed = self.load_slows * now * late;
            // A plan without loads costs its orders.
            pressure * (saved - slowed) - self.load_cost * (plan.moved + 1) as f64
        };
        let best = tried.max_by(|a, b| worth(a).total_cmp(&worth(b)))?;
        (worth(&best) > 0.0).then_some(best)
    }

    /// The plan that loads at most `budget` experts at a rank, over all sets.
    fn with_loads(&self, map: &GroupMap, work: Work<'_>, budget: usize) -> LayerPlan {
        let mut sets = sets(map, work);
        let skew_now = sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64;
        let ranks = map.first().map_or(0, Vec::len);
        let mut spent = vec![0; ranks];
        let mut best: Vec<Option<Move>> =
            sets.iter().map(|set| self.best(set, &spent, budget)).collect();
        for _ in 0..STEPS_MAX {
            let gain = |at: &usize| best[*at].as_ref().map_or(0.0, |step| step.gain);
            let Some(at) = (0..sets.len()).max_by(|a, b| gain(a).total_cmp(&gain(b))) else {
                break;
            };
            let Some(Move { step, .. }) = best[at].take() else { break };
            sets[at].apply(step);
            let mut full = None;
            if let Step::Copy { to, .. } = step {
                spent[to] += 1;
                full = (spent[to] >= budget).then_some(to);
            }
            for other in 0..sets.len() {
                if other == at || best[other].is_some_and(|best| best.loads_at(full)) {
                    best[other] = self.best(&sets[other], &spent, budget);
                }
            }
        }
        let skew_then = sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64;
        let loads = spent.iter().copied().max().unwrap_or(0);
        let moved = spent.iter().sum();
        LayerPlan {
            map: sets.into_iter().map(|set| set.ranks).collect(),
            loads,
            moved,
            skew_now,
            skew_then,
        }
    }

    /// The step in a set that lowers its most loaded rank most, over the mean.
    fn best(&self, set: &Set<'_>, spent: &[usize], budget: usize) -> Option<Move> {
        let (peak, second) = set.peak();
        let most = set.loads[peak];
        let mean = set.mean().max(f64::MIN_POSITIVE);
        let mut after = Vec::new();
        let mut best: Option<Move> = None;
        let mut weigh = |step: Step, least: f64| {
            set.after(step, &mut after);
            let most_then = after.iter().copied().fold(0.0, f64::max);
            // Where two ranks are equally loaded, lowering one of them only
            // prepares the next step.
            let lowered = (most - after[peak]).min(most - second.min(most)).max(0.0);
            let gain = (most - most_then + PREPARES * lowered) / mean;
            if gain > least && best.is_none_or(|best| gain > best.gain) {
                best = Some(Move { step, gain });
            }
        };
        let open = |to: &usize| spent[*to] < budget && set.fresh[*to] < self.fresh;
        let targets = set.lightest(open);
        for expert in set.ranks[peak].iter().copied() {
            if set.copies(expert) > 1 {
                weigh(Step::Drop { from: peak, expert }, DROP_GAIN_LEAST);
            }
            for to in targets.iter().copied().filter(|to| !set.holds(*to, expert)) {
                let has_room = set.ranks[to].len() < self.places;
                let evicted = if has_room { None } else { set.evictable(to, expert) };
                if has_room || evicted.is_some() {
                    weigh(Step::Copy { to, expert, evicted }, COPY_GAIN_LEAST);
                }
            }
        }
        best
    }
}

impl Move {
    /// Whether it loads an expert at that rank.
    fn loads_at(&self, rank: Option<usize>) -> bool {
        matches!(self.step, Step::Copy { to, .. } if Some(to) == rank)
    }
}
