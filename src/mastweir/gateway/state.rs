//! The state of a gateway, shared by the tasks of its process.
//!
//! All tasks run on one thread, so the state is held in cells. Besides the state itself there are
//! only short methods here: adopting a newer configuration or list of servers, readiness, choice of
//! a server, and the retry budget.

use super::{
    log_once::LoggedOnce, memory::Buffers, message::CoordinatorSeen, pending_probes::PendingProbes,
    permit_state::PermitState, service_outages, settings::Settings, waiting::WaitState,
};
use crate::{
    net::http::Pool,
    platform::store::Store,
    util::{clock::Clock, prometheus::MetricsRegistry},
};
use mastweir_core::{
    gateway::{
        AcceptLimit, Candidate, Config, Directory, EvacuationList, Fingerprint, Fleet,
        OutageTracker, PassLimitChange, PeerInfo, Peers, PoisonPrompts, PoisonRequests, RecentRuns,
        Refusal, Requirements, RetryDetector, RetryWindow, Route, RouteIndex, Urgency,
        UrgencyLevel, UrgencyLevels, UrgencyShares, Watchers,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// Longest time after its start that a gateway is not ready because it has not learnt which
/// requests are quarantined, or which configuration the other gateways have. Where it reaches
/// neither the store nor another gateway, nobody can tell it.
const STARTUP_WAIT: Duration = Duration::from_millis(1_000);

/// Parameters of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Settings of the instance; may change while the gateway runs.
    pub settings: watch::Receiver<Settings>,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the platform's balancer checks readiness.
    pub ready_addr: SocketAddr,
    /// Port for metrics, on the instance's address; `None` serves no metrics.
    pub metrics_port: Option<u16>,
    /// Byte budget for the bodies of requests and answers.
    pub buffer_bytes: u64,
    /// Files that the process may have open; `None` for any number.
    pub open_files: Option<u64>,
    /// Seed of random choices; `None` takes it from the operating system.
    pub seed: Option<u64>,
    pub clock: Clock,
    pub log: Logger,
}

/// The configuration in force, with its index.
#[derive(Debug)]
pub struct ActiveConfig {
    pub config: Config,
    /// Routes by host and path prefix.
    pub index: RouteIndex,
    /// Urgencies of the requests of each service.
    pub levels: UrgencyLevels,
}

impl ActiveConfig {
    /// Returns the rank of a customer's request on a route among the urgencies of its service.
    pub fn level(&self, service: &str, customer: Option<&str>, route: &Route) -> UrgencyLevel {
        let priorities = &self.config.customer_priorities;
        let own = customer.and_then(|name| priorities.get(name)).copied();
        self.levels.level(service, Urgency::new(own, route.priority))
    }

    /// Returns the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.index.find(host, path).map(|route_index| &self.config.routes[route_index])
    }
}

/// The state of a gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of the instance; may change while the gateway runs.
    pub settings: watch::Receiver<Settings>,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: MetricsRegistry,
    /// Client of the platform's store.
    pub store: Store,
    /// Notifies watches of the store after an outage.
    pub outages: Notify,
    /// Connections to servers.
    pub server_pool: Pool,
    /// Connections to other gateways.
    pub internal_pool: Pool,
    pub fleet: RefCell<Fleet>,
    /// Outages of services.
    pub service_outages: RefCell<OutageTracker>,
    /// Shares of urgency levels in recent requests.
    pub urgency_shares: RefCell<UrgencyShares>,
    /// Source of random choices.
    pub rng: RefCell<SmallRng>,
    /// The other gateways.
    pub gateways: RefCell<Peers>,
    /// Coordinators by group, and when each was last heard from.
    pub coordinators: RefCell<HashMap<String, (CoordinatorSeen, Uptime)>>,
    /// Whether this gateway is a relay of its hall.
    pub is_relay: Cell<bool>,
    /// Whether this gateway watches the store.
    pub is_watcher: watch::Sender<bool>,
    /// Watches of the store in this gateway's hall.
    pub watchers: RefCell<Watchers>,
    /// Notifies waiting requests of reports on servers, answers on permits and ended requests.
    pub server_changes: Notify,
    /// Requests under which servers crashed.
    pub suspects: RefCell<PoisonRequests>,
    /// Parts of prompts under which servers crashed.
    pub prompts: RefCell<PoisonPrompts>,
    /// Answers that servers began lately.
    pub runs: RefCell<RecentRuns>,
    /// Notifies requests of changes to `prompts`.
    pub prompt_changes: Notify,
    /// Whether a malformed prompt header was logged.
    pub malformed_prompt: Cell<bool>,
    /// Whether the list of quarantined requests was received.
    pub has_quarantines: Cell<bool>,
    /// Highest version of a configuration that another gateway reported; `None` before the first
    /// report.
    pub peer_config: Cell<Option<u64>>,
    /// Servers that are probed for a crash.
    pub pending_probes: PendingProbes,
    /// Servers whose invalid rate limit was logged.
    pub invalid_limits: LoggedOnce,
    /// Permits for rate-limited servers.
    pub permits: PermitState,
    /// Requests that wait for a server.
    pub waiting: WaitState,
    pub retry_detector: RefCell<RetryDetector>,
    /// Bodies of requests and answers.
    pub buffers: Buffers,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Part of new connections that is refused.
    pub accept_limit: Cell<AcceptLimit>,
    /// Number of connections of callers.
    pub connections: Cell<usize>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Whether a planned stop is about to cut the callers' connections.
    pub ending: watch::Sender<bool>,
    active: RefCell<Option<Rc<ActiveConfig>>>,
    retries: RefCell<HashMap<String, RetryWindow>>,
}

impl Gateway {
    /// Returns the state at the start, without a configuration or servers.
    pub fn new(options: &GatewayOptions) -> Self {
        let settings = options.settings.borrow().clone();
        let seeded_rng = options.seed.map(SmallRng::seed_from_u64);
        let mut rng = seeded_rng.unwrap_or_else(SmallRng::from_os_rng);
        let first_number = rng.random();
        let own = PeerInfo { ip: settings.ip, hall: settings.hall.clone(), power: settings.power };
        let name = Fingerprint::of_instance(&settings.name);
        Self {
            clock: options.clock.clone(),
            log: options.log.new(slog::o!("instance" => settings.name.clone())),
            metrics: MetricsRegistry::default(),
            store: Store::new(settings.store_addr, Rc::new(Pool::default())),
            outages: Notify::new(),
            server_pool: Pool::default(),
            internal_pool: Pool::default(),
            fleet: RefCell::new(
                Fleet::new(&settings.hall)
                    .with_ip(settings.ip)
                    .with_regions(settings.regions.clone()),
            ),
            service_outages: RefCell::default(),
            urgency_shares: RefCell::default(),
            rng: RefCell::new(rng),
            gateways: RefCell::new(Peers::new(own.clone())),
            coordinators: RefCell::default(),
            is_relay: Cell::new(false),
            is_watcher: watch::Sender::new(false),
            watchers: RefCell::new(Watchers::new(own)),
            server_changes: Notify::new(),
            suspects: RefCell::new(PoisonRequests::new(name)),
            prompts: RefCell::new(PoisonPrompts::new(name)),
            runs: RefCell::default(),
            prompt_changes: Notify::new(),
            malformed_prompt: Cell::new(false),
            has_quarantines: Cell::new(false),
            peer_config: Cell::new(None),
            pending_probes: PendingProbes::default(),
            invalid_limits: LoggedOnce::default(),
            permits: PermitState::new(settings.ip, first_number),
            waiting: WaitState::default(),
            retry_detector: RefCell::default(),
            buffers: Buffers::new(options.buffer_bytes, options.clock.clone()),
            in_flight: Cell::new(0),
            accept_limit: Cell::default(),
            connections: Cell::new(0),
            stopping: Cell::new(false),
            ending: watch::Sender::new(false),
            active: RefCell::default(),
            retries: RefCell::default(),
            settings: options.settings.clone(),
        }
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<Rc<ActiveConfig>> {
        self.active.borrow().clone()
    }

    /// Runs a future until a planned stop is about to cut the callers' connections. Returns `None` in
    /// that case.
    pub async fn unless_ending<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut ending = self.ending.subscribe();
        tokio::select! {
            biased;
            value = future => Some(value),
            _ = ending.wait_for(|is_ending| *is_ending) => None,
        }
    }

    /// Returns the version of the configuration in force; zero without one.
    pub fn version(&self) -> u64 {
        self.active.borrow().as_ref().map_or(0, |active| active.config.version)
    }

    /// Returns whether the platform's balancer may send callers to this gateway.
    pub fn is_ready(&self) -> bool {
        let has_servers = self.fleet.borrow().directory().revision.is_some();
        let has_lists = self.version() > 0 && has_servers && self.knows_evacuations();
        let is_starting = self.clock.now().since(Uptime::default()) < STARTUP_WAIT;
        // A store that was restored from an older copy may return an older version than other
        // gateways have.
        let is_old = self.peer_config.get().is_none_or(|latest| self.version() < latest);
        let is_behind = is_starting && (!self.has_quarantines.get() || is_old);
        has_lists && !is_behind && !self.stopping.get()
    }

    /// Returns whether the evacuated halls are known, where operators may evacuate any.
    pub fn knows_evacuations(&self) -> bool {
        let has_evacuations = self.settings.borrow().has_evacuations;
        !has_evacuations || self.fleet.borrow().evacuations().revision.is_some()
    }

    /// Adopts a configuration if it is newer. `from` is its source, for the log.
    pub fn adopt_config(&self, config: Config, from: &str) {
        if config.version <= self.version() {
            return;
        }
        info!(self.log, "configuration adopted"; "version" => config.version, "before" => self.version(),
            "routes" => config.routes.len(), "from" => from);
        let rates = config.services.iter().filter(|(_, service)| service.warmup_per_s > 0.0);
        let rates = rates.map(|(name, service)| (name.clone(), service.warmup_per_s));
        self.fleet.borrow_mut().set_warmup_rates(rates.collect());
        let models = config.services.iter().filter_map(|(name, service)| {
            service.model.as_ref().map(|model| (name.clone(), model.pass))
        });
        let unusable = self.fleet.borrow_mut().set_pass_costs(models.collect());
        if !unusable.is_empty() {
            warn!(self.log, "no pass limit; give step and request times above zero"; "version" => config.version,
                "services" => unusable.join(","));
        }
        if !config.invalid_priorities.is_empty() {
            warn!(self.log, "invalid priorities; give whole numbers from 0 to 9"; "version" => config.version,
                "routes_and_customers" => config.invalid_priorities.join(","));
        }
        let (index, levels) = (RouteIndex::new(&config), UrgencyLevels::new(&config));
        *self.active.borrow_mut() = Some(Rc::new(ActiveConfig { config, index, levels }));
    }

    /// Adopts a complete list of servers if it is newer. A list from right after an outage of the
    /// store may lack running servers.
    pub fn adopt_complete(&self, directory: Directory, after_outage: bool, from: &str) {
        if self.adopt(directory, after_outage, from) {
            self.fleet.borrow_mut().forget_removals();
        }
    }

    /// Adopts a list of servers that results from changes to the previous one, if it is newer.
    /// `removed` are the servers that the changes remove.
    pub fn adopt_changes(
        &self,
        directory: Directory,
        removed: &[String],
        after_outage: bool,
        from: &str,
    ) {
        let revision = directory.revision;
        if self.adopt(directory, after_outage, from) {
            self.fleet.borrow_mut().record_removed(removed, revision);
        }
    }

    fn adopt(&self, directory: Directory, after_outage: bool, from: &str) -> bool {
        let now = self.clock.now();
        let before = self.fleet.borrow().directory().revision;
        let drain_time = self.settings.borrow().bounds.drain;
        self.fleet.borrow_mut().set_drain_time(drain_time);
        let is_newer = self.fleet.borrow_mut().replace(directory, after_outage, now);
        if is_newer {
            let fleet = self.fleet.borrow();
            let Directory { revision, servers, expired } = fleet.directory();
            info!(self.log, "servers adopted"; "revision" => %revision, "before" => %before,
                "servers" => servers.len(), "lapsed" => expired.len(), "from" => from,
                "confirmed_ms" => now.since(fleet.list_confirmed()).as_millis() as u64);
        }
        is_newer
    }

    /// Adopts a list of evacuated halls if it is newer. `from` is its source, for the log.
    pub fn adopt_evacuations(&self, list: EvacuationList, from: &str) {
        let now = self.clock.now();
        let mut fleet = self.fleet.borrow_mut();
        let before = fleet.evacuations().clone();
        if !fleet.replace_evacuations(list, now) || fleet.evacuations().halls == before.halls {
            return;
        }
        let EvacuationList { revision, halls } = fleet.evacuations();
        let names = |halls: &BTreeSet<String>| Vec::from_iter(halls.iter().cloned()).join(",");
        info!(self.log, "evacuations changed"; "revision" => %revision, "from" => from,
            "before" => names(&before.halls), "now" => names(halls));
        self.metrics.count("evacuation_changes_total", "adopted");
    }

    /// Drops servers whose entries expired during an outage of the store and did not reappear.
    pub fn drop_expired(&self) {
        for server in self.fleet.borrow_mut().drop_expired(self.clock.now()) {
            info!(self.log, "expired server dropped"; "server" => server);
        }
    }

    /// Chooses a server that meets the requirements of a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] says why there is no such server.
    pub fn choose(&self, requirements: Requirements<'_>) -> Result<Candidate, Refusal> {
        let now = self.clock.now();
        let chosen = self.fleet.borrow().choose(requirements, now, &mut *self.rng.borrow_mut());
        service_outages::record(self, requirements.service, chosen.as_ref().err().copied(), now);
        self.log_limit_changes();
        chosen
    }

    fn log_limit_changes(&self) {
        for change in self.fleet.borrow().take_limit_changes() {
            let PassLimitChange { service, gap_ms, binds, limit, load, factor } = change;
            let event = if binds { "pass limit binds" } else { "pass limit ended" };
            info!(self.log, "{}", event; "service" => service, "gap_ms" => gap_ms, "limit" => limit,
                "load" => load, "pass_factor" => factor, "config" => self.version());
        }
    }

    /// Counts a request of a service towards its retry budget.
    pub fn count_request(&self, service: &str) {
        let now = self.clock.now();
        self.with_window(service, |window| window.record_request(now));
    }

    /// Takes a retry from the budget of a service. Returns whether one was left.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let others = self.gateways.borrow().max_known() as usize - 1;
        self.with_window(service, |window| window.try_take(now, others))
    }

    fn with_window<T>(&self, service: &str, act: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut retries = self.retries.borrow_mut();
        if let Some(window) = retries.get_mut(service) {
            return act(window);
        }
        let bounds = self.settings.borrow().bounds;
        let window = RetryWindow::new(bounds.retry_window, bounds.retry_ratio, bounds.retry_extra);
        act(retries.entry(service.to_owned()).or_insert(window))
    }

    /// Returns the internal address of another process of mastweir.
    pub fn internal_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.borrow().internal_port)
    }
}
