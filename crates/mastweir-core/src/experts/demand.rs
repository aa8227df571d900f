//! Demand for experts, from counts that are late, noisy and have gaps.

/// Weight of the newest counts in the fast and in the slow estimate.
const FAST: f64 = 0.3;
const SLOW: f64 = 0.05;
/// How fast the weight of the newest count falls back after a jump.
const SETTLE: f64 = 0.85;
/// Relative difference of the two, in deviations, beyond which demand is taken
/// to have jumped, and the slow one follows at once.
const JUMP: f64 = 4.0;
/// Counts below this are noise to the test for a jump.
const JUMP_LEAST: f64 = 16.0;

/// Estimated demand of one group's experts.
#[derive(Clone, Debug)]
pub struct Demand {
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Weight of the newest count in the slow estimate: after a jump it falls
    /// back step by step.
    weight: Vec<f64>,
    /// Smoothed squared difference of a count to the slow estimate.
    variance: Vec<f64>,
    counts: u32,
}

impl Demand {
    /// No counts yet, for so many experts.
    pub fn new(experts: usize) -> Self {
        let zero = vec![0.0; experts];
        let weight = vec![FAST; experts];
        Self { fast: zero.clone(), slow: zero.clone(), weight, variance: zero, counts: 0 }
    }

    /// Takes one report's counts in. A report that is missing is not zero: it
    /// is left out by the caller.
    pub fn add(&mut self, counts: &[f64]) {
        self.counts += 1;
        let first = self.counts == 1;
        for (i, count) in counts.iter().enumerate().take(self.slow.len()) {
            if first {
                self.fast[i] = *count;
                self.slow[i] = *count;
                self.variance[i] = *count;
                continue;
            }
            let off = count - self.slow[i];
            self.fast[i] += FAST * (count - self.fast[i]);
            self.variance[i] += SLOW * (off * off - self.variance[i]);
            self.slow[i] += self.weight[i] * off;
            self.weight[i] = (self.weight[i] * SETTLE).max(SLOW);
            self.follow_jump(i);
        }
    }

    /// Demand by expert, in tokens a report.
    pub fn by_expert(&self) -> &[f64] {
        &self.slow
    }

    /// Variance of the estimate of an expert's demand.
    pub fn error(&self, expert: usize) -> f64 {
        let weight = self.weight[expert];
        self.variance[expert] * weight / (2.0 - weight)
    }

    /// Reports taken in.
    pub const fn reports(&self) -> u32 {
        self.counts
    }

    /// The smoothed fast estimate has the deviation of a count, times
    /// `sqrt(FAST / (2 - FAST))`.
    fn follow_jump(&mut self, i: usize) {
        let noise = self.variance[i].max(self.slow[i]).max(JUMP_LEAST).sqrt();
        let noise = noise * (FAST / (2.0 - FAST)).sqrt();
        if (self.fast[i] - self.slow[i]).abs() > JUMP * noise {
            self.slow[i] = self.fast[i];
            self.weight[i] = FAST;
        }
    }
}
