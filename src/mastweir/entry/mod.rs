//! The entry: accepts callers' HTTP requests and sends them to the agents of servers.
//!
//! A request passes through these modules: `http` parses it and authenticates its customer;
//! `admit` applies the customer's limits; `calls` carries out the actions of a [`Call`], for
//! which `view` chooses servers. The answer is returned when it is complete, or streamed.
//!
//! Background tasks keep the state that requests need: `table` (rows), `fleet` (instances,
//! membership and load reports), `usage` (fleet-wide shares) and `groups` (coordination of
//! rank groups). Entries store nothing on disk. What a later submission of the same request needs
//! is kept by agents, in tickets and in the object API.
//!
//! [`Call`]: mastweir_core::outcome::Call

mod admit;
mod attempt;
mod calls;
mod decisions;
mod fleet;
mod groups;
mod heartbeat;
mod http;
mod keys;
mod operator;
mod parsed_request;
mod problem;
mod reply;
mod status;
mod table;
mod usage;
mod view;

pub use decisions::Decision;
pub use problem::Problem;
pub use status::{EntryStatus, GroupStatus, ServerStatus, ShareStatus};

use crate::{
    Context,
    net::{ChannelPool, Socket, Traffic},
};
use mastweir_core::{
    gateway::{Fingerprint, PoisonRequests},
    member::Members,
    route::RetryBudget,
    switch::MapVersion,
    table::Table,
};
use rand::{SeedableRng, rngs::StdRng};
use rocket::Shutdown;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time};

/// Time in which the platform's load balancer notices that an entry is not ready any more.
const BALANCER_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Address for channels and datagrams of other entries; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Address for callers and operators; port 0 chooses a free port.
    pub http: SocketAddr,
    /// Hash of the operators' key.
    pub operator: String,
    /// Time for requests in flight to complete at a graceful stop.
    pub grace: Duration,
    /// Seed of the entry's random choices; random if `None`.
    pub seed: Option<u64>,
}

/// A running entry. See the [module](self).
#[derive(Debug)]
pub struct EntryInstance {
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for channels of other entries.
    pub tcp: SocketAddr,
    /// Address for datagrams.
    pub udp: SocketAddr,
    shared: Arc<Shared>,
    shutdown: Shutdown,
    tasks: JoinSet<()>,
}

/// State shared by the entry's tasks.
///
/// Locks that are held together are acquired in this order: `table`, `view`, `members`, `usage`,
/// `limits`, `rng`. No lock is held across an `await`.
#[derive(Debug)]
pub(crate) struct Shared {
    context: Context,
    options: EntryOptions,
    pool: ChannelPool,
    socket: Socket,
    table: Mutex<Table>,
    active_rows: table::ActiveRows,
    view: Mutex<view::FleetView>,
    members: Mutex<Members>,
    limits: Mutex<admit::Limits>,
    usage: Mutex<usage::UsageExchange>,
    budget: Mutex<RetryBudget>,
    poison_requests: Mutex<PoisonRequests>,
    rng: Mutex<StdRng>,
    decisions: decisions::Decisions,
    /// Expert maps set by operators, by group.
    target_maps: Mutex<HashMap<String, MapVersion>>,
    groups: Mutex<HashMap<String, GroupStatus>>,
    leaving: AtomicBool,
    /// Whether the table is being fetched from a peer. With `has_pending_notice`, prevents one
    /// task for each row of a burst of changes.
    is_fetching: AtomicBool,
    /// Whether peers are about to be notified of a change of the table.
    has_pending_notice: AtomicBool,
    /// Number of requests in flight.
    active: AtomicUsize,
    stop: watch::Sender<bool>,
}

impl EntryInstance {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(context: Context, options: EntryOptions) -> eyre::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let tcp = listener.local_addr()?;
        let at = SocketAddr::new(tcp.ip(), options.listen.port());
        let socket = Socket::bind(at, context.fence(), &context.secret).await?;
        let udp = socket.local_addr()?;
        let shared = Arc::new(Shared::new(context, options, socket));
        let (http, shutdown) = http::launch(shared.clone()).await?;
        let mut tasks = JoinSet::new();
        tasks.spawn(table::serve_peers(shared.clone(), listener));
        tasks.spawn(table::watch_rows(shared.clone()));
        tasks.spawn(fleet::watch_instances(shared.clone()));
        tasks.spawn(fleet::receive(shared.clone()));
        tasks.spawn(fleet::send_heartbeats(shared.clone()));
        tasks.spawn(usage::run_exchange(shared.clone()));
        tasks.spawn(groups::coordinate(shared.clone()));
        slog::info!(shared.context.log, "entry listening"; "http" => %http, "tcp" => %tcp,
            "udp" => %udp, "incarnation" => shared.context.incarnation.0);
        Ok(Self { http, tcp, udp, shared, shutdown, tasks })
    }

    /// Returns whether the entry accepts requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the version of the active table.
    pub fn table_version(&self) -> u64 {
        lock(&self.shared.table).complete()
    }

    /// Returns the number of calls made to the object API.
    pub fn platform_calls(&self) -> u64 {
        self.shared.context.objects.calls()
    }

    /// Returns the datagrams sent and received.
    pub fn traffic(&self) -> Traffic {
        self.shared.socket.traffic()
    }

    /// Stops gracefully: reports not ready, rejects new requests, and waits for those in flight, up
    /// to the grace time.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        shared.leaving.store(true, Ordering::SeqCst);
        let active = || shared.active.load(Ordering::SeqCst);
        slog::info!(shared.context.log, "entry stopping"; "active" => active());
        time::sleep(BALANCER_DELAY).await;
        let idle = async {
            while active() > 0 {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let in_time = time::timeout(shared.options.grace, idle).await.is_ok();
        self.shutdown.clone().notify();
        let _ = shared.stop.send(true);
        self.tasks.shutdown().await;
        slog::info!(shared.context.log, "entry stopped"; "all_ended" => in_time);
    }

    /// Stops at once, as in a crash.
    pub async fn kill(mut self) {
        self.shutdown.clone().notify();
        let _ = self.shared.stop.send(true);
        self.tasks.shutdown().await;
    }
}

impl Shared {
    fn new(context: Context, options: EntryOptions, socket: Socket) -> Self {
        let now = context.clock.now();
        let rng = match options.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::from_os_rng(),
        };
        Self {
            pool: ChannelPool::new(context.secret.clone()),
            socket,
            table: Mutex::default(),
            active_rows: table::ActiveRows::default(),
            view: Mutex::new(view::FleetView::new(&context.hall)),
            members: Mutex::new(Members::new(Default::default(), now)),
            limits: Mutex::default(),
            usage: Mutex::default(),
            budget: Mutex::default(),
            poison_requests: Mutex::new(PoisonRequests::new(Fingerprint::of_instance(
                &context.name,
            ))),
            rng: Mutex::new(rng),
            decisions: decisions::Decisions::default(),
            target_maps: Mutex::default(),
            groups: Mutex::default(),
            leaving: AtomicBool::new(false),
            is_fetching: AtomicBool::new(false),
            has_pending_notice: AtomicBool::new(false),
            active: AtomicUsize::new(0),
            stop: watch::channel(false).0,
            context,
            options,
        }
    }

    /// Returns whether the entry has a table and the instance list, and is not stopping.
    fn is_ready(&self) -> bool {
        let has_table = lock(&self.table).complete() > 0;
        let has_list = lock(&self.view).has_list();
        has_table && has_list && !self.leaving.load(Ordering::SeqCst)
    }
}

/// Locks a mutex, also after a panic of a holder: no holder leaves state half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
