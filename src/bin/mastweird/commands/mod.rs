//! Subcommands of the daemon, one module for each role.

pub mod agent;
pub mod entry;
pub mod gateway;
pub mod sidecar;

use std::env;

const COMMON_FLAGS: [&str; 9] =
    ["name", "hall", "secret", "platform", "token", "statsd", "log", "log-level", "grace-s"];

/// Returns the flags of the requested role that environment variables can set; none for `--help`.
pub fn flags() -> Vec<&'static str> {
    let (common, own): (&[&str], &[&str]) = match env::args().nth(1).as_deref() {
        Some("entry") => (&COMMON_FLAGS, &entry::FLAGS),
        Some("agent") => (&COMMON_FLAGS, &agent::FLAGS),
        Some("gateway") => (&[], &gateway::FLAGS),
        Some("sidecar") => (&[], &sidecar::FLAGS),
        _ => return Vec::new(),
    };
    // Help does not depend on environment variables.
    if env::args().any(|arg| arg == "--help" || arg == "help") {
        return Vec::new();
    }
    common.iter().chain(own).copied().collect()
}
