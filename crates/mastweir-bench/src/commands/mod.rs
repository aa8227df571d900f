//! One measure a command.

mod control;
mod experts;
mod limits;
mod model;
mod outcomes;
mod path;
mod plans;
mod returns;
mod routing;
mod shares;
mod switch;
mod table;

use argh::FromArgs;
use std::{env, path::PathBuf, process};

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Control(control::Args),
    Experts(experts::Args),
    Limits(limits::Args),
    Model(model::Args),
    Outcomes(outcomes::Args),
    Path(path::Args),
    Plans(plans::Args),
    Returns(returns::Args),
    Routing(routing::Args),
    Shares(shares::Args),
    Switch(switch::Args),
    Table(table::Args),
}

/// Runs the measure that was asked for.
pub async fn exec(command: Command) -> eyre::Result<()> {
    match command {
        Command::Control(args) => return control::exec(&args).await,
        Command::Experts(args) => experts::exec(&args),
        Command::Limits(args) => limits::exec(&args),
        Command::Model(args) => return model::exec(&args),
        Command::Outcomes(args) => return outcomes::exec(&args).await,
        Command::Path(args) => return path::exec(&args).await,
        Command::Plans(args) => plans::exec(&args),
        Command::Returns(args) => return returns::exec(&args).await,
        Command::Routing(args) => routing::exec(&args),
        Command::Shares(args) => shares::exec(&args),
        Command::Switch(args) => return switch::exec(&args).await,
        Command::Table(args) => return table::exec(&args).await,
    }
    Ok(())
}

/// Path of the daemon next to this program. Under `cargo run` it is built
/// first, so that it is never an older one.
pub fn daemon_program() -> eyre::Result<PathBuf> {
    let program = env::current_exe()?.with_file_name("mastweird");
    let Ok(cargo) = env::var("CARGO") else {
        let found = program.exists();
        eyre::ensure!(found, "starting the daemon: none is here; use 'cargo run' for the measure");
        return Ok(program);
    };
    let args = ["build", "--release", "--quiet", "--package", "mastweir", "--bin", "mastweird"];
    let status = process::Command::new(cargo).args(args).status()?;
    eyre::ensure!(status.success(), "building the daemon: it fails; run 'cargo build --release'");
    Ok(program)
}
