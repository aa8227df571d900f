//! The daemon: one role of a process, by its first argument.

mod commands;

use argh::FromArgs;
use commands::{agent, entry, gateway, sidecar};
use mastweir::util::settings;
use std::process;

/// mastweir's daemon. Each flag may be given as a variable instead, as in
/// MASTWEIR_HALL=north for --hall north.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Entry(entry::Args),
    Agent(agent::Args),
    Gateway(gateway::Args),
    Sidecar(sidecar::Args),
}

fn main() {
    let args: Args = settings::read("mastweird", &commands::flags());
    let result = match args.command {
        Command::Entry(args) => on_all_threads(entry::exec(&args)),
        Command::Agent(args) => on_all_threads(agent::exec(&args)),
        Command::Gateway(args) => gateway::exec(&args),
        Command::Sidecar(args) => sidecar::exec(&args),
    };
    if let Err(error) = result {
        process::exit(settings::report("mastweird", &error));
    }
}

fn on_all_threads(run: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(run)
}
