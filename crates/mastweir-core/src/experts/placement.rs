//! Which rank holds which experts, and the load that results from a demand.

use super::{Expert, RankNumber};

/// Loading an expert into one slot of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotChange {
    pub rank: RankNumber,
    pub slot: usize,
    pub expert: Expert,
}

/// Experts by rank and slot. All copies of an expert share its load evenly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    slots: Vec<Vec<Expert>>,
    copies: Vec<u32>,
}

impl Placement {
    /// Creates a placement from the experts by rank and slot.
    pub fn new(slots: Vec<Vec<Expert>>, experts: usize) -> Self {
        let mut copies = vec![0; experts];
        slots.iter().flatten().for_each(|expert| copies[*expert] += 1);
        Self { slots, copies }
    }

    /// Assigns experts to slots in order of their numbers, starting over when slots are
    /// left.
    pub fn sequential(experts: usize, ranks: usize, slots: usize) -> Self {
        let expert = |index| index % experts;
        let rank = |rank| (0..slots).map(|slot| expert(rank * slots + slot)).collect();
        Self::new((0..ranks).map(rank).collect(), experts)
    }

    /// Returns the experts by rank and slot.
    pub fn slots(&self) -> &[Vec<Expert>] {
        &self.slots
    }

    /// Returns the number of slots that hold an expert.
    pub fn copies(&self, expert: Expert) -> u32 {
        self.copies[expert]
    }

    /// Returns the load of one copy of an expert.
    pub fn copy_load(&self, expert: Expert, demand: &[f64]) -> f64 {
        demand[expert] / f64::from(self.copies[expert].max(1))
    }

    /// Returns the load by rank.
    pub fn loads(&self, demand: &[f64]) -> Vec<f64> {
        let load = |experts: &Vec<Expert>| experts.iter().map(|e| self.copy_load(*e, demand)).sum();
        self.slots.iter().map(load).collect()
    }

    /// Applies a change. The replaced expert must have another copy.
    pub fn apply(&mut self, change: SlotChange) {
        let slot = &mut self.slots[change.rank][change.slot];
        self.copies[*slot] -= 1;
        self.copies[change.expert] += 1;
        *slot = change.expert;
    }

    /// Returns the number of experts to load to get to `other`. The order of slots within a
    /// rank does not matter.
    pub fn loads_needed(&self, other: &Self) -> usize {
        let pairs = self.slots.iter().zip(&other.slots);
        pairs.map(|(from, to)| missing(from, to)).sum()
    }
}

fn missing(from: &[Expert], to: &[Expert]) -> usize {
    let mut held = from.to_vec();
    let is_missing = |expert: &&Expert| match held.iter().position(|other| other == *expert) {
        Some(at) => {
            held.swap_remove(at);
            false
        }
        None => true,
    };
    to.iter().filter(is_missing).count()
}

/// Returns the maximum load over the mean load; 1 without any load.
pub fn skew(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    let most = loads.iter().copied().fold(0.0, f64::max);
    if mean > 0.0 { most / mean } else { 1.0 }
}
