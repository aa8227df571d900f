//! One measure a command.

mod experts;
mod shares;

use argh::FromArgs;

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Experts(experts::Args),
    Shares(shares::Args),
}

/// Runs the measure that was asked for.
pub async fn exec(command: Command) -> eyre::Result<()> {
    match command {
        Command::Experts(args) => experts::exec(&args),
        Command::Shares(args) => shares::exec(&args),
    }
    Ok(())
}
