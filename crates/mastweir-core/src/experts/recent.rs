//! Demand of the last moments, for plans that follow quick shifts.
//!
//! Two estimates fade at different rates. The slow one is what plans use; when
//! the quick one differs from it by more than chance, popularity has shifted, and
//! the slow one begins anew from the quick one.

use crate::time::Uptime;

/// Weights fall to 1/e in this time: the slow estimate averages enough choices
/// to tell experts apart, the quick one follows a shift within two reports.
const SLOW_S: f64 = 1.0;
const QUICK_S: f64 = 0.25;
/// Choices a set that a plan needs.
const CHOICES_LEAST: f64 = 300.0;
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
}

impl RecentDemand {
    /// Nothing counted yet.
    pub fn new(sets: usize, experts: usize) -> Self {
        let len = sets * experts;
        let experts = experts.max(1);
        Self {
            experts,
            slow: Fading::new(len, SLOW_S),
            quick: Fading::new(len, QUICK_S),
            shifts: 0,
        }
    }

    /// Adds counts, one set behind the other, that begin at `from`.
    pub fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        self.slow.add(from, counts, now);
        self.quick.add(from, counts, now);
        if self.has_shifted() {
            // The same choices, at the weight that the slow estimate gives them.
            let scale = SLOW_S / QUICK_S;
            let weights = self.quick.weights.iter().map(|weight| weight * scale);
            self.slow.weights = weights.collect();
            self.shifts += 1;
        }
    }

    /// Shifts seen so far.
    pub const fn shifts(&self) -> u32 {
        self.shifts
    }

    /// Whether enough was counted.
    pub fn is_known(&self) -> bool {
        let sets = self.slow.weights.len() / self.experts;
        self.slow.weights.iter().sum::<f64>() > CHOICES_LEAST * sets as f64
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
