//! Detection of retries by the timeouts that callers state, in a gateway.
//!
//! A caller states the time that it still has, and a retry has less than the first attempt
//! had. First attempts use a timeout of the caller's choice, so it is estimated per route as
//! the longest one seen recently.

use std::{collections::HashMap, time::Duration};

/// Timeouts below this fraction of the longest one belong to retries.
const FIRST_FRACTION: f64 = 0.95;
/// Decay of the longest timeout per request, so that it follows shorter timeouts. Where callers
/// come to have less time, about fifty requests count as retries before that is noticed.
const DECAY: f64 = 0.999;
/// Routes that are kept; beyond that, all are cleared and learned again.
const ROUTES_MAX: usize = 16_384;

/// Longest recent timeout of each route, in seconds.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector(HashMap<String, f64>);

impl RetryDetector {
    /// Records the timeout of a request and returns whether the request looks like a retry.
    pub fn is_retry(&mut self, route: &str, timeout: Duration) -> bool {
        let timeout = timeout.as_secs_f64();
        if self.0.len() >= ROUTES_MAX && !self.0.contains_key(route) {
            self.0.clear();
        }
        let Some(longest) = self.0.get_mut(route) else {
            self.0.insert(route.to_owned(), timeout);
            return false;
        };
        *longest = (*longest * DECAY).max(timeout);
        timeout < *longest * FIRST_FRACTION
    }
}
