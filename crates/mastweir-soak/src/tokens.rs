//! That no token of a group's coordinator is given out twice, from what sidecars wrote.

use crate::ledger::Ledger;
use serde_json::Value;
use std::{collections::HashSet, fs, path::Path};

/// The line of a sidecar that coordinates from now on.
const NOW: &str = "became coordinator";

/// Checks the logs in a folder.
///
/// # Errors
///
/// They can't be read.
pub fn check(folder: &Path, ledger: &Ledger) -> eyre::Result<()> {
    let mut given = HashSet::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        for (group, token) in text.lines().filter_map(taken) {
            if !given.insert((group.clone(), token)) {
                ledger.broken(format!("token {token} of group {group} was given out twice"));
            }
        }
    }
    Ok(())
}

fn taken(line: &str) -> Option<(String, u64)> {
    if !line.contains(NOW) {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    Some((line["group"].as_str()?.to_owned(), line["token"].as_u64()?))
}
