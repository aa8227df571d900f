//! A fleet of real daemons as processes, each behind a fault-injecting proxy;
//! platform and servers are stand-ins in this process.

use crate::{
    Served,
    daemons::Daemon,
    engine::{Engine, Runs},
    fleet::{self, OPERATOR_KEY, SECRET},
    platform::Platform,
    proxy::Proxy,
    ranks::RankGroup,
};
use mastweir::objects::{GroupSpec, InstanceRole, InstanceSpec, InstanceState};
use mastweir_core::table::{Row, hash_key};
use reqwest::Client;
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// A daemon and the proxy before it.
#[derive(Debug)]
pub struct Behind {
    /// Its name.
    pub name: String,
    /// The daemon.
    pub daemon: Daemon,
    /// The proxy that others reach it through.
    pub proxy: Proxy,
    /// How it was started, to start it anew.
    args: Vec<String>,
    spec: InstanceSpec,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// The engine or plain service.
    pub engine: Arc<Engine>,
    /// Where it is served.
    pub served: Served,
    /// Its agent.
    pub agent: Behind,
}

/// The fleet.
#[derive(Debug)]
pub struct Processes {
    /// The platform.
    pub platform: Arc<Platform>,
    /// Where it is served.
    pub served: Served,
    /// What ran.
    pub runs: Arc<Runs>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Entries.
    pub entries: Vec<Behind>,
    /// A rank group over all servers.
    pub group: Option<Arc<RankGroup>>,
    program: PathBuf,
}

impl Processes {
    /// A platform, and no daemons yet.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn new(program: PathBuf) -> eyre::Result<Self> {
        let platform = Platform::new();
        let served = platform.serve(0).await?;
        Ok(Self {
            platform,
            served,
            runs: Arc::default(),
            servers: Vec::new(),
            entries: Vec::new(),
            group: None,
            program,
        })
    }

    /// Writes a row.
    pub fn row(&self, name: &str, row: &Row) {
        fleet::put_row(&self.platform, name, row);
    }

    /// Adds a server and its agent.
    ///
    /// # Errors
    ///
    /// The agent does not start.
    pub async fn add_server(
        &mut self,
        name: &str,
        hall: &str,
        services: &[&str],
        group: Option<GroupSpec>,
    ) -> eyre::Result<()> {
        let engine = Engine::new(self.runs.clone(), 64, self.group.clone());
        let served = engine.serve(0).await?;
        let mut args = self.common("agent", name, hall);
        args.extend(words(&["--engine", &served.url(), "--services", &services.join(",")]));
        args.extend(words(&["--slots", "16", "--queue", "256"]));
        if let Some(group) = &group {
            let text = format!("{}:{}:{}:{}", group.name, group.first, group.ranks, group.of);
            args.extend(words(&["--group", &text]));
        }
        let spec = InstanceSpec {
            role: InstanceRole::Server,
            hall: hall.to_owned(),
            tcp: unset(),
            udp: unset(),
            http: None,
            state: InstanceState::Live,
            services: services.iter().map(|service| (*service).to_owned()).collect(),
            group,
        };
        let agent = self.start(name, args, spec).await?;
        self.servers.push(Server { engine, served, agent });
        Ok(())
    }

    /// Adds an entry.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn add_entry(&mut self, name: &str, hall: &str) -> eyre::Result<()> {
        let mut args = self.common("entry", name, hall);
        args.extend(words(&["--operator-key-hash", &hash_key(OPERATOR_KEY)]));
        let spec = InstanceSpec {
            role: InstanceRole::Entry,
            hall: hall.to_owned(),
            tcp: unset(),
            udp: unset(),
            http: None,
            state: InstanceState::Live,
            services: Vec::new(),
            group: None,
        };
        let entry = self.start(name, args, spec).await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Waits until all entries are ready and have heard of all servers.
    ///
    /// # Errors
    ///
    /// Some entry never gets there.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let client = Client::new();
        for entry in &self.entries {
            if let Some(http) = entry.daemon.listening.http {
                fleet::wait_informed(&client, http, self.servers.len()).await?;
            }
        }
        Ok(())
    }

    /// Base addresses of the entries.
    pub fn urls(&self) -> Vec<String> {
        let http = self.entries.iter().filter_map(|entry| entry.daemon.listening.http);
        http.map(|addr| format!("http://{addr}")).collect()
    }

    fn common(&self, role: &str, name: &str, hall: &str) -> Vec<String> {
        let platform = self.served.url();
        let args = [
            role,
            "--name",
            name,
            "--hall",
            hall,
            "--secret",
            SECRET,
            "--platform",
            &platform,
            "--log",
            "off",
        ];
        words(&args)
    }

    async fn start(
        &self,
        name: &str,
        args: Vec<String>,
        mut spec: InstanceSpec,
    ) -> eyre::Result<Behind> {
        let daemon = Daemon::start(&self.program, &args)?;
        let seed = name.bytes().map(u64::from).sum();
        let proxy = Proxy::start(daemon.listening.tcp, daemon.listening.udp, seed).await?;
        spec.tcp = proxy.tcp;
        spec.udp = proxy.udp;
        spec.http = daemon.listening.http;
        self.platform.list_instance(name, &spec);
        Ok(Behind { name: name.to_owned(), daemon, proxy, args, spec })
    }

    /// Kills an agent and starts a new one in its slot.
    ///
    /// # Errors
    ///
    /// The new one does not start.
    pub fn restart_agent(&mut self, server: usize) -> eyre::Result<()> {
        let program = self.program.clone();
        self.servers[server].agent.restart(&program)
    }

    /// Kills an entry and starts a new one in its place.
    ///
    /// # Errors
    ///
    /// The new one does not start.
    pub fn restart_entry(&mut self, entry: usize) -> eyre::Result<()> {
        let program = self.program.clone();
        let behind = &mut self.entries[entry];
        behind.restart(&program)?;
        behind.spec.http = behind.daemon.listening.http;
        self.platform.list_instance(&behind.name, &behind.spec);
        Ok(())
    }
}

impl Behind {
    fn restart(&mut self, program: &std::path::Path) -> eyre::Result<()> {
        self.daemon.kill();
        self.daemon = Daemon::start(program, &self.args)?;
        let listening = self.daemon.listening;
        *crate::lock(&self.proxy.target) = (listening.tcp, listening.udp);
        Ok(())
    }
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn unset() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
