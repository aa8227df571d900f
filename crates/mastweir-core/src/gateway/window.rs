//! A budget of retries over all gateways.
//!
//! What a service gets beyond the first attempt of each request is bounded in
//! every window, over the whole fleet: a part of its requests, and an extra that
//! all gateways share. Each gateway spends its part of the extra; it does not ask
//! the others, so that it can decide while cut off from them.

use crate::time::Uptime;
use std::{collections::VecDeque, time::Duration};

/// Part of the allowance that is spent. The rest covers gateways that this one
/// does not know of yet, and windows that end between two counts.
const SPENT_PART: f64 = 0.8;

/// Retries of one service at one gateway.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    window: Duration,
    ratio: f64,
    requests: VecDeque<Uptime>,
    retries: VecDeque<Uptime>,
}

impl RetryWindow {
    /// A window of `window`, with `ratio` retries a request.
    pub fn new(window: Duration, ratio: f64) -> Self {
        Self { window, ratio, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// A request arrived.
    pub fn arrived(&mut self, now: Uptime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget; `extra` is this gateway's part of what
    /// all share. False if there is none left.
    #[must_use]
    pub fn take(&mut self, now: Uptime, extra: f64) -> bool {
        self.expire(now);
        let earned = self.ratio * self.requests.len() as f64;
        let allowed = SPENT_PART * (earned + extra);
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
