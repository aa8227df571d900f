//! An installation whose servers crash under some requests, and are replaced.

use eyre::Result;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{Running, Site, route},
};

/// Servers at a time.
const SERVERS: usize = 6;

/// What the servers do with requests.
#[derive(Clone, Copy)]
pub struct Behavior {
    /// Kind of the one route, `/draft/`.
    pub kind: &'static str,
    pub objective_ms: u64,
    /// Returns what a server does with a request on a route of this kind.
    pub script: fn(&Got, &str) -> Vec<Act>,
    /// Returns whether a request crashes servers.
    pub crashes: fn(&Got) -> bool,
}

pub struct CrashWorld {
    pub site: Site,
    pub gateways: Vec<Running>,
    pub servers: Vec<(String, Scripted)>,
    /// Number of servers that crashed.
    pub crashes: usize,
    /// Number of times that a crashed server got a request that crashes servers.
    pub sends: usize,
    behavior: Behavior,
    /// Number of servers started.
    started: usize,
}

impl CrashWorld {
    pub async fn start(gateways: u8, behavior: Behavior) -> Result<Self> {
        let mut world = Self {
            site: Site::new(gateways)?,
            gateways: Vec::new(),
            servers: Vec::new(),
            crashes: 0,
            sends: 0,
            behavior,
            started: 0,
        };
        for _ in 0..SERVERS {
            world.start_server().await?;
        }
        let mut route = route("/draft/", behavior.kind);
        route["target_latency_ms"] = behavior.objective_ms.into();
        world.site.configure(1, &[route]);
        let (_, served) = world.site.door().await?;
        for number in 0..usize::from(gateways) {
            world.gateways.push(world.site.gateway(number, served.addr)?);
        }
        for gateway in &world.gateways {
            gateway.wait_ready().await?;
        }
        Ok(world)
    }

    /// Starts a server under a new id.
    async fn start_server(&mut self) -> Result<()> {
        let id = format!("i-{}", self.started);
        self.started += 1;
        let Behavior { kind, script, .. } = self.behavior;
        let server = Scripted::start(move |got| script(got, kind)).await?;
        self.site.list(&id, &server, "ready");
        self.servers.push((id, server));
        Ok(())
    }

    /// Replaces crashed servers, as the platform does.
    pub async fn restart_crashed(&mut self) -> Result<()> {
        let (crashed, live): (Vec<_>, Vec<_>) =
            self.servers.drain(..).partition(|(_, server)| server.has_ended());
        self.servers = live;
        for (id, server) in crashed {
            self.sends += server.got().iter().filter(|got| (self.behavior.crashes)(got)).count();
            self.crashes += 1;
            self.site.platform.remove("servers", &id);
            self.start_server().await?;
        }
        Ok(())
    }
}
