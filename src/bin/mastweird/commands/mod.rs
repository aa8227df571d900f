//! The daemon's commands, one a role.

pub mod agent;
pub mod entry;

use std::env;

const COMMON: [&str; 9] =
    ["name", "hall", "secret", "platform", "token", "statsd", "log", "log-level", "grace-s"];

/// Flags that may come from variables, for the role that was asked for.
pub fn flags() -> Vec<&'static str> {
    let own: &[&str] = match env::args().nth(1).as_deref() {
        Some("entry") => &entry::FLAGS,
        Some("agent") => &agent::FLAGS,
        _ => return Vec::new(),
    };
    // `--help` is answered without the settings.
    if env::args().any(|word| word == "--help" || word == "help") {
        return Vec::new();
    }
    COMMON.iter().chain(own).copied().collect()
}
