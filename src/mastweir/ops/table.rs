//! Reads and writes the table of customers, services and drains in the platform's object store.
//!
//! A write is conditional on the version that was read: of two operators who race, one succeeds
//! and the other gets an error with the difference. After a write whose reply was lost, the row
//! is read back and compared by the write's operation id, so the result is accepted, not
//! accepted or unknown.

mod customer_csv;

pub use customer_csv::{export, import, parse_csv};

use super::EntryClient;
use crate::{
    objects::{Collection, Object, ObjectClient, ObjectError},
    util::settings::base_url,
};
use mastweir_core::table::{Customer, Row, RowKey, RowKind};
use rand::Rng;
use serde::Serialize;
use std::time::{Duration, Instant};
use tokio::time;

const READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(400);

/// Access to the table.
#[derive(Clone, Copy, Debug)]
pub struct TableOptions<'a> {
    /// Base address of the object API.
    pub platform: &'a str,
    /// Bearer token for the object API.
    pub token: &'a str,
    /// Name of the operator, stored with each write.
    pub operator: &'a str,
    /// Whether changes are only computed, not written.
    pub dry_run: bool,
}

/// Error of a write to the table.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// The row has changed since it was read.
    #[error(
        "writing {key}: {by} has changed it since it was read ({changes}); nothing was written, \
         look at it and try again"
    )]
    Conflict {
        key: String,
        /// Operator who wrote the row last.
        by: String,
        /// What differs from the row that was read.
        changes: String,
    },
    /// The reply was lost, and the row can't be read back.
    #[error(
        "writing {key}: no answer, and it can't be read back now; whether it was accepted can't \
         be told yet, ask again with 'mastweir table get {key}' (operation {operation})"
    )]
    OutcomeUnknown {
        key: String,
        /// Operation id of the write, or `delete`.
        operation: String,
    },
    #[error("writing {key}: not accepted: {source}")]
    NotAccepted { key: String, source: ObjectError },
    /// Unknown column, or a value that its column can't hold.
    #[error(
        "setting {0:?}: not COLUMN=VALUE; the columns are weight, inflight, units_s, burst, queue, largest and key_hash"
    )]
    InvalidAssignment(String),
}

/// A write that was accepted, or would be on a dry run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    pub key: String,
    /// Version of the table with the change; 0 on a dry run.
    pub version: u64,
    /// Changed columns, as `column: old -> new`; else `added` or `removed`.
    pub changes: Vec<String>,
}

/// A row as stored in the object API.
#[derive(Clone, Debug, Serialize)]
pub struct StoredRow {
    pub key: String,
    pub version: u64,
    /// Operator who wrote the row last.
    pub by: String,
    /// The stored value, which need not be a valid row.
    pub row: serde_json::Value,
}

/// Lists all rows.
///
/// # Errors
///
/// The object API can't be reached, or returns an error.
pub async fn list(options: &TableOptions<'_>) -> eyre::Result<Vec<StoredRow>> {
    let client = object_client(options)?;
    let list = client.list::<serde_json::Value>(Collection::Rows).await?;
    Ok(list.items.into_iter().map(stored_row).collect())
}

/// Reads one row.
///
/// # Errors
///
/// The row does not exist, or the object API can't be reached.
pub async fn get(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<StoredRow> {
    let client = object_client(options)?;
    let object = client.get::<serde_json::Value>(Collection::Rows, &key.to_string()).await?;
    Ok(stored_row(object))
}

/// Sets columns of a customer's row by assignments `COLUMN=VALUE`.
///
/// # Errors
///
/// [`TableError`], no such customer, or an invalid row.
pub async fn set(
    options: &TableOptions<'_>,
    customer: &str,
    assignments: &[String],
) -> eyre::Result<Accepted> {
    let key = RowKey::new(RowKind::Customer, customer);
    let previous = read(options, &key).await?;
    let Row::Customer(mut row) = previous.spec.clone() else {
        return Err(eyre::eyre!(
            "reading {key}: not a customer's row; repair it with table remove"
        ));
    };
    assignments.iter().try_for_each(|text| assign(&mut row, text))?;
    write_row(options, customer, &Row::Customer(row), Some(previous)).await
}

/// Writes a row: creates it, or replaces `previous`.
///
/// # Errors
///
/// [`TableError`], or an invalid row.
pub async fn write_row(
    options: &TableOptions<'_>,
    name: &str,
    row: &Row,
    previous: Option<Object<Row>>,
) -> eyre::Result<Accepted> {
    row.check(name)?;
    let key = RowKey::new(row.kind(), name).to_string();
    let changes = changes(previous.as_ref().map(|object| &object.spec), row);
    if options.dry_run {
        return Ok(Accepted { key, version: 0, changes });
    }
    let operation = new_operation_id();
    let mut object = Object::new(&key, options.operator, &operation, row.clone());
    let client = object_client(options)?;
    let written = match &previous {
        None => client.create(Collection::Rows, &object).await,
        Some(previous) => {
            object.metadata = previous.metadata.clone();
            client.update(Collection::Rows, &object).await
        }
    };
    match written {
        Ok(object) => Ok(Accepted { key, version: object.version(), changes }),
        Err(ObjectError::Conflict(_)) => Err(conflict(&client, &key, previous.as_ref()).await),
        Err(error) if error.is_outcome_unknown() => {
            let version = read_back(&client, &key, &operation, error).await?;
            Ok(Accepted { key, version, changes })
        }
        Err(source) => Err(TableError::NotAccepted { key, source }.into()),
    }
}

/// Deletes a row.
///
/// # Errors
///
/// [`TableError`], or the row does not exist.
pub async fn delete_row(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<Accepted> {
    let client = object_client(options)?;
    let name = key.to_string();
    let previous = client.get::<serde_json::Value>(Collection::Rows, &name).await?;
    let changes = vec!["removed".to_owned()];
    if options.dry_run {
        return Ok(Accepted { key: name, version: 0, changes });
    }
    match client.delete(Collection::Rows, &name, previous.version()).await {
        Ok(()) => Ok(Accepted { key: name, version: previous.version() + 1, changes }),
        Err(error) if error.is_outcome_unknown() => {
            for _ in 0..READ_BACK_ATTEMPTS {
                match client.get::<serde_json::Value>(Collection::Rows, &name).await {
                    Err(ObjectError::NotFound(_)) => {
                        let version = previous.version() + 1;
                        return Ok(Accepted { key: name, version, changes });
                    }
                    Ok(_) => {
                        return Err(TableError::NotAccepted { key: name, source: error }.into());
                    }
                    Err(_) => time::sleep(READ_BACK_INTERVAL).await,
                }
            }
            let operation = "delete".to_owned();
            Err(TableError::OutcomeUnknown { key: name, operation }.into())
        }
        Err(source) => Err(TableError::NotAccepted { key: name, source }.into()),
    }
}

/// Entry instances by whether they use a version of the table.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutStatus {
    /// Instances that use the version or a later one.
    pub at: Vec<String>,
    /// Instances that use an older version.
    pub behind: Vec<String>,
    /// Instances that do not answer.
    pub unreachable: Vec<String>,
}

/// Waits until all entry instances that answer use a version, for at most `limit`.
///
/// # Errors
///
/// None at present.
pub async fn wait(
    client: &EntryClient,
    version: u64,
    limit: Duration,
) -> eyre::Result<RolloutStatus> {
    let start = Instant::now();
    loop {
        let mut rollout =
            RolloutStatus { at: Vec::new(), behind: Vec::new(), unreachable: Vec::new() };
        for entry in client.entries() {
            match client.status(entry).await {
                Ok(status) if status.table >= version => rollout.at.push(entry.clone()),
                Ok(_) => rollout.behind.push(entry.clone()),
                Err(_) => rollout.unreachable.push(entry.clone()),
            }
        }
        if rollout.behind.is_empty() || start.elapsed() >= limit {
            return Ok(rollout);
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn object_client(options: &TableOptions<'_>) -> eyre::Result<ObjectClient> {
    ObjectClient::new(&base_url("platform", options.platform)?, options.token)
}

async fn read(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<Object<Row>> {
    Ok(object_client(options)?.get::<Row>(Collection::Rows, &key.to_string()).await?)
}

fn stored_row(object: Object<serde_json::Value>) -> StoredRow {
    StoredRow {
        version: object.version(),
        key: object.metadata.name,
        by: object.written.by,
        row: object.spec,
    }
}

/// Applies one assignment `COLUMN=VALUE`.
fn assign(row: &mut Customer, text: &str) -> eyre::Result<()> {
    let invalid = || TableError::InvalidAssignment(text.to_owned());
    let (column, value) = text.split_once('=').ok_or_else(invalid)?;
    let number = || value.parse::<u32>().map_err(|_| invalid());
    match column {
        "weight" => row.weight = value.parse().map_err(|_| invalid())?,
        "inflight" => row.inflight = number()?,
        "units_s" => row.units_s = number()?,
        "burst" => row.burst = number()?,
        "queue" => row.queue = number()?,
        "largest" => row.largest = number()?,
        "key_hash" => value.clone_into(&mut row.key_hash),
        _ => return Err(invalid().into()),
    }
    Ok(())
}

/// Returns the changed columns, as `column: old -> new`.
fn changes(previous: Option<&Row>, row: &Row) -> Vec<String> {
    let columns = |row: &Row| match serde_json::to_value(row) {
        Ok(serde_json::Value::Object(variant)) => {
            let columns = variant.into_iter().next().map(|(_, columns)| columns);
            columns.and_then(|columns| columns.as_object().cloned()).unwrap_or_default()
        }
        _ => serde_json::Map::new(),
    };
    let Some(previous) = previous else { return vec!["added".to_owned()] };
    let before = columns(previous);
    let difference = |(column, value): (&String, &serde_json::Value)| {
        let old = before.get(column)?;
        (old != value).then(|| format!("{column}: {old} -> {value}"))
    };
    columns(row).iter().filter_map(difference).collect()
}

async fn conflict(
    client: &ObjectClient,
    key: &str,
    previous: Option<&Object<Row>>,
) -> eyre::Report {
    let now = client.get::<Row>(Collection::Rows, key).await;
    let (by, changes) = match (now, previous) {
        (Ok(now), Some(previous)) => {
            (now.written.by.clone(), changes(Some(&previous.spec), &now.spec).join(", "))
        }
        (Ok(now), None) => (now.written.by, "added".to_owned()),
        (Err(ObjectError::NotFound(_)), _) => ("someone".to_owned(), "removed".to_owned()),
        (Err(error), _) => ("someone".to_owned(), format!("can't be read: {error}")),
    };
    TableError::Conflict { key: key.to_owned(), by, changes }.into()
}

/// Reads a row back after a lost reply, and returns its version if the write was accepted.
async fn read_back(
    client: &ObjectClient,
    key: &str,
    operation: &str,
    source: ObjectError,
) -> Result<u64, TableError> {
    for _ in 0..READ_BACK_ATTEMPTS {
        match client.get::<serde_json::Value>(Collection::Rows, key).await {
            Ok(object) if object.written.operation == operation => return Ok(object.version()),
            Ok(_) | Err(ObjectError::NotFound(_)) => {
                return Err(TableError::NotAccepted { key: key.to_owned(), source });
            }
            Err(_) => time::sleep(READ_BACK_INTERVAL).await,
        }
    }
    Err(TableError::OutcomeUnknown { key: key.to_owned(), operation: operation.to_owned() })
}

fn new_operation_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
