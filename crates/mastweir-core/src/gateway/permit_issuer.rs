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
pub const HANDOVER: Duration = Duration::from_secs(3);
/// A token is good for this long from when it was asked for.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// What a server takes in this time is saved for it at most, and one request.
const SAVED: Duration = Duration::from_millis(250);
/// Requests a second that a server gets whose limit is lower, or none at all: it tells that the
/// limit has ended in an answer only.
const LEAST_PER_S: f64 = 0.05;
/// Longest wait that is told: demand and lenders change.
const WAIT_MAX: Duration = Duration::from_secs(4);
/// Whoever asked a gateway that is not the lender asks again after this.
const ELSEWHERE: Duration = Duration::from_millis(300);

/// The one among some gateways that lends for a server.
pub fn issuer_of(server: &str, lenders: &[IpAddr]) -> Option<IpAddr> {
    let score = |ip: &IpAddr| *blake3::hash(format!("{server}/{ip}").as_bytes()).as_bytes();
    lenders.iter().copied().max_by_key(score)
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
    since: Uptime,
    /// Tokens that are saved, as of a time.
    saved: f64,
    at: Uptime,
    /// Until when those who found none were told to wait.
    promised: Uptime,
}

/// What a gateway lends out, by server.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer(HashMap<String, Bucket>);

impl PermitIssuer {
    /// Takes up the servers that fall to this gateway from now on, and drops the others.
    pub fn tend<'a>(&mut self, own: impl Iterator<Item = &'a str>, now: Uptime) {
        let mut before = std::mem::take(&mut self.0);
        for id in own {
            let at = now + HANDOVER;
            let new = Bucket { since: at, saved: 0.0, at, promised: at };
            self.0.insert(id.to_owned(), before.remove(id).unwrap_or(new));
        }
    }

    /// Lends some of what a server takes, at so many requests a second.
    pub fn lend(&mut self, id: &str, per_s: f64, wanted: u32, now: Uptime) -> PermitGrant {
        let Some(bucket) = self.0.get_mut(id) else {
            return PermitGrant { count: 0, wait: ELSEWHERE };
        };
        let per_s = per_s.max(LEAST_PER_S);
        let most = 1.0 + per_s * SAVED.as_secs_f64();
        let earned = per_s * now.since(bucket.at).as_secs_f64();
        bucket.saved = (bucket.saved + earned).min(most);
        bucket.at = bucket.at.max(now);
        if now < bucket.since {
            return PermitGrant { count: 0, wait: bucket.since.since(now).min(WAIT_MAX) };
        }
        let count = wanted.min(bucket.saved as u32);
        if count > 0 {
            bucket.saved -= f64::from(count);
            return PermitGrant { count, wait: Duration::ZERO };
        }
        PermitGrant { count: 0, wait: bucket.promise(per_s, now) }
    }
}

impl Bucket {
    /// When one that found no token is to ask again: one behind the other, so that those who
    /// ask do not all come back for the next one.
    fn promise(&mut self, per_s: f64, now: Uptime) -> Duration {
        let next = now + Duration::from_secs_f64((1.0 - self.saved) / per_s);
        let behind = self.promised + Duration::from_secs_f64(1.0 / per_s);
        let at = if self.promised > now { next.max(behind) } else { next };
        self.promised = at.min(now + WAIT_MAX);
        self.promised.since(now)
    }
}
