//! `mastweird agent`: runs an agent, which queues requests for a server's engine.

use argh::FromArgs;
use mastweir::ops::daemon::{CommonOptions, RunAgentOptions, run_agent};

/// Flags of this role besides the common ones.
pub const FLAGS: [&str; 6] = ["listen", "engine", "services", "slots", "queue", "group"];

/// Run the agent in a server's slot: queues requests and runs them there.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct Args {
    /// name of this server in the platform's list
    #[argh(option)]
    name: String,
    /// data hall of this server
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
    /// address for entries, TCP and UDP (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// base address of the engine or plain service, as in http://127.0.0.1:9000
    #[argh(option)]
    engine: String,
    /// services that it serves, separated by commas
    #[argh(option)]
    services: String,
    /// requests that run in the engine at once (default 16)
    #[argh(option, default = "16")]
    slots: u16,
    /// requests that wait at most (default 256)
    #[argh(option, default = "256")]
    queue: usize,
    /// part of a rank group, as NAME:FIRST:RANKS:OF, say g1:0:2:32
    #[argh(option)]
    group: Option<String>,
    /// seconds that requests have at a planned stop (default 60)
    #[argh(option, default = "60")]
    grace_s: u64,
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

/// Runs an agent until SIGTERM or SIGINT.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    run_agent(&RunAgentOptions {
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
        engine: &args.engine,
        services: &args.services,
        slots: args.slots,
        queue: args.queue,
        group: args.group.as_deref(),
    })
    .await
}
