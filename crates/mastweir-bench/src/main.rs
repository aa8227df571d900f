//! The measures of mastweir. Each prints a table, or with `--json` one object a
//! line; both are deterministic for a seed as far as no real process takes part.

mod commands;
mod report;
mod sim;
mod stats;

use argh::FromArgs;
use std::process;

/// Measures of mastweir.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: commands::Command,
}

#[tokio::main]
async fn main() {
    let args: Args = argh::from_env();
    if let Err(error) = commands::exec(args.command).await {
        eprintln!("mastweir-bench: {error:#}");
        process::exit(1);
    }
}
