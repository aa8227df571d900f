//! Shares: who is served next, and how much of the fleet a customer gets.
//!
//! A share is of service received, in units ([`Cost`]), not of requests. The
//! way chosen (`docs/design/shares.md` weighs the others):
//!
//! - every agent keeps a [`FairQueue`] in front of its server, so that it does
//!   not matter through which entry instance a customer's load arrives, and
//!   idle capacity is lent at once;
//! - a local queue is fair among those present at that server only, so entries
//!   add up what customers with a backlog received fleet-wide ([`Usage`], along
//!   a [`Tree`] of entries) and correct their effective weights slowly
//!   ([`Corrector`]);
//! - limits in flight and by rate are split over the entries that a customer
//!   uses ([`Allowance`]).

mod correct;
mod limit;
mod queue;
mod tree;

pub use correct::{Corrector, Received};
pub use limit::{Allowance, Bucket};
pub use queue::{Entry, FairQueue, Offer};
pub use tree::{Role, Tree};

use serde::{Deserialize, Serialize};

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

/// What one customer received in a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The customer.
    pub customer: CustomerTag,
    /// Service units that were delivered, a second.
    pub rate: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Rows of customers with a backlog, added up over some entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Whether it goes down the tree: the sum over the whole fleet.
    pub total: bool,
    /// Entries it is the sum of.
    pub entries: u16,
    /// The rows, at most [`Usage::ROWS_MAX`].
    pub rows: Vec<UsageRow>,
}

impl Usage {
    /// Rows of one packet at most: those with the largest rate.
    pub const ROWS_MAX: usize = 80;

    /// Keeps the rows that matter most.
    pub fn truncate(&mut self) {
        self.rows.sort_by_key(|row| std::cmp::Reverse((row.rate, row.customer)));
        self.rows.truncate(Self::ROWS_MAX);
    }
}
