//! Permits that a gateway holds. Each allows it to send one request to a server that states a
//! rate limit.
//!
//! Permits expire soon, so that those of an idle period are not used in a burst.

use crate::time::Uptime;
use std::{collections::HashMap, time::Duration};

/// Permits by server, and when to request the next ones.
#[derive(Clone, Debug, Default)]
pub(super) struct PermitPool {
    /// Expiry times of the permits held.
    permits: HashMap<String, Vec<Uptime>>,
    /// Times before which the issuer grants no permit.
    retry_at: HashMap<String, Uptime>,
}

impl PermitPool {
    /// Returns the servers for which a permit is held.
    pub(super) fn servers(&self, now: Uptime) -> impl Iterator<Item = &String> {
        let is_valid = move |until: &Uptime| *until > now;
        self.permits
            .iter()
            .filter(move |(_, expiries)| expiries.iter().any(is_valid))
            .map(|(id, _)| id)
    }

    /// Takes a permit that expires first. Returns whether there was one.
    pub(super) fn take(&mut self, id: &str, now: Uptime) -> bool {
        let Some(expiries) = self.permits.get_mut(id) else { return false };
        expiries.retain(|until| *until > now);
        let first = expiries.iter().enumerate().min_by_key(|(_, until)| **until);
        let taken = first.map(|(at, _)| at).map(|at| expiries.swap_remove(at));
        if expiries.is_empty() {
            self.permits.remove(id);
        }
        taken.is_some()
    }

    /// Adds permits that expire at `until`.
    pub(super) fn add(&mut self, id: &str, count: u32, until: Uptime) {
        self.retry_at.remove(id);
        let expiries = self.permits.entry(id.to_owned()).or_default();
        expiries.extend((0..count).map(|_| until));
    }

    /// Records that no permit is granted before a time.
    pub(super) fn set_retry(&mut self, id: &str, at: Uptime) {
        self.retry_at.insert(id.to_owned(), at);
    }

    /// Returns the time until a permit may be granted, or zero if that is unknown.
    pub(super) fn wait(&self, id: &str, now: Uptime) -> Duration {
        self.retry_at.get(id).map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Returns whether a permit should be requested.
    pub(super) fn is_needed(&self, id: &str, now: Uptime) -> bool {
        let has_permit =
            self.permits.get(id).is_some_and(|expiries| expiries.iter().any(|until| *until > now));
        !has_permit && self.wait(id, now).is_zero()
    }

    /// Removes expired permits.
    pub(super) fn expire(&mut self, now: Uptime) {
        self.permits.retain(|_, expiries| {
            expiries.retain(|until| *until > now);
            !expiries.is_empty()
        });
        self.retry_at.retain(|_, at| *at > now);
    }
}
