//! Subcommands of the operators' tool, one module each, and what they share.

pub mod check;
pub mod drain;
pub mod explain;
pub mod key;
pub mod quarantine;
pub mod report;
pub mod status;
pub mod table;

use mastweir::ops::table::TableOptions;
use serde::Serialize;
use std::env;

/// Exit code of success.
pub const EXIT_DONE: i32 = 0;
/// Exit code if an instance does not answer or does not use a version of the table yet.
pub const EXIT_PARTIAL: i32 = 3;

const ENTRY_FLAGS: [&str; 2] = ["entry", "operator-key"];
const TABLE_FLAGS: [&str; 3] = ["platform", "token", "operator"];

/// Returns the flags of the requested command that environment variables can set; none for help.
pub fn flags() -> Vec<&'static str> {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.iter().any(|arg| arg == "--help" || arg == "help") {
        return Vec::new();
    }
    match args.first().map(String::as_str) {
        Some("status" | "explain") => ENTRY_FLAGS.to_vec(),
        Some("quarantine") => vec!["store"],
        Some("drain" | "undrain") => TABLE_FLAGS.to_vec(),
        Some("table") if args.iter().any(|arg| arg == "wait") => ENTRY_FLAGS.to_vec(),
        Some("table") => TABLE_FLAGS.to_vec(),
        _ => Vec::new(),
    }
}

/// Combines the flags of a command that accesses the table.
pub fn table_options<'a>(
    platform: &'a str,
    token: &'a str,
    operator: &'a str,
    dry_run: bool,
) -> TableOptions<'a> {
    TableOptions { platform, token, operator, dry_run }
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
