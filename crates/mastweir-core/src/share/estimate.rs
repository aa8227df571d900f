//! What a request will cost, learned from what those before it did.
//!
//! Callers bound the tokens they ask for, and mostly get far fewer. A queue that
//! charges the bound is wrong until the request has ended. The ratio of true
//! cost to bound is learned for each customer.

use std::{borrow::Borrow, collections::HashMap, hash::Hash};

/// Weight of the newest reading in the learned ratio.
const SMOOTH: f64 = 0.1;
const RATIO_MIN: f64 = 0.01;
const RATIO_MAX: f64 = 100.0;

/// Learned ratios of true cost to what was named, by customer.
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
    /// The cost to expect, in units.
    pub fn estimate<Q>(&self, customer: &Q, requested: u32) -> u32
    where
        C: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let ratio = self.ratios.get(customer).copied().unwrap_or(1.0);
        (f64::from(requested) * ratio).clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// A request for which `named` units were named has cost `actual`.
    pub fn record(&mut self, customer: C, requested: u32, actual: u32) {
        let reading = f64::from(actual) / f64::from(requested.max(1));
        let reading = reading.clamp(RATIO_MIN, RATIO_MAX);
        let ratio = self.ratios.entry(customer).or_insert(reading);
        *ratio += SMOOTH * (reading - *ratio);
    }
}
