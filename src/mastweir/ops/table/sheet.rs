//! The customers' rows as a sheet.

use super::{Accepted, TableOptions, platform, write_row};
use crate::objects::{Collection, Object};
use mastweir_core::table::{Row, RowKey, customers_from_csv, customers_to_csv};
use std::{collections::BTreeMap, str::FromStr};

/// All customers as CSV.
///
/// # Errors
///
/// The platform does not answer.
pub async fn export(options: &TableOptions<'_>) -> eyre::Result<String> {
    let customers = customers(options).await?;
    Ok(customers_to_csv(customers.iter().map(|(name, object)| {
        let Row::Customer(customer) = &object.spec else { unreachable!("only customers are kept") };
        (name.as_str(), customer)
    })))
}

/// What an import would change, or has changed.
///
/// A sheet with one bad line is refused whole, before anything is written. Rows
/// that are not in the sheet stay.
///
/// # Errors
///
/// The sheet is bad, or a row was not accepted: those before it were.
pub async fn import(options: &TableOptions<'_>, csv: &str) -> eyre::Result<Vec<Accepted>> {
    let sheet = customers_from_csv(&lines_of(csv)?)?;
    let mut former = customers(options).await?;
    let mut accepted = Vec::new();
    for (name, customer) in sheet {
        let row = Row::Customer(customer);
        let held = former.remove(&name);
        if held.as_ref().is_some_and(|object| object.spec == row) {
            continue;
        }
        accepted.push(write_row(options, &name, &row, held).await?);
    }
    Ok(accepted)
}

/// The lines of a CSV text, as cells.
///
/// # Errors
///
/// It is no CSV.
pub fn lines_of(text: &str) -> eyre::Result<Vec<Vec<String>>> {
    let mut reader =
        csv::ReaderBuilder::new().has_headers(false).flexible(true).from_reader(text.as_bytes());
    let records = reader.records().collect::<Result<Vec<_>, _>>()?;
    Ok(records.iter().map(|record| record.iter().map(str::to_owned).collect()).collect())
}

async fn customers(options: &TableOptions<'_>) -> eyre::Result<BTreeMap<String, Object<Row>>> {
    let list = platform(options)?.list::<serde_json::Value>(Collection::Rows).await?;
    let customer = |object: Object<serde_json::Value>| {
        let key = RowKey::from_str(&object.metadata.name).ok()?;
        let spec = serde_json::from_value::<Row>(object.spec).ok()?;
        let object = Object { metadata: object.metadata, written: object.written, spec };
        matches!(object.spec, Row::Customer(_)).then_some((key.name, object))
    };
    Ok(list.items.into_iter().filter_map(customer).collect())
}
