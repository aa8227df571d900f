//! Fleet-wide admission control by customers' shares, run in every entry instance.
//!
//! A fair queue at one server is fair only among the customers with requests
//! there, so a customer with one request at each of many servers would be next
//! at all of them. Entry instances therefore reject the part of a customer's
//! requests that exceeds its share, in the manner of core-stateless fair
//! queueing (Stoica, Shenker and Zhang, 1998).
//!
//! The fill level is the rate, in units a second per weight, up to which customers
//! are served: of a customer that offers `offered` units a second fleet-wide, the
//! part `fill_level * weight / offered` is admitted. It is computed from the load
//! that customers offer, which comes from the exchange of [`Usage`] and is a few
//! seconds old, as the level at which the admitted load is what the fleet delivers
//! (weighted max-min fairness).
//!
//! The level is multiplied by a factor that follows the present wait at the
//! servers: above 1 while requests wait less than [`TARGET_WAIT_S`], below 1 while
//! they wait longer. While requests hardly wait at all, the factor grows until
//! nothing is rejected, so idle capacity can be used by anyone.
//!
//! [`Usage`]: super::Usage

use super::CustomerTag;
use std::collections::HashMap;

/// Wait at the servers that admission control aims at, in seconds.
pub const TARGET_WAIT_S: f64 = 1.0;
/// Part of [`TARGET_WAIT_S`] below which the servers count as idle.
const IDLE_WAIT_RATIO: f64 = 0.25;
/// Proportional gain: change of the factor per relative deviation of the wait from its target.
const FACTOR_GAIN: f64 = 0.5;
const FACTOR_MAX: f64 = 1.5;
const FACTOR_MIN: f64 = 0.2;
/// Lower bound of the factor, also above [`FACTOR_MAX`], where servers' queues have space for
/// all customers: their fair order then suffices, except for a large excess.
const FACTOR_MIN_LONG_QUEUES: f64 = 8.0;
/// Growth of the factor with each observation of idle servers.
const FACTOR_STEP: f64 = 1.3;
/// Factor from which nothing is rejected. Far above 1, since an idle fleet delivers much less
/// than its capacity.
const FACTOR_UNLIMITED: f64 = 20.0;
/// Weight of the newest reading in a customer's smoothed rate.
const RATE_SMOOTHING: f64 = 0.5;
/// Weight of the newest reading in the smoothed rates of the fleet.
const FLEET_SMOOTHING: f64 = 0.3;
/// Seconds without a usage row after which a customer is forgotten.
const FLOW_EXPIRY_S: f64 = 60.0;
/// Maximum credit of a customer, in requests.
const CREDIT_MAX_REQUESTS: f64 = 2.0;
/// Minimum weight; a customer with a weight of zero is served by an idle fleet only.
const WEIGHT_MIN: f64 = 1e-6;

/// Load that one customer offered fleet-wide.
#[derive(Clone, Copy, Debug)]
pub struct OfferedLoad {
    pub customer: CustomerTag,
    /// Units since the customer's previous usage row.
    pub units: f64,
    /// Weight from the configuration table.
    pub weight: f64,
}

/// Units of all customers in one period.
#[derive(Clone, Copy, Debug)]
pub struct FleetUsage {
    pub offered: f64,
    pub delivered: f64,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    weight: f64,
    /// Offered units a second.
    rate: f64,
    /// Time of the last usage row, in seconds.
    updated: f64,
}

/// Decides which requests are admitted. All entries of a fleet reach about the same fill level.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    flows: HashMap<CustomerTag, Flow>,
    /// Units a second that the fleet delivers.
    delivered: f64,
    /// Units a second that all customers offer, including those without a usage row.
    offered: f64,
    /// Before the factor, in units a second per weight; `None` while the fleet delivers all that
    /// is offered.
    fill_level: Option<f64>,
    /// Factor on the fill level that follows the wait at the servers.
    wait_factor: f64,
    /// Units of each customer that this entry may still admit.
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
    /// Returns whether a request of `units` units is admitted.
    ///
    /// Each request adds the customer's admitted part to a credit, and a request is admitted
    /// when the credit covers it; this is more even than a random decision per request.
    /// `start`, from 0 to 1, is the initial credit in requests, chosen at random so
    /// that not all entries admit a customer's first request.
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
        // Bounds the credit, but lets it cover a request larger than this one.
        *credit = credit.min(CREDIT_MAX_REQUESTS * units);
        fits
    }

    /// Returns the part of a customer's requests that is admitted, from 0 to 1.
    pub fn admit_ratio(&self, customer: CustomerTag, weight: f64) -> f64 {
        let Some(level) = self.fill_level else { return 1.0 };
        if self.wait_factor >= FACTOR_UNLIMITED {
            return 1.0;
        }
        let Some(flow) = self.flows.get(&customer) else { return 1.0 };
        let fair = level * self.wait_factor * weight.max(WEIGHT_MIN);
        (fair / flow.rate.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the units a second that a customer offers fleet-wide, by its recent usage rows.
    pub fn rate(&self, customer: CustomerTag) -> Option<f64> {
        self.flows.get(&customer).map(|flow| flow.rate)
    }

    /// Returns the fill level times the factor, in units a second per weight, or `None` while
    /// nothing is rejected.
    pub fn fill_level(&self) -> Option<f64> {
        self.fill_level
            .filter(|_| self.wait_factor < FACTOR_UNLIMITED)
            .map(|level| level * self.wait_factor)
    }

    /// Applies the fleet-wide sums of a period of `period` seconds: the units of each
    /// customer since its previous row, and the totals of all customers.
    pub fn update(&mut self, now: f64, rows: &[OfferedLoad], period: f64, fleet: FleetUsage) {
        for row in rows {
            self.update_flow(row, now, period);
        }
        self.flows.retain(|_, flow| now - flow.updated < FLOW_EXPIRY_S);
        let first = self.delivered <= 0.0;
        let part = if first { 1.0 } else { FLEET_SMOOTHING };
        self.delivered += part * (fleet.delivered / period - self.delivered);
        self.offered += part * (fleet.offered / period - self.offered);
        self.fill_level = self.max_min_level();
    }

    /// Adjusts the factor on the fill level to the present wait at the servers, in
    /// seconds, and to the number of requests that a server's queue can hold.
    ///
    /// Where a queue can hold requests of every customer, its fair order decides which are
    /// served, by present load, and admission control rejects only a large excess.
    pub fn observe(&mut self, wait: f64, queue_slots: f64) {
        let covered = (queue_slots / self.flows.len().max(1) as f64).min(1.0);
        let least = FACTOR_MIN + (FACTOR_MIN_LONG_QUEUES - FACTOR_MIN) * covered;
        let error = (TARGET_WAIT_S - wait) / TARGET_WAIT_S;
        let factor = (1.0 + FACTOR_GAIN * error).clamp(least, FACTOR_MAX.max(least));
        let is_idle = wait < IDLE_WAIT_RATIO * TARGET_WAIT_S;
        // Grows in steps: an immediate change would fill all queues at once.
        let raised = (self.wait_factor * FACTOR_STEP).clamp(factor, FACTOR_UNLIMITED);
        self.wait_factor = if is_idle { raised } else { factor };
    }

    fn update_flow(&mut self, row: &OfferedLoad, now: f64, period: f64) {
        let new = Flow { weight: row.weight, rate: row.units / period, updated: now - period };
        let flow = self.flows.entry(row.customer).or_insert(new);
        let passed = (now - flow.updated).max(period);
        flow.rate += RATE_SMOOTHING * (row.units / passed - flow.rate);
        flow.weight = row.weight;
        flow.updated = now;
    }

    /// Returns the fill level at which weighted max-min shares add up to the delivered rate, or
    /// `None` if the delivered rate covers all that is offered.
    fn max_min_level(&self) -> Option<f64> {
        let key = |flow: &Flow| flow.rate / flow.weight.max(WEIGHT_MIN);
        let mut flows: Vec<&Flow> = self.flows.values().collect();
        flows.sort_by(|a, b| key(a).total_cmp(&key(b)));
        // Customers without a usage row yet offer little each and are admitted in full.
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
