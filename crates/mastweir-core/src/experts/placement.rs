//! Which rank holds which experts, and what load that makes.

use super::{Expert, RankNumber};

/// A change of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotChange {
    /// The rank.
    pub rank: RankNumber,
    /// The slot on it.
    pub slot: usize,
    /// The expert that is to be loaded there.
    pub expert: Expert,
}

/// Experts by rank and slot. An expert may stand on several ranks, which share
/// its load evenly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    slots: Vec<Vec<Expert>>,
    copies: Vec<u32>,
}

impl Placement {
    /// A placement from experts by rank and slot.
    pub fn new(slots: Vec<Vec<Expert>>, experts: usize) -> Self {
        let mut copies = vec![0; experts];
        slots.iter().flatten().for_each(|expert| copies[*expert] += 1);
        Self { slots, copies }
    }

    /// Experts in order over the ranks; slots left over repeat the first ones.
    pub fn sequential(experts: usize, ranks: usize, slots: usize) -> Self {
        let expert = |place| place % experts;
        let rank = |rank| (0..slots).map(|slot| expert(rank * slots + slot)).collect();
        Self::new((0..ranks).map(rank).collect(), experts)
    }

    /// Experts by rank and slot.
    pub fn slots(&self) -> &[Vec<Expert>] {
        &self.slots
    }

    /// Ranks that hold an expert, each counted as often as it does.
    pub fn copies(&self, expert: Expert) -> u32 {
        self.copies[expert]
    }

    /// Load of one copy of an expert.
    pub fn copy_load(&self, expert: Expert, demand: &[f64]) -> f64 {
        demand[expert] / f64::from(self.copies[expert].max(1))
    }

    /// Load by rank.
    pub fn loads(&self, demand: &[f64]) -> Vec<f64> {
        let load = |experts: &Vec<Expert>| experts.iter().map(|e| self.copy_load(*e, demand)).sum();
        self.slots.iter().map(load).collect()
    }

    /// Makes a change. The expert that stood there must stand elsewhere too.
    pub fn apply(&mut self, change: SlotChange) {
        let slot = &mut self.slots[change.rank][change.slot];
        self.copies[*slot] -= 1;
        self.copies[change.expert] += 1;
        *slot = change.expert;
    }

    /// Slots that hold another expert in `other`, without regard to their order
    /// on a rank: what would have to be loaded.
    pub fn loads_needed(&self, other: &Self) -> usize {
        let pairs = self.slots.iter().zip(&other.slots);
        pairs.map(|(from, to)| missing(from, to)).sum()
    }
}

fn missing(from: &[Expert], to: &[Expert]) -> usize {
    let mut held = from.to_vec();
    let is_missing = |expert: &&Expert| match held.iter().position(|other| other == *expert) {
        Some(place) => {
            held.swap_remove(place);
            false
        }
        None => true,
    };
    to.iter().filter(is_missing).count()
}

/// The slowest rank's load over the mean.
pub fn skew(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let most = loads.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 { most / mean } else { 1.0 }
}
