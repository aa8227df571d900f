//! Budget of retries, shared by all gateways without coordination.
//!
//! In every window, the attempts of a service beyond the first of each request are limited
//! over the whole fleet: to a ratio of its requests, plus an extra that all gateways share.
//! Each gateway spends an equal part of the extra without asking the others, so it can decide
//! while it is cut off from them. A gateway that has just started gets almost nothing of the
//! extra, since it knows neither what its previous process spent in the same window nor how
//! many other gateways exist.

use crate::time::Uptime;
use std::{collections::VecDeque, time::Duration};

/// Least number of gateways among which shared budgets are split, since a gateway may not know
/// all others. One less than the smallest installation has.
pub(super) const MIN_GATEWAYS: usize = 6;
/// Ratio of the budget that is spent. The rest covers gateways that are not known here, and
/// windows that end between two counts.
const SPEND_RATIO: f64 = 0.8;

/// Retries that a gateway may make in its first window regardless of its requests. Over all
/// gateways these are fewer than what `SPEND_RATIO` leaves of the shared extra retries, which are
/// six a gateway and more.
const STARTUP_RETRIES: f64 = 1.0;

/// Retries of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    extra: f64,
    requests: VecDeque<Uptime>,
    retries: VecDeque<Uptime>,
}

impl RetryWindow {
    /// Creates a window with a budget of `ratio` retries per request, and `extra` retries that
    /// all gateways share.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self { window, ratio, extra, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records the arrival of a request.
    pub fn record_request(&mut self, now: Uptime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget, and returns whether one was left. `others` is the
    /// largest number of other gateways that were known at once; `now` counts from the start
    /// of this gateway.
    #[must_use]
    pub fn try_take(&mut self, now: Uptime, others: usize) -> bool {
        self.expire(now);
        let earned = self.ratio * self.requests.len() as f64;
        let is_young = now.since(Uptime::default()) < self.window;
        let part = self.extra / (others + 1).max(MIN_GATEWAYS) as f64;
        let allowed = if is_young {
            (SPEND_RATIO * earned).max(STARTUP_RETRIES)
        } else {
            SPEND_RATIO * (earned + part)
        };
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the number of retries in the window.
    pub fn spent(&self) -> usize {
        self.retries.len()
    }

    fn expire(&mut self, now: Uptime) {
        let old = |at: &Uptime| now.since(*at) > self.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(old) {
            self.retries.pop_front();
        }
    }
}
