//! Short-term estimate of the demand for experts, for groups whose popular experts change
//! within seconds.
//!
//! Selections are counted by set of layers and expert in two exponentially decaying sums.
//! The slow one is the estimate. When the distribution of the fast one differs from it by
//! more than noise explains, demand has shifted, and both are reset, because older counts
//! no longer apply.

use crate::time::Uptime;
use std::time::Duration;

/// Seconds in which the weight of a count falls to 1/e. The slow sum covers enough
/// selections to tell experts apart; the fast one is mostly the last report of each rank.
const SLOW_DECAY_S: f64 = 1.0;
const FAST_DECAY_S: f64 = 0.12;
/// Selections per set needed for a plan.
const MIN_SELECTIONS: f64 = 300.0;
/// Part of a report interval after a shift during which counts are partly from before it.
const MIXED_FRACTION: f64 = 0.8;
/// Distance of the two distributions (0 to 2) that counts as a shift, in addition to the
/// expected noise.
const MIN_SHIFT_DISTANCE: f64 = 0.25;
const NOISE_FACTOR: f64 = 1.0;
/// Part of a set's demand spread evenly over its experts, so that an expert without recent
/// selections is not assumed to be idle.
const UNIFORM_FRACTION: f64 = 0.1;

#[derive(Clone, Debug)]
struct DecayingCounts {
    weights: Vec<f64>,
    decay_s: f64,
    updated_at: Uptime,
}

impl DecayingCounts {
    fn new(len: usize, decay_s: f64) -> Self {
        Self { weights: vec![0.0; len], decay_s, updated_at: Uptime::default() }
    }

    fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / self.decay_s).exp();
        self.weights.iter_mut().for_each(|weight| *weight *= decay);
        self.updated_at = self.updated_at.max(now);
        let targets = self.weights.iter_mut().skip(from);
        targets.zip(counts).for_each(|(weight, count)| *weight += f64::from(*count));
    }
}

/// Recent selections by set and expert.
#[derive(Clone, Debug)]
pub struct RecentDemand {
    experts: usize,
    slow: DecayingCounts,
    fast: DecayingCounts,
    shifts: u32,
    report_interval: Duration,
    /// End of the time in which counts are partly from before the last shift.
    mixed_until: Uptime,
}

impl RecentDemand {
    /// Creates an estimate without any counts, for ranks that report once per
    /// `report_interval`.
    pub fn new(sets: usize, experts: usize, report_interval: Duration) -> Self {
        let len = sets * experts;
        let experts = experts.max(1);
        Self {
            experts,
            slow: DecayingCounts::new(len, SLOW_DECAY_S),
            fast: DecayingCounts::new(len, FAST_DECAY_S),
            shifts: 0,
            report_interval,
            mixed_until: Uptime::default(),
        }
    }

    /// Adds counts of consecutive experts, set after set, from the flat index `from` on.
    pub fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        self.slow.add(from, counts, now);
        self.fast.add(from, counts, now);
        if self.has_shifted() {
            self.slow.weights.fill(0.0);
            self.fast.weights.fill(0.0);
            self.shifts += 1;
            self.mixed_until = now + self.report_interval.mul_f64(MIXED_FRACTION);
        }
    }

    /// Returns the number of shifts detected so far.
    pub const fn shifts(&self) -> u32 {
        self.shifts
    }

    /// Returns whether enough selections were counted since the last shift for a plan.
    pub fn is_ready(&self, now: Uptime) -> bool {
        if now < self.mixed_until {
            return false;
        }
        // Large groups report their sets in turn. A set without counts would be planned as
        // if it had no demand.
        let mut sets = self.slow.weights.chunks(self.experts);
        sets.all(|set| set.iter().sum::<f64>() > MIN_SELECTIONS)
    }

    /// Returns the demand by set and expert.
    pub fn by_set(&self) -> Vec<Vec<f64>> {
        let sets = self.slow.weights.chunks(self.experts);
        sets.map(|set| {
            let floor = UNIFORM_FRACTION * set.iter().sum::<f64>() / self.experts as f64;
            set.iter().map(|weight| weight + floor).collect()
        })
        .collect()
    }

    /// Returns whether the two distributions differ by more than noise, over all sets.
    fn has_shifted(&self) -> bool {
        let slow = self.slow.weights.chunks(self.experts);
        let pairs = slow.zip(self.fast.weights.chunks(self.experts));
        let (mut distance, mut noise, mut sets) = (0.0, 0.0, 0.0);
        for (slow, fast) in pairs {
            let (slow_total, fast_total) = (slow.iter().sum::<f64>(), fast.iter().sum::<f64>());
            if fast_total < MIN_SELECTIONS * FAST_DECAY_S || slow_total <= 0.0 {
                continue;
            }
            sets += 1.0;
            for (slow, fast) in slow.iter().zip(fast) {
                let part = slow / slow_total;
                distance += (part - fast / fast_total).abs();
                noise += (part / fast_total).sqrt();
            }
        }
        sets > 0.0 && distance > MIN_SHIFT_DISTANCE * sets + NOISE_FACTOR * noise
    }
}
