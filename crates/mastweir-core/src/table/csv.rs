//! The customers' rows as a sheet: one line a customer, by named columns.
//!
//! A sheet with one bad line is refused whole. The error names line, column
//! and remedy.

use super::{Customer, Row, RowError};
use std::{fmt::Write, str::FromStr};

/// The columns, in order.
const COLUMNS: [&str; 8] =
    ["name", "weight", "inflight", "units_s", "burst", "queue", "largest", "key_hash"];

/// Why a sheet is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CsvError {
    /// The first line does not name the columns.
    #[error(
        "reading the first line: {0:?} is not the header; begin with 'name,weight,inflight,units_s,burst,queue,largest,key_hash'"
    )]
    Header(String),
    /// A line has another number of cells.
    #[error("reading line {line}: {cells} cells; give all 8 columns")]
    CellCount {
        /// Number of the line, from 1.
        line: usize,
        /// CellCount found.
        cells: usize,
    },
    /// A cell can't be read.
    #[error("reading line {line}, column {column}: {value:?} is not a number; give one such as 3")]
    Number {
        /// Number of the line, from 1.
        line: usize,
        /// The column.
        column: &'static str,
        /// What stands there.
        value: String,
    },
    /// A row is bad.
    #[error("reading line {line}: {source}")]
    Row {
        /// Number of the line, from 1.
        line: usize,
        /// Why.
        source: RowError,
    },
    /// A name stands twice.
    #[error("reading line {line}: {name} stands twice; keep one line a customer")]
    Duplicate {
        /// Number of the line, from 1.
        line: usize,
        /// The name.
        name: String,
    },
}

/// Reads a sheet's lines, as cells, into customers.
///
/// # Errors
///
/// [`CsvError`] of the first bad line.
pub fn customers_from_csv(lines: &[Vec<String>]) -> Result<Vec<(String, Customer)>, CsvError> {
    let header = lines.first().map(|cells| cells.join(",")).unwrap_or_default();
    if header != COLUMNS.join(",") {
        return Err(CsvError::Header(header));
    }
    let mut customers: Vec<(String, Customer)> = Vec::new();
    for (i, cells) in lines.iter().enumerate().skip(1) {
        let line = i + 1;
        let (name, customer) = read_line(line, cells)?;
        if customers.iter().any(|(other, _)| *other == name) {
            return Err(CsvError::Duplicate { line, name });
        }
        customers.push((name, customer));
    }
    Ok(customers)
}

/// Writes customers as a sheet.
pub fn customers_to_csv<'a>(rows: impl Iterator<Item = (&'a str, &'a Customer)>) -> String {
    let mut text = COLUMNS.join(",") + "\n";
    for (name, c) in rows {
        // Names and hashes need no quotes, and writing to a string can't fail.
        let _ = writeln!(
            text,
            "{name},{},{},{},{},{},{},{}",
            c.weight, c.inflight, c.units_s, c.burst, c.queue, c.largest, c.key_hash
        );
    }
    text
}

fn read_line(line: usize, cells: &[String]) -> Result<(String, Customer), CsvError> {
    let [name, weight, inflight, units_s, burst, queue, largest, key_hash] = cells else {
        return Err(CsvError::CellCount { line, cells: cells.len() });
    };
    let customer = Customer {
        weight: parse_number(line, "weight", weight)?,
        inflight: parse_number(line, "inflight", inflight)?,
        units_s: parse_number(line, "units_s", units_s)?,
        burst: parse_number(line, "burst", burst)?,
        queue: parse_number(line, "queue", queue)?,
        largest: parse_number(line, "largest", largest)?,
        key_hash: key_hash.clone(),
    };
    let row = Row::Customer(customer.clone());
    row.check(name).map_err(|source| CsvError::Row { line, source })?;
    Ok((name.clone(), customer))
}

fn parse_number<T: FromStr>(line: usize, column: &'static str, value: &str) -> Result<T, CsvError> {
    let bad = |_| CsvError::Number { line, column, value: value.to_owned() };
    value.trim().parse().map_err(bad)
}
