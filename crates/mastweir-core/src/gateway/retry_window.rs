//! A budget of retries over all gateways.
//!
//! What a service gets beyond the first attempt of each request is bounded in
//! every window, over the whole fleet: a part of its requests, and an extra that
//! all gateways share. Each gateway spends its part of the extra; it does not ask
//! the others, so that it can decide while cut off from them. One that has just
//! started has next to no part of the extra yet: it knows neither what its life before
//! has spent in the same window nor how many others there are.

use crate::time::Uptime;
use std::{collections::VecDeque, time::Duration};

/// Gateways among which what all share is split at least. The smallest installations
/// have seven, of which one may not be known yet.
pub(super) const MIN_GATEWAYS: usize = 6;
/// Part of the allowance that is spent. The rest covers gateways that this one
/// does not know of yet, and windows that end between two counts.
const SPEND_RATIO: f64 = 0.8;

/// Retries that a gateway may always make in its first window: fewer over all gateways
/// than what `SPEND_RATIO` leaves of the users' extra, six a gateway and more.
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
    /// A window of `window`, with `ratio` retries a request, and `extra` on top that
    /// all gateways share.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self { window, ratio, extra, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// A request arrived.
    pub fn record_request(&mut self, now: Uptime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget. `others` is the most other gateways that were
    /// known at once; times count from this gateway's start. False if there is none
    /// left.
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

    /// Retries in the window.
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
