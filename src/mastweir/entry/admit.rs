//! Admission of requests by the limits of their customer.
//!
//! A customer's row limits its requests in flight, its queued requests and its rate. Each entry
//! enforces a share of these limits in proportion to its part of the customer's traffic. While
//! the servers are full, a customer is also held to its fair share of the fleet, see
//! [`usage`](super::usage).

use super::{Shared, lock, problem::ProblemKind};
use mastweir_core::{
    share::{LimitShare, TokenBucket},
    table::Customer,
    time::Uptime,
};
use rand::Rng;
use std::{collections::HashMap, sync::Arc};

/// Seconds after which a customer over its fair share may retry.
const OVER_SHARE_RETRY_S: u32 = 2;

/// What a customer currently uses of its limits at this entry.
#[derive(Debug)]
struct CustomerUsage {
    inflight: u32,
    /// Requests in flight whose answer has not begun.
    waiting: u32,
    bucket: TokenBucket,
}

/// Usage of the customers by name.
#[derive(Debug, Default)]
pub struct Limits {
    customers: HashMap<String, CustomerUsage>,
}

/// An admitted request, which counts towards the customer's limits until the guard is dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    shared: Arc<Shared>,
    customer: String,
    /// Estimated cost in service units, which was charged on admission.
    estimate: u32,
    is_waiting: bool,
    /// Whether the estimate was replaced by the actual cost.
    is_settled: bool,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    pub kind: ProblemKind,
    /// Seconds after which the caller may retry; `None` if a retry can't succeed.
    pub retry_after: Option<u32>,
}

/// Admits a request, if the limits of the customer's row and its fair share allow it.
///
/// # Errors
///
/// [`Denied`] with the limit that was reached.
pub fn admit(
    shared: &Arc<Shared>,
    name: &str,
    row: &Customer,
    estimate: u32,
) -> Result<AdmissionGuard, Denied> {
    if estimate > row.largest {
        return Err(Denied { kind: ProblemKind::TooLarge, retry_after: None });
    }
    let (own, total) = lock(&shared.usage).rates(name);
    let share = LimitShare::from_usage(own, total, lock(&shared.view).entry_count());
    let now = shared.context.clock.now();
    let estimate = lock(&shared.usage).estimate(name, estimate);
    let acquired = lock(&shared.limits).try_acquire(name, row, share, estimate, now);
    let draw = rand::rng().random_range(0.0..1.0);
    let in_share = lock(&shared.usage).admit(name, row.weight, estimate, draw);
    acquired?;
    let guard = AdmissionGuard {
        shared: shared.clone(),
        customer: name.to_owned(),
        estimate,
        is_waiting: true,
        is_settled: false,
    };
    // The guard is dropped here and releases the limits.
    if !in_share {
        return Err(Denied {
            kind: ProblemKind::Overloaded,
            retry_after: Some(OVER_SHARE_RETRY_S),
        });
    }
    Ok(guard)
}

impl Limits {
    /// Returns the number of a customer's requests in flight at this entry.
    pub fn inflight(&self, name: &str) -> u32 {
        self.customers.get(name).map_or(0, |usage| usage.inflight)
    }

    fn try_acquire(
        &mut self,
        name: &str,
        row: &Customer,
        share: LimitShare,
        estimate: u32,
        now: Uptime,
    ) -> Result<(), Denied> {
        let rate = share.apply(u64::from(row.units_s)) as f64;
        let burst = share.apply(u64::from(row.burst.max(1))) as f64;
        let new_usage = || CustomerUsage {
            inflight: 0,
            waiting: 0,
            bucket: TokenBucket::new(rate, burst, now),
        };
        let usage = self.customers.entry(name.to_owned()).or_insert_with(new_usage);
        let limited = Denied { kind: ProblemKind::Limit, retry_after: Some(1) };
        if u64::from(usage.inflight) >= share.apply(u64::from(row.inflight)) {
            return Err(limited);
        }
        if u64::from(usage.waiting) >= share.apply(u64::from(row.queue)) {
            return Err(limited);
        }
        usage.bucket.set_rate(rate, burst, now);
        if let Err(wait) = usage.bucket.take(f64::from(estimate), now) {
            let wait = wait.ceil().min(3_600.0) as u32;
            return Err(Denied { kind: ProblemKind::Limit, retry_after: Some(wait) });
        }
        usage.inflight += 1;
        usage.waiting += 1;
        Ok(())
    }
}

impl AdmissionGuard {
    /// Records that the answer has begun, so that the request no longer counts as queued.
    pub fn mark_answering(&mut self) {
        if !std::mem::replace(&mut self.is_waiting, false) {
            return;
        }
        if let Some(usage) = lock(&self.shared.limits).customers.get_mut(&self.customer) {
            usage.waiting = usage.waiting.saturating_sub(1);
        }
    }

    /// Replaces the estimated cost by the actual cost in service units.
    pub fn settle(&mut self, units: u32) {
        self.is_settled = true;
        lock(&self.shared.usage).record_cost(&self.customer, self.estimate, units);
        if let Some(usage) = lock(&self.shared.limits).customers.get_mut(&self.customer) {
            usage.bucket.settle(f64::from(self.estimate), f64::from(units));
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.mark_answering();
        if !self.is_settled {
            self.settle(0);
        }
        let mut limits = lock(&self.shared.limits);
        let Some(usage) = limits.customers.get_mut(&self.customer) else { return };
        usage.inflight = usage.inflight.saturating_sub(1);
    }
}
