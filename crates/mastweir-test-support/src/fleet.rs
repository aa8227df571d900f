//! A whole fleet in one process, for examples and tests.

use crate::{
    Served,
    engine::{Engine, Runs},
    platform::Platform,
    ranks::RankGroup,
};
use mastweir::{
    Context, ContextOptions,
    agent::{Agent, AgentOptions},
    entry::{EntryInstance, EntryOptions},
    objects::{Collection, GroupSpec, InstanceRole, InstanceSpec, InstanceState},
    util::log::{self, Format},
};
use mastweir_core::{
    share::Cost,
    table::{Customer, Row, RowKey, RowKind, Service, ServiceKind, hash_key},
};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time;

/// Secret of every test fleet.
pub const SECRET: &str = "a secret for tests only";
/// Operators' key of every test fleet.
pub const OPERATOR_KEY: &str = "operator";
const GRACE: Duration = Duration::from_secs(20);

/// A server and its agent.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// The engine or plain service.
    pub engine: Arc<Engine>,
    /// Where that is served.
    pub served: Served,
    /// The agent; `None` once it was stopped.
    pub agent: Option<Agent>,
}

/// A fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Arc<Platform>,
    /// Where it is served.
    pub served: Served,
    /// What ran.
    pub runs: Arc<Runs>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Agents before engines of a test's own.
    pub agents: Vec<Agent>,
    /// Entries.
    pub entries: Vec<EntryInstance>,
    /// Rank groups.
    pub groups: Vec<Arc<RankGroup>>,
    seed: u64,
}

/// What one server is like.
#[derive(Clone, Debug)]
pub struct ServerOptions<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its hall.
    pub hall: &'a str,
    /// Services that it serves.
    pub services: &'a [&'a str],
    /// Requests at once.
    pub slots: u16,
    /// Requests that wait.
    pub queue: usize,
    /// Part of a rank group.
    pub group: Option<(GroupSpec, Arc<RankGroup>)>,
}

impl<'a> ServerOptions<'a> {
    /// A server of the one model that most tests have, in the north.
    pub const fn assistant(name: &'a str) -> Self {
        Self { name, hall: "north", services: &["assistant"], slots: 4, queue: 16, group: None }
    }
}

impl Fleet {
    /// A fleet with a platform and nothing else.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn new(seed: u64) -> eyre::Result<Self> {
        let platform = Platform::new();
        let served = platform.serve(0).await?;
        Ok(Self {
            platform,
            served,
            runs: Arc::default(),
            servers: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            groups: Vec::new(),
            seed,
        })
    }

    /// Writes a row.
    pub fn row(&self, name: &str, row: &Row) {
        put_row(&self.platform, name, row);
    }

    /// The context of a process named `name`.
    ///
    /// # Errors
    ///
    /// No client can be made.
    pub fn context(&self, name: &str, hall: &str) -> eyre::Result<Context> {
        Context::new(&ContextOptions {
            name: name.to_owned(),
            hall: hall.to_owned(),
            secret: SECRET.parse()?,
            objects_url: self.served.url(),
            api_token: String::new(),
            statsd: None,
            log: log::make(Format::Off, slog_level()),
        })
    }

    /// Adds a server with its agent, and lists it.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn add_server(&mut self, options: &ServerOptions<'_>) -> eyre::Result<()> {
        let slots = usize::from(options.slots);
        let ranks = options.group.as_ref().map(|(_, ranks)| ranks.clone());
        let engine = Engine::new(self.runs.clone(), slots, ranks);
        let served = engine.serve(0).await?;
        let agent = self.start_agent(options, &served.url()).await?;
        let name = options.name.to_owned();
        self.servers.push(Server { name, engine, served, agent: Some(agent) });
        Ok(())
    }

    /// Adds an agent before an engine of the test's own, and lists it.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn add_agent(
        &mut self,
        options: &ServerOptions<'_>,
        engine: &str,
    ) -> eyre::Result<()> {
        let agent = self.start_agent(options, engine).await?;
        self.agents.push(agent);
        Ok(())
    }

    /// Starts an agent before the engine at an address, and lists it.
    async fn start_agent(&self, options: &ServerOptions<'_>, engine: &str) -> eyre::Result<Agent> {
        let group = options.group.as_ref().map(|(spec, _)| spec.clone());
        let services: Vec<String> =
            options.services.iter().map(|service| (*service).to_owned()).collect();
        let agent = Agent::start(
            self.context(options.name, options.hall)?,
            AgentOptions {
                listen: loopback(),
                engine: engine.to_owned(),
                services: services.clone(),
                slots: options.slots,
                queue: options.queue,
                group: group.clone(),
                grace: GRACE,
            },
        )
        .await?;
        let spec = InstanceSpec {
            role: InstanceRole::Server,
            hall: options.hall.to_owned(),
            tcp: agent.tcp,
            udp: agent.udp,
            http: None,
            state: InstanceState::Live,
            services,
            group,
        };
        self.platform.list_instance(options.name, &spec);
        Ok(agent)
    }

    /// Adds an entry, and lists it.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn add_entry(&mut self, name: &str, hall: &str) -> eyre::Result<()> {
        let options = EntryOptions {
            listen: loopback(),
            http: loopback(),
            operator: hash_key(OPERATOR_KEY),
            grace: GRACE,
            seed: Some(self.seed + self.entries.len() as u64),
        };
        let entry = EntryInstance::start(self.context(name, hall)?, options).await?;
        let spec = InstanceSpec {
            role: InstanceRole::Entry,
            hall: hall.to_owned(),
            tcp: entry.tcp,
            udp: entry.udp,
            http: Some(entry.http),
            state: InstanceState::Live,
            services: Vec::new(),
            group: None,
        };
        self.platform.list_instance(name, &spec);
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until all entries are ready and have heard of all servers.
    ///
    /// # Errors
    ///
    /// Some entry never gets there.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let client = reqwest::Client::new();
        for entry in &self.entries {
            wait_informed(&client, entry.http, self.servers.len()).await?;
        }
        Ok(())
    }

    /// Base address of an entry.
    pub fn url(&self, entry: usize) -> String {
        format!("http://{}", self.entries[entry].http)
    }
}

/// Waits until an entry is ready and has heard of `servers` servers.
///
/// # Errors
///
/// It does not get there.
pub async fn wait_informed(
    client: &reqwest::Client,
    entry: SocketAddr,
    servers: usize,
) -> eyre::Result<()> {
    for _ in 0..1_000 {
        let status = client.get(format!("http://{entry}/-/status")).bearer_auth(OPERATOR_KEY);
        if let Ok(response) = status.send().await
            && let Ok(status) = response.json::<mastweir::entry::EntryStatus>().await
        {
            let mut reported: Vec<&str> = status
                .servers
                .iter()
                .filter(|server| server.reported)
                .map(|server| server.name.as_str())
                .collect();
            reported.dedup();
            if status.ready && reported.len() >= servers {
                return Ok(());
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Err(eyre::eyre!("waiting for {entry}: it does not get ready; look at its log"))
}

/// Writes a row into a platform.
pub fn put_row(platform: &Platform, name: &str, row: &Row) {
    let key = RowKey::new(row.kind(), name).to_string();
    let object = json!({"spec": row, "written": {"by": "test", "operation": ""}});
    platform.put(Collection::Rows.as_str(), &key, object);
}

/// Deletes a row from a platform.
pub fn remove_row(platform: &Platform, kind: RowKind, name: &str) {
    let key = RowKey::new(kind, name).to_string();
    platform.remove(Collection::Rows.as_str(), &key);
}

/// A customer whose key is its name.
pub fn customer(name: &str, weight: f64) -> Row {
    Row::Customer(Customer {
        weight,
        inflight: 10_000,
        units_s: 10_000_000,
        burst: 10_000_000,
        queue: 10_000,
        largest: 1_000_000,
        key_hash: hash_key(name),
    })
}

/// A model service whose calls may be repeated and resumed.
pub fn model() -> Row {
    Row::Service(Service {
        kind: ServiceKind::Model,
        repeatable: true,
        resumable: true,
        class: 0,
        deadline_ms: 20_000,
        cost: Cost::default(),
    })
}

/// A plain service whose calls may not be repeated.
pub fn once() -> Row {
    Row::Service(Service {
        kind: ServiceKind::Plain,
        repeatable: false,
        resumable: false,
        class: 0,
        deadline_ms: 5_000,
        cost: Cost::default(),
    })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn slog_level() -> slog::Level {
    slog::Level::Info
}
