//! `mastweir drain` and `mastweir undrain`: take a server out of service, and back.

use super::{EXIT_DONE, table_options};
use argh::FromArgs;
use mastweir::ops::drain::{DrainOptions, drain, undrain};

/// Take a server out of service: it gets nothing new, what runs there ends.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain", example = "mastweir drain server-7 --reason 'disk errors'")]
pub struct DrainArgs {
    /// name of the server in the instance list
    #[argh(positional)]
    server: String,
    /// why, for other operators
    #[argh(option, default = "String::new()")]
    reason: String,
    /// base address of the object API
    #[argh(option)]
    platform: String,
    /// bearer token for the object API
    #[argh(option, default = "String::new()")]
    token: String,
    /// your name, for other operators
    #[argh(option, default = "String::from(\"operator\")")]
    operator: String,
    /// only say what would be done
    #[argh(switch)]
    dry_run: bool,
}

/// Take a drained server back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain", example = "mastweir undrain server-7")]
pub struct UndrainArgs {
    /// name of the server in the instance list
    #[argh(positional)]
    server: String,
    /// base address of the object API
    #[argh(option)]
    platform: String,
    /// bearer token for the object API
    #[argh(option, default = "String::new()")]
    token: String,
    /// your name, for other operators
    #[argh(option, default = "String::from(\"operator\")")]
    operator: String,
    /// only say what would be done
    #[argh(switch)]
    dry_run: bool,
}

/// Runs `mastweir drain`, and returns its exit code.
pub async fn exec(args: &DrainArgs) -> eyre::Result<i32> {
    let table = table_options(&args.platform, &args.token, &args.operator, args.dry_run);
    let options = DrainOptions { table, server: &args.server, reason: &args.reason };
    let accepted = drain(&options).await?;
    println!("{} is drained, at version {}", args.server, accepted.version);
    Ok(EXIT_DONE)
}

/// Runs `mastweir undrain`, and returns its exit code.
pub async fn exec_undrain(args: &UndrainArgs) -> eyre::Result<i32> {
    let table = table_options(&args.platform, &args.token, &args.operator, args.dry_run);
    undrain(&DrainOptions { table, server: &args.server, reason: "" }).await?;
    println!("{} is back in service", args.server);
    Ok(EXIT_DONE)
}
