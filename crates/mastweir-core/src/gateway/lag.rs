//! Decides when a gateway fetches newer state from another gateway.
//!
//! Changes of the configuration and of the list of servers usually arrive from the store.
//! Another gateway's newer state is therefore fetched only if it has not arrived by itself
//! after a delay.

use crate::{revision::Revision, time::Uptime};
use std::time::Duration;

/// How long another gateway has to be ahead before its state is fetched, and before it is
/// fetched again. Longer than changes are batched before the store sends them.
const FETCH_DELAY: Duration = Duration::from_millis(350);

/// The versions of a gateway's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    pub config: u64,
    /// Revision of the list of servers.
    pub directory: Revision,
}

impl Versions {
    fn is_behind(self, other: Self) -> bool {
        other.config > self.config || other.directory > self.directory
    }
}

/// Tracks whether other gateways are ahead of this one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// When the newer versions were first seen or last fetched, and the versions.
    ahead: Option<(Uptime, Versions)>,
}

impl Lag {
    /// Compares the versions of another gateway with the own ones. Returns whether its state
    /// has to be fetched now. A gateway without any state (`is_new`) fetches at once.
    pub fn is_fetch_due(
        &mut self,
        own: Versions,
        other: Versions,
        is_new: bool,
        now: Uptime,
    ) -> bool {
        // The missing state has arrived. The next change gets a delay of its own.
        if self.ahead.is_some_and(|(_, seen)| !own.is_behind(seen)) {
            self.ahead = None;
        }
        if !own.is_behind(other) {
            return false;
        }
        let is_due = match self.ahead {
            None => is_new,
            Some((since, _)) => now.since(since) >= FETCH_DELAY,
        };
        if is_due || self.ahead.is_none() {
            self.ahead = Some((now, other));
        }
        is_due
    }
}
