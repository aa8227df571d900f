//! How long requests wait for a server, and when refused callers should return.
//!
//! In the gateway's process. `Retry-After` depends on the reason of the refusal and is spread at
//! random where many callers are refused together.

use super::{call::Call, state::Gateway};
use mastweir_core::{gateway::Refusal, time::Uptime};
use rand::Rng;
use std::{ops::Range, time::Duration};

/// Fraction of the route's objective for which a request waits for capacity. The rest leaves the
/// caller time to retry after a refusal.
const WAIT_FRACTION: f64 = 0.2;
/// `Retry-After` if a service without a model is full: its requests take some ten milliseconds.
pub const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);
/// Range of `Retry-After` if a model's servers are full: their streams take seconds.
const RETRY_AFTER_OVERLOAD: Range<Duration> =
    Duration::from_millis(600)..Duration::from_millis(2_400);
/// `Retry-After` if no server is available or all groups are stalled: a restart takes seconds.
const RETRY_AFTER_DOWN: Duration = Duration::from_millis(2_500);
/// Random time on top of the servers' backoff or wait for a permit. Without it, all callers that
/// were refused meanwhile would return at one moment.
const RETRY_AFTER_JITTER: Range<Duration> = Duration::ZERO..Duration::from_millis(400);
/// `Retry-After` if all servers are rate limited and no permit issuer has stated a time.
const RETRY_AFTER_LIMITED: Duration = Duration::from_millis(1_000);

/// Returns the time until which a request waits for capacity. A retry waits no longer than a first
/// attempt: under lasting overload it would hold its caller in vain, and its chance does not improve
/// while it waits. While all groups are stalled, retries that waited for 1.8 or 1.2 s were served no
/// more often: those that got a server came all at once, and their callers left before the first
/// event.
pub fn wait_limit(call: &Call) -> Uptime {
    let objective = Duration::from_millis(call.route().objective_ms);
    (call.arrived + objective.mul_f64(WAIT_FRACTION)).min(call.deadline)
}

/// Returns the `Retry-After` of a refusal.
pub fn retry_after(gateway: &Gateway, call: &Call, refusal: Refusal) -> Duration {
    match refusal {
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses if call.is_model() => {
            gateway.rng.borrow_mut().random_range(RETRY_AFTER_OVERLOAD)
        }
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses => RETRY_AFTER_FULL,
        Refusal::Stalled | Refusal::NoServer | Refusal::NoHall => RETRY_AFTER_DOWN,
        Refusal::Limited(left) if left.is_zero() => RETRY_AFTER_LIMITED,
        Refusal::Backoff(left) | Refusal::Limited(left) => {
            left + gateway.rng.borrow_mut().random_range(RETRY_AFTER_JITTER)
        }
    }
}
