//! Outlier ejection of servers by the results of an entry instance's own calls.
//!
//! An entry instance receives callers' requests and calls the agents of servers; an
//! agent queues requests for the engine beside it. A server is ejected after
//! consecutive failures, or when a call on it stops making progress, for a time that
//! doubles with each ejection. Then it is on trial until some calls have succeeded;
//! [`ServerView`](super::ServerView) sees to it that it gets one call at a time.
//! Reports of agents do not count here: they do not show whether the engine makes
//! progress.
//!
//! Gateways, which forward requests to servers unchanged, exclude servers by other
//! signals, see [`crate::gateway`].

use crate::time::Uptime;
use std::time::Duration;

/// Consecutive failures that eject a server.
const FAILURES_MAX: u32 = 3;
/// Time of the first ejection.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// Bounds the time of an ejection to 32 s.
const EJECT_DOUBLINGS_MAX: u32 = 4;
/// Successful calls that end a trial.
const TRIAL_CALLS: u32 = 3;

/// Result of a call on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Success,
    /// The connection did not open or was lost.
    Failed,
    /// The stream made no progress for too long.
    Stalled,
}

/// Health of a server, by this entry's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Exponent of the next ejection's time. Rises with each ejection and falls with each
    /// passed trial.
    ejections: u32,
    ejected_until: Option<Uptime>,
    /// Successful calls that the trial still needs; zero if the server is not on trial.
    trial_calls: u32,
}

impl Health {
    /// Health of a server before its first call.
    pub const NEW: Self = Self { failures: 0, ejections: 0, ejected_until: None, trial_calls: 0 };

    /// Records the result of a call. Returns true if it ejects the server.
    pub fn record(&mut self, signal: Signal, now: Uptime) -> bool {
        match signal {
            Signal::Success => {
                self.on_success();
                false
            }
            Signal::Failed | Signal::Stalled => self.on_failure(signal, now),
        }
    }

    /// Whether the server is ejected at `now`.
    pub fn is_ejected(&self, now: Uptime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the server is on trial at `now`. It must not get a second call at the same time.
    pub fn is_trial(&self, now: Uptime) -> bool {
        self.trial_calls > 0 && !self.is_ejected(now)
    }

    fn on_success(&mut self) {
        self.failures = 0;
        if self.trial_calls == 0 {
            return;
        }
        self.trial_calls -= 1;
        if self.trial_calls == 0 {
            self.ejected_until = None;
            self.ejections = self.ejections.saturating_sub(1);
        }
    }

    fn on_failure(&mut self, signal: Signal, now: Uptime) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.failures += 1;
        let is_immediate = signal == Signal::Stalled || self.trial_calls > 0;
        if self.failures < FAILURES_MAX && !is_immediate {
            return false;
        }
        let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECT_BASE * (1 << doublings));
        self.ejections += 1;
        self.failures = 0;
        self.trial_calls = TRIAL_CALLS;
        true
    }
}
