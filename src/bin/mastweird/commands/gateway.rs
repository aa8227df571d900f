//! `mastweird gateway`: runs a gateway on the users' platform, which forwards callers' requests to
//! model servers.

use argh::FromArgs;
use mastweir::ops::gateway::{RunGatewayOptions, run_gateway};

/// Flags of this role.
pub const FLAGS: [&str; 3] = ["metrics-port", "seed", "log-level"];

/// Run a gateway: passes requests through to servers, as the settings file says.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Args {
    /// port for metrics, on the instance's own address
    #[argh(option)]
    metrics_port: Option<u16>,
    /// seed of random choices (default: drawn)
    #[argh(option)]
    seed: Option<u64>,
    /// least level that is logged: error, warning, info or debug (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

/// Runs a gateway until SIGTERM.
pub fn exec(args: &Args) -> eyre::Result<()> {
    run_gateway(&RunGatewayOptions {
        metrics_port: args.metrics_port,
        seed: args.seed,
        log_level: &args.log_level,
    })
}
