//! Demand of the last moments, for plans that follow fast shifts.
//!
//! Two estimates decay at different rates. The slow one is what plans use; when
//! the fast one differs from it by more than noise, popularity has shifted, and
//! both begin anew: nothing that was counted before is of use.

use crate::time::Uptime;
use std::time::Duration;

/// Weights fall to 1/e in this time: the slow estimate averages enough choices
/// to tell experts distance, the fast one is mostly the last report of each rank. With
/// 0.25 s a shift is noticed 0.1 s later and 0.6 in 100 more streams are late (means
/// of 15 simulated days).
const SLOW_DECAY_S: f64 = 1.0;
const FAST_DECAY_S: f64 = 0.12;
/// Choices a set that a plan needs.
const MIN_SELECTIONS: f64 = 300.0;
/// Part of the time between two rounds of reports behind a shift in which what is counted
/// does not decide: the reports that show it are partly from before it. A plan from
/// them left a skew of 2 where one from the next round leaves 1.5.
const MIXED_FRACTION: f64 = 0.8;
/// Distance of the two distributions, 0 to 2, beyond which popularity has
/// shifted: this, and as much as noise gives.
const MIN_SHIFT_DISTANCE: f64 = 0.25;
const NOISE_FACTOR: f64 = 1.0;
/// Part of a set's demand that is spread over all its experts: one that was not
/// chosen lately may be chosen next.
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

/// Choices by set and expert, the older ones fading.
#[derive(Clone, Debug)]
pub struct RecentDemand {
    experts: usize,
    slow: DecayingCounts,
    fast: DecayingCounts,
    shifts: u32,
    /// Time between two rounds of reports.
    report_interval: Duration,
    /// Until then, what is counted is partly from before the last shift.
    mixed_until: Uptime,
}

impl RecentDemand {
    /// Nothing counted yet, of ranks that report so often.
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

    /// Adds counts, one set behind the other, that begin at `from`.
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

    /// Shifts seen so far.
    pub const fn shifts(&self) -> u32 {
        self.shifts
    }

    /// Whether enough was counted, and not before a shift.
    pub fn is_ready(&self, now: Uptime) -> bool {
        if now < self.mixed_until {
            return false;
        }
        // Sets are counted in turn in large groups: one that was not yet would be planned
        // as if nothing in it were popular.
        let mut sets = self.slow.weights.chunks(self.experts);
        sets.all(|set| set.iter().sum::<f64>() > MIN_SELECTIONS)
    }

    /// Demand by set and expert.
    pub fn by_set(&self) -> Vec<Vec<f64>> {
        let sets = self.slow.weights.chunks(self.experts);
        sets.map(|set| {
            let floor = UNIFORM_FRACTION * set.iter().sum::<f64>() / self.experts as f64;
            set.iter().map(|weight| weight + floor).collect()
        })
        .collect()
    }

    /// Whether the two estimates differ by more than noise, over all sets.
    fn has_shifted(&self) -> bool {
        let slow = self.slow.weights.chunks(self.experts);
        let pairs = slow.zip(self.fast.weights.chunks(self.experts));
        let (mut distance, mut noise, mut sets) = (0.0, 0.0, 0.0);
        for (slow, fast) in pairs {
            let (all, few) = (slow.iter().sum::<f64>(), fast.iter().sum::<f64>());
            if few < MIN_SELECTIONS * FAST_DECAY_S || all <= 0.0 {
                continue;
            }
            sets += 1.0;
            for (slow, fast) in slow.iter().zip(fast) {
                let part = slow / all;
                distance += (part - fast / few).abs();
                noise += (part / few).sqrt();
            }
        }
        sets > 0.0 && distance > MIN_SHIFT_DISTANCE * sets + NOISE_FACTOR * noise
    }
}
