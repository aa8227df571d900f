//! Percentiles by `hdrhistogram`.

use hdrhistogram::Histogram;

/// Microseconds of a sample's highest value.
const HIGHEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Times, in microseconds.
#[derive(Clone, Debug)]
pub struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    /// No times yet.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_US, DIGITS);
        Self { histogram: histogram.unwrap_or_else(|_| unreachable!("the bounds are constant")) }
    }

    /// Adds a time in seconds.
    pub fn add(&mut self, seconds: f64) {
        self.histogram.saturating_record(((seconds * 1e6) as u64).max(1));
    }

    /// A percentile, in seconds.
    pub fn at(&self, percent: f64) -> f64 {
        self.histogram.value_at_percentile(percent) as f64 / 1e6
    }

    /// Number of times.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }
}
