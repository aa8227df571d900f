//! Stand-ins as programs, to try the daemons by hand.

use argh::FromArgs;
use mastweir_test_support::{
    engine::{Engine, Runs},
    platform::Platform,
};
use std::sync::Arc;

/// Stand-ins for the systems round mastweir.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArgs),
    Engine(EngineArgs),
}

/// Serve an object API that keeps objects in memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// port on loopback (default 7000)
    #[argh(option, default = "7000")]
    port: u16,
}

/// Serve a model engine and plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// port on loopback (default 9000)
    #[argh(option, default = "9000")]
    port: u16,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let served = match args.command {
        Command::Platform(args) => Platform::new().serve(args.port).await?,
        Command::Engine(args) => {
            let engine = Engine::new(Arc::<Runs>::default(), 64, None);
            engine.serve(args.port).await?
        }
    };
    println!("serves at {}", served.url());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
