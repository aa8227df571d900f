//! The command line tool `mastweir` for operators: edits the table, drains servers, shows the
//! state of the fleet and analyzes logs.

mod commands;

use argh::FromArgs;
use commands::{check, drain, explain, key, quarantine, report, status, table};
use mastweir::util::settings;
use std::process;

/// mastweir for operators. Each flag may be given as a variable instead, as in
/// MASTWEIR_PLATFORM for --platform. Exit codes: 0 done, 1 failed, 2 bad
/// settings, 3 not in force everywhere or something can't be reached.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Args),
    Drain(drain::DrainArgs),
    Explain(explain::Args),
    Key(key::Args),
    Quarantine(quarantine::Args),
    Report(report::Args),
    Status(status::Args),
    Table(table::Args),
    Undrain(drain::UndrainArgs),
}

#[tokio::main]
async fn main() {
    let args: Args = settings::read("mastweir", &commands::flags());
    let result = match args.command {
        Command::Check(args) => check::exec(&args),
        Command::Drain(args) => drain::exec(&args).await,
        Command::Explain(args) => explain::exec(&args).await,
        Command::Key(args) => key::exec(&args),
        Command::Quarantine(args) => quarantine::exec(&args).await,
        Command::Report(args) => report::exec(&args),
        Command::Status(args) => status::exec(&args).await,
        Command::Table(args) => table::exec(&args).await,
        Command::Undrain(args) => drain::exec_undrain(&args).await,
    };
    match result {
        Ok(code) => process::exit(code),
        Err(error) => process::exit(settings::report("mastweir", &error)),
    }
}
