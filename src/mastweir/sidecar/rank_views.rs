//! The coordinator's view of the ranks of its group.
//!
//! Sidecars report the states of their ranks. If a sidecar is silent, the server is queried
//! directly, in the background, so that a suspended instance does not delay the others.

use super::state::Sidecar;
use crate::{
    gateway::message::RankStatus,
    net::http::Pool,
    platform::engine::{EngineClient, EngineError, EngineState},
};
use mastweir_core::{switch::map_change::RankState, time::Uptime};
use slog::{Logger, info, warn};
use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::mpsc, task};

/// Age from which a rank's state is ignored.
const STATE_TTL: Duration = Duration::from_millis(700);
/// Time between two queries of servers whose sidecars are silent.
const QUERY_PERIOD: Duration = Duration::from_millis(150);
/// Time after the coordinator's start before silent servers are queried. Until the answers to the
/// first polls arrive all sidecars seem silent, and direct orders with full maps to all ranks would
/// overload the network link. Without the delay, 95 of 96 ranks got their orders past their
/// sidecars, 2.4 MB of full maps, and the polls behind them were so late that another coordinator
/// took over.
const QUERY_DELAY: Duration = Duration::from_millis(350);
/// Time for which an accepted load order is not repeated: enough to load about ten experts.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Latest known state of a rank.
#[derive(Clone, Debug)]
pub struct RankView {
    /// Address at which the server listens.
    pub server: SocketAddr,
    /// When the state was received, on the clock of this process. Where it was requested: when the
    /// request was sent.
    pub known_at: Uptime,
    pub state: RankState,
    /// Running and waiting requests.
    pub load: u32,
    /// Time per work over the usual, in thousandths.
    pub slowdown_milli: u32,
    /// Incarnation of the server; zero if unknown.
    pub incarnation: u64,
    /// When the sidecar read the state, on its own clock. `None` if the sidecar is silent and the
    /// server was queried directly.
    pub read_at: Option<Uptime>,
}

/// Why a direct query of a server brought no state of its rank.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error(transparent)]
    Engine(#[from] EngineError),
    #[error("the server is not in the group; wait for the gateways' lists to follow")]
    OtherGroup,
    #[error("the server states no valid rank; check the size of its group")]
    NoRank,
}

/// Result of querying a server directly.
#[derive(Debug)]
pub struct QueryResult {
    pub server: SocketAddr,
    /// When the query was sent.
    pub at: Uptime,
    pub answer: Result<QueriedRank, QueryError>,
}

/// State of a rank that its server stated when queried directly.
#[derive(Debug)]
pub struct QueriedRank {
    pub state: RankState,
    pub slowdown_milli: u32,
    pub incarnation: u64,
}

/// The last order to load a map that a rank has accepted.
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
    /// Servers with a query in progress.
    pending: HashSet<SocketAddr>,
    /// Servers that did not answer the last query.
    unreachable: HashSet<SocketAddr>,
    result_tx: mpsc::UnboundedSender<QueryResult>,
    result_rx: mpsc::UnboundedReceiver<QueryResult>,
}

impl RankViews {
    /// Creates the views at the start of a coordinator, without any rank.
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

    /// Returns the latest view of a rank.
    pub fn get(&self, rank: u32) -> Option<&RankView> {
        self.views.get(&rank)
    }

    /// Returns the ranks whose state is recent.
    pub fn fresh(&self, now: Uptime) -> impl Iterator<Item = &RankView> {
        self.views.values().filter(move |view| now.since(view.known_at) < STATE_TTL)
    }

    /// Returns the number of running and waiting requests at all ranks.
    pub fn total_load(&self) -> u32 {
        self.views.values().map(|view| view.load).sum()
    }

    /// Returns the slowdowns of the first `count` ranks, in order; 1 where unknown.
    pub fn slowdowns(&self, count: usize) -> Vec<f64> {
        let of = |rank| {
            self.views.get(&rank).map_or(1.0, |view| f64::from(view.slowdown_milli) / 1_000.0)
        };
        (0..u32::try_from(count).unwrap_or(0)).map(of).collect()
    }

    /// Returns the number of the rank whose server listens at an address.
    pub fn rank_at(&self, server: SocketAddr) -> Option<usize> {
        let own = self.views.values().find(|view| view.server == server);
        own.map(|view| view.state.rank as usize)
    }

    /// Returns whether a rank at an address has a recent state.
    pub fn is_fresh_at(&self, ip: IpAddr, now: Uptime) -> bool {
        self.fresh(now).any(|view| view.server.ip() == ip)
    }

    /// Records the status of a rank from its sidecar.
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

    /// Returns whether every rank was seen at least once.
    pub fn is_complete(&self) -> bool {
        let size = self.views.values().next().map(|view| view.state.size as usize);
        size.is_some_and(|size| self.views.len() >= size)
    }

    /// Records the state of a rank, unless a newer one is known.
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
                // A load of the previous incarnation has ended with it.
                self.loading.remove(&view.state.rank);
            }
            self.views.insert(view.state.rank, view);
        }
    }

    /// Records that a rank has accepted the order to load a version.
    pub fn record_load(&mut self, rank: u32, version: u64, epoch: u64, at: Uptime) {
        self.loading.insert(rank, LoadOrder { version, epoch, at });
    }

    /// Returns the states of all ranks, in order; `None` where a state is not recent. `busy` is
    /// set for ranks that may still be loading version `target`; loads of other versions don't
    /// count, since the server drops them.
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

    /// Queries the servers among `members` whose sidecars are silent. Used only for these, since
    /// the results are older than those of sidecars and each call costs bandwidth.
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

    /// Returns the next result of a direct query, if one has arrived.
    pub fn next_result(&mut self) -> Option<QueryResult> {
        self.result_rx.try_recv().ok()
    }

    /// Records the result of a direct query. Logs when the server is lost, with the reason, or
    /// regained.
    pub fn record_result(&mut self, log: &Logger, result: QueryResult) {
        let QueryResult { server, at, answer } = result;
        self.pending.remove(&server);
        let QueriedRank { state, slowdown_milli, incarnation } = match answer {
            Ok(rank) => rank,
            Err(error) => {
                if self.unreachable.insert(server) {
                    warn!(log, "silent rank's server changed state"; "server" => %server,
                        "state" => "lost", "error" => %error);
                }
                return;
            }
        };
        if self.unreachable.remove(&server) {
            info!(log, "silent rank's server changed state"; "server" => %server,
                "state" => "regained");
        }
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

/// Queries a server. The result is dated by the time of the query, since this process may be
/// suspended meanwhile.
async fn query(
    server: SocketAddr,
    pool: Rc<Pool>,
    group: String,
    at: Uptime,
    result_tx: mpsc::UnboundedSender<QueryResult>,
) {
    let state = EngineClient::new(server, pool).state().await;
    let answer = state.map_err(QueryError::from).and_then(|state| queried_rank(state, &group));
    // The coordinator, which receives the result, may have ended.
    let _ = result_tx.send(QueryResult { server, at, answer });
}

fn queried_rank(state: EngineState, group: &str) -> Result<QueriedRank, QueryError> {
    if state.group.as_deref() != Some(group) {
        return Err(QueryError::OtherGroup);
    }
    let EngineState { rank, slowdown_milli, incarnation, .. } = state;
    Ok(QueriedRank { state: rank.ok_or(QueryError::NoRank)?, slowdown_milli, incarnation })
}
