//! Requests that are quarantined, as gateways keep them in the store.

use mastweir_core::{
    gateway::{Fingerprint, SuspectReport},
    revision::Revision,
};
use serde::{Deserialize, Serialize, de::Error};
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Kind of our own for them.
pub const KIND: &str = "mastweir-quarantine";

/// What is kept of a request, under its fingerprint as name. Numbers of 64 bits are texts:
/// some readers of JSON round them.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineSpec {
    ends: Vec<String>,
    finished: bool,
    /// When it was written, in seconds of the time of day: it lapses after an hour, so that
    /// clocks which differ by seconds do no harm.
    written_s: u64,
}

/// A request that is quarantined, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// What is known of it, and how old that is.
    pub report: SuspectReport,
    /// Revision of the object, for a conditional delete.
    pub revision: Revision,
}

/// Name of a request's object.
pub fn name(request: Fingerprint) -> String {
    request.to_string()
}

/// The body of a request's object.
///
/// # Errors
///
/// It can't be written as JSON.
pub fn body(report: &SuspectReport) -> serde_json::Result<Value> {
    serde_json::to_value(QuarantineSpec {
        ends: report.crashes.iter().map(Fingerprint::to_string).collect(),
        finished: report.completed,
        written_s: now_s(),
    })
}

/// Reads a request from its object's name, revision and body.
///
/// # Errors
///
/// It is not in this format.
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
