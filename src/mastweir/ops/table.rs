//! Reading and writing the table.
//!
//! A write is conditional on the version that was read, so of two operators who
//! race one wins and the other is told what changed. A write whose reply is lost
//! is read back: it carries an operation id of its own, so the answer is
//! accepted, not accepted, or can't be told yet, and never a guess.

mod sheet;

pub use sheet::{export, import, lines_of};

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

const READ_BACK_TRIES: u32 = 5;
const READ_BACK_WAIT: Duration = Duration::from_millis(400);

/// How to reach the table.
#[derive(Clone, Copy, Debug)]
pub struct TableOptions<'a> {
    /// Base address of the object API.
    pub platform: &'a str,
    /// Token for it.
    pub token: &'a str,
    /// Name of the operator, for others who edit.
    pub operator: &'a str,
    /// Only say what would be done.
    pub dry_run: bool,
}

/// Why the table could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// Another operator was first.
    #[error(
        "writing {key}: {by} has changed it since it was read ({changes}); nothing was written, \
         look at it and try again"
    )]
    Conflict {
        /// The row.
        key: String,
        /// Who.
        by: String,
        /// What.
        changes: String,
    },
    /// The platform does not say.
    #[error(
        "writing {key}: no answer, and it can't be read back now; whether it was accepted can't \
         be told yet, ask again with 'mastweir table get {key}' (operation {operation})"
    )]
    CannotTell {
        /// The row.
        key: String,
        /// The write's operation id.
        operation: String,
    },
    /// It was not written.
    #[error("writing {key}: not accepted: {source}")]
    NotAccepted {
        /// The row.
        key: String,
        /// Why.
        source: ObjectError,
    },
    /// No such column, or a value that is none.
    #[error(
        "setting {0:?}: not COLUMN=VALUE; the columns are weight, inflight, units_s, burst, queue, largest and key_hash"
    )]
    Assignment(String),
}

/// A write that is known to have landed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// The row.
    pub key: String,
    /// Version at which it is; 0 on a dry run.
    pub version: u64,
    /// What changed.
    pub changes: Vec<String>,
}

/// A row as it is in the object API.
#[derive(Clone, Debug, Serialize)]
pub struct Listed {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// Who wrote it last.
    pub by: String,
    /// The row, or what stands there instead of one.
    pub row: serde_json::Value,
}

/// All rows.
///
/// # Errors
///
/// The platform does not answer.
pub async fn list(options: &TableOptions<'_>) -> eyre::Result<Vec<Listed>> {
    let platform = platform(options)?;
    let list = platform.list::<serde_json::Value>(Collection::Rows).await?;
    Ok(list.items.into_iter().map(listed).collect())
}

/// One row.
///
/// # Errors
///
/// There is none, or the platform does not answer.
pub async fn get(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<Listed> {
    let platform = platform(options)?;
    let object = platform.get::<serde_json::Value>(Collection::Rows, &key.to_string()).await?;
    Ok(listed(object))
}

/// Changes some columns of a customer's row.
///
/// # Errors
///
/// [`TableError`], or the row would be a bad one.
pub async fn set(
    options: &TableOptions<'_>,
    customer: &str,
    assignments: &[String],
) -> eyre::Result<Accepted> {
    let key = RowKey::new(RowKind::Customer, customer);
    let former = read(options, &key).await?;
    let Row::Customer(mut row) = former.spec.clone() else {
        return Err(eyre::eyre!(
            "reading {key}: not a customer's row; repair it with table remove"
        ));
    };
    assignments.iter().try_for_each(|text| assign(&mut row, text))?;
    write_row(options, customer, &Row::Customer(row), Some(former)).await
}

/// Writes a row: over `former`, or as a new one.
///
/// # Errors
///
/// [`TableError`], or the row is a bad one.
pub async fn write_row(
    options: &TableOptions<'_>,
    name: &str,
    row: &Row,
    former: Option<Object<Row>>,
) -> eyre::Result<Accepted> {
    row.check(name)?;
    let key = RowKey::new(row.kind(), name).to_string();
    let changes = changes(former.as_ref().map(|object| &object.spec), row);
    if options.dry_run {
        return Ok(Accepted { key, version: 0, changes });
    }
    let operation = draw_operation();
    let mut object = Object::new(&key, options.operator, &operation, row.clone());
    let platform = platform(options)?;
    let written = match &former {
        None => platform.create(Collection::Rows, &object).await,
        Some(former) => {
            object.metadata = former.metadata.clone();
            platform.update(Collection::Rows, &object).await
        }
    };
    match written {
        Ok(object) => Ok(Accepted { key, version: object.version(), changes }),
        Err(ObjectError::Conflict(_)) => Err(conflict(&platform, &key, former.as_ref()).await),
        Err(error) if error.is_outcome_unknown() => {
            let version = read_back(&platform, &key, &operation, error).await?;
            Ok(Accepted { key, version, changes })
        }
        Err(source) => Err(TableError::NotAccepted { key, source }.into()),
    }
}

/// Deletes a row.
///
/// # Errors
///
/// [`TableError`], or there is no such row.
pub async fn delete_row(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<Accepted> {
    let platform = platform(options)?;
    let name = key.to_string();
    let former = platform.get::<serde_json::Value>(Collection::Rows, &name).await?;
    let changes = vec!["removed".to_owned()];
    if options.dry_run {
        return Ok(Accepted { key: name, version: 0, changes });
    }
    match platform.delete(Collection::Rows, &name, former.version()).await {
        Ok(()) => Ok(Accepted { key: name, version: former.version() + 1, changes }),
        Err(error) if error.is_outcome_unknown() => {
            for _ in 0..READ_BACK_TRIES {
                match platform.get::<serde_json::Value>(Collection::Rows, &name).await {
                    Err(ObjectError::NotFound(_)) => {
                        let version = former.version() + 1;
                        return Ok(Accepted { key: name, version, changes });
                    }
                    Ok(_) => {
                        return Err(TableError::NotAccepted { key: name, source: error }.into());
                    }
                    Err(_) => time::sleep(READ_BACK_WAIT).await,
                }
            }
            let operation = "delete".to_owned();
            Err(TableError::CannotTell { key: name, operation }.into())
        }
        Err(source) => Err(TableError::NotAccepted { key: name, source }.into()),
    }
}

/// Where a version is in force.
#[derive(Clone, Debug, Serialize)]
pub struct InForce {
    /// Entries that have come as far.
    pub at: Vec<String>,
    /// Entries that have not.
    pub behind: Vec<String>,
    /// Entries that do not answer.
    pub unreachable: Vec<String>,
}

/// Waits until a version is in force at all entries that answer.
///
/// # Errors
///
/// No entry was named.
pub async fn wait(client: &EntryClient, version: u64, limit: Duration) -> eyre::Result<InForce> {
    let begun = Instant::now();
    loop {
        let mut seen = InForce { at: Vec::new(), behind: Vec::new(), unreachable: Vec::new() };
        for entry in client.entries() {
            match client.status(entry).await {
                Ok(status) if status.table >= version => seen.at.push(entry.clone()),
                Ok(_) => seen.behind.push(entry.clone()),
                Err(_) => seen.unreachable.push(entry.clone()),
            }
        }
        if seen.behind.is_empty() || begun.elapsed() >= limit {
            return Ok(seen);
        }
        time::sleep(Duration::from_millis(100)).await;
    }
}

fn platform(options: &TableOptions<'_>) -> eyre::Result<ObjectClient> {
    ObjectClient::new(&base_url("platform", options.platform)?, options.token)
}

async fn read(options: &TableOptions<'_>, key: &RowKey) -> eyre::Result<Object<Row>> {
    Ok(platform(options)?.get::<Row>(Collection::Rows, &key.to_string()).await?)
}

fn listed(object: Object<serde_json::Value>) -> Listed {
    Listed {
        version: object.version(),
        key: object.metadata.name,
        by: object.written.by,
        row: object.spec,
    }
}

/// Sets one column. The last value of a column wins.
fn assign(row: &mut Customer, text: &str) -> eyre::Result<()> {
    let bad = || TableError::Assignment(text.to_owned());
    let (column, value) = text.split_once('=').ok_or_else(bad)?;
    let number = || value.parse::<u32>().map_err(|_| bad());
    match column {
        "weight" => row.weight = value.parse().map_err(|_| bad())?,
        "inflight" => row.inflight = number()?,
        "units_s" => row.units_s = number()?,
        "burst" => row.burst = number()?,
        "queue" => row.queue = number()?,
        "largest" => row.largest = number()?,
        "key_hash" => value.clone_into(&mut row.key_hash),
        _ => return Err(bad().into()),
    }
    Ok(())
}

/// What differs between two rows, column by column.
fn changes(former: Option<&Row>, row: &Row) -> Vec<String> {
    let columns = |row: &Row| match serde_json::to_value(row) {
        Ok(serde_json::Value::Object(kinds)) => {
            let columns = kinds.into_iter().next().map(|(_, columns)| columns);
            columns.and_then(|columns| columns.as_object().cloned()).unwrap_or_default()
        }
        _ => serde_json::Map::new(),
    };
    let Some(former) = former else { return vec!["added".to_owned()] };
    let before = columns(former);
    let differs = |(column, value): (&String, &serde_json::Value)| {
        let was = before.get(column)?;
        (was != value).then(|| format!("{column}: {was} -> {value}"))
    };
    columns(row).iter().filter_map(differs).collect()
}

async fn conflict(
    platform: &ObjectClient,
    key: &str,
    former: Option<&Object<Row>>,
) -> eyre::Report {
    let now = platform.get::<Row>(Collection::Rows, key).await;
    let (by, changes) = match (now, former) {
        (Ok(now), Some(former)) => {
            (now.written.by.clone(), changes(Some(&former.spec), &now.spec).join(", "))
        }
        (Ok(now), None) => (now.written.by, "added".to_owned()),
        (Err(ObjectError::NotFound(_)), _) => ("someone".to_owned(), "removed".to_owned()),
        (Err(error), _) => ("someone".to_owned(), format!("can't be read: {error}")),
    };
    TableError::Conflict { key: key.to_owned(), by, changes }.into()
}

/// Whether a write whose reply was lost has landed.
async fn read_back(
    platform: &ObjectClient,
    key: &str,
    operation: &str,
    source: ObjectError,
) -> Result<u64, TableError> {
    for _ in 0..READ_BACK_TRIES {
        match platform.get::<serde_json::Value>(Collection::Rows, key).await {
            Ok(object) if object.written.operation == operation => return Ok(object.version()),
            Ok(_) | Err(ObjectError::NotFound(_)) => {
                return Err(TableError::NotAccepted { key: key.to_owned(), source });
            }
            Err(_) => time::sleep(READ_BACK_WAIT).await,
        }
    }
    Err(TableError::CannotTell { key: key.to_owned(), operation: operation.to_owned() })
}

fn draw_operation() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}
