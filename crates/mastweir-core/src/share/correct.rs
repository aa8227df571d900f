//! The slow, fleet-wide correction of effective weights.
//!
//! A queue at a server is fair among the customers present there. A customer
//! that is present at many servers while another is at few gets too much. Once
//! a period every entry learns what customers with a backlog received
//! fleet-wide, and moves the effective weight of each by a part of the error:
//!
//! `factor <- factor * (level / received) ^ GAIN`, `received` per weight and
//! `level` their weighted mean. The exponent below one keeps the loop stable
//! when what it hears is some periods old; the factor is bounded; without a
//! backlog it returns to one, so that nobody carries a past into a new burst.

use super::{CustomerTag, UsageRow};
use std::collections::HashMap;

/// Part of the error that one period corrects, as an exponent.
const GAIN: f64 = 0.35;
const FACTOR_MAX: f64 = 16.0;
const FACTOR_MIN: f64 = 1.0 / 16.0;
/// How fast a factor without backlog returns to one, as an exponent a period.
const RETURN: f64 = 0.6;
/// Weight of the newest reading in the smoothed rate.
const SMOOTH: f64 = 0.5;

/// What a customer with a backlog received, and what it weighs.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// Fleet-wide sum.
    pub row: UsageRow,
    /// Weight in the row of its table.
    pub weight: f64,
}

/// Factors on the weights of customers. All entries arrive at the same ones.
#[derive(Clone, Debug, Default)]
pub struct Corrector {
    factors: HashMap<CustomerTag, f64>,
    rates: HashMap<CustomerTag, f64>,
}

impl Corrector {
    /// The factor of a customer.
    pub fn factor(&self, customer: CustomerTag) -> f64 {
        self.factors.get(&customer).copied().unwrap_or(1.0)
    }

    /// The effective weight in thousandths that an order carries.
    pub fn weight_milli(&self, customer: CustomerTag, weight: f64) -> u32 {
        let milli = weight * self.factor(customer) * 1_000.0;
        milli.clamp(1.0, 1e9) as u32
    }

    /// Takes in one period's sums of the customers with a backlog.
    pub fn update(&mut self, received: &[Received]) {
        self.smooth(received);
        let level = self.level(received);
        self.relax(received);
        if level <= 0.0 {
            return;
        }
        for entry in received.iter().filter(|entry| entry.weight > 0.0) {
            let tag = entry.row.customer;
            let rate = self.rates.get(&tag).copied().unwrap_or(0.0) / entry.weight;
            let ratio = (level / rate.max(level * 0.05)).clamp(0.05, 20.0);
            let factor = self.factors.entry(tag).or_insert(1.0);
            *factor = (*factor * ratio.powf(GAIN)).clamp(FACTOR_MIN, FACTOR_MAX);
        }
    }

    fn smooth(&mut self, received: &[Received]) {
        for entry in received {
            let rate = f64::from(entry.row.rate);
            let smooth = self.rates.entry(entry.row.customer).or_insert(rate);
            *smooth += SMOOTH * (rate - *smooth);
        }
    }

    /// Rate per weight, over all with a backlog.
    fn level(&self, received: &[Received]) -> f64 {
        let weights: f64 = received.iter().map(|entry| entry.weight).sum();
        let rate = |entry: &Received| self.rates.get(&entry.row.customer).copied();
        let rates: f64 = received.iter().filter_map(rate).sum();
        if weights > 0.0 { rates / weights } else { 0.0 }
    }

    fn relax(&mut self, received: &[Received]) {
        let busy: std::collections::HashSet<_> =
            received.iter().map(|entry| entry.row.customer).collect();
        self.factors.retain(|tag, factor| {
            if !busy.contains(tag) {
                *factor = factor.powf(RETURN);
            }
            busy.contains(tag) || (*factor - 1.0).abs() > 0.01
        });
        self.rates.retain(|tag, _| busy.contains(tag));
    }
}
