//! Whether a server is fit, by what calls see.
//!
//! A server is ejected after a run of failures or when calls on it stop making
//! progress, for a time that doubles with each ejection. It comes back as a
//! trial_calls: one call at a time until some have ended well. Own signals only: a
//! report says that the agent is well, not that the engine makes progress.
//!
//! A gateway leaves servers out by other signs (`gateway::seen`): its sidecars do say
//! whether a group makes passes, so silence and refusals are what counts, and it has no
//! trials, since a stream's caller leaves after two seconds without an event.

use crate::time::Uptime;
use std::time::Duration;

/// Failures in a row that eject.
const FAILURES_MAX: u32 = 3;
const EJECT_BASE: Duration = Duration::from_secs(2);
const EJECT_DOUBLINGS_MAX: u32 = 4;
/// Calls that have to end well on trial.
const TRIAL_CALLS: u32 = 3;

/// What a call saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It ended well.
    Success,
    /// No connection, or lost.
    Failed,
    /// No token for longer than its step time explains.
    Stalled,
}

/// State of a server's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Uptime>,
    trial_calls: u32,
}

impl Health {
    /// A server of which no call has been seen.
    pub const NEW: Self = Self { failures: 0, ejections: 0, ejected_until: None, trial_calls: 0 };

    /// Takes a signal in. True if it ejects the server now.
    pub fn record(&mut self, signal: Signal, now: Uptime) -> bool {
        match signal {
            Signal::Success => {
                self.on_success();
                false
            }
            Signal::Failed | Signal::Stalled => self.on_failure(signal, now),
        }
    }

    /// Whether it is out at `now`.
    pub fn is_ejected(&self, now: Uptime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether it is back on trial at `now`: one call at a time.
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
