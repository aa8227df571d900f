//! One measure a command.

mod shares;

use argh::FromArgs;

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Shares(shares::Args),
}

/// Runs the measure that was asked for.
pub async fn exec(command: Command) -> eyre::Result<()> {
    match command {
        Command::Shares(args) => shares::exec(&args),
    }
    Ok(())
}
