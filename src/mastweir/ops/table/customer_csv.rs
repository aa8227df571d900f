//! Exports the customers' rows of the table as CSV, and imports them.

use super::{Accepted, TableOptions, object_client, write_row};
use crate::objects::{Collection, Object};
use mastweir_core::table::{Row, RowKey, customers_from_csv, customers_to_csv};
use std::{collections::BTreeMap, str::FromStr};

/// Returns all customers' rows as CSV.
///
/// # Errors
///
/// The object API can't be reached, or returns an error.
pub async fn export(options: &TableOptions<'_>) -> eyre::Result<String> {
    let customers = customers(options).await?;
    Ok(customers_to_csv(customers.iter().map(|(name, object)| {
        let Row::Customer(customer) = &object.spec else {
            unreachable!("customers() returns only customers")
        };
        (name.as_str(), customer)
    })))
}

/// Writes the customers of a CSV text to the table, and returns the changes.
///
/// A text with an invalid line is rejected before anything is written. Customers that are not in
/// the text keep their rows.
///
/// # Errors
///
/// The CSV is invalid, or a row was not accepted; the rows before it stay written.
pub async fn import(options: &TableOptions<'_>, csv: &str) -> eyre::Result<Vec<Accepted>> {
    let imported = customers_from_csv(&parse_csv(csv)?)?;
    let mut previous = customers(options).await?;
    let mut accepted = Vec::new();
    for (name, customer) in imported {
        let row = Row::Customer(customer);
        let existing = previous.remove(&name);
        if existing.as_ref().is_some_and(|object| object.spec == row) {
            continue;
        }
        accepted.push(write_row(options, &name, &row, existing).await?);
    }
    Ok(accepted)
}

/// Splits a CSV text into lines of cells.
///
/// # Errors
///
/// The text is not valid CSV.
pub fn parse_csv(text: &str) -> eyre::Result<Vec<Vec<String>>> {
    let mut reader =
        csv::ReaderBuilder::new().has_headers(false).flexible(true).from_reader(text.as_bytes());
    let records = reader.records().collect::<Result<Vec<_>, _>>()?;
    Ok(records.iter().map(|record| record.iter().map(str::to_owned).collect()).collect())
}

async fn customers(options: &TableOptions<'_>) -> eyre::Result<BTreeMap<String, Object<Row>>> {
    let list = object_client(options)?.list::<serde_json::Value>(Collection::Rows).await?;
    let customer = |object: Object<serde_json::Value>| {
        let key = RowKey::from_str(&object.metadata.name).ok()?;
        let spec = serde_json::from_value::<Row>(object.spec).ok()?;
        let object = Object { metadata: object.metadata, written: object.written, spec };
        matches!(object.spec, Row::Customer(_)).then_some((key.name, object))
    };
    Ok(list.items.into_iter().filter_map(customer).collect())
}
