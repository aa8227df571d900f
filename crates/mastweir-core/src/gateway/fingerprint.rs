//! Fingerprints that identify repeated attempts of the same request, servers, and parts of prompts.
//!
//! Gateways and entries compute them. Each attempt has another id, so a repeated request is
//! recognized by a hash of its customer, method, host, path, query and body. Requests that differ
//! in any of these may do different things at a server. A caller may repeat the attempt's id in
//! the query, so parameters with that value are left out. All gateways compute the same
//! fingerprint.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates the parts; cannot occur in the head of a request.
const SEPARATOR: &[u8] = b"\r\n";

/// A request's fingerprint. With 64 bits, a request collides with one of a million remembered
/// ones with a probability of about 10^-13.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Fingerprint(pub u64);

/// Method that the fingerprint leaves out if there is no query, as the fingerprints in the store
/// that were written before it was covered.
const DEFAULT_METHOD: &str = "POST";

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Customer whose key the request carried; empty if it carried none.
    pub customer: &'a str,
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the fingerprint of a request with this method and query, sent as attempt `id`.
    pub fn of_attempt(method: &str, query: &str, id: &str, parts: RequestParts<'_>) -> Self {
        // Digits alone are as likely the number of a thing.
        let is_distinct = id.bytes().any(|byte| !byte.is_ascii_digit());
        let is_own = |parameter: &&str| {
            is_distinct && parameter.split_once('=').is_some_and(|(_, value)| value == id)
        };
        let kept: Vec<&str> = query.split('&').filter(|parameter| !is_own(parameter)).collect();
        let query = kept.join("&");
        if method == DEFAULT_METHOD && query.is_empty() {
            return Self::of(parts);
        }
        // Paths begin with a slash, so that no other path is the same.
        let target = format!("{method} {}?{query}", parts.path);
        Self::of(RequestParts { path: &target, ..parts })
    }

    /// Returns the fingerprint of a POST without a query.
    pub fn of(parts: RequestParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [parts.customer, parts.host, parts.path] {
            hasher.update(part.as_bytes());
            hasher.update(SEPARATOR);
        }
        hasher.update(parts.body);
        Self::truncate(&hasher.finalize())
    }

    /// Returns the fingerprint of a part of a prompt, by the part's id.
    pub fn of_prompt_part(id: &str) -> Self {
        Self::truncate(&blake3::hash(id.as_bytes()))
    }

    /// Returns the fingerprint of an incarnation of a server, by the incarnation's id.
    pub fn of_incarnation(id: &str) -> Self {
        Self::truncate(&blake3::hash(id.as_bytes()))
    }

    /// Returns the fingerprint of an instance of mastweir, by its name.
    pub fn of_instance(name: &str) -> Self {
        Self::truncate(&blake3::hash(name.as_bytes()))
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
