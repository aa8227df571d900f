//! Refusing early, so that customers' shares hold fleet-wide.
//!
//! A fair queue at a server is fair among the customers present there. In a
//! large fleet that is not the fleet: a customer with one request at each of a
//! thousand servers is everywhere next. So entries refuse the part of a
//! customer's requests that is over its share before they are sent, in
//! the manner of core-stateless fair queueing (Stoica, Shenker and Zhang,
//! 1998): a customer that asks for `offered` units a second fleet-wide is let
//! in for the part `level * weight / offered`, where `level` is the common
//! rate per weight.
//!
//! All that has to be agreed is slow: what customers ask for fleet-wide comes by
//! the exchange, some seconds old, and is fed forward, so its age makes no loop
//! swing. The level is the weighted max-min level of what is offered against
//! what the fleet delivers, moved by how long requests wait at the servers just
//! now: more is let in while they wait less than [`TARGET_WAIT_S`], less while they
//! wait longer. Below a part of it nothing is refused: idle capacity is lent.
//!
//! A first version corrected weights by the measured error instead. It swung,
//! and could not help where requests are sparse: `docs/design/shares.md`.

use super::CustomerTag;
use std::collections::HashMap;

/// Seconds that requests wait at the servers when the level is right.
pub const TARGET_WAIT_S: f64 = 1.0;
/// Part of it below which the gate opens further and further.
const IDLE_WAIT_RATIO: f64 = 0.25;
/// How far the level follows the wait.
const FACTOR_GAIN: f64 = 0.5;
const FACTOR_MAX: f64 = 1.5;
const FACTOR_MIN: f64 = 0.2;
/// What is let in at least where servers' queues can tell customers apart.
const FACTOR_MIN_LONG_QUEUES: f64 = 8.0;
/// How much further it opens with each look at servers that have room.
const FACTOR_STEP: f64 = 1.3;
/// From here on it is open: what was delivered says nothing about an idle fleet.
const FACTOR_UNLIMITED: f64 = 20.0;
/// Weight of the newest reading in smoothed rates.
const RATE_SMOOTHING: f64 = 0.5;
const FLEET_SMOOTHING: f64 = 0.3;
/// Seconds without a row after which a customer asks for nothing.
const FLOW_EXPIRY_S: f64 = 60.0;
/// Requests that a customer's count here may be ahead.
const CREDIT_MAX_REQUESTS: f64 = 2.0;
/// Least weight, so that a weight of zero is served when all is idle only.
const WEIGHT_MIN: f64 = 1e-6;

/// What one customer asked for, fleet-wide.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    /// The customer.
    pub customer: CustomerTag,
    /// Units since its last row.
    pub units: f64,
    /// Weight in the row of its table.
    pub weight: f64,
}

/// Units of all customers in a period.
#[derive(Clone, Copy, Debug)]
pub struct FleetUsage {
    /// What they asked for.
    pub offered: f64,
    /// What they were delivered.
    pub delivered: f64,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    weight: f64,
    /// Units a second that it asks for.
    rate: f64,
    /// When its last row came, in seconds.
    at: f64,
}

/// Who is let in. All entries of a fleet arrive at about the same.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    flows: HashMap<CustomerTag, Flow>,
    /// Units a second that the fleet delivers.
    delivered: f64,
    /// Units a second that all customers ask for, those without a row too.
    offered: f64,
    /// Units a second per weight; `None` while nothing has to be refused.
    fill_level: Option<f64>,
    /// What the wait makes of it.
    wait_factor: f64,
    /// Units that a customer may still be let in for here.
    credits: HashMap<CustomerTag, f64>,
}

impl Default for AdmissionControl {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            delivered: 0.0,
            offered: 0.0,
            fill_level: None,
            wait_factor: FACTOR_UNLIMITED,
            credits: HashMap::new(),
        }
    }
}

impl AdmissionControl {
    /// Decides on a request of so many units. `start` in 0..1 is where a
    /// customer's count begins here, drawn at random so that a fleet's entries
    /// do not all let the first request in.
    ///
    /// Counting instead of drawing each time keeps chance out of the shares: by
    /// draws, 200 requests came out 7% off.
    pub fn admit(&mut self, customer: CustomerTag, weight: f64, units: f64, start: f64) -> bool {
        let ratio = self.admit_ratio(customer, weight);
        if ratio >= 1.0 {
            return true;
        }
        let credit = self.credits.entry(customer).or_insert(start * units);
        *credit += ratio * units;
        let fits = *credit >= units;
        if fits {
            *credit -= units;
        }
        // What a larger request may save up for.
        *credit = credit.min(CREDIT_MAX_REQUESTS * units);
        fits
    }

    /// The part of a customer's requests that is let in.
    pub fn admit_ratio(&self, customer: CustomerTag, weight: f64) -> f64 {
        let Some(level) = self.fill_level else { return 1.0 };
        if self.wait_factor >= FACTOR_UNLIMITED {
            return 1.0;
        }
        let Some(flow) = self.flows.get(&customer) else { return 1.0 };
        let fair = level * self.wait_factor * weight.max(WEIGHT_MIN);
        (fair / flow.rate.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Units a second that a customer asks for fleet-wide, as last heard.
    pub fn rate(&self, customer: CustomerTag) -> Option<f64> {
        self.flows.get(&customer).map(|flow| flow.rate)
    }

    /// Units a second per weight, while something has to be refused.
    pub fn fill_level(&self) -> Option<f64> {
        self.fill_level
            .filter(|_| self.wait_factor < FACTOR_UNLIMITED)
            .map(|level| level * self.wait_factor)
    }

    /// Takes the sums of a period in: what was asked for since each customer's
    /// last row, and what all asked for and were delivered in the period.
    pub fn update(&mut self, now: f64, rows: &[OfferedLoad], period: f64, fleet: FleetUsage) {
        for row in rows {
            self.update_flow(row, now, period);
        }
        self.flows.retain(|_, flow| now - flow.at < FLOW_EXPIRY_S);
        let first = self.delivered <= 0.0;
        let part = if first { 1.0 } else { FLEET_SMOOTHING };
        self.delivered += part * (fleet.delivered / period - self.delivered);
        self.offered += part * (fleet.offered / period - self.offered);
        self.fill_level = self.max_min_level();
    }

    /// How long requests wait at the servers just now, in seconds, and how many
    /// requests a server's queue has room for.
    ///
    /// Where that is some for each customer, the queues decide better than the
    /// gate, and it only keeps the bulk of an overload away from them.
    pub fn observe(&mut self, wait: f64, room: f64) {
        let each = (room / self.flows.len().max(1) as f64).min(1.0);
        let least = FACTOR_MIN + (FACTOR_MIN_LONG_QUEUES - FACTOR_MIN) * each;
        let error = (TARGET_WAIT_S - wait) / TARGET_WAIT_S;
        let factor = (1.0 + FACTOR_GAIN * error).clamp(least, FACTOR_MAX.max(least));
        let is_idle = wait < IDLE_WAIT_RATIO * TARGET_WAIT_S;
        // Opened step by step: thrown open, it would fill every queue at once.
        let opened = (self.wait_factor * FACTOR_STEP).clamp(factor, FACTOR_UNLIMITED);
        self.wait_factor = if is_idle { opened } else { factor };
    }

    fn update_flow(&mut self, row: &OfferedLoad, now: f64, period: f64) {
        let new = Flow { weight: row.weight, rate: row.units / period, at: now - period };
        let flow = self.flows.entry(row.customer).or_insert(new);
        let passed = (now - flow.at).max(period);
        flow.rate += RATE_SMOOTHING * (row.units / passed - flow.rate);
        flow.weight = row.weight;
        flow.at = now;
    }

    /// The level at which weighted max-min shares add up to what is delivered.
    fn max_min_level(&self) -> Option<f64> {
        let key = |flow: &Flow| flow.rate / flow.weight.max(WEIGHT_MIN);
        let mut flows: Vec<&Flow> = self.flows.values().collect();
        flows.sort_by(|a, b| key(a).total_cmp(&key(b)));
        // Customers without a row yet ask for little each, and get it.
        let known: f64 = flows.iter().map(|flow| flow.rate).sum();
        let mut left = self.delivered - (self.offered - known).max(0.0);
        let mut weights: f64 = flows.iter().map(|flow| flow.weight.max(WEIGHT_MIN)).sum();
        for flow in flows {
            let level = left / weights;
            if key(flow) > level {
                return Some(level.max(0.0));
            }
            left -= flow.rate;
            weights -= flow.weight.max(WEIGHT_MIN);
        }
        None
    }
}
