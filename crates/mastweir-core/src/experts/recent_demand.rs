//! Short-term estimate of the demand for experts, for groups whose popular experts change
//! within seconds.
//!
//! A selection is the routing of a model token to an expert. Ranks report counts of
//! selections by expert and set, a number of layers that share one placement. They are added
//! to two exponentially decaying sums. The slow one is the estimate from which the placement
//! is planned. When the distribution of the fast one differs from it by more than the
//! sampling error explains, demand has shifted, and both are reset, because older counts no
//! longer apply.

use crate::time::Uptime;
use std::time::Duration;

/// Seconds in which the weight of a count falls to 1/e. The slow sum covers enough selections to
/// tell experts apart; in the fast one the last report of each rank dominates. With 0.25 s, a shift
/// is noticed 0.1 s later, and 0.6 in 100 more streams are late.
const SLOW_DECAY_S: f64 = 1.0;
const FAST_DECAY_S: f64 = 0.12;
/// Selections per set needed for a plan.
const MIN_SELECTIONS: f64 = 300.0;
/// Time after a shift, as part of a report interval, in which reports still include counts from
/// before the shift. A plan from such reports leaves a skew of 2 where one from the next round
/// leaves 1.5.
const MIXED_FRACTION: f64 = 0.8;
/// Distance of the two distributions (0 to 2) that counts as a shift, in addition to the
/// expected sampling error.
const MIN_SHIFT_DISTANCE: f64 = 0.25;
/// Factor on the sampling error of each expert's share of the fast sum.
const SAMPLING_ERROR_FACTOR: f64 = 1.0;
/// Demand added in equal parts to all experts of a set, as part of the set's demand, so that
/// an expert without recent selections is not assumed to be idle.
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
        // In large groups a report covers only some of the sets. A set without counts would be
        // planned as if it had no demand.
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

    /// Returns whether the two distributions differ by more than the sampling error explains,
    /// over all sets.
    fn has_shifted(&self) -> bool {
        let slow = self.slow.weights.chunks(self.experts);
        let pairs = slow.zip(self.fast.weights.chunks(self.experts));
        let (mut distance, mut error, mut sets) = (0.0, 0.0, 0.0);
        for (slow, fast) in pairs {
            let (slow_total, fast_total) = (slow.iter().sum::<f64>(), fast.iter().sum::<f64>());
            if fast_total < MIN_SELECTIONS * FAST_DECAY_S || slow_total <= 0.0 {
                continue;
            }
            sets += 1.0;
            for (slow, fast) in slow.iter().zip(fast) {
                let part = slow / slow_total;
                distance += (part - fast / fast_total).abs();
                error += (part / fast_total).sqrt();
            }
        }
        sets > 0.0 && distance > MIN_SHIFT_DISTANCE * sets + SAMPLING_ERROR_FACTOR * error
    }
}
