//! The fleet as its entries see it.

use super::EntryClient;
use crate::entry::EntryStatus;
use serde::Serialize;

/// How to ask for a status.
#[derive(Clone, Copy, Debug)]
pub struct StatusOptions<'a> {
    /// Base addresses of entries.
    pub entries: &'a [String],
    /// The operators' key.
    pub operator_key: &'a str,
}

/// What entries answered.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// Those that answered.
    pub entries: Vec<EntryStatus>,
    /// Those that did not, and why.
    pub unreachable: Vec<Unreachable>,
}

/// An entry that did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct Unreachable {
    /// Its base address.
    pub entry: String,
    /// Why.
    pub error: String,
}

/// Asks all entries.
///
/// # Errors
///
/// No entry was named.
pub async fn status(options: &StatusOptions<'_>) -> eyre::Result<FleetStatus> {
    let client = EntryClient::new(options.entries, options.operator_key)?;
    let mut fleet = FleetStatus { entries: Vec::new(), unreachable: Vec::new() };
    for entry in client.entries() {
        match client.status(entry).await {
            Ok(status) => fleet.entries.push(status),
            Err(error) => {
                let error = format!("{error:#}");
                fleet.unreachable.push(Unreachable { entry: entry.clone(), error });
            }
        }
    }
    Ok(fleet)
}
