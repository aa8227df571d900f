//! Format of quarantined requests and prompt parts in the platform's store.
//!
//! What several servers crashed under is quarantined. Gateways write an object for each such
//! request or part, so that the quarantine survives restarts of all gateways. Operators end a
//! quarantine by a mark in its object.

use mastweir_core::{
    gateway::{Fingerprint, PartCrash, PartReport, SuspectReport},
    revision::Revision,
};
use serde::{Deserialize, Serialize, de::Error};
use serde_json::Value;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Kind of the quarantine objects, which only mastweir writes.
pub const KIND: &str = "mastweir-quarantine";
/// Begins the names of the objects of prompt parts.
const PART_PREFIX: &str = "part-";

/// Content of an object whose name is a fingerprint. Fingerprints are hexadecimal text, as some
/// JSON readers round 64-bit numbers.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineSpec {
    /// Fingerprints of the server incarnations that crashed.
    ends: Vec<String>,
    /// Whether a server completed the request.
    #[serde(default)]
    finished: bool,
    /// Unix time of the last crash in seconds, which is shortly before the first write; a later
    /// write does not extend a quarantine. It lasts an hour, so clocks that differ by seconds do
    /// no harm.
    written_s: u64,
    /// The same, in objects of parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    crashed_s: Option<u64>,
    /// Unix time at which an operator lifted the quarantine, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lifted_s: Option<u64>,
}

/// What is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Request(Fingerprint),
    /// A part of prompts.
    Part(Fingerprint),
}

/// A quarantine and its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineReport {
    Request(SuspectReport),
    Part(PartReport),
}

impl QuarantineReport {
    pub const fn subject(&self) -> Subject {
        match self {
            Self::Request(report) => Subject::Request(report.request),
            Self::Part(report) => Subject::Part(report.part),
        }
    }

    /// Returns whether the report is too old to count.
    pub fn is_expired(&self) -> bool {
        match self {
            Self::Request(report) => report.is_expired(),
            Self::Part(report) => report.is_expired(),
        }
    }

    /// Returns whether an operator lifted the quarantine.
    pub const fn is_lifted(&self) -> bool {
        match self {
            Self::Request(report) => report.is_refuted(),
            Self::Part(report) => report.passed_ms.is_some(),
        }
    }
}

/// A quarantine as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredQuarantine {
    pub report: QuarantineReport,
    /// Revision of the object, for conditional writes.
    pub revision: Revision,
}

/// Returns the name of an object.
pub fn name(subject: Subject) -> String {
    match subject {
        Subject::Request(request) => request.to_string(),
        Subject::Part(part) => format!("{PART_PREFIX}{part}"),
    }
}

/// Encodes the `spec` of an object whose quarantine an operator lifts now.
///
/// # Errors
///
/// The report can't be encoded as JSON.
pub fn lifted(report: &QuarantineReport) -> serde_json::Result<Value> {
    match report {
        QuarantineReport::Part(report) => {
            let lifted = PartReport { passed_ms: Some(0), ..report.clone() };
            body(&QuarantineReport::Part(lifted))
        }
        QuarantineReport::Request(report) => body(&QuarantineReport::Request(report.refuted())),
    }
}

/// Encodes the `spec` of an object.
///
/// # Errors
///
/// The report can't be encoded as JSON.
pub fn body(report: &QuarantineReport) -> serde_json::Result<Value> {
    let now_s = now_s();
    let since = |age_ms: u32| now_s.saturating_sub(u64::from(age_ms) / 1_000);
    serde_json::to_value(match report {
        QuarantineReport::Request(report) => QuarantineSpec {
            ends: report.crashes.iter().map(Fingerprint::to_string).collect(),
            finished: report.completed,
            written_s: since(report.age_ms),
            crashed_s: None,
            lifted_s: report.is_refuted().then_some(now_s),
        },
        QuarantineReport::Part(report) => {
            let crashes = report.crashes.iter();
            let last_ms = crashes.clone().map(|crash| crash.age_ms).min();
            QuarantineSpec {
                ends: crashes.map(|crash| crash.incarnation.to_string()).collect(),
                finished: false,
                written_s: since(report.age_ms),
                crashed_s: last_ms.map(since),
                lifted_s: report.passed_ms.map(|_| now_s),
            }
        }
    })
}

/// Decodes a quarantine from its object's name, revision and `spec`.
///
/// # Errors
///
/// The name or the `spec` is malformed.
pub fn read(name: &str, revision: Revision, spec: &str) -> serde_json::Result<StoredQuarantine> {
    let spec: QuarantineSpec = serde_json::from_str(spec)?;
    let ends: serde_json::Result<Vec<_>> = spec.ends.iter().map(|end| fingerprint(end)).collect();
    let ends = ends?;
    let report = match name.strip_prefix(PART_PREFIX) {
        None => {
            let stored = SuspectReport {
                request: fingerprint(name)?,
                crashes: ends,
                completed: spec.finished,
                age_ms: age_ms(spec.written_s),
            };
            let is_lifted = spec.lifted_s.is_some();
            QuarantineReport::Request(if is_lifted { stored.refuted() } else { stored })
        }
        Some(part) => {
            let age_of_crash = age_ms(spec.crashed_s.unwrap_or(spec.written_s));
            let crash = |incarnation| PartCrash { incarnation, age_ms: age_of_crash, begun: true };
            QuarantineReport::Part(PartReport {
                part: fingerprint(part)?,
                crashes: ends.into_iter().map(crash).collect(),
                passed_ms: spec.lifted_s.map(age_ms),
                is_quarantined: true,
                age_ms: age_ms(spec.written_s),
            })
        }
    };
    Ok(StoredQuarantine { report, revision })
}

/// Returns the milliseconds since a Unix time in seconds.
fn age_ms(unix_s: u64) -> u32 {
    let age = Duration::from_secs(now_s().saturating_sub(unix_s));
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn fingerprint(text: &str) -> serde_json::Result<Fingerprint> {
    u64::from_str_radix(text, 16).map(Fingerprint).map_err(serde_json::Error::custom)
}

fn now_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
