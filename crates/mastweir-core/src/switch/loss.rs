//! How many orders get no answer, and how far ahead a change has to be set for it.
//!
//! A group is paused before a pass some way ahead, so that the orders to all its ranks
//! are through when it comes. Too near, and the group stands; too far, and it goes on
//! under the worse map. Orders that get no answer are given again, so what is far
//! enough follows from the part of them that are lost.

use crate::time::Uptime;
use std::time::Duration;

/// Orders count for this long: a disturbance of the users' lasts five seconds.
const DECAY_TIME: Duration = Duration::from_secs(8);
/// Orders that are taken to have been answered before the first was given.
const PRIOR_ANSWERED: f64 = 10.0;
/// Ranks that may lack an answer after the last round.
const MISSING_MAX: f64 = 0.5;
/// Rounds after which a change is not put off further.
const RETRIES_MAX: u32 = 6;

/// Time that orders to all ranks take: through sidecars in other halls and back,
/// twice. A group that stands for a tenth of a second has made all its streams
/// late.
const ORDERS_TIME: Duration = Duration::from_millis(40);
/// Part of a pass up to which orders to all ranks fit into the rest of the one under
/// way, mostly: such passes are far too long already, and one more of them costs more
/// than a group that stands for the rest of some orders.
const PASS_SHARE_MAX: f64 = 0.25;
/// Giving an order again that got no answer: the wait for it, and the next look.
const RETRY_TIME: Duration = Duration::from_millis(55);
/// The pass under way when a pause is asked for. Another may have begun since the last
/// state; then the order finds its pass begun, and the next look names a later one.
const PASSES_MIN: u64 = 1;
/// Passes that seem quicker than this come from a group that was idle.
const PASS_MS_MIN: f64 = 20.0;
/// What became of the last orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderLoss {
    sent: f64,
    lost: f64,
    at: Uptime,
}

impl OrderLoss {
    /// An order was given, and got an answer or none.
    pub fn record(&mut self, answered: bool, now: Uptime) {
        let decay = (-now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.at = self.at.max(now);
        self.sent = self.sent * decay + 1.0;
        self.lost = self.lost * decay + f64::from(u8::from(!answered));
    }

    /// Times that orders to so many ranks have to be given again until all, or all
    /// but one, have got one.
    pub fn retries(&self, ranks: usize) -> u32 {
        let loss_rate = self.lost / (self.sent + PRIOR_ANSWERED);
        let missing = |retries: &u32| ranks as f64 * loss_rate.powi(*retries as i32 + 1);
        (0..RETRIES_MAX).find(|retries| missing(retries) <= MISSING_MAX).unwrap_or(RETRIES_MAX)
    }

    /// Passes by which a group is paused ahead: as many as the orders to its ranks take,
    /// with those that have to be given again, at the time of a pass.
    pub fn lookahead(&self, ranks: usize, pass_ms: f64) -> u64 {
        let time = ORDERS_TIME + RETRY_TIME * self.retries(ranks);
        let passes = time.as_secs_f64() * 1_000.0 / pass_ms.max(PASS_MS_MIN);
        if passes < PASS_SHARE_MAX { PASSES_MIN } else { PASSES_MIN + passes.ceil() as u64 }
    }
}
