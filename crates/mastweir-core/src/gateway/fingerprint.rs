//! What tells that several attempts of callers are one request.
//!
//! Ids differ with each attempt, so a request that comes again is known by what it asks:
//! the same customer, host, path and body. Its query is left out, as callers put there
//! what differs each time: a time, a trace. Which gateway it comes to does not matter;
//! all of them find the same fingerprint.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes between two parts, which no part of a request's head holds.
const SEPARATOR: &[u8] = b"\r\n";

/// A request's fingerprint: 64 bits, so that among a million requests that are remembered
/// the chance that another one has the fingerprint of one of them is one in 10^13.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Fingerprint(pub u64);

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The customer whose key it carried; empty without one.
    pub customer: &'a str,
    /// Its host.
    pub host: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(asked: RequestParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [asked.customer, asked.host, asked.path] {
            hasher.update(part.as_bytes());
            hasher.update(SEPARATOR);
        }
        hasher.update(asked.body);
        Self::truncate(&hasher.finalize())
    }

    /// The fingerprint of a server's life, by its id.
    pub fn of_incarnation(id: &str) -> Self {
        Self::truncate(&blake3::hash(id.as_bytes()))
    }

    fn truncate(hash: &blake3::Hash) -> Self {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
