//! The daemon's commands, one a role.

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod sidecar;

use std::env;

const COMMON: [&str; 9] =
    ["name", "hall", "secret", "platform", "token", "statsd", "log", "log-level", "grace-s"];

/// Flags that may come from variables, for the role that was asked for.
pub fn flags() -> Vec<&'static str> {
    let (common, own): (&[&str], &[&str]) = match env::args().nth(1).as_deref() {
        Some("entry") => (&COMMON, &entry::FLAGS),
        Some("agent") => (&COMMON, &agent::FLAGS),
        Some("gateway") => (&[], &gateway::FLAGS),
        Some("sidecar") => (&[], &sidecar::FLAGS),
        _ => return Vec::new(),
    };
    // `--help` is answered without the settings.
    if env::args().any(|word| word == "--help" || word == "help") {
        return Vec::new();
    }
    common.iter().chain(own).copied().collect()
}
