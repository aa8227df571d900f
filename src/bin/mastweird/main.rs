//! The daemon: an entry instance or an agent, by its first argument.

mod commands;

use argh::FromArgs;
use commands::{agent, entry};
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
}

#[tokio::main]
async fn main() {
    let args: Args = settings::read("mastweird", &commands::flags());
    let result = match args.command {
        Command::Entry(args) => entry::exec(&args).await,
        Command::Agent(args) => agent::exec(&args).await,
    };
    if let Err(error) = result {
        process::exit(settings::report("mastweird", &error));
    }
}
