//! Estimates how many orders get no answer, and from that how many passes ahead a group is
//! paused for a map change.
//!
//! The pause has to be set far enough ahead for the orders, with retries, to reach all ranks
//! before its pass begins. Set too near, the group stalls; set too far, it runs longer under the
//! old map. The coordinator of a group, in a rank's sidecar, keeps one [`OrderLoss`].

use crate::time::Uptime;
use std::time::Duration;

/// Time constant by which the weight of past orders decays.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Answered orders assumed before the first one.
const PRIOR_ANSWERED: f64 = 10.0;
/// Expected number of ranks without an answer that is accepted after the last retry.
const MISSING_MAX: f64 = 0.5;
const RETRIES_MAX: u32 = 6;

/// Time for orders to all ranks without retries: two round trips through sidecars in other halls. A
/// group that is stalled for a tenth of a second has made all its streams late.
const ORDERS_TIME: Duration = Duration::from_millis(40);
/// Fraction of a pass that orders may take if the group is paused before the next pass. They
/// mostly fit into the rest of the current pass, and waiting for another long pass would cost more
/// than a short stall.
const PASS_SHARE_MAX: f64 = 0.25;
/// Time for a retry: the timeout of the order and the wait for the next decision.
const RETRY_TIME: Duration = Duration::from_millis(55);
/// Smallest lookahead: a pause before the pass that follows the last one begun. If that pass has
/// begun meanwhile, the rank refuses the order and the next decision names a later pass.
const PASSES_MIN: u64 = 1;
/// Lower bound on the length of a pass; shorter ones are measured in idle groups.
const PASS_MS_MIN: f64 = 20.0;

/// Decaying counts of orders sent and lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderLoss {
    sent: f64,
    lost: f64,
    updated: Uptime,
}

impl OrderLoss {
    /// Records an order and whether it was answered.
    pub fn record(&mut self, answered: bool, now: Uptime) {
        let decay = (-now.since(self.updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
        self.sent = self.sent * decay + 1.0;
        self.lost = self.lost * decay + f64::from(u8::from(!answered));
    }

    /// Returns how many retries it takes until at most one of `ranks` orders is likely to lack
    /// an answer.
    pub fn retries(&self, ranks: usize) -> u32 {
        let loss_rate = self.lost / (self.sent + PRIOR_ANSWERED);
        let missing = |retries: &u32| ranks as f64 * loss_rate.powi(*retries as i32 + 1);
        (0..RETRIES_MAX).find(|retries| missing(retries) <= MISSING_MAX).unwrap_or(RETRIES_MAX)
    }

    /// Returns by how many passes after the last one begun a group of `ranks` is paused, for
    /// passes of `pass_ms` milliseconds.
    pub fn lookahead(&self, ranks: usize, pass_ms: f64) -> u64 {
        let time = ORDERS_TIME + RETRY_TIME * self.retries(ranks);
        let passes = time.as_secs_f64() * 1_000.0 / pass_ms.max(PASS_MS_MIN);
        if passes < PASS_SHARE_MAX { PASSES_MIN } else { PASSES_MIN + passes.ceil() as u64 }
    }
}
