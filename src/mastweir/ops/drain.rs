//! Taking a server out of service, and back.

use super::table::{Accepted, TableOptions, delete_row, write_row};
use mastweir_core::table::{Drain, Row, RowKey, RowKind};

/// Which server, and why.
#[derive(Clone, Copy, Debug)]
pub struct DrainOptions<'a> {
    /// How to reach the table.
    pub table: TableOptions<'a>,
    /// Name of the server.
    pub server: &'a str,
    /// Why, for other operators.
    pub reason: &'a str,
}

/// Drains a server: in force at every entry within seconds, nothing that runs
/// there is cut.
///
/// # Errors
///
/// The row was not accepted, or that can't be told.
pub async fn drain(options: &DrainOptions<'_>) -> eyre::Result<Accepted> {
    let row = Row::Drain(Drain { reason: options.reason.to_owned() });
    write_row(&options.table, options.server, &row, None).await
}

/// Takes a server back into service.
///
/// # Errors
///
/// It was not drained, or that can't be told.
pub async fn undrain(options: &DrainOptions<'_>) -> eyre::Result<Accepted> {
    delete_row(&options.table, &RowKey::new(RowKind::Drain, options.server)).await
}
