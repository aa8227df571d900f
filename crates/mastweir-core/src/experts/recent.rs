//! Demand of the last moments, for plans that follow quick shifts.
//!
//! Two estimates fade at different rates. The slow one is what plans use; when
//! the quick one differs from it by more than chance, popularity has shifted, and
//! both begin anew: nothing that was counted before is of use.

use crate::time::Uptime;
use std::time::Duration;

/// Weights fall to 1/e in this time: the slow estimate averages enough choices
/// to tell experts apart, the quick one is mostly the last report of each rank. With
/// 0.25 s a shift is noticed 0.1 s later and 0.6 in 100 more streams are late (means
/// of 15 simulated days).
const SLOW_S: f64 = 1.0;
const QUICK_S: f64 = 0.12;
/// Choices a set that a plan needs.
const CHOICES_LEAST: f64 = 300.0;
/// Part of the time between two rounds of reports behind a shift in which what is counted
/// does not decide: the reports that show it are partly from before it. A plan from
/// them left a skew of 2 where one from the next round leaves 1.5.
const MIXED_PART: f64 = 0.8;
/// Distance of the two distributions, 0 to 2, beyond which popularity has
/// shifted: this, and as much as chance gives.
const SHIFT_LEAST: f64 = 0.25;
const SHIFT_CHANCE: f64 = 1.0;
/// Part of a set's demand that is spread over all its experts: one that was not
/// chosen lately may be chosen next.
const SPREAD: f64 = 0.1;

#[derive(Clone, Debug)]
struct Fading {
    weights: Vec<f64>,
    memory_s: f64,
    at: Uptime,
}

impl Fading {
    fn new(len: usize, memory_s: f64) -> Self {
        Self { weights: vec![0.0; len], memory_s, at: Uptime::default() }
    }

    fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        let fade = (-now.since(self.at).as_secs_f64() / self.memory_s).exp();
        self.weights.iter_mut().for_each(|weight| *weight *= fade);
        self.at = self.at.max(now);
        let places = self.weights.iter_mut().skip(from);
        places.zip(counts).for_each(|(weight, count)| *weight += f64::from(*count));
    }
}

/// Choices by set and expert, the older ones fading.
#[derive(Clone, Debug)]
pub struct RecentDemand {
    experts: usize,
    slow: Fading,
    quick: Fading,
    shifts: u32,
    /// Time between two rounds of reports.
    every: Duration,
    /// Until then, what is counted is partly from before the last shift.
    mixed_until: Uptime,
}

impl RecentDemand {
    /// Nothing counted yet, of ranks that report so often.
    pub fn new(sets: usize, experts: usize, every: Duration) -> Self {
        let len = sets * experts;
        let experts = experts.max(1);
        Self {
            experts,
            slow: Fading::new(len, SLOW_S),
            quick: Fading::new(len, QUICK_S),
            shifts: 0,
            every,
            mixed_until: Uptime::default(),
        }
    }

    /// Adds counts, one set behind the other, that begin at `from`.
    pub fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        self.slow.add(from, counts, now);
        self.quick.add(from, counts, now);
        if self.has_shifted() {
            self.slow.weights.fill(0.0);
            self.quick.weights.fill(0.0);
            self.shifts += 1;
            self.mixed_until = now + self.every.mul_f64(MIXED_PART);
        }
    }

    /// Shifts seen so far.
    pub const fn shifts(&self) -> u32 {
        self.shifts
    }

    /// Whether enough was counted, and not before a shift.
    pub fn is_known(&self, now: Uptime) -> bool {
        if now < self.mixed_until {
            return false;
        }
        // Sets are counted in turn in large groups: one that was not yet would be planned
        // as if nothing in it were popular.
        let mut sets = self.slow.weights.chunks(self.experts);
        sets.all(|set| set.iter().sum::<f64>() > CHOICES_LEAST)
    }

    /// Demand by set and expert.
    pub fn by_set(&self) -> Vec<Vec<f64>> {
        let sets = self.slow.weights.chunks(self.experts);
        sets.map(|set| {
            let floor = SPREAD * set.iter().sum::<f64>() / self.experts as f64;
            set.iter().map(|weight| weight + floor).collect()
        })
        .collect()
    }

    /// Whether the two estimates differ by more than chance, over all sets.
    fn has_shifted(&self) -> bool {
        let slow = self.slow.weights.chunks(self.experts);
        let pairs = slow.zip(self.quick.weights.chunks(self.experts));
        let (mut apart, mut chance, mut sets) = (0.0, 0.0, 0.0);
        for (slow, quick) in pairs {
            let (all, few) = (slow.iter().sum::<f64>(), quick.iter().sum::<f64>());
            if few < CHOICES_LEAST * QUICK_S || all <= 0.0 {
                continue;
            }
            sets += 1.0;
            for (slow, quick) in slow.iter().zip(quick) {
                let part = slow / all;
                apart += (part - quick / few).abs();
                chance += (part / few).sqrt();
            }
        }
        sets > 0.0 && apart > SHIFT_LEAST * sets + SHIFT_CHANCE * chance
    }
}
