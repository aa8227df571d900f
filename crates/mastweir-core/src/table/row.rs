//! The kinds of rows, and what makes a row a bad one.

use crate::share::Cost;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Characters of a name at most.
const NAME_MAX: usize = 48;
const WEIGHT_MAX: f64 = 1_000_000.0;
/// Characters of a key's hash, in hexadecimal.
const KEY_HASH_LEN: usize = 64;

/// A customer: its share and its limits, fleet-wide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Share relative to other customers; 0 means served only when idle.
    pub weight: f64,
    /// Requests in flight at most.
    pub inflight: u32,
    /// Service units a second at most.
    pub units_s: u32,
    /// Service units that a burst may take beyond it.
    pub burst: u32,
    /// Requests that wait at most.
    pub queue: u32,
    /// Units of one request at most.
    pub largest: u32,
    /// Hash of the bearer key, see [`hash_key`].
    pub key_hash: String,
}

/// What stands behind a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine, addressed by the model's name.
    Model,
    /// A plain service, addressed by the first part of the path.
    Plain,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What it is.
    pub kind: ServiceKind,
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// Whether its streams can be resumed on another server.
    pub resumable: bool,
    /// Class of its calls among those of one customer; 0 first.
    pub class: u8,
    /// Time for a call, in milliseconds.
    pub deadline_ms: u32,
    /// What a call costs.
    pub cost: Cost,
}

/// An operator's word that a server is to leave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Why, for other operators.
    pub reason: String,
}

/// A row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Row {
    /// A customer.
    Customer(Customer),
    /// A service.
    Service(Service),
    /// A drained server.
    Drain(Drain),
}

/// Kind of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RowKind {
    /// A customer.
    Customer,
    /// A service.
    Service,
    /// A drained server.
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

/// Kind and name of a row; as text, the name of its object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// The kind.
    pub kind: RowKind,
    /// The name, unique in the kind.
    pub name: String,
}

impl RowKey {
    /// The key of a row.
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

/// Why a row is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RowError {
    /// Not the name of a row's object.
    #[error("reading object name {0:?}: not a row; name it KIND.NAME, as in customer.quaystep")]
    Object(String),
    /// A name that can't be one.
    #[error("reading name {0:?}: use 1 to 48 of the characters a-z, 0-9 and -")]
    Name(String),
    /// A column's value that can't be.
    #[error("reading {column} of {name}: {value} is out of range; give {remedy}")]
    Value {
        /// The row.
        name: String,
        /// The column.
        column: &'static str,
        /// What was given.
        value: String,
        /// What to give instead.
        remedy: &'static str,
    },
}

impl Row {
    /// The row's kind.
    pub const fn kind(&self) -> RowKind {
        match self {
            Self::Customer(_) => RowKind::Customer,
            Self::Service(_) => RowKind::Service,
            Self::Drain(_) => RowKind::Drain,
        }
    }

    /// Checks the row under its name.
    ///
    /// # Errors
    ///
    /// [`RowError`] that names the column and the remedy.
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
            return bad("units_s", "0".to_owned(), "1 or more units a second");
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

/// The hash under which a bearer key is kept.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Whether a text can be the hash of a key.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == KEY_HASH_LEN && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn check_name(name: &str) -> Result<(), RowError> {
    let fits = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let ok = !name.is_empty() && name.len() <= NAME_MAX && name.bytes().all(fits);
    if ok { Ok(()) } else { Err(RowError::Name(name.to_owned())) }
}
