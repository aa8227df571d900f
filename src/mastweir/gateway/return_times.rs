//! How long requests wait for a server, and when refused callers should return.
//!
//! In the gateway's process. `Retry-After` depends on the reason of the refusal and is spread at
//! random where many callers are refused together. Load: a hall that is cut off and returns, and
//! all callers back at once; [`mastweir_core::gateway::Outage`] decides what an outage means for
//! services whose levels are ranked.

use super::{call::Call, state::Gateway};
use mastweir_core::{
    gateway::{OUTAGE_WAIT_MAX, Outage, Refusal, RefusedCaller, spread_by_level},
    time::Uptime,
};
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
/// `Retry-After` if no server is available: a restart takes seconds. The same if all groups are
/// stalled and levels are not ranked.
const RETRY_AFTER_DOWN: Duration = Duration::from_millis(2_500);
/// Random time on top of the servers' backoff or wait for a permit. Without it, all callers that
/// were refused meanwhile would return at one moment.
const RETRY_AFTER_JITTER: Range<Duration> = Duration::ZERO..Duration::from_millis(400);
/// `Retry-After` if all servers are rate limited and no permit issuer has stated a time.
const RETRY_AFTER_LIMITED: Duration = Duration::from_millis(1_000);

/// Returns the time until which a request waits for capacity; a time that is past refuses it.
///
/// Under overload, a retry waits no longer than a first attempt: it would hold its caller in vain,
/// and its chance does not improve while it waits. Where levels are ranked, a retry may wait out an
/// outage, and then waits for capacity from the end of that on.
pub fn wait_limit(gateway: &Gateway, call: &Call, refusal: Refusal) -> Uptime {
    let objective = Duration::from_millis(call.route().objective_ms);
    let usual = (call.arrived + objective.mul_f64(WAIT_FRACTION)).min(call.deadline);
    if !call.level().is_ranked() {
        return usual;
    }
    match refusal {
        Refusal::Stalled => {
            let Some(outage) = present_outage(gateway, call) else { return usual };
            call.arrived + outage.wait_limit(refused_caller(call, 0.0))
        }
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses if call.is_retry => {
            let ended = gateway.service_outages.borrow().last_end(&call.service);
            let since = ended.filter(|ended| *ended > call.arrived).unwrap_or(call.arrived);
            let limit = since + objective.mul_f64(WAIT_FRACTION);
            limit
                .min(call.arrived + objective.mul_f64(WAIT_FRACTION).max(OUTAGE_WAIT_MAX))
                .min(call.deadline)
        }
        _ => usual,
    }
}

/// Returns the `Retry-After` of a refusal. Where levels are ranked, more urgent callers return
/// earlier.
pub fn retry_after(gateway: &Gateway, call: &Call, refusal: Refusal) -> Duration {
    let level = call.level();
    match refusal {
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses if !call.is_model() => {
            RETRY_AFTER_FULL
        }
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses if level.is_ranked() => {
            let draw = gateway.rng.borrow_mut().random();
            spread_by_level(RETRY_AFTER_OVERLOAD, level, draw)
        }
        Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses => {
            gateway.rng.borrow_mut().random_range(RETRY_AFTER_OVERLOAD)
        }
        Refusal::Stalled if level.is_ranked() => {
            let draw = gateway.rng.borrow_mut().random();
            present_outage(gateway, call)
                .map_or(RETRY_AFTER_DOWN, |outage| outage.retry_after(refused_caller(call, draw)))
        }
        Refusal::Stalled | Refusal::NoServer | Refusal::NoHall => RETRY_AFTER_DOWN,
        Refusal::Limited(left) if left.is_zero() => RETRY_AFTER_LIMITED,
        Refusal::Backoff(left) | Refusal::Limited(left) => {
            left + gateway.rng.borrow_mut().random_range(RETRY_AFTER_JITTER)
        }
    }
}

/// Returns the present outage of the request's service, if there is one.
pub fn present_outage(gateway: &Gateway, call: &Call) -> Option<Outage> {
    gateway.service_outages.borrow().outage(&call.service, gateway.clock.now())
}

fn refused_caller(call: &Call, draw: f64) -> RefusedCaller {
    RefusedCaller {
        level: call.level(),
        waited: call.age(),
        time_left: call.time_left(),
        is_retry: call.is_retry,
        draw,
    }
}
