//! Limits of a customer, at this entry's part of them.

use super::{Shared, lock, problem::Kind};
use mastweir_core::{
    share::{LimitShare, TokenBucket},
    table::Customer,
    time::Uptime,
};
use rand::Rng;
use std::{collections::HashMap, sync::Arc};

/// Seconds after which to come back when over the share.
const OVER_SHARE_S: u32 = 2;

/// What a customer has at this entry.
#[derive(Debug)]
struct Held {
    inflight: u32,
    waiting: u32,
    bucket: TokenBucket,
}

/// All customers that have something.
#[derive(Debug, Default)]
pub struct Limits {
    held: HashMap<String, Held>,
}

/// A request that was let in. Dropping it gives its place back.
#[derive(Debug)]
pub struct Admitted {
    shared: Arc<Shared>,
    customer: String,
    estimate: u32,
    waits: bool,
    settled: bool,
}

/// Why a request was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// The kind of problem.
    pub kind: Kind,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

/// Lets a request in, if the customer's row allows it.
///
/// # Errors
///
/// [`Denied`] with the limit that was reached.
pub fn admit(
    shared: &Arc<Shared>,
    name: &str,
    row: &Customer,
    estimate: u32,
) -> Result<Admitted, Denied> {
    if estimate > row.largest {
        return Err(Denied { kind: Kind::TooLarge, retry_after: None });
    }
    let (own, total) = lock(&shared.usage).rates(name);
    let part = LimitShare::from_usage(own, total, lock(&shared.view).entries());
    let now = shared.context.clock.now();
    let estimate = lock(&shared.usage).expect(name, estimate);
    let taken = lock(&shared.limits).take(name, row, part, estimate, now);
    let start = rand::rng().random_range(0.0..1.0);
    let in_share = lock(&shared.usage).ask(name, row.weight, estimate, start);
    taken?;
    let admitted = Admitted {
        shared: shared.clone(),
        customer: name.to_owned(),
        estimate,
        waits: true,
        settled: false,
    };
    // Over its share while the servers are full: refused before it is sent.
    if !in_share {
        return Err(Denied { kind: Kind::Overloaded, retry_after: Some(OVER_SHARE_S) });
    }
    Ok(admitted)
}

impl Limits {
    /// Requests of a customer in flight at this entry.
    pub fn inflight(&self, name: &str) -> u32 {
        self.held.get(name).map_or(0, |held| held.inflight)
    }

    fn take(
        &mut self,
        name: &str,
        row: &Customer,
        part: LimitShare,
        estimate: u32,
        now: Uptime,
    ) -> Result<(), Denied> {
        let rate = part.apply(u64::from(row.units_s)) as f64;
        let burst = part.apply(u64::from(row.burst.max(1))) as f64;
        let born = || Held { inflight: 0, waiting: 0, bucket: TokenBucket::new(rate, burst, now) };
        let held = self.held.entry(name.to_owned()).or_insert_with(born);
        let soon = Denied { kind: Kind::Limit, retry_after: Some(1) };
        if u64::from(held.inflight) >= part.apply(u64::from(row.inflight)) {
            return Err(soon);
        }
        if u64::from(held.waiting) >= part.apply(u64::from(row.queue)) {
            return Err(soon);
        }
        held.bucket.set_rate(rate, burst, now);
        if let Err(wait) = held.bucket.take(f64::from(estimate), now) {
            let wait = wait.ceil().min(3_600.0) as u32;
            return Err(Denied { kind: Kind::Limit, retry_after: Some(wait) });
        }
        held.inflight += 1;
        held.waiting += 1;
        Ok(())
    }
}

impl Admitted {
    /// The answer has begun.
    pub fn begins(&mut self) {
        if !std::mem::replace(&mut self.waits, false) {
            return;
        }
        if let Some(held) = lock(&self.shared.limits).held.get_mut(&self.customer) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// It has cost this much.
    pub fn settle(&mut self, units: u32) {
        self.settled = true;
        lock(&self.shared.usage).received(&self.customer, self.estimate, units);
        if let Some(held) = lock(&self.shared.limits).held.get_mut(&self.customer) {
            held.bucket.settle(f64::from(self.estimate), f64::from(units));
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.begins();
        if !self.settled {
            self.settle(0);
        }
        let mut limits = lock(&self.shared.limits);
        let Some(held) = limits.held.get_mut(&self.customer) else { return };
        held.inflight = held.inflight.saturating_sub(1);
    }
}
