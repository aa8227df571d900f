//! `mastweird sidecar`: runs the sidecar of a model server on the users' platform.

use argh::FromArgs;
use mastweir::ops::gateway::{RunSidecarOptions, run_sidecar};

/// Flags of this role.
pub const FLAGS: [&str; 1] = ["log-level"];

/// Run a sidecar: reports a model server's load, and keeps its group's expert map.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct Args {
    /// least level that is logged: error, warning, info or debug (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

/// Runs a sidecar until SIGTERM.
pub fn exec(args: &Args) -> eyre::Result<()> {
    run_sidecar(&RunSidecarOptions { log_level: &args.log_level })
}
