//! The rows that operators edit, as every entry instance holds them.
//!
//! One object of the object API is one row. Its version is the API's resource
//! version, which rises over all rows. A [`Table`] takes a row only if its
//! version is newer than the one it holds, wherever it comes from: a list, a
//! watch, or a peer. So nothing old can come back, be it a stale list, a slow
//! watch or a hall that was away. A deleted row stays as a tombstone.
//!
//! [`Table::complete`] is the version up to which nothing is missing. Peers
//! compare it ([`Digest`]) and send each other what lies between ([`Delta`]).

mod csv;
mod merge;
mod row;

pub use csv::{CsvError, customers_from_csv, customers_to_csv};
pub use merge::{Delta, Digest, Table, VersionedRow};
pub use row::{
    Customer, Drain, Row, RowError, RowKey, RowKind, Service, ServiceKind, hash_key, is_key_hash,
};
