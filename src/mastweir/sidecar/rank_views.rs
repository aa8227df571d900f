//! What a coordinator knows of its ranks, and where it comes from.
//!
//! Sidecars report their ranks' states. A rank whose sidecar is silent is asked
//! itself, in the background: one that gives no answer, since its instance
//! stands still, must not hold up what the others need.

use super::state::Sidecar;
use crate::{gateway::message::RankStatus, net::http::Pool, platform::engine::EngineClient};
use mastweir_core::{switch::map_change::RankState, time::Uptime};
use slog::info;
use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::mpsc, task};

/// A rank's state that is older than this decides nothing.
const STATE_TTL: Duration = Duration::from_millis(700);
/// Servers whose sidecars are silent are asked this often.
const QUERY_PERIOD: Duration = Duration::from_millis(150);
/// Behind its start a coordinator hears its ranks by its first polls. Before that all are
/// silent: asked themselves, 95 of 96 got their orders past their sidecars, 2.4 MB of whole
/// maps, behind which the polls waited until another took over.
const QUERY_DELAY: Duration = Duration::from_millis(350);
/// A load that was taken is not ordered again for this time: some ten experts.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A rank's state, and how it came.
#[derive(Clone, Debug)]
pub struct RankView {
    /// Where its server listens.
    pub server: SocketAddr,
    /// When it was known at the latest, on this process's clock.
    pub known_at: Uptime,
    /// The state.
    pub state: RankState,
    /// Requests that run and wait there.
    pub load: u32,
    /// Time that it takes for the same work over what is usual, in thousandths.
    pub slowdown_milli: u32,
    /// Life of its server; zero if that is not known.
    pub incarnation: u64,
    /// When its sidecar read it, on its own clock; none if that is silent and the
    /// server was asked itself.
    pub read_at: Option<Uptime>,
}

/// What a server that was asked itself said; no state if it gave no answer.
#[derive(Debug)]
pub struct QueryResult {
    server: SocketAddr,
    at: Uptime,
    state: Option<RankState>,
    slowdown_milli: u32,
    incarnation: u64,
}

/// The last load that a rank has begun.
#[derive(Clone, Copy, Debug)]
struct LoadOrder {
    version: u64,
    epoch: u64,
    at: Uptime,
}

/// The ranks of a group.
#[derive(Debug)]
pub struct RankViews {
    views: BTreeMap<u32, RankView>,
    loading: BTreeMap<u32, LoadOrder>,
    started: Uptime,
    last_query: Uptime,
    pending: HashSet<SocketAddr>,
    unreachable: HashSet<SocketAddr>,
    result_tx: mpsc::UnboundedSender<QueryResult>,
    result_rx: mpsc::UnboundedReceiver<QueryResult>,
}

impl RankViews {
    /// Nothing known yet, at a coordinator's start.
    pub fn new(started: Uptime) -> Self {
        let (result_tx, result_rx) = mpsc::unbounded_channel();
        Self {
            views: BTreeMap::new(),
            loading: BTreeMap::new(),
            started,
            last_query: Uptime::default(),
            pending: HashSet::new(),
            unreachable: HashSet::new(),
            result_tx,
            result_rx,
        }
    }

    /// A rank as it was last view.
    pub fn get(&self, rank: u32) -> Option<&RankView> {
        self.views.get(&rank)
    }

    /// Those whose state is fresh.
    pub fn fresh(&self, now: Uptime) -> impl Iterator<Item = &RankView> {
        self.views.values().filter(move |view| now.since(view.known_at) < STATE_TTL)
    }

    /// Requests that run and wait at all of them.
    pub fn total_load(&self) -> u32 {
        self.views.values().map(|view| view.load).sum()
    }

    /// Paces of the ranks, in order.
    pub fn slowdowns(&self, count: usize) -> Vec<f64> {
        let of = |rank| {
            self.views.get(&rank).map_or(1.0, |view| f64::from(view.slowdown_milli) / 1_000.0)
        };
        (0..u32::try_from(count).unwrap_or(0)).map(of).collect()
    }

    /// Number of the rank whose server listens at an address.
    pub fn rank_at(&self, server: SocketAddr) -> Option<usize> {
        let own = self.views.values().find(|view| view.server == server);
        own.map(|view| view.state.rank as usize)
    }

    /// Whether a rank on an instance is fresh.
    pub fn is_fresh_at(&self, ip: IpAddr, now: Uptime) -> bool {
        self.fresh(now).any(|view| view.server.ip() == ip)
    }

    /// Takes in what a sidecar says of its rank.
    pub fn record_answer(&mut self, status: RankStatus, now: Uptime) {
        self.record(RankView {
            server: status.server,
            known_at: now,
            read_at: Some(status.read_at),
            state: status.state,
            load: status.load,
            slowdown_milli: status.slowdown_milli,
            incarnation: status.incarnation,
        });
    }

    /// Whether all ranks were view at least once.
    pub fn is_complete(&self) -> bool {
        let size = self.views.values().next().map(|view| view.state.size as usize);
        size.is_some_and(|size| self.views.len() >= size)
    }

    /// Takes a rank's state in, unless a newer one is known.
    pub fn record(&mut self, view: RankView) {
        let is_newer = self.views.get(&view.state.rank).is_none_or(|before| {
            let is_expired = view.known_at.since(before.known_at) >= STATE_TTL;
            let is_later = match (view.read_at, before.read_at) {
                (Some(now), Some(before)) => now >= before,
                _ => view.state.pass >= before.state.pass,
            };
            is_expired || view.state.epoch > before.state.epoch || is_later
        });
        if is_newer {
            let previous = self.views.get(&view.state.rank).map_or(0, |before| before.incarnation);
            if previous != 0 && previous != view.incarnation {
                // What the life before was loading is gone with it.
                self.loading.remove(&view.state.rank);
            }
            self.views.insert(view.state.rank, view);
        }
    }

    /// A rank has taken the order to load a version.
    pub fn record_load(&mut self, rank: u32, version: u64, epoch: u64, at: Uptime) {
        self.loading.insert(rank, LoadOrder { version, epoch, at });
    }

    /// The states of all ranks, in order; none where it is not fresh. Busy is a
    /// rank that may still be loading `target`; what else it loads gives way to that.
    pub fn states(&self, target: Option<u64>, now: Uptime) -> Vec<Option<RankState>> {
        let Some(size) = self.views.values().next().map(|view| view.state.size) else {
            return Vec::new();
        };
        let fresh = |rank: u32| {
            let view = self.views.get(&rank).filter(|view| now.since(view.known_at) < STATE_TTL)?;
            let mut state = view.state.clone();
            state.busy = target.is_some_and(|target| self.is_loading(&state, target, now));
            Some(state)
        };
        (0..size).map(fresh).collect()
    }

    fn is_loading(&self, state: &RankState, target: u64, now: Uptime) -> bool {
        self.loading.get(&state.rank).is_some_and(|load| {
            (load.version, load.epoch) == (target, state.epoch) && now.since(load.at) < LOAD_TIMEOUT
        })
    }

    /// Asks the servers among these themselves whose sidecars are silent. What they say
    /// is some hundred milliseconds old, and each call is paid for.
    pub fn query_silent<'a>(
        &mut self,
        sidecar: &Sidecar,
        group: &str,
        members: impl Iterator<Item = &'a SocketAddr>,
    ) {
        let now = sidecar.clock.now();
        if now.since(self.started) < QUERY_DELAY || now.since(self.last_query) < QUERY_PERIOD {
            return;
        }
        let reported: HashSet<SocketAddr> = self.fresh(now).map(|view| view.server).collect();
        let silent = members.copied().filter(|server| !reported.contains(server));
        let silent: Vec<SocketAddr> = silent.filter(|at| !self.pending.contains(at)).collect();
        if silent.is_empty() {
            return;
        }
        self.last_query = now;
        for server in silent {
            self.pending.insert(server);
            let pool = sidecar.peer_pool.clone();
            task::spawn_local(query(server, pool, group.to_owned(), now, self.result_tx.clone()));
        }
    }

    /// The next answer of a server that was asked itself, if there is one.
    pub fn next_result(&mut self) -> Option<QueryResult> {
        self.result_rx.try_recv().ok()
    }

    /// Takes such an answer in.
    pub fn record_result(&mut self, sidecar: &Sidecar, result: QueryResult) {
        let QueryResult { server, at, state, slowdown_milli, incarnation } = result;
        self.pending.remove(&server);
        let is_lost = state.is_none();
        let changed = if is_lost {
            self.unreachable.insert(server)
        } else {
            self.unreachable.remove(&server)
        };
        if changed {
            let state = if is_lost { "lost" } else { "regained" };
            info!(sidecar.log, "silent rank's server"; "server" => %server, "state" => state);
        }
        let Some(state) = state else { return };
        let load = self.views.get(&state.rank).map_or(0, |view| view.load);
        self.record(RankView {
            server,
            known_at: at,
            read_at: None,
            state,
            load,
            slowdown_milli,
            incarnation,
        });
    }
}

/// Asks one server. What is read is as old as the question, if this process stood
/// still meanwhile.
async fn query(
    server: SocketAddr,
    pool: Rc<Pool>,
    group: String,
    at: Uptime,
    result_tx: mpsc::UnboundedSender<QueryResult>,
) {
    let state = EngineClient::new(server, pool).state().await.ok();
    let state = state.filter(|state| state.group.as_deref() == Some(&group));
    // The coordinator may have ended meanwhile.
    let slowdown_milli = state.as_ref().map_or(1_000, |state| state.slowdown_milli);
    let incarnation = state.as_ref().map_or(0, |state| state.incarnation);
    let state = state.and_then(|state| state.rank);
    let _ = result_tx.send(QueryResult { server, at, state, slowdown_milli, incarnation });
}
