//! Collects the status of all entry instances, which describes the fleet as each of them sees
//! it.

use super::EntryClient;
use crate::entry::EntryStatus;
use serde::Serialize;

#[derive(Clone, Copy, Debug)]
pub struct StatusOptions<'a> {
    /// Base addresses of entry instances.
    pub entries: &'a [String],
    /// The operators' key.
    pub operator_key: &'a str,
}

/// Status of the entry instances.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// Status of each instance that answered.
    pub entries: Vec<EntryStatus>,
    /// Instances that did not answer.
    pub unreachable: Vec<Unreachable>,
}

/// Entry instance that did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct Unreachable {
    /// Base address of the instance.
    pub entry: String,
    pub error: String,
}

/// Queries all entry instances.
///
/// # Errors
///
/// `options.entries` is empty.
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
