//! Estimates the cost of a request from earlier requests of its customer.
//!
//! Callers state an upper bound on the model tokens to generate, and most
//! answers are far shorter. Entry instances keep, for each customer, a smoothed
//! ratio of actual cost to that bound, so that queues and limits charge a
//! realistic cost before a request has ended.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

/// Weight of the newest reading in the smoothed ratio.
const RATIO_SMOOTHING: f64 = 0.1;
const RATIO_MIN: f64 = 0.01;
const RATIO_MAX: f64 = 100.0;

/// Smoothed ratios of actual to requested units, by customer.
#[derive(Clone, Debug)]
pub struct CostEstimator<C> {
    ratios: HashMap<C, f64>,
}

impl<C> Default for CostEstimator<C> {
    fn default() -> Self {
        Self { ratios: HashMap::new() }
    }
}

impl<C: Eq + Hash> CostEstimator<C> {
    /// Returns the expected cost of a request for `requested` units.
    pub fn estimate<Q>(&self, customer: &Q, requested: u32) -> u32
    where
        C: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let ratio = self.ratios.get(customer).copied().unwrap_or(1.0);
        (f64::from(requested) * ratio).clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// Records that a request for `requested` units has cost `actual` units.
    pub fn record(&mut self, customer: C, requested: u32, actual: u32) {
        let reading = f64::from(actual) / f64::from(requested.max(1));
        let reading = reading.clamp(RATIO_MIN, RATIO_MAX);
        let ratio = self.ratios.entry(customer).or_insert(reading);
        *ratio += RATIO_SMOOTHING * (reading - *ratio);
    }
}
