//! The daemon `mastweird`: runs as an entry instance, agent, gateway or sidecar, chosen by its
//! subcommand. Entry instances and agents use a thread pool; gateways and sidecars one thread.

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
        Command::Entry(args) => run_on_thread_pool(entry::exec(&args)),
        Command::Agent(args) => run_on_thread_pool(agent::exec(&args)),
        Command::Gateway(args) => gateway::exec(&args),
        Command::Sidecar(args) => sidecar::exec(&args),
    };
    if let Err(error) = result {
        process::exit(settings::report("mastweird", &error));
    }
}

fn run_on_thread_pool(future: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(future)
}
