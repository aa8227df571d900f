//! Customers' rows as CSV: one line per customer, with a fixed header.
//!
//! A file with one invalid line is rejected as a whole. The error states the line and what is
//! wrong there.

use super::{Customer, Row, RowError};
use std::{fmt::Write, str::FromStr};

/// The customer's name, and the fields of [`Customer`].
const COLUMNS: [&str; 8] =
    ["name", "weight", "inflight", "units_s", "burst", "queue", "largest", "key_hash"];

/// Why a CSV file is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CsvError {
    /// The first line is not the expected header.
    #[error(
        "reading the first line: {0:?} is not the header; begin with 'name,weight,inflight,units_s,burst,queue,largest,key_hash'"
    )]
    Header(String),
    /// A line has the wrong number of cells.
    #[error("reading line {line}: {cells} cells; give all 8 columns")]
    CellCount {
        /// Number of the line, from 1.
        line: usize,
        /// Number of cells found.
        cells: usize,
    },
    /// A cell is not a number.
    #[error("reading line {line}, column {column}: {value:?} is not a number; give one such as 3")]
    Number {
        /// Number of the line, from 1.
        line: usize,
        column: &'static str,
        value: String,
    },
    /// A row is invalid.
    #[error("reading line {line}: {source}")]
    Row {
        /// Number of the line, from 1.
        line: usize,
        source: RowError,
    },
    /// Two lines have the same name.
    #[error("reading line {line}: {name} appears twice; keep one line per customer")]
    Duplicate {
        /// Number of the line, from 1.
        line: usize,
        name: String,
    },
}

/// Reads customers from the lines of a CSV file, each as its cells.
///
/// # Errors
///
/// Returns the [`CsvError`] of the first invalid line.
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

/// Writes customers as CSV.
pub fn customers_to_csv<'a>(rows: impl Iterator<Item = (&'a str, &'a Customer)>) -> String {
    let mut text = COLUMNS.join(",") + "\n";
    for (name, c) in rows {
        // Names and hashes contain no comma or quote, and writing to a string can't fail.
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
