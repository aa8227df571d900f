//! Long-term estimate of the demand for each expert.
//!
//! Reports count the model tokens routed to each expert. They arrive late, vary at random and
//! may be missing. Each expert has two exponential averages. The slow one is the estimate; when
//! the fast one differs from it by more than random variation explains, demand has jumped, and
//! the slow average is reset to the fast one.

/// Weight of the newest count in the fast average, and in the slow one after a reset.
const FAST_WEIGHT: f64 = 0.3;
const SLOW_WEIGHT: f64 = 0.05;
/// Factor by which the weight in the slow average falls with each report, down to
/// `SLOW_WEIGHT`.
const WEIGHT_DECAY: f64 = 0.85;
/// Difference of the two averages that counts as a jump, in standard deviations.
const JUMP_DEVIATIONS: f64 = 4.0;
/// Lower bound of the variance in the test for a jump, for experts with few counts.
const MIN_VARIANCE: f64 = 16.0;

/// Estimated demand of one group's experts.
#[derive(Clone, Debug)]
pub struct Demand {
    fast: Vec<f64>,
    slow: Vec<f64>,
    /// Weight of the next count in the slow average.
    weight: Vec<f64>,
    /// Smoothed squared difference of the counts from the slow average.
    variance: Vec<f64>,
    reports: u32,
}

impl Demand {
    /// Creates an estimate without any counts.
    pub fn new(experts: usize) -> Self {
        let zero = vec![0.0; experts];
        let weight = vec![FAST_WEIGHT; experts];
        Self { fast: zero.clone(), slow: zero.clone(), weight, variance: zero, reports: 0 }
    }

    /// Adds the counts of one report. Callers leave out missing reports; they are not
    /// counts of zero.
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

    /// Returns the demand by expert, in model tokens per report.
    pub fn by_expert(&self) -> &[f64] {
        &self.slow
    }

    /// Returns the variance of an expert's estimated demand.
    pub fn estimate_variance(&self, expert: usize) -> f64 {
        let weight = self.weight[expert];
        self.variance[expert] * weight / (2.0 - weight)
    }

    /// Returns the number of reports added.
    pub const fn reports(&self) -> u32 {
        self.reports
    }

    /// Sets the slow average to the fast one if they differ by more than random variation
    /// explains. The standard deviation of the fast average is that of a count times
    /// `sqrt(FAST_WEIGHT / (2 - FAST_WEIGHT))`.
    fn reset_on_jump(&mut self, i: usize) {
        let deviation = self.variance[i].max(self.slow[i]).max(MIN_VARIANCE).sqrt();
        let deviation = deviation * (FAST_WEIGHT / (2.0 - FAST_WEIGHT)).sqrt();
        if (self.fast[i] - self.slow[i]).abs() > JUMP_DEVIATIONS * deviation {
            self.slow[i] = self.fast[i];
            self.weight[i] = FAST_WEIGHT;
        }
    }
}
