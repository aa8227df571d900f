//! Grants permits for servers that state a rate limit.
//!
//! Runs in each gateway. A limit applies to all gateways together, so one gateway, the issuer,
//! runs the token bucket of a server, and the others request permits from it; a permit allows
//! one request. There is no election: each gateway picks the issuer by rendezvous hashing from
//! the relays of the server's hall that it knows ([`issuer_of`]). A gateway that becomes the
//! issuer, or that has just started, waits until the previous issuer has noticed the change, and
//! begins with an empty bucket. An issuer that is cut off from other gateways grants only a
//! share of the limit, in proportion to the number of gateways that it reaches
//! ([`Peers::limit_share`](super::Peers::limit_share)).

use crate::time::Uptime;
use std::{collections::HashMap, net::IpAddr, time::Duration};

/// Delay before a new issuer grants permits. Longer than gateways take to notice a network
/// partition; until then, a previous issuer that is cut off grants more than its share. A previous
/// issuer that is cut off counts the other gateways, and is counted by them, for 4 s, of which 0.9
/// s have passed when a new one takes over.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// Time for which a permit is valid after it was requested.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which unused permits accumulate. The bucket holds one permit more.
pub(super) const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Lowest rate of permits, even if the limit is lower or zero. Some requests must reach the
/// server, since the end of its limit may be stated only in answers.
const MIN_PER_S: f64 = 0.05;
/// Longest wait that is returned, since demand and issuers change.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Wait returned by a gateway that is not the issuer.
const NOT_ISSUER_WAIT: Duration = Duration::from_millis(300);

/// Returns which of the candidates issues the permits for a server; `None` without candidates.
pub fn issuer_of(server: &str, candidates: &[IpAddr]) -> Option<IpAddr> {
    let score = |ip: &IpAddr| *blake3::hash(format!("{server}/{ip}").as_bytes()).as_bytes();
    candidates.iter().copied().max_by_key(score)
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
    /// End of the last wait that was returned.
    wait_until: Uptime,
}

/// Token buckets of the servers for which this gateway is the issuer.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer(HashMap<String, Bucket>);

impl PermitIssuer {
    /// Sets the servers for which this gateway is the issuer from now on. Keeps the buckets of
    /// those for which it was the issuer already.
    pub fn set_servers<'a>(&mut self, ids: impl Iterator<Item = &'a str>, now: Uptime) {
        self.set_servers_since(ids.map(|id| (id, now)), now);
    }

    /// Does the same for servers of which this gateway would have been the issuer since a time,
    /// had they needed permits. A server that is cold for a few seconds gets requests within
    /// them only if no handover can be under way.
    pub fn set_servers_since<'a>(
        &mut self,
        servers: impl Iterator<Item = (&'a str, Uptime)>,
        now: Uptime,
    ) {
        let mut buckets = std::mem::take(&mut self.0);
        for (id, since) in servers {
            let at = now.max(since + HANDOVER_DELAY);
            let new = Bucket { active_from: at, permits: 0.0, updated: at, wait_until: at };
            self.0.insert(id.to_owned(), buckets.remove(id).unwrap_or(new));
        }
    }

    /// Grants up to `wanted` permits for a server that takes `per_s` requests a second.
    pub fn grant(&mut self, id: &str, per_s: f64, wanted: u32, now: Uptime) -> PermitGrant {
        let Some(bucket) = self.0.get_mut(id) else {
            return PermitGrant { count: 0, wait: NOT_ISSUER_WAIT };
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
    /// Returns how long a gateway that got no permit has to wait. Each such gateway gets a later
    /// time, so that they do not all request the next permit.
    fn retry_after(&mut self, per_s: f64, now: Uptime) -> Duration {
        let next = now + Duration::from_secs_f64((1.0 - self.permits) / per_s);
        let after_last = self.wait_until + Duration::from_secs_f64(1.0 / per_s);
        let at = if self.wait_until > now { next.max(after_last) } else { next };
        self.wait_until = at.min(now + MAX_WAIT);
        self.wait_until.since(now)
    }
}
