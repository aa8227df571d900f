//! The configuration table: rows that operators edit, replicated to every entry instance.
//!
//! One object of the platform's object API is one row. Its version is the API's resource
//! version, which increases over all rows. A [`Table`] accepts a row only if its version is
//! newer than the one held, whether it comes from a list, a watch or a peer. Stale lists,
//! delayed watches and reconnecting halls therefore never revert a row. A deleted row stays
//! as a tombstone for a while.
//!
//! [`Table::complete`] is the version up to which no change is missing. Peers exchange it
//! as a [`Digest`] and answer with the changes after it ([`Delta`]).

mod csv;
mod merge;
mod row;

pub use csv::{CsvError, customers_from_csv, customers_to_csv};
pub use merge::{Delta, Digest, Table, VersionedRow};
pub use row::{
    Customer, Drain, Row, RowError, RowKey, RowKind, Service, ServiceKind, hash_key, is_key_hash,
};
