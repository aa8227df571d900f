//! The world of a run: the real programs as processes, and stand-ins for the rest.

use crate::{
    callers::Balancer,
    ledger::{CUSTOMER, Ledger},
    plan::Sizes,
    servers::{SLOTS, Server},
};
use eyre::WrapErr;
use mastweir_test_support::{
    Served,
    daemons::Process,
    doors::Door,
    lockstep::{EXPERTS, LockStep, PLACES, SETS},
    platform::{Copy, Platform},
    proxy::{Faults, Proxy},
    scripted::Scripted,
    site::{HOST, KEY, free_ports},
};
use serde_json::{Value, json};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// Ranks of a group, groups, servers of the plain service, and gateways.
pub const SIZES: Sizes = Sizes { gateways: 3, models: 6, plain: 2, groups: 2 };
/// Retries: a part of the requests, and an extra on top, in a window.
pub const RETRY_RATIO: f64 = 0.2;
/// See [`RETRY_RATIO`].
pub const RETRY_EXTRA: f64 = 40.0;
/// See [`RETRY_RATIO`], in seconds.
pub const RETRY_WINDOW_S: u64 = 10;

/// A server that ended is back by then.
const RESTARTS_IN: Duration = Duration::from_millis(1_500);

/// What others wrote since the copy from which the store came back, they write again within
/// this time; entries of servers that ended go behind three heartbeats.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2_000);
const LAPSES_IN: Duration = Duration::from_millis(3_600);

/// Worlds of one process have addresses of their own.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// A process of ours that can be started again.
#[derive(Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The way to the store.
    pub store: Proxy,
    role: &'static str,
    settings: PathBuf,
    /// The process, while it runs.
    pub process: Option<Process>,
}

/// A server, and the proxy before it.
#[derive(Debug)]
pub struct Place {
    /// The server.
    pub server: Arc<Server>,
    /// The proxy, at the address that the store lists.
    pub proxy: Proxy,
    scripted: Scripted,
}

impl Place {
    /// The server writes nothing from now on, or goes on with everything.
    pub fn set_silent(&self, silent: bool) {
        self.server.set_silent(silent);
        self.scripted.set_silent(silent);
    }
}

/// All of it.
#[derive(Debug)]
pub struct World {
    /// The store's objects.
    pub platform: Arc<Platform>,
    /// Gateways.
    pub gateways: Vec<Member>,
    /// Sidecars, in the order of the model servers.
    pub sidecars: Vec<Member>,
    /// Model servers, then those of the plain service.
    pub places: Vec<Place>,
    /// Groups of model servers.
    pub groups: Vec<Arc<LockStep>>,
    /// Addresses of the gateways.
    pub balancer: Arc<Balancer>,
    /// Addresses of the gateways, for callers and for readiness.
    pub doors: Vec<(SocketAddr, SocketAddr)>,
    /// The store's last copy.
    pub copied: Copy,
    ledger: Arc<Ledger>,
    version: u64,
    /// The configuration that was written last.
    configured: Arc<Mutex<Value>>,
    program: PathBuf,
    folder: PathBuf,
    _store: (Arc<Door>, Served),
}

impl World {
    /// Starts everything; what the processes write goes to files in `folder`.
    ///
    /// # Errors
    ///
    /// A process does not start, or an address is taken.
    pub async fn start(program: &Path, folder: &Path, ledger: &Arc<Ledger>) -> eyre::Result<Self> {
        // Of an earlier run with the same seed, if there was one.
        let _ = fs::remove_dir_all(folder);
        fs::create_dir_all(folder).wrap_err_with(|| format!("creating {}", folder.display()))?;
        let platform = Platform::new();
        let store = Door::open(&platform).await?;
        let ips = addresses()?;
        let ports = free_ports(&ips, 4)?;
        let at = |number: usize, port: usize| SocketAddr::new(ips[number], ports[port]);
        let doors: Vec<(SocketAddr, SocketAddr)> =
            (0..SIZES.gateways).map(|number| (at(number, 1), at(number, 2))).collect();
        let size = u32::try_from(SIZES.models / SIZES.groups)?;
        let groups = (0..SIZES.groups).map(|number| LockStep::start(&format!("g{number}"), size));
        let mut world = Self {
            copied: platform.copy(),
            configured: Arc::default(),
            platform,
            gateways: Vec::new(),
            sidecars: Vec::new(),
            places: Vec::new(),
            groups: groups.collect(),
            balancer: Arc::new(Balancer::new(doors.clone())),
            doors,
            ledger: ledger.clone(),
            version: 0,
            program: program.to_owned(),
            folder: folder.to_owned(),
            _store: store,
        };
        for number in 0..SIZES.models + SIZES.plain {
            world.add_place(number, at(SIZES.gateways + number, 3), ledger).await?;
        }
        world.configure();
        world.add_members(&ips, ports[0]).await?;
        let count = world.gateways.len() + world.sidecars.len();
        (0..count).try_for_each(|number| world.run(number))?;
        Ok(world)
    }

    async fn add_members(&mut self, ips: &[IpAddr], port: u16) -> eyre::Result<()> {
        let seeds: Vec<String> =
            self.doors.iter().map(|(callers, _)| callers.to_string()).collect();
        for (number, (callers, ready)) in self.doors.clone().into_iter().enumerate() {
            let listen = format!("listen = {{ front = \"{callers}\", ready = \"{ready}\" }}");
            let member = self.member(number, "gateway", ips[number], port, &seeds, &listen);
            let member = member.await?;
            self.gateways.push(member);
        }
        for number in 0..SIZES.models {
            let app = format!("app = \"{}\"", self.places[number].proxy.tcp);
            let ip = ips[SIZES.gateways + number];
            let member = self.member(number, "sidecar", ip, port, &seeds, &app).await?;
            self.sidecars.push(member);
        }
        Ok(())
    }

    async fn add_place(
        &mut self,
        number: usize,
        address: SocketAddr,
        ledger: &Arc<Ledger>,
    ) -> eyre::Result<()> {
        let rank = number % (SIZES.models / SIZES.groups);
        let seat = SIZES.group_of(number).map(|group| (self.groups[group].clone(), rank));
        let (server, scripted) = Server::start(number, seat, ledger.clone()).await?;
        let seed = u64::try_from(number).unwrap_or(0);
        let proxy = Proxy::start_at(address, scripted.addr, scripted.addr, seed).await?;
        tokio::spawn(restart(
            server.clone(),
            proxy.faults.clone(),
            proxy.tcp,
            self.platform.clone(),
            ledger.clone(),
        ));
        self.places.push(Place { server, proxy, scripted });
        self.list(number, "ready");
        Ok(())
    }

    async fn member(
        &self,
        number: usize,
        role: &'static str,
        ip: IpAddr,
        port: u16,
        seeds: &[String],
        more: &str,
    ) -> eyre::Result<Member> {
        let name = format!("{role}-{number}");
        let door = self._store.1.addr;
        let store = Proxy::start(door, door, 0).await?;
        let text = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"hall-{}\"\nregion = \"one\"\n\
             internal_ports = [{port}, {port}]\nseeds = {seeds:?}\n{more}\n[bounds]\n\
             drain_ms = 2000\ngrace_s = 4\nretry_budget_ratio = {RETRY_RATIO}\n\
             budget_window_s = {RETRY_WINDOW_S}\nretry_budget_extra = {RETRY_EXTRA}\n\
             [platform]\naddress = \"{}\"\n",
            number % 2,
            store.tcp,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Member { name, store, role, settings, process: None })
    }

    /// A gateway may have forgotten what servers asked of it.
    pub fn excuse(&self, number: usize) {
        let Some((gateway, _)) = self.doors.get(number) else { return };
        self.places.iter().for_each(|place| place.server.excuse(*gateway));
        self.disturb(number);
    }

    /// A gateway may not be in touch with the others for a while.
    pub fn disturb(&self, number: usize) {
        if let Some((gateway, _)) = self.doors.get(number) {
            self.ledger.disturbed(*gateway);
        }
    }

    /// The gateway or, behind them, the sidecar of a number.
    pub fn at(&mut self, number: usize) -> &mut Member {
        let gateways = self.gateways.len();
        match number.checked_sub(gateways) {
            None => &mut self.gateways[number],
            Some(sidecar) => &mut self.sidecars[sidecar],
        }
    }

    /// Starts a process, or starts it again.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn run(&mut self, number: usize) -> eyre::Result<()> {
        let (program, folder) = (self.program.clone(), self.folder.clone());
        let member = self.at(number);
        let log = folder.join(format!("{}.log", member.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg(member.role).env("MASTWEIR_SETTINGS", &member.settings);
        member.process = Some(Process::start(&mut command, log)?);
        Ok(())
    }

    /// Writes the settings of a process anew, with a line that changes nothing.
    ///
    /// # Errors
    ///
    /// They can't be written.
    pub fn touch_settings(&mut self, number: usize) -> eyre::Result<()> {
        let settings = self.at(number).settings.clone();
        let text = fs::read_to_string(&settings)? + "# changed\n";
        Ok(fs::write(&settings, text)?)
    }

    /// Writes the list's entry of a server's present life.
    pub fn list(&self, number: usize, state: &str) {
        let place = &self.places[number];
        list(&self.platform, &place.server, place.proxy.tcp, state);
    }

    /// Takes a life off the list.
    pub fn unlist(&self, id: &str) {
        self.platform.remove("servers", id);
    }

    /// Writes a newer configuration: one route comes, and the one before it goes.
    pub fn configure(&mut self) -> u64 {
        self.version += 1;
        let mut routes = vec![
            route("/safe/", "safe", "desk"),
            route("/once/", "unsafe", "desk"),
            route("/stream/", "streaming", "model"),
        ];
        routes.push(route(&format!("/version-{}/", self.version), "safe", "desk"));
        let engine = json!({ "slots": SLOTS, "sets": SETS, "experts": EXPERTS, "places": PLACES,
            "spare_slots": 2, "expert_mb": 100.0, "link_mbps": 80_000.0 });
        let spec = json!({
            "version": self.version,
            "routes": routes,
            "services": [
                { "name": "desk", "health_path": "/healthz", "max_connections": 50 },
                { "name": "model", "health_path": "/healthz", "max_connections": 50,
                    "engine": engine },
            ],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
            "tenants": [{ "name": CUSTOMER, "api_keys": [KEY] }],
        });
        let mut configured = self.configured.lock().unwrap_or_else(PoisonError::into_inner);
        *configured = json!({ "spec": spec });
        self.platform.put("config", "main", configured.clone());
        self.version
    }

    /// The store comes back as it was at its last copy. Servers and the operator write again
    /// what they wrote since; what ours wrote is gone.
    pub fn come_back(&self) {
        self.platform.restore(self.copied.clone());
        self.platform.set_down(false);
        let servers = self.places.iter().map(|place| (place.server.clone(), place.proxy.tcp));
        let (platform, configured) = (self.platform.clone(), self.configured.clone());
        tokio::spawn(write_again(platform, servers.collect(), configured));
    }
}

/// Servers write themselves one behind the other, the operator in the middle of them.
async fn write_again(
    platform: Arc<Platform>,
    servers: Vec<(Arc<Server>, SocketAddr)>,
    configured: Arc<Mutex<Value>>,
) {
    let pause = WRITTEN_AGAIN / u32::try_from(servers.len()).unwrap_or(u32::MAX);
    for (number, (server, address)) in servers.iter().enumerate() {
        time::sleep(pause).await;
        list(&platform, server, *address, server.state());
        if number == servers.len() / 2 {
            // Held, so that a newer one does not come between.
            let configured = configured.lock().unwrap_or_else(PoisonError::into_inner);
            platform.put("config", "main", configured.clone());
        }
    }
    time::sleep(LAPSES_IN).await;
    let live: Vec<String> = servers.iter().map(|(server, _)| server.id()).collect();
    let ended = platform.names("servers").into_iter().filter(|name| !live.contains(name));
    ended.for_each(|name| platform.remove("servers", &name));
}

/// Writes the list's entry of a server's present life.
fn list(platform: &Platform, server: &Server, address: SocketAddr, state: &str) {
    let number = server.number;
    let service = if number < SIZES.models { "model" } else { "desk" };
    let spec = json!({ "service": service, "address": address.to_string(),
        "zone": format!("hall-{}", number % 2), "version": "v1", "slots": SLOTS,
        "state": state, "warmup_left_ms": 0, "seq": 1 });
    platform.put("servers", &server.id(), json!({ "spec": spec }));
}

/// The group of a server that ends or begins stands still, and forms anew.
fn break_up(server: &Server) {
    if let Some((group, _)) = &server.seat {
        group.break_up();
    }
}

/// Each time that a server ends, closes its port, and begins its next life a little later.
async fn restart(
    server: Arc<Server>,
    faults: Arc<Faults>,
    address: SocketAddr,
    platform: Arc<Platform>,
    ledger: Arc<Ledger>,
) {
    loop {
        server.ends.notified().await;
        ledger.broke_off(server.number);
        faults.ended.store(true, Ordering::SeqCst);
        break_up(&server);
        time::sleep(RESTARTS_IN).await;
        platform.remove("servers", &server.id());
        server.begin_anew();
        ledger.broke_off(server.number);
        break_up(&server);
        faults.ended.store(false, Ordering::SeqCst);
        list(&platform, &server, address, "ready");
    }
}

/// Addresses of gateways, then of servers, in a block of this world's own.
fn addresses() -> eyre::Result<Vec<IpAddr>> {
    let block = NEXT.fetch_add(1, Ordering::Relaxed);
    let own = u8::try_from(std::process::id() % 200)? + 30;
    let ip = |number| IpAddr::V4(Ipv4Addr::new(127, own, block, number));
    let count = u8::try_from(SIZES.gateways + SIZES.models + SIZES.plain)?;
    Ok((1..=count).map(ip).collect())
}

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({ "name": prefix, "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 4_000, "target_latency_ms": 400, "priority": 1, "service": service,
        "max_attempts": 2, "public": false, "stream_resume": true, "gap_aim_ms": 120 })
}
