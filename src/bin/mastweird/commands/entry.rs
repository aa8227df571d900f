//! `mastweird entry`: runs an entry instance, which routes callers' requests to agents.

use argh::FromArgs;
use mastweir::ops::daemon::{CommonOptions, RunEntryOptions, run_entry};

/// Flags of this role besides the common ones.
pub const FLAGS: [&str; 4] = ["listen", "http", "operator-key-hash", "seed"];

/// Run an entry instance: takes callers' requests and routes them to servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Args {
    /// name of this instance in the platform's list
    #[argh(option)]
    name: String,
    /// data hall of this instance
    #[argh(option)]
    hall: String,
    /// secret of the fleet's processes, 16 characters or more
    #[argh(option)]
    secret: String,
    /// base address of the object API, as in http://10.0.0.1:7000
    #[argh(option)]
    platform: String,
    /// bearer token for the object API
    #[argh(option, default = "String::new()")]
    token: String,
    /// address for other processes, TCP and UDP (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address for callers and operators (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    http: String,
    /// hash of the operators' key, from 'mastweir key hash'
    #[argh(option)]
    operator_key_hash: String,
    /// seconds that requests have at a planned stop (default 60)
    #[argh(option, default = "60")]
    grace_s: u64,
    /// seed of random choices, for tests
    #[argh(option)]
    seed: Option<u64>,
    /// address for statsd metrics
    #[argh(option)]
    statsd: Option<String>,
    /// log format: text, json or off (default text)
    #[argh(option, default = "String::from(\"text\")")]
    log: String,
    /// least level that is logged: error, warning, info or debug (default info)
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

/// Runs an entry instance until SIGTERM or SIGINT.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    run_entry(&RunEntryOptions {
        common: CommonOptions {
            name: &args.name,
            hall: &args.hall,
            secret: &args.secret,
            platform: &args.platform,
            token: &args.token,
            listen: &args.listen,
            statsd: args.statsd.as_deref(),
            log: &args.log,
            log_level: &args.log_level,
            grace_s: args.grace_s,
        },
        http: &args.http,
        operator_key_hash: &args.operator_key_hash,
        seed: args.seed,
    })
    .await
}
