//! `mastweird gateway`: runs a gateway on the users' platform, which forwards callers' requests to
//! model servers.

use argh::FromArgs;
use mastweir::ops::gateway::{RunGatewayOptions, run_gateway};

/// Flags of this role.
pub const FLAGS: [&str; 4] = ["metrics-port", "buffer-mb", "seed", "log-level"];

/// Run a gateway: passes requests through to servers, as the settings file says.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Args {
    /// port for metrics, on the instance's own address
    #[argh(option)]
    metrics_port: Option<u16>,
    /// memory for bodies of requests and answers, in MB (default: a quarter of the instance's)
    #[argh(option)]
    buffer_mb: Option<u64>,
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
        buffer_mb: args.buffer_mb,
        seed: args.seed,
        log_level: &args.log_level,
    })
}
