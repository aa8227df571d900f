//! Running a daemon until it is told to stop.

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

/// Settings of every daemon, as they were written.
#[derive(Clone, Copy, Debug)]
pub struct CommonOptions<'a> {
    /// Name in the instance list.
    pub name: &'a str,
    /// Data hall.
    pub hall: &'a str,
    /// Secret of the fleet's processes.
    pub secret: &'a str,
    /// Base address of the object API.
    pub platform: &'a str,
    /// Token for it.
    pub token: &'a str,
    /// Address for other processes.
    pub listen: &'a str,
    /// Address for metrics.
    pub statsd: Option<&'a str>,
    /// Log format.
    pub log: &'a str,
    /// Least level logged.
    pub log_level: &'a str,
    /// Seconds at a planned stop.
    pub grace_s: u64,
}

/// Settings of an entry instance.
#[derive(Clone, Copy, Debug)]
pub struct RunEntryOptions<'a> {
    /// Those of every daemon.
    pub common: CommonOptions<'a>,
    /// Address for callers and operators.
    pub http: &'a str,
    /// Hash of the operators' key.
    pub operator_key_hash: &'a str,
    /// Seed of random choices.
    pub seed: Option<u64>,
}

/// Settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct RunAgentOptions<'a> {
    /// Those of every daemon.
    pub common: CommonOptions<'a>,
    /// Base address of the engine.
    pub engine: &'a str,
    /// Services, separated by commas.
    pub services: &'a str,
    /// Requests that run at once.
    pub slots: u16,
    /// Requests that wait at most.
    pub queue: usize,
    /// Part of a rank group.
    pub group: Option<&'a str>,
}

/// What a daemon prints once it listens, as one line of JSON.
#[derive(Debug, Serialize)]
struct Listening {
    tcp: SocketAddr,
    udp: SocketAddr,
    http: Option<SocketAddr>,
}

/// Runs an entry instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`SettingsError`], or an address can't be used.
pub async fn run_entry(options: &RunEntryOptions<'_>) -> eyre::Result<()> {
    let context = context(&options.common)?;
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
    tell(&Listening { tcp: entry.tcp, udp: entry.udp, http: Some(entry.http) })?;
    wait_for_stop().await?;
    entry.stop().await;
    Ok(())
}

/// Runs an agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`SettingsError`], or an address can't be used.
pub async fn run_agent(options: &RunAgentOptions<'_>) -> eyre::Result<()> {
    let context = context(&options.common)?;
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
            group: options.group.map(group).transpose()?,
            grace: Duration::from_secs(options.common.grace_s),
        },
    )
    .await?;
    tell(&Listening { tcp: agent.tcp, udp: agent.udp, http: None })?;
    wait_for_stop().await?;
    agent.stop().await;
    Ok(())
}

/// Checks the settings of every daemon, and makes its context.
fn context(options: &CommonOptions<'_>) -> eyre::Result<Context> {
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

fn group(text: &str) -> Result<GroupSpec, SettingsError> {
    let bad = || {
        let remedy = "give NAME:FIRST:RANKS:OF, as in g1:0:2:32";
        SettingsError::new("group", text, "is no part of a group", remedy)
    };
    let parts: Vec<&str> = text.split(':').collect();
    let [name, first, ranks, of] = parts[..] else { return Err(bad()) };
    let number = |text: &str| text.parse::<u16>().map_err(|_| bad());
    let (first, ranks, of) = (number(first)?, number(ranks)?, number(of)?);
    let fits = ranks > 0 && first.checked_add(ranks).is_some_and(|end| end <= of);
    if name.is_empty() || !fits {
        return Err(bad());
    }
    Ok(GroupSpec { name: name.to_owned(), first, ranks, of })
}

fn tell(listening: &Listening) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(listening)?);
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
