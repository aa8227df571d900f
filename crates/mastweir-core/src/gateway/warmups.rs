//! Servers that are cold, and the rate of requests that they can take until they are warm.
//!
//! A server is cold after a start, and may become cold at any time; its entry in the list states
//! for how long. The rate applies to all gateways together, as a rate limit that a server states
//! does, so requests to a cold server need permits ([`PermitIssuer`](super::PermitIssuer)).

use super::{directory::Server, permit_issuer::BURST_WINDOW, rate_limits::Rate};
use crate::{revision::Revision, time::Uptime};
use std::{collections::HashMap, time::Duration};

/// Part of the stated rate for which permits are granted. A server counts the requests of one
/// second; permits of a burst and of a permit's lifetime may be used within it, too, which adds
/// up to 1.5 times the stated rate.
const GRANTED_FRACTION: f64 = 6.0 / 7.0;
const _: () = assert!(
    BURST_WINDOW.as_millis() + super::PERMIT_LIFETIME.as_millis() == 750,
    "GRANTED_FRACTION is 1.5 / (1 + 0.75)"
);

/// The end of a server's warm-up.
#[derive(Clone, Copy, Debug)]
struct Warmup {
    /// Revision of the entry that stated it.
    stated: Revision,
    until: Uptime,
}

/// Rates of cold servers, by service, and warm-ups by server.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmups {
    rates: HashMap<String, Rate>,
    warmups: HashMap<String, Warmup>,
}

impl Warmups {
    /// Sets the requests a second that a cold server of each service takes. Services without a
    /// rate have no bound.
    pub(super) fn set_rates(&mut self, rates: HashMap<String, f64>) {
        let granted = |(service, per_s): (String, f64)| {
            Some((service, Rate::per_second(per_s * GRANTED_FRACTION)?))
        };
        self.rates = rates.into_iter().filter_map(granted).collect();
    }

    /// Records what the entries of all listed servers state. An entry that is read again does
    /// not extend its warm-up.
    pub(super) fn record<'a>(&mut self, servers: impl Iterator<Item = &'a Server>, now: Uptime) {
        let before = std::mem::take(&mut self.warmups);
        for server in servers.filter(|server| server.warmup_ms > 0) {
            let stated = server.changed;
            let known = before.get(&server.id).filter(|known| known.stated == stated);
            let until = now + Duration::from_millis(u64::from(server.warmup_ms));
            let warmup = known.copied().unwrap_or(Warmup { stated, until });
            if warmup.until > now {
                self.warmups.insert(server.id.clone(), warmup);
            }
        }
    }

    /// Whether no server was cold at the last change of the list.
    pub(super) fn is_empty(&self) -> bool {
        self.warmups.is_empty()
    }

    /// Returns the servers that are cold.
    pub(super) fn cold(&self, now: Uptime) -> impl Iterator<Item = &str> {
        self.warmups.iter().filter(move |(_, warmup)| warmup.until > now).map(|(id, _)| id.as_str())
    }

    /// Returns the rate for which permits are granted for a server; `None` if it is warm.
    pub(super) fn rate(&self, server: &Server, now: Uptime) -> Option<Rate> {
        let warmup = self.warmups.get(&server.id).filter(|warmup| warmup.until > now);
        warmup.and_then(|_| self.rates.get(&server.service).copied())
    }
}
