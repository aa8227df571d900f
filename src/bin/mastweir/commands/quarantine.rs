//! `mastweir quarantine`: lists what gateways quarantined, and lifts a quarantine.

use super::EXIT_DONE;
use argh::FromArgs;
use mastweir::ops::quarantine::{QuarantineOptions, lift, list};
use std::net::SocketAddr;

/// Show the requests and prompt parts that gateways keep from servers, or lift a quarantine.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine", example = "mastweir quarantine --store 10.0.0.9:8223")]
pub struct Args {
    /// address of the platform's store
    #[argh(option)]
    store: SocketAddr,
    /// fingerprint of a request or prompt part whose quarantine is lifted
    #[argh(option)]
    lift: Option<String>,
}

/// Runs `mastweir quarantine`, and returns its exit code.
pub async fn exec(args: &Args) -> eyre::Result<i32> {
    let options = QuarantineOptions { store: args.store };
    if let Some(fingerprint) = &args.lift {
        lift(&options, fingerprint).await?;
        println!("{fingerprint} is lifted; gateways follow within 20 s");
        return Ok(EXIT_DONE);
    }
    for quarantined in list(&options).await? {
        println!("{quarantined}");
    }
    Ok(EXIT_DONE)
}
