//! Shares: who is served next, and how much of the fleet a customer gets.
//!
//! A share is of service received, in units ([`Cost`]), not of requests. The
//! way chosen (`docs/design/shares.md` weighs the others):
//!
//! - every agent keeps a [`FairQueue`] in front of its server, so that it does
//!   not matter through which entry instance a customer's load arrives, and
//!   idle capacity is lent at once;
//! - a local queue is fair among those present at that server only, so entries
//!   add up what customers ask for fleet-wide ([`Usage`], along a [`UsageTree`] of
//!   entries) and refuse early what is over a customer's share ([`AdmissionControl`]);
//! - limits in flight and by rate are split over the entries that a customer
//!   uses ([`LimitShare`]).

mod admission;
mod estimate;
mod limit;
mod queue;
mod tree;

pub use admission::{AdmissionControl, FleetUsage, OfferedLoad, TARGET_WAIT_S};
pub use estimate::CostEstimator;
pub use limit::{LimitShare, TokenBucket};
pub use queue::{EnqueueResult, FairQueue, QueuedRequest, WAIT_MAX_S};
pub use tree::{TreeRole, UsageTree};

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, mem};

/// Cost of a request in service units of about one decoded token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Units a prompt token costs, in thousandths.
    pub prefill_milli: u32,
    /// Units a generated token costs, in thousandths.
    pub decode_milli: u32,
    /// Units that any request costs.
    pub fixed: u32,
}

impl Default for Cost {
    fn default() -> Self {
        Self { prefill_milli: 100, decode_milli: 1_000, fixed: 1 }
    }
}

impl Cost {
    /// Units of a request with so many tokens.
    pub const fn units(self, prompt: u64, generated: u64) -> u32 {
        let milli = prompt * self.prefill_milli as u64 + generated * self.decode_milli as u64;
        let units = milli.div_ceil(1_000) + self.fixed as u64;
        if units > u32::MAX as u64 { u32::MAX } else { units as u32 }
    }
}

/// Stands for a customer's name in packets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CustomerTag(pub u32);

impl CustomerTag {
    /// The tag of a name.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// What one customer asked for since its last row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The customer.
    pub customer: CustomerTag,
    /// Service units that its requests would cost.
    pub units: u32,
}

/// What customers asked for, added up over some entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Whether it goes down the tree: the sum over the whole fleet.
    pub total: bool,
    /// Time until the next exchange, as the hall's leader decides.
    pub period_ms: u32,
    /// Service units that all customers asked for in the period.
    pub offered: u64,
    /// Service units that were delivered to them.
    pub delivered: u64,
    /// The rows, at most [`Usage::ROWS_MAX`].
    pub rows: Vec<UsageRow>,
}

impl Usage {
    /// Rows of one packet at most.
    pub const ROWS_MAX: usize = 110;
}

/// What was not sent yet: units asked for by customer, and units delivered.
///
/// A packet has room for some rows. Those that do not fit wait for the next
/// one, so that late rows are late and not lost.
#[derive(Clone, Debug, Default)]
pub struct PendingUsage {
    rows: BTreeMap<CustomerTag, u64>,
    offered: u64,
    delivered: u64,
}

impl PendingUsage {
    /// Adds units that a customer asked for.
    pub fn add_offered(&mut self, customer: CustomerTag, units: u64) {
        *self.rows.entry(customer).or_default() += units;
        self.offered += units;
    }

    /// Adds units that were delivered.
    pub fn add_delivered(&mut self, units: u64) {
        self.delivered += units;
    }

    /// Adds what is in a packet.
    pub fn merge(&mut self, usage: &Usage) {
        for row in &usage.rows {
            *self.rows.entry(row.customer).or_default() += u64::from(row.units);
        }
        self.offered += usage.offered;
        self.delivered += usage.delivered;
    }

    /// Takes the next packet: the rows with the most units per weight, which are
    /// those that waited longest or ask for the most.
    pub fn next_packet(&mut self, total: bool, weight: impl Fn(CustomerTag) -> f64) -> Usage {
        let per_weight = |(customer, units): (&CustomerTag, &u64)| {
            (*units as f64 / weight(*customer).max(f64::MIN_POSITIVE), *customer)
        };
        let mut order: Vec<(f64, CustomerTag)> = self.rows.iter().map(per_weight).collect();
        order.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(Usage::ROWS_MAX);
        let row = |(_, customer)| {
            let units = self.rows.remove(&customer).unwrap_or(0);
            UsageRow { customer, units: u32::try_from(units).unwrap_or(u32::MAX) }
        };
        let rows = order.into_iter().map(row).collect();
        let offered = mem::take(&mut self.offered);
        Usage { total, period_ms: 0, offered, delivered: mem::take(&mut self.delivered), rows }
    }
}
