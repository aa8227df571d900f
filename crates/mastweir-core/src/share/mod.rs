//! Weighted shares of the fleet among customers.
//!
//! Customers' requests arrive at entry instances ("entries") and run at servers, each with an
//! agent beside it. A share counts service received, in units ([`Cost`]), not requests:
//!
//! - every agent keeps a [`FairQueue`] in front of its server, so the entry
//!   instance through which a request arrives does not matter, and idle capacity
//!   is usable at once;
//! - a queue is fair only among the customers at its server, so entries add up the
//!   load that customers offer fleet-wide, i.e. the cost of the requests that they send
//!   ([`Usage`], along a [`UsageTree`] of entries), and reject what exceeds a customer's
//!   share ([`AdmissionControl`]);
//! - limits on requests in flight and on rates are split over the entries that a
//!   customer uses ([`LimitShare`]).
//!
//! `docs/design/shares.md` compares this design with others.

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

/// Prices of a request, in service units of about one generated model token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Cost of a prompt token, in thousandths of a unit.
    pub prefill_milli: u32,
    /// Cost of a generated token, in thousandths of a unit.
    pub decode_milli: u32,
    /// Cost of a request without its tokens, in units.
    pub fixed: u32,
}

impl Default for Cost {
    fn default() -> Self {
        Self { prefill_milli: 100, decode_milli: 1_000, fixed: 1 }
    }
}

impl Cost {
    /// Returns the cost of a request in units, by its prompt tokens and generated tokens.
    pub const fn units(self, prompt: u64, generated: u64) -> u32 {
        let milli = prompt * self.prefill_milli as u64 + generated * self.decode_milli as u64;
        let units = milli.div_ceil(1_000) + self.fixed as u64;
        if units > u32::MAX as u64 { u32::MAX } else { units as u32 }
    }
}

/// Hash of a customer's name, which stands for it in packets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CustomerTag(pub u32);

impl CustomerTag {
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let [a, b, c, d, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Load that one customer offered since its previous row in a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    pub customer: CustomerTag,
    /// Estimated cost of the customer's requests, in units.
    pub units: u32,
}

/// Load that customers offered, added up over some entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Whether this is the sum over the whole fleet, which leaders send to their children in
    /// the tree.
    pub total: bool,
    /// Time until the next exchange, chosen by the hall's leader.
    pub period_ms: u32,
    /// Units that all customers offered in the period.
    pub offered: u64,
    /// Units that all customers received in the period.
    pub delivered: u64,
    /// At most [`Usage::ROWS_MAX`] rows.
    pub rows: Vec<UsageRow>,
}

impl Usage {
    /// Maximum rows of a packet.
    pub const ROWS_MAX: usize = 110;
}

/// Usage that was not sent yet.
///
/// Rows that do not fit into a packet stay for the next one.
#[derive(Clone, Debug, Default)]
pub struct PendingUsage {
    rows: BTreeMap<CustomerTag, u64>,
    offered: u64,
    delivered: u64,
}

impl PendingUsage {
    /// Adds units that a customer offered.
    pub fn add_offered(&mut self, customer: CustomerTag, units: u64) {
        *self.rows.entry(customer).or_default() += units;
        self.offered += units;
    }

    pub fn add_delivered(&mut self, units: u64) {
        self.delivered += units;
    }

    /// Adds the sums of a packet.
    pub fn merge(&mut self, usage: &Usage) {
        for row in &usage.rows {
            *self.rows.entry(row.customer).or_default() += u64::from(row.units);
        }
        self.offered += usage.offered;
        self.delivered += usage.delivered;
    }

    /// Takes the next packet, with the rows that have the most units per weight: those
    /// that are pending longest or offer most.
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
