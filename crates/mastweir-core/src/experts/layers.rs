//! Plans for groups whose ranks have room for copies, over all sets of layers.
//!
//! A pass lasts, set by set, as long as its most loaded rank. So a plan lowers the
//! sum over the sets of that rank's load. Loading an expert takes a rank time,
//! during which demand moves on; so a plan loads little ([`LayerPlanner::plan`] weighs each
//! number of loads a rank by what it saves in the time that is left of a horizon,
//! less what the loads cost), and the next plan goes on from there. A group with
//! places to spare gains little from quicker passes: its pressure weighs the gain.

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
/// Steps of a plan, over all sets: far more than there are places to change.
const STEPS_MAX: usize = 600;

struct Set<'a> {
    demand: &'a [f64],
    ranks: Vec<Vec<u16>>,
    before: Vec<Vec<u16>>,
    /// Ranks that hold an expert.
    holders: Vec<Vec<usize>>,
    loads: Vec<f64>,
    /// Loads that the plan so far brings each rank.
    fresh: Vec<usize>,
}

struct Move {
    set: usize,
    to: usize,
    expert: u16,
    evicted: Option<u16>,
    gain: f64,
}

/// Mean skew over the sets: the most loaded rank over the mean.
pub fn mean_skew(map: &GroupMap, demand: &[Vec<f64>]) -> f64 {
    let sets: Vec<Set<'_>> = sets(map, demand);
    sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64
}

fn sets<'a>(map: &GroupMap, demand: &'a [Vec<f64>]) -> Vec<Set<'a>> {
    map.iter().zip(demand).map(|(ranks, demand)| Set::new(ranks, demand)).collect()
}

impl<'a> Set<'a> {
    fn new(ranks: &[Vec<u16>], demand: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            experts.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let (ranks, before) = (ranks.to_vec(), ranks.to_vec());
        let fresh = vec![0; ranks.len()];
        let mut set = Self { demand, ranks, before, holders, loads: Vec::new(), fresh };
        set.loads = set.ranks.iter().map(|rank| set.load(rank)).collect();
        set
    }

    fn load(&self, rank: &[u16]) -> f64 {
        rank.iter().map(|expert| self.part(*expert)).sum()
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
        self.loads.iter().sum::<f64>() / self.loads.len().max(1) as f64
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

    /// Loads of the ranks if `expert` were copied to `to` in place of `evicted`, into
    /// a buffer that is used again: a plan asks for thousands of them.
    fn after(&self, to: usize, expert: u16, evicted: Option<u16>, loads: &mut Vec<f64>) {
        loads.clone_from(&self.loads);
        let new = self.part_of(expert, self.copies(expert) + 1);
        let change = new - self.part(expert);
        self.holders[usize::from(expert)].iter().for_each(|rank| loads[*rank] += change);
        loads[to] += new;
        let Some(out) = evicted else { return };
        let old = self.part(out);
        let change = self.part_of(out, self.copies(out) - 1) - old;
        let others = self.holders[usize::from(out)].iter().filter(|rank| **rank != to);
        others.for_each(|rank| loads[*rank] += change);
        loads[to] -= old;
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

    fn apply(&mut self, step: &Move) {
        let mut touched = self.holders[usize::from(step.expert)].clone();
        if let Some(out) = step.evicted {
            touched.extend(&self.holders[usize::from(out)]);
            self.ranks[step.to].retain(|expert| *expert != out);
            self.holders[usize::from(out)].retain(|rank| *rank != step.to);
            self.fresh[step.to] -= usize::from(!self.before[step.to].contains(&out));
        }
        self.ranks[step.to].push(step.expert);
        self.holders[usize::from(step.expert)].push(step.to);
        self.fresh[step.to] += usize::from(!self.before[step.to].contains(&step.expert));
        touched.push(step.to);
        for rank in touched {
            self.loads[rank] = self.load(&self.ranks[rank]);
        }
    }
}

impl LayerPlanner {
    /// The best plan from a map on, if one is worth it. `demand` is by set and
    /// expert; `pressure` is what a quicker pass is worth, 0 to 1.
    pub fn plan(&self, map: &GroupMap, demand: &[Vec<f64>], pressure: f64) -> Option<LayerPlan> {
        let now = mean_skew(map, demand);
        let tried = LOADS.iter().map(|loads| self.with_loads(map, demand, *loads));
        let worth = |plan: &LayerPlan| {
            let late = plan.loads as f64 * self.load_s;
            let saved = (now - plan.skew_then) * (self.horizon_s - late).max(0.0);
            let slowed = self.load_slows * now * late;
            pressure * (saved - slowed) - self.load_cost * plan.moved as f64
        };
        let best = tried.max_by(|a, b| worth(a).total_cmp(&worth(b)))?;
        (worth(&best) > 0.0).then_some(best)
    }

    /// The plan that loads at most `budget` experts at a rank, over all sets.
    fn with_loads(&self, map: &GroupMap, demand: &[Vec<f64>], budget: usize) -> LayerPlan {
        let mut sets = sets(map, demand);
        let skew_now = sets.iter().map(Set::skew).sum::<f64>() / sets.len().max(1) as f64;
        let ranks = map.first().map_or(0, Vec::len);
        let mut spent = vec![0; ranks];
        let mut best: Vec<Option<Move>> =
            (0..sets.len()).map(|at| self.best(&sets, at, &spent, budget)).collect();
        for _ in 0..STEPS_MAX {
            let gain = |at: &usize| best[*at].as_ref().map_or(0.0, |step| step.gain);
            let Some(at) = (0..sets.len()).max_by(|a, b| gain(a).total_cmp(&gain(b))) else {
                break;
            };
            let Some(step) = best[at].take() else { break };
            sets[at].apply(&step);
            spent[step.to] += 1;
            let full = spent[step.to] >= budget;
            for other in 0..sets.len() {
                let touched = best[other].as_ref().is_some_and(|best| best.to == step.to);
                if other == at || (full && touched) {
                    best[other] = self.best(&sets, other, &spent, budget);
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
    fn best(&self, sets: &[Set<'_>], at: usize, spent: &[usize], budget: usize) -> Option<Move> {
        let set = &sets[at];
        let (peak, second) = set.peak();
        let most = set.loads[peak];
        let mean = set.mean();
        let mut best: Option<Move> = None;
        let open = |to: &usize| spent[*to] < budget && set.fresh[*to] < self.fresh;
        let mut after = Vec::new();
        let targets = set.lightest(open);
        for expert in &set.ranks[peak] {
            for to in targets.iter().copied() {
                if set.holds(to, *expert) {
                    continue;
                }
                let evicted = if set.ranks[to].len() < self.places {
                    None
                } else {
                    let Some(out) = set.evictable(to, *expert) else { continue };
                    Some(out)
                };
                set.after(to, *expert, evicted, &mut after);
                let most_then = after.iter().copied().fold(0.0, f64::max);
                // Where two ranks are equally loaded, lowering one of them only
                // prepares the next step.
                let lowered = (most - after[peak]).min(most - second.min(most)).max(0.0);
                let gain = (most - most_then + 0.05 * lowered) / mean.max(f64::MIN_POSITIVE);
                if gain > 1e-6 && best.as_ref().is_none_or(|best| gain > best.gain) {
                    best = Some(Move { set: at, to, expert: *expert, evicted, gain });
                }
            }
        }
        best.filter(|step| step.set == at)
    }
}
