//! Lending out what servers that name a limit take.
//!
//! A limit binds all gateways together, so one of them counts: whoever wants to send a request
//! to the server borrows a token from it. Which one it is follows from the speakers of the
//! server's hall, as each gateway knows them ([`issuer_of`]); nobody is elected. Where two
//! differ in that, neither lends: one that becomes the lender waits until whoever lent before
//! knows it, and begins with nothing, as does one that has just started. Cut off from others,
//! it lends the part of the limit that is theirs, by their number, to nobody
//! ([`Peers::part`](super::Peers::part)).

use crate::time::Uptime;
use std::{collections::HashMap, net::IpAddr, time::Duration};

/// Who becomes a server's lender waits this long. One that was lender before and is cut off
/// counts the others, and is counted by them, for 4 s, of which 0.9 s have passed by then.
pub const HANDOVER_DELAY: Duration = Duration::from_secs(3);
/// A token is good for this long from when it was asked for.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// What a server takes in this time is saved for it at most, and one request.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Requests a second that a server gets whose limit is lower, or none at all: it tells that the
/// limit has ended in an answer only.
const MIN_PER_S: f64 = 0.05;
/// Longest wait that is told: demand and lenders change.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Whoever asked a gateway that is not the lender asks again after this.
const REDIRECT_WAIT: Duration = Duration::from_millis(300);

/// The one among some gateways that lends for a server.
pub fn issuer_of(server: &str, issuers: &[IpAddr]) -> Option<IpAddr> {
    let score = |ip: &IpAddr| *blake3::hash(format!("{server}/{ip}").as_bytes()).as_bytes();
    issuers.iter().copied().max_by_key(score)
}

/// What is lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Tokens.
    pub count: u32,
    /// Where there are none: when one may be lent.
    pub wait: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Since when this gateway lends for the server.
    active_from: Uptime,
    /// Tokens that are saved, as of a time.
    permits: f64,
    updated: Uptime,
    /// Until when those who found none were told to wait.
    next_wait: Uptime,
}

/// What a gateway lends out, by server.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer(HashMap<String, Bucket>);

impl PermitIssuer {
    /// Takes up the servers that fall to this gateway from now on, and drops the others.
    pub fn set_servers<'a>(&mut self, own: impl Iterator<Item = &'a str>, now: Uptime) {
        let mut before = std::mem::take(&mut self.0);
        for id in own {
            let at = now + HANDOVER_DELAY;
            let new = Bucket { active_from: at, permits: 0.0, updated: at, next_wait: at };
            self.0.insert(id.to_owned(), before.remove(id).unwrap_or(new));
        }
    }

    /// Lends some of what a server takes, at so many requests a second.
    pub fn grant(&mut self, id: &str, per_s: f64, wanted: u32, now: Uptime) -> PermitGrant {
        let Some(bucket) = self.0.get_mut(id) else {
            return PermitGrant { count: 0, wait: REDIRECT_WAIT };
        };
        let per_s = per_s.max(MIN_PER_S);
        let most = 1.0 + per_s * BURST_WINDOW.as_secs_f64();
        let earned = per_s * now.since(bucket.updated).as_secs_f64();
        bucket.permits = (bucket.permits + earned).min(most);
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
    /// When one that found no token is to ask again: one behind the other, so that those who
    /// ask do not all come back for the next one.
    fn retry_after(&mut self, per_s: f64, now: Uptime) -> Duration {
        let next = now + Duration::from_secs_f64((1.0 - self.permits) / per_s);
        let behind = self.next_wait + Duration::from_secs_f64(1.0 / per_s);
        let at = if self.next_wait > now { next.max(behind) } else { next };
        self.next_wait = at.min(now + MAX_WAIT);
        self.next_wait.since(now)
    }
}
