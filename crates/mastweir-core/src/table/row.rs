//! The kinds of rows, and their validation.
//!
//! Operators edit rows as JSON or CSV, and the platform stores them as JSON, so field names
//! are part of the stored format. Costs and rates are in service units, each of about one
//! generated model token ([`Cost`]).

use crate::share::Cost;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Maximum length of a name, in characters.
const NAME_MAX: usize = 48;
const WEIGHT_MAX: f64 = 1_000_000.0;
/// Length of a key's hash, in hexadecimal digits.
const KEY_HASH_LEN: usize = 64;

/// A customer's share and limits. `largest` applies to each request, the other limits to the
/// whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Share relative to other customers; 0 means served only when the fleet is idle.
    pub weight: f64,
    /// Maximum number of requests in flight.
    pub inflight: u32,
    /// Maximum number of service units per second.
    pub units_s: u32,
    /// Service units that may be used at once, in addition to `units_s`.
    pub burst: u32,
    /// Maximum number of waiting requests.
    pub queue: u32,
    /// Maximum number of service units of one request.
    pub largest: u32,
    /// Hash of the bearer key, see [`hash_key`].
    pub key_hash: String,
}

/// How requests to a service are addressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine, addressed by the model's name.
    Model,
    /// A plain HTTP service, addressed by the first segment of the path.
    Plain,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub kind: ServiceKind,
    /// Whether requests are idempotent, so that they may be sent more than once.
    pub repeatable: bool,
    /// Whether streams can be resumed on another server.
    pub resumable: bool,
    /// Priority class among the requests of one customer; 0 is served first.
    pub class: u8,
    /// Maximum duration of a request, in milliseconds.
    pub deadline_ms: u32,
    /// Cost of a request.
    pub cost: Cost,
}

/// Marks a server that takes no new requests, because an operator drains it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Reason, for other operators.
    pub reason: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Row {
    Customer(Customer),
    Service(Service),
    /// A drained server, by the server's name.
    Drain(Drain),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RowKind {
    Customer,
    Service,
    Drain,
}

impl RowKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Service => "service",
            Self::Drain => "drain",
        }
    }
}

/// Kind and name of a row. Its text form `KIND.NAME` is the name of the row's object in the
/// platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    pub kind: RowKind,
    /// Unique per kind.
    pub name: String,
}

impl RowKey {
    pub fn new(kind: RowKind, name: &str) -> Self {
        Self { kind, name: name.to_owned() }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for RowKey {
    type Err = RowError;

    fn from_str(text: &str) -> Result<Self, RowError> {
        let bad = || RowError::Object(text.to_owned());
        let (kind, name) = text.split_once('.').ok_or_else(bad)?;
        let kinds = [RowKind::Customer, RowKind::Service, RowKind::Drain];
        let kind = kinds.into_iter().find(|k| k.as_str() == kind).ok_or_else(bad)?;
        Ok(Self { kind, name: name.to_owned() })
    }
}

/// Why a row is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RowError {
    /// Not the name of a row's object.
    #[error("reading object name {0:?}: not a row; name it KIND.NAME, as in customer.quaystep")]
    Object(String),
    /// An invalid row name.
    #[error("reading name {0:?}: use 1 to 48 of the characters a-z, 0-9 and -")]
    Name(String),
    /// A value out of range.
    #[error("reading {column} of {name}: {value} is out of range; give {remedy}")]
    Value {
        /// Name of the row.
        name: String,
        column: &'static str,
        value: String,
        /// Valid values.
        remedy: &'static str,
    },
}

impl Row {
    pub const fn kind(&self) -> RowKind {
        match self {
            Self::Customer(_) => RowKind::Customer,
            Self::Service(_) => RowKind::Service,
            Self::Drain(_) => RowKind::Drain,
        }
    }

    /// Validates the row and its name.
    ///
    /// # Errors
    ///
    /// Returns [`RowError`], which names the column and the valid values.
    pub fn check(&self, name: &str) -> Result<(), RowError> {
        check_name(name)?;
        match self {
            Self::Customer(customer) => customer.check(name),
            Self::Service(service) => service.check(name),
            Self::Drain(_) => Ok(()),
        }
    }
}

impl Customer {
    fn check(&self, name: &str) -> Result<(), RowError> {
        let bad = |column, value: String, remedy| {
            Err(RowError::Value { name: name.to_owned(), column, value, remedy })
        };
        if !(0.0..=WEIGHT_MAX).contains(&self.weight) {
            return bad("weight", self.weight.to_string(), "a number from 0 to 1000000");
        }
        if self.inflight == 0 {
            return bad("inflight", "0".to_owned(), "1 or more requests; remove the row to stop");
        }
        if self.units_s == 0 {
            return bad("units_s", "0".to_owned(), "1 or more units per second");
        }
        if self.largest == 0 {
            return bad("largest", "0".to_owned(), "1 or more units");
        }
        if !is_key_hash(&self.key_hash) {
            let remedy = "the 64 hexadecimal digits that 'mastweir key hash' prints";
            return bad("key_hash", format!("{:?}", self.key_hash), remedy);
        }
        Ok(())
    }
}

impl Service {
    fn check(&self, name: &str) -> Result<(), RowError> {
        if self.deadline_ms == 0 || self.deadline_ms > 600_000 {
            return Err(RowError::Value {
                name: name.to_owned(),
                column: "deadline_ms",
                value: self.deadline_ms.to_string(),
                remedy: "1 to 600000 milliseconds",
            });
        }
        Ok(())
    }
}

/// Returns the hash under which a bearer key is stored.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns whether a text has the form of a key's hash.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_LEN && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn check_name(name: &str) -> Result<(), RowError> {
    let fits = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let ok = !name.is_empty() && name.len() <= NAME_MAX && name.bytes().all(fits);
    if ok { Ok(()) } else { Err(RowError::Name(name.to_owned())) }
}
