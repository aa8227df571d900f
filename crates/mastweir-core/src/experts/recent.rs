//! Demand of the last moments, for plans that follow quick shifts.

use crate::time::Uptime;

/// Weight of what was counted falls to 1/e in this time: as long as it takes to
/// tell a shift of popularity from chance at the users' rates.
const MEMORY_S: f64 = 0.8;
/// Choices in all that a plan needs.
const CHOICES_LEAST: f64 = 300.0;

/// Choices by set and expert, the older ones fading.
#[derive(Clone, Debug)]
pub struct RecentDemand {
    experts: usize,
    weights: Vec<f64>,
    at: Uptime,
}

impl RecentDemand {
    /// Nothing counted yet.
    pub fn new(sets: usize, experts: usize) -> Self {
        Self { experts, weights: vec![0.0; sets * experts], at: Uptime::default() }
    }

    /// Adds counts, one set behind the other, that begin at `from`.
    pub fn add(&mut self, from: usize, counts: &[u32], now: Uptime) {
        let fade = (-now.since(self.at).as_secs_f64() / MEMORY_S).exp();
        self.weights.iter_mut().for_each(|weight| *weight *= fade);
        self.at = self.at.max(now);
        let places = self.weights.iter_mut().skip(from);
        places.zip(counts).for_each(|(weight, count)| *weight += f64::from(*count));
    }

    /// Whether enough was counted.
    pub fn is_known(&self) -> bool {
        let sets = self.weights.len() / self.experts.max(1);
        self.weights.iter().sum::<f64>() > CHOICES_LEAST * sets as f64
    }

    /// Demand by set and expert. Each expert has a little: one that was not
    /// chosen lately may be chosen next.
    pub fn by_set(&self) -> Vec<Vec<f64>> {
        let sets = self.weights.chunks(self.experts.max(1));
        sets.map(|set| {
            let floor = 0.1 * set.iter().sum::<f64>() / self.experts as f64;
            set.iter().map(|weight| weight + floor).collect()
        })
        .collect()
    }
}
