//! Format of quarantined requests in the platform's store.
//!
//! A request under which several servers crashed is quarantined. Gateways write an object for
//! each such request, so that the quarantine survives restarts of all gateways.

use mastweir_core::{
    gateway::{Fingerprint, SuspectReport},
    revision::Revision,
};
use serde::{Deserialize, Serialize, de::Error};
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Kind of the quarantine objects, which only mastweir writes.
pub const KIND: &str = "mastweir-quarantine";

/// Content of an object whose name is the request's fingerprint. Fingerprints are hexadecimal
/// text, as some JSON readers round 64-bit numbers.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineSpec {
    /// Fingerprints of the server incarnations that crashed.
    ends: Vec<String>,
    /// Whether a server completed the request.
    finished: bool,
    /// Unix time of the write in seconds. The quarantine lasts an hour, so clocks that differ
    /// by seconds do no harm.
    written_s: u64,
}

/// A quarantined request as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredQuarantine {
    pub report: SuspectReport,
    /// Revision of the object, for conditional deletes.
    pub revision: Revision,
}

/// Returns the name of a request's object.
pub fn name(request: Fingerprint) -> String {
    request.to_string()
}

/// Encodes the `spec` of a request's object.
///
/// # Errors
///
/// The report can't be encoded as JSON.
pub fn body(report: &SuspectReport) -> serde_json::Result<Value> {
    serde_json::to_value(QuarantineSpec {
        ends: report.crashes.iter().map(Fingerprint::to_string).collect(),
        finished: report.completed,
        written_s: now_s(),
    })
}

/// Decodes a request from its object's name, revision and `spec`.
///
/// # Errors
///
/// The name or the `spec` is malformed.
pub fn read(name: &str, revision: Revision, spec: &str) -> serde_json::Result<StoredQuarantine> {
    let spec: QuarantineSpec = serde_json::from_str(spec)?;
    let ends: serde_json::Result<Vec<_>> = spec.ends.iter().map(|end| fingerprint(end)).collect();
    let age = Duration::from_secs(now_s().saturating_sub(spec.written_s));
    let report = SuspectReport {
        request: fingerprint(name)?,
        crashes: ends?,
        completed: spec.finished,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    Ok(StoredQuarantine { report, revision })
}

fn fingerprint(text: &str) -> serde_json::Result<Fingerprint> {
    u64::from_str_radix(text, 16).map(Fingerprint).map_err(serde_json::Error::custom)
}

fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
