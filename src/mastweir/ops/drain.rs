//! Takes a server out of service, and back, by writing or deleting its drain row in the table.

use super::table::{Accepted, TableOptions, delete_row, write_row};
use mastweir_core::table::{Drain, Row, RowKey, RowKind};

#[derive(Clone, Copy, Debug)]
pub struct DrainOptions<'a> {
    /// Access to the table.
    pub table: TableOptions<'a>,
    /// Name of the server.
    pub server: &'a str,
    /// Reason that other operators see.
    pub reason: &'a str,
}

/// Drains a server: within seconds no entry instance sends it new requests. Running requests
/// continue.
///
/// # Errors
///
/// The row was not accepted, or whether it was is unknown.
pub async fn drain(options: &DrainOptions<'_>) -> eyre::Result<Accepted> {
    let row = Row::Drain(Drain { reason: options.reason.to_owned() });
    write_row(&options.table, options.server, &row, None).await
}

/// Returns a drained server to service.
///
/// # Errors
///
/// The server was not drained, or whether the row was deleted is unknown.
pub async fn undrain(options: &DrainOptions<'_>) -> eyre::Result<Accepted> {
    delete_row(&options.table, &RowKey::new(RowKind::Drain, options.server)).await
}
