//! Demand for experts, from counts that are late, noisy and have gaps.

/// Weight of the newest counts in the fast and in the slow estimate.
const FAST_WEIGHT: f64 = 0.3;
const SLOW_WEIGHT: f64 = 0.05;
/// How fast the weight of the newest count falls back after a jump.
const WEIGHT_DECAY: f64 = 0.85;
/// Relative difference of the two, in deviations, beyond which demand is taken
/// to have jumped, and the slow one follows at once.
const JUMP_DEVIATIONS: f64 = 4.0;
/// Counts below this are noise to the test for a jump.
const MIN_VARIANCE: f64 = 16.0;

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
    reports: u32,
}

impl Demand {
    /// No counts yet, for so many experts.
    pub fn new(experts: usize) -> Self {
        let zero = vec![0.0; experts];
        let weight = vec![FAST_WEIGHT; experts];
        Self { fast: zero.clone(), slow: zero.clone(), weight, variance: zero, reports: 0 }
    }

    /// Takes one report's counts in. A report that is missing is not zero: it
    /// is left out by the caller.
    pub fn add(&mut self, counts: &[f64]) {
        self.reports += 1;
        let first = self.reports == 1;
        for (i, count) in counts.iter().enumerate().take(self.slow.len()) {
            if first {
                self.fast[i] = *count;
                self.slow[i] = *count;
                self.variance[i] = *count;
                continue;
            }
            let difference = count - self.slow[i];
            self.fast[i] += FAST_WEIGHT * (count - self.fast[i]);
            self.variance[i] += SLOW_WEIGHT * (difference * difference - self.variance[i]);
            self.slow[i] += self.weight[i] * difference;
            self.weight[i] = (self.weight[i] * WEIGHT_DECAY).max(SLOW_WEIGHT);
            self.reset_on_jump(i);
        }
    }

    /// Demand by expert, in tokens a report.
    pub fn by_expert(&self) -> &[f64] {
        &self.slow
    }

    /// Variance of the estimate of an expert's demand.
    pub fn estimate_variance(&self, expert: usize) -> f64 {
        let weight = self.weight[expert];
        self.variance[expert] * weight / (2.0 - weight)
    }

    /// Reports taken in.
    pub const fn reports(&self) -> u32 {
        self.reports
    }

    /// The smoothed fast estimate has the deviation of a count, times
    /// `sqrt(FAST_WEIGHT / (2 - FAST_WEIGHT))`.
    fn reset_on_jump(&mut self, i: usize) {
        let noise = self.variance[i].max(self.slow[i]).max(MIN_VARIANCE).sqrt();
        let noise = noise * (FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        if (self.fast[i] - self.slow[i]).abs() > JUMP_DEVIATIONS * noise {
            self.slow[i] = self.fast[i];
            self.weight[i] = FAST_WEIGHT;
        }
    }
}
