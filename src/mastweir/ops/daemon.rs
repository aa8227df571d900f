//! Runs an entry instance or an agent until SIGTERM or SIGINT: checks the settings from the
//! command line, starts the process, prints its addresses and stops it gracefully.

use crate::{
    Context, ContextOptions,
    agent::{Agent, AgentOptions},
    entry::{EntryInstance, EntryOptions},
    net::Secret,
    objects::GroupSpec,
    util::{
        log::{self, Format},
        settings::{SettingsError, addr, base_url},
    },
};
use mastweir_core::table::is_key_hash;
use serde::Serialize;
use std::{net::SocketAddr, str::FromStr, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Unparsed settings common to all daemons.
#[derive(Clone, Copy, Debug)]
pub struct CommonOptions<'a> {
    /// Name in the instance list.
    pub name: &'a str,
    pub hall: &'a str,
    /// Secret that the processes of the fleet share.
    pub secret: &'a str,
    /// Base address of the object API.
    pub platform: &'a str,
    /// Bearer token for the object API.
    pub token: &'a str,
    /// Address on which other processes reach this one.
    pub listen: &'a str,
    /// Address to send StatsD metrics to; `None` sends none.
    pub statsd: Option<&'a str>,
    /// Log format: `text`, `json` or `off`.
    pub log: &'a str,
    /// Lowest level that is logged.
    pub log_level: &'a str,
    /// Seconds for requests in flight to complete at a graceful stop.
    pub grace_s: u64,
}

/// Settings of an entry instance.
#[derive(Clone, Copy, Debug)]
pub struct RunEntryOptions<'a> {
    pub common: CommonOptions<'a>,
    /// HTTP address for callers and operators.
    pub http: &'a str,
    /// BLAKE3 hash of the operators' key, in hexadecimal.
    pub operator_key_hash: &'a str,
    /// Seed of random choices; `None` draws one.
    pub seed: Option<u64>,
}

/// Settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct RunAgentOptions<'a> {
    pub common: CommonOptions<'a>,
    /// Base address of the engine.
    pub engine: &'a str,
    /// Services, separated by commas.
    pub services: &'a str,
    /// Most requests that run at once.
    pub slots: u16,
    /// Most requests that wait.
    pub queue: usize,
    /// Ranks of a group that the server holds, as `NAME:FIRST:RANKS:OF`.
    pub group: Option<&'a str>,
}

/// Addresses that a daemon prints once it listens, as one line of JSON.
#[derive(Debug, Serialize)]
struct ListenAddrs {
    tcp: SocketAddr,
    udp: SocketAddr,
    http: Option<SocketAddr>,
}

/// Runs an entry instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`SettingsError`], or an address that can't be bound.
pub async fn run_entry(options: &RunEntryOptions<'_>) -> eyre::Result<()> {
    let context = new_context(&options.common)?;
    let operator = options.operator_key_hash;
    if !is_key_hash(operator) {
        let remedy = "give the 64 hexadecimal digits that 'mastweir key hash' prints";
        let problem = "is no hash of a key";
        return Err(SettingsError::new("operator-key-hash", operator, problem, remedy).into());
    }
    let entry = EntryInstance::start(
        context,
        EntryOptions {
            listen: addr("listen", options.common.listen)?,
            http: addr("http", options.http)?,
            operator: operator.to_lowercase(),
            grace: Duration::from_secs(options.common.grace_s),
            seed: options.seed,
        },
    )
    .await?;
    print_addrs(&ListenAddrs { tcp: entry.tcp, udp: entry.udp, http: Some(entry.http) })?;
    wait_for_stop().await?;
    entry.stop().await;
    Ok(())
}

/// Runs an agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`SettingsError`], or an address that can't be bound.
pub async fn run_agent(options: &RunAgentOptions<'_>) -> eyre::Result<()> {
    let context = new_context(&options.common)?;
    let services: Vec<String> = options.services.split(',').map(str::to_owned).collect();
    if services.iter().any(String::is_empty) {
        let remedy = "give names separated by commas, as in assistant,desk";
        let problem = "has an empty name";
        return Err(SettingsError::new("services", options.services, problem, remedy).into());
    }
    if options.slots == 0 {
        let remedy = "give the requests that the engine runs at once, say 16";
        return Err(SettingsError::new("slots", "0", "lets nothing run", remedy).into());
    }
    let agent = Agent::start(
        context,
        AgentOptions {
            listen: addr("listen", options.common.listen)?,
            engine: base_url("engine", options.engine)?,
            services,
            slots: options.slots,
            queue: options.queue,
            group: options.group.map(parse_group).transpose()?,
            grace: Duration::from_secs(options.common.grace_s),
        },
    )
    .await?;
    print_addrs(&ListenAddrs { tcp: agent.tcp, udp: agent.udp, http: None })?;
    wait_for_stop().await?;
    agent.stop().await;
    Ok(())
}

/// Checks the common settings, and creates the context of the process.
fn new_context(options: &CommonOptions<'_>) -> eyre::Result<Context> {
    for (flag, value) in [("name", options.name), ("hall", options.hall)] {
        if value.is_empty() || value.len() > 48 {
            let remedy = "give 1 to 48 characters, as in the platform's instance list";
            return Err(SettingsError::new(flag, value, "is no name", remedy).into());
        }
    }
    let format = match options.log {
        "text" => Format::Text,
        "json" => Format::Json,
        "off" => Format::Off,
        other => {
            let remedy = "give text, json or off";
            return Err(SettingsError::new("log", other, "is no format", remedy).into());
        }
    };
    let level = slog::Level::from_str(options.log_level).map_err(|()| {
        let remedy = "give error, warning, info or debug";
        SettingsError::new("log-level", options.log_level, "is no level", remedy)
    })?;
    Context::new(&ContextOptions {
        name: options.name.to_owned(),
        hall: options.hall.to_owned(),
        secret: Secret::from_str(options.secret)?,
        objects_url: base_url("platform", options.platform)?,
        api_token: options.token.to_owned(),
        statsd: options.statsd.map(|text| addr("statsd", text)).transpose()?,
        log: log::make(format, level),
    })
}

fn parse_group(text: &str) -> Result<GroupSpec, SettingsError> {
    let invalid = || {
        let remedy = "give NAME:FIRST:RANKS:OF, as in g1:0:2:32";
        SettingsError::new("group", text, "is no part of a group", remedy)
    };
    let parts: Vec<&str> = text.split(':').collect();
    let [name, first, ranks, of] = parts[..] else { return Err(invalid()) };
    let number = |text: &str| text.parse::<u16>().map_err(|_| invalid());
    let (first, ranks, of) = (number(first)?, number(ranks)?, number(of)?);
    let is_valid = ranks > 0 && first.checked_add(ranks).is_some_and(|end| end <= of);
    if name.is_empty() || !is_valid {
        return Err(invalid());
    }
    Ok(GroupSpec { name: name.to_owned(), first, ranks, of })
}

fn print_addrs(addrs: &ListenAddrs) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(addrs)?);
    Ok(())
}

async fn wait_for_stop() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
