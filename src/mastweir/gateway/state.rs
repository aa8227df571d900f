//! What a gateway knows, shared by its tasks on one thread.

use super::{
    log_once::Unread, message::CoordinatorSeen, pending_probes::Looks, permit_state::PermitState,
    settings::Settings,
};
use crate::{
    net::http::Pool,
    platform::store::Store,
    util::{clock::Clock, prometheus::MetricsRegistry},
};
use mastweir_core::{
    gateway::{
        Candidate, Config, Directory, Fleet, PeerInfo, Peers, PoisonRequests, Refusal,
        Requirements, RetryDetector, RetryWindow, Route, RouteIndex,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slog::{Logger, info};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// A gateway that has just started waits this long to hear which requests are quarantined,
/// and from another gateway how far its configuration is, before it calls itself ready
/// without: where it reaches neither the store nor another gateway, nobody can tell it.
const CATCHES_UP: Duration = Duration::from_millis(1_000);

/// What a gateway is made from.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Where it runs; may change.
    pub settings: watch::Receiver<Settings>,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_addr: SocketAddr,
    /// Port for metrics, on its own address.
    pub metrics_port: Option<u16>,
    /// Seed of random choices; drawn if none is given.
    pub seed: Option<u64>,
    /// Its clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

/// A configuration with its index.
#[derive(Debug)]
pub struct Active {
    /// The configuration.
    pub config: Config,
    /// Its routes by host and prefix.
    pub index: RouteIndex,
}

impl Active {
    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.index.find(host, path).map(|number| &self.config.routes[number])
    }
}

/// A gateway's state.
#[derive(Debug)]
pub struct Gateway {
    /// Where it runs; may change.
    pub settings: watch::Receiver<Settings>,
    /// Its clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: MetricsRegistry,
    /// The platform's store.
    pub store: Store,
    /// Tells those who follow the store that it was away.
    pub outages: Notify,
    /// Connections to servers.
    pub server_pool: Pool,
    /// Connections to other processes of mastweir.
    pub internal_pool: Pool,
    /// Servers.
    pub fleet: RefCell<Fleet>,
    /// Randomness of choices.
    pub rng: RefCell<SmallRng>,
    /// The other gateways.
    pub gateways: RefCell<Peers>,
    /// Coordinators of groups, as they were heard of, and when.
    pub coordinators: RefCell<HashMap<String, (CoordinatorSeen, Uptime)>>,
    /// Whether this gateway speaks for its hall.
    pub is_relay: Cell<bool>,
    /// Whether it watches the store.
    pub is_watcher: watch::Sender<bool>,
    /// Tells requests that wait for room: something was heard of servers, or ended there.
    pub server_changes: Notify,
    /// Requests under which servers ended.
    pub suspects: RefCell<PoisonRequests>,
    /// Whether it has heard which requests are quarantined.
    pub has_quarantines: Cell<bool>,
    /// The latest version of a configuration that another gateway said it has, once one was
    /// heard.
    pub peer_config: Cell<Option<u64>>,
    /// Servers that broke requests off, and are looked at.
    pub pending_probes: Looks,
    /// Servers whose limit can't be read.
    pub invalid_limits: Unread,
    /// Tokens for servers that name a limit.
    pub permits: PermitState,
    /// How long callers wait.
    pub retry_detector: RefCell<RetryDetector>,
    /// Requests that are held.
    pub in_flight: Cell<usize>,
    /// Connections of callers.
    pub connections: Cell<usize>,
    /// Whether it was asked to stop.
    pub stopping: Cell<bool>,
    active: RefCell<Option<Rc<Active>>>,
    retries: RefCell<HashMap<String, RetryWindow>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(options: &GatewayOptions) -> Self {
        let settings = options.settings.borrow().clone();
        let seeded = options.seed.map(SmallRng::seed_from_u64);
        let mut rng = seeded.unwrap_or_else(SmallRng::from_os_rng);
        let first = rng.random();
        Self {
            clock: options.clock.clone(),
            log: options.log.new(slog::o!("instance" => settings.name.clone())),
            metrics: MetricsRegistry::default(),
            store: Store::new(settings.store_addr, Rc::new(Pool::default())),
            outages: Notify::new(),
            server_pool: Pool::default(),
            internal_pool: Pool::default(),
            fleet: RefCell::new(Fleet::new(&settings.hall)),
            rng: RefCell::new(rng),
            gateways: RefCell::new(Peers::new(PeerInfo {
                ip: settings.ip,
                hall: settings.hall.clone(),
                power: settings.power,
            })),
            coordinators: RefCell::default(),
            is_relay: Cell::new(false),
            is_watcher: watch::Sender::new(false),
            server_changes: Notify::new(),
            suspects: RefCell::default(),
            has_quarantines: Cell::new(false),
            peer_config: Cell::new(None),
            pending_probes: Looks::default(),
            invalid_limits: Unread::default(),
            permits: PermitState::new(settings.ip, first),
            retry_detector: RefCell::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            stopping: Cell::new(false),
            active: RefCell::default(),
            retries: RefCell::default(),
            settings: options.settings.clone(),
        }
    }

    /// The configuration in force.
    pub fn active(&self) -> Option<Rc<Active>> {
        self.active.borrow().clone()
    }

    /// Its version; zero before there is one.
    pub fn version(&self) -> u64 {
        self.active.borrow().as_ref().map_or(0, |active| active.config.version)
    }

    /// Whether callers may come.
    pub fn is_ready(&self) -> bool {
        let known = self.version() > 0 && self.fleet.borrow().directory().revision.is_some();
        let waits = self.clock.now().since(Uptime::default()) < CATCHES_UP;
        // A store that came back from an older copy may give a version that others know to
        // be old, until its operator writes the newer one again.
        let is_old = self.peer_config.get().is_none_or(|heard| self.version() < heard);
        let is_behind = waits && (!self.has_quarantines.get() || is_old);
        known && !is_behind && !self.stopping.get()
    }

    /// Takes a configuration into force if it is newer.
    pub fn adopt_config(&self, config: Config, from: &str) {
        if config.version <= self.version() {
            return;
        }
        info!(self.log, "configuration adopted"; "version" => config.version, "before" => self.version(),
            "routes" => config.routes.len(), "from" => from);
        let index = RouteIndex::new(&config);
        *self.active.borrow_mut() = Some(Rc::new(Active { config, index }));
    }

    /// Takes a list of servers into force that was read as a whole, if it is newer. Right
    /// behind an outage of the store it may lack some that live.
    pub fn adopt_complete(&self, directory: Directory, after_outage: bool, from: &str) {
        if self.adopt(directory, after_outage, from) {
            self.fleet.borrow_mut().forget_removals();
        }
    }

    /// Takes a list of servers into force that changes made of the one before, if it is
    /// newer. `gone` are those that the changes name as gone.
    pub fn adopt_changes(
        &self,
        directory: Directory,
        gone: &[String],
        after_outage: bool,
        from: &str,
    ) {
        let revision = directory.revision;
        if self.adopt(directory, after_outage, from) {
            self.fleet.borrow_mut().record_removed(gone, revision);
        }
    }

    fn adopt(&self, directory: Directory, after_outage: bool, from: &str) -> bool {
        let before = self.fleet.borrow().directory().revision;
        let is_newer = self.fleet.borrow_mut().replace(directory, after_outage, self.clock.now());
        if is_newer {
            let fleet = self.fleet.borrow();
            let Directory { revision, servers, expired: lapsed } = fleet.directory();
            info!(self.log, "servers adopted"; "revision" => %revision, "before" => %before,
                "servers" => servers.len(), "lapsed" => lapsed.len(), "from" => from);
        }
        is_newer
    }

    /// Drops servers that lapsed in an outage of the store and did not come back.
    pub fn drop_expired(&self) {
        for server in self.fleet.borrow_mut().drop_expired(self.clock.now()) {
            info!(self.log, "lapsed server dropped"; "server" => server);
        }
    }

    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] says why there is none.
    pub fn choose(&self, needs: Requirements<'_>) -> Result<Candidate, Refusal> {
        let mut rng = self.rng.borrow_mut();
        self.fleet.borrow().choose(needs, self.clock.now(), &mut *rng)
    }

    /// Counts a request of a service.
    pub fn count_request(&self, service: &str) {
        let now = self.clock.now();
        self.window(service, |window| window.record_request(now));
    }

    /// Takes a retry out of the service's budget.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let others = self.gateways.borrow().max_known() as usize - 1;
        self.window(service, |window| window.try_take(now, others))
    }

    fn window<T>(&self, service: &str, act: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut retries = self.retries.borrow_mut();
        if let Some(window) = retries.get_mut(service) {
            return act(window);
        }
        let bounds = self.settings.borrow().bounds;
        let window = RetryWindow::new(bounds.retry_window, bounds.retry_ratio, bounds.retry_extra);
        act(retries.entry(service.to_owned()).or_insert(window))
    }

    /// Address of another process of mastweir.
    pub fn internal_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.borrow().internal_port)
    }
}
