//! Grants permits for servers that state a rate limit.
//!
//! Runs in each gateway. A limit applies to all gateways together, so one gateway runs the
//! token bucket of a server, and the others request permits from it. The issuer follows from
//! the relay gateways of the server's hall, as each gateway knows them ([`issuer_of`]); there
//! is no election. A gateway that becomes the issuer, or that has just started, waits until
//! the previous issuer has noticed the change, and begins with an empty bucket. An issuer that
//! is cut off from other gateways grants only its share of the limit, by the number of
//! gateways that it reaches ([`Peers::limit_share`](super::Peers::limit_share)).

use crate::time::Uptime;
use std::{collections::HashMap, net::IpAddr, time::Duration};

/// Delay before a new issuer grants permits. It covers the time in which a previous issuer
/// that is cut off still counts the other gateways, and is counted by them.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// How long a permit is valid, from the time it was requested.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which unused permits accumulate; one further permit is kept in any case.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Least rate at which requests are sent to a server whose limit is lower or zero, since the
/// end of a limit is stated only in answers.
const MIN_PER_S: f64 = 0.05;
/// Longest wait that is returned, since demand and issuers change.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Wait returned by a gateway that is not the issuer.
const REDIRECT_WAIT: Duration = Duration::from_millis(300);

/// Returns which of some gateways issues the permits for a server.
pub fn issuer_of(server: &str, issuers: &[IpAddr]) -> Option<IpAddr> {
    let score = |ip: &IpAddr| *blake3::hash(format!("{server}/{ip}").as_bytes()).as_bytes();
    issuers.iter().copied().max_by_key(score)
}

/// The answer to a permit request for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Number of permits granted.
    pub count: u32,
    /// When `count` is zero: how long to wait before the next request.
    pub wait: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// When this gateway begins to grant permits for the server.
    active_from: Uptime,
    /// Permits in the bucket, as of `updated`.
    permits: f64,
    updated: Uptime,
    /// Until when the last gateway without permits has to wait.
    wait_until: Uptime,
}

/// Token buckets of the servers for which this gateway is the issuer.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer(HashMap<String, Bucket>);

impl PermitIssuer {
    /// Sets the servers for which this gateway is the issuer from now on. Keeps the buckets of
    /// known ones.
    pub fn set_servers<'a>(&mut self, ids: impl Iterator<Item = &'a str>, now: Uptime) {
        let mut buckets = std::mem::take(&mut self.0);
        for id in ids {
            let at = now + HANDOVER_DELAY;
            let new = Bucket { active_from: at, permits: 0.0, updated: at, wait_until: at };
            self.0.insert(id.to_owned(), buckets.remove(id).unwrap_or(new));
        }
    }

    /// Grants up to `wanted` permits for a server that takes `per_s` requests a second.
    pub fn grant(&mut self, id: &str, per_s: f64, wanted: u32, now: Uptime) -> PermitGrant {
        let Some(bucket) = self.0.get_mut(id) else {
            return PermitGrant { count: 0, wait: REDIRECT_WAIT };
        };
        let per_s = per_s.max(MIN_PER_S);
        let capacity = 1.0 + per_s * BURST_WINDOW.as_secs_f64();
        let earned = per_s * now.since(bucket.updated).as_secs_f64();
        bucket.permits = (bucket.permits + earned).min(capacity);
        bucket.updated = bucket.updated.max(now);
        if now < bucket.active_from {
            return PermitGrant { count: 0, wait: bucket.active_from.since(now).min(MAX_WAIT) };
        }
        let count = wanted.min(bucket.permits as u32);
        if count > 0 {
            bucket.permits -= f64::from(count);
            return PermitGrant { count, wait: Duration::ZERO };
        }
        PermitGrant { count: 0, wait: bucket.retry_after(per_s, now) }
    }
}

impl Bucket {
    /// Returns how long a gateway that got no permit has to wait. Each one gets a later time, so
    /// that they do not all return for the next permit.
    fn retry_after(&mut self, per_s: f64, now: Uptime) -> Duration {
        let next = now + Duration::from_secs_f64((1.0 - self.permits) / per_s);
        let after_last = self.wait_until + Duration::from_secs_f64(1.0 / per_s);
        let at = if self.wait_until > now { next.max(after_last) } else { next };
        self.wait_until = at.min(now + MAX_WAIT);
        self.wait_until.since(now)
    }
}
