//! The entry instance, between callers and agents.
//!
//! The way of a request: [`http`] reads it and finds its customer;
//! [`admit`] applies the customer's limits; [`calls`] carries out what a
//! [`Call`] asks for, with [`view`] choosing servers; the answer goes back as it
//! comes, or whole. Beside it run tasks that keep the entry informed:
//! [`table`] (rows), [`fleet`] (instances, members, reports), [`usage`]
//! (fleet-wide shares) and [`groups`] (coordinators of rank groups).
//!
//! An entry keeps nothing that a request needs after its own end.
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
    gateway::PoisonRequests, member::Members, route::RetryBudget, switch::MapVersion, table::Table,
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

/// Time that the platform's balancer has to see that an entry leaves.
const BALANCER_DELAY: Duration = Duration::from_millis(500);

/// How an entry is set up.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Address for other entries, channels and datagrams; port 0 chooses one.
    pub listen: SocketAddr,
    /// Address for callers and operators; port 0 chooses one.
    pub http: SocketAddr,
    /// Hash of the operators' key.
    pub operator: String,
    /// Time that running requests have at a planned stop.
    pub grace: Duration,
    /// Seed of the entry's random choices; drawn if not given.
    pub seed: Option<u64>,
}

/// A running entry.
#[derive(Debug)]
pub struct EntryInstance {
    /// Where it serves callers and operators.
    pub http: SocketAddr,
    /// Where it listens for channels.
    pub tcp: SocketAddr,
    /// Where it listens for datagrams.
    pub udp: SocketAddr,
    shared: Arc<Shared>,
    shutdown: Shutdown,
    tasks: JoinSet<()>,
}

/// What the entry's tasks share.
///
/// Where two locks are held at once, they are taken in this order: `table`,
/// `view`, `members`, `usage`, `limits`, `rng`. None is held over a wait.
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
    /// Requests under which engines ended.
    poison_requests: Mutex<PoisonRequests>,
    rng: Mutex<StdRng>,
    decisions: decisions::Decisions,
    /// Maps that operators or the planner want, by group.
    target_maps: Mutex<HashMap<String, MapVersion>>,
    groups: Mutex<HashMap<String, GroupStatus>>,
    leaving: AtomicBool,
    /// Whether the table is being fetched from a peer, and whether peers are
    /// about to be told: a burst of rows must not begin either for each row.
    is_fetching: AtomicBool,
    has_pending_notice: AtomicBool,
    active: AtomicUsize,
    stop: watch::Sender<bool>,
}

impl EntryInstance {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// An address can't be used.
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
        slog::info!(shared.context.log, "entry listens"; "http" => %http, "tcp" => %tcp,
            "udp" => %udp, "incarnation" => shared.context.incarnation.0);
        Ok(Self { http, tcp, udp, shared, shutdown, tasks })
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Version of the table in force.
    pub fn table_version(&self) -> u64 {
        lock(&self.shared.table).complete()
    }

    /// Calls made to the object API so far.
    pub fn platform_calls(&self) -> u64 {
        self.shared.context.objects.calls()
    }

    /// Datagrams of its control traffic so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.socket.traffic()
    }

    /// Stops as planned: not ready first, then nothing new, then waits for what
    /// runs.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        shared.leaving.store(true, Ordering::SeqCst);
        let active = || shared.active.load(Ordering::SeqCst);
        slog::info!(shared.context.log, "entry leaves"; "active" => active());
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
        slog::info!(shared.context.log, "entry has left"; "all_ended" => in_time);
    }

    /// Ends at once, as a crash would.
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
            poison_requests: Mutex::default(),
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

    /// Whether it takes requests: it has a table, knows servers, and stays.
    fn is_ready(&self) -> bool {
        let has_table = lock(&self.table).complete() > 0;
        let has_list = lock(&self.view).has_list();
        has_table && has_list && !self.leaving.load(Ordering::SeqCst)
    }
}

/// Locks, whatever became of a former holder: state is changed in whole steps.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
