//! The coordinator of a group: plans expert maps and puts them in force.
//!
//! Runs in the sidecar that holds the group's lease. The map in force is the one that all ranks
//! use. Each step takes the latest states of the ranks, looks up the map in force if it is unknown,
//! plans a better map for the current demand, and sends the orders that [`decide`] returns. During
//! a map change, gateways get forecasts of the time of a pass. Coordination ends when a higher
//! fencing token is seen or the server leaves the group.

use super::{
    orders::{self, OrderContext},
    plan,
    poller::SharedGroup,
    rank_views::RankView,
    state::Sidecar,
};
use crate::{
    gateway::message::{Message, PassForecast},
    platform::engine::EngineClient,
};
use mastweir_core::{
    experts::{
        Workload,
        layer_planner::{Planning, mean_skew},
        recent_demand::RecentDemand,
    },
    switch::{
        OrderLoss,
        map_change::{
            Action, GroupMap, GroupSnapshot, OrderKind, OrderOutcome, RankState, TargetMap, decide,
            version,
        },
    },
    time::Uptime,
};
use slog::{info, warn};
use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{task, time};

/// Time between two steps while no map change is in progress.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two steps during a map change.
const BUSY_PERIOD: Duration = Duration::from_millis(15);
/// Time after which a map change is dropped if it has not gone beyond loading the map, since demand
/// may have changed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two forecasts during a map change: about one pass.
const FORECAST_PERIOD: Duration = Duration::from_millis(80);
/// Steps that the planner takes before it yields to other tasks: about half a millisecond.
const PLAN_STEPS: usize = 150;

pub(super) struct Coordinator<'a> {
    pub(super) sidecar: &'a Sidecar,
    pub(super) shared: &'a SharedGroup,
    /// The map in force with its version.
    pub(super) map: Option<(u64, Arc<GroupMap>)>,
    /// The map to put in force, and when it was chosen.
    target: Option<(TargetMap, Uptime)>,
    /// Number of maps that this coordinator has chosen.
    version_count: u64,
    /// Whether a rank has refused an order because it has seen a higher fencing token.
    pub(super) is_fenced: bool,
    /// Measures the share of orders without an answer.
    order_loss: OrderLoss,
    /// Whether a part of the map is inferred, since a rank could not be read.
    pub(super) is_inferred: bool,
    /// Number of demand shifts when the target was last checked.
    shifts_seen: u32,
    last_forecast: Uptime,
    forecast_count: u64,
    /// Address of the coordinator with the previous fencing token, if known.
    previous: Option<IpAddr>,
    /// Servers whose sidecars lack the base map of a delta, and need the full map.
    without_base: HashSet<SocketAddr>,
    /// Version and pass of the last change that was delegated.
    pub(super) delegated: Option<(u64, u64)>,
}

/// Coordinates the group until another coordinator takes over.
pub async fn run(sidecar: &Sidecar, shared: &SharedGroup, previous: Option<IpAddr>) {
    let mut coordinator = Coordinator {
        sidecar,
        shared,
        map: None,
        target: None,
        version_count: 0,
        is_fenced: false,
        order_loss: OrderLoss::default(),
        is_inferred: false,
        shifts_seen: 0,
        last_forecast: Uptime::default(),
        forecast_count: 0,
        previous: previous.filter(|ip| *ip != sidecar.ip),
        without_base: HashSet::new(),
        delegated: None,
    };
    while !coordinator.is_over() {
        coordinator.query_silent();
        let is_busy = coordinator.step().await;
        shared.is_busy.set(is_busy);
        let wait = if is_busy { BUSY_PERIOD } else { IDLE_PERIOD };
        // An answer to a poll ends the wait.
        let _ = time::timeout(wait, shared.answered.notified()).await;
    }
}

impl Coordinator<'_> {
    /// Returns whether another coordinator has taken over or the server has left the group.
    fn is_over(&self) -> bool {
        let known = self.sidecar.coordinator.borrow();
        let (group, token) = (&self.shared.group, self.shared.token);
        let is_superseded =
            known.as_ref().is_some_and(|known| known.coordinates(group) && known.token > token);
        let state = self.sidecar.engine_state.borrow();
        let is_member = state.as_ref().is_some_and(|state| state.group.as_ref() == Some(group));
        is_superseded || self.is_fenced || !is_member
    }

    /// Queries servers whose sidecars are silent, and records the results that have arrived.
    fn query_silent(&self) {
        let mut state = self.shared.state.borrow_mut();
        let state = &mut *state;
        while let Some(result) = state.ranks.next_result() {
            state.ranks.record_result(&self.sidecar.log, result);
        }
        state.ranks.query_silent(self.sidecar, &self.shared.group, state.members.keys());
    }

    pub(super) fn engine(&self, server: SocketAddr) -> EngineClient {
        EngineClient::new(server, self.sidecar.peer_pool.clone())
    }

    fn shift_count(&self) -> u32 {
        self.shared.state.borrow().demand.as_ref().map_or(0, RecentDemand::shifts)
    }

    /// Takes one step. Returns whether a map change is in progress.
    async fn step(&mut self) -> bool {
        let target_version = self.target.as_ref().map(|(target, _)| target.version);
        let now = self.sidecar.clock.now();
        let states = self.shared.state.borrow().ranks.states(target_version, now);
        let known: Vec<&RankState> = states.iter().flatten().collect();
        let Some(version) = known.first().map(|state| state.map) else { return false };
        let is_complete = known.len() == states.len();
        let is_uniform = known.iter().all(|state| state.map == version);
        self.update_target(&known);
        if !is_uniform {
            // Some ranks use the map from before a change, others the one from after it.
            return true;
        }
        let is_unknown = self.map.as_ref().is_none_or(|(known, _)| *known != version);
        // With more than one rank missing the map can't be inferred.
        let is_readable = known.len() + 1 >= states.len();
        if (is_unknown && is_readable) || (is_complete && self.is_inferred) {
            self.find_map(version, states.len()).await;
        }
        if self.target.is_none() && is_complete {
            self.plan(&known).await;
        }
        if self.target.is_some() {
            self.send_forecast(states.len());
        }
        let snapshot = GroupSnapshot {
            ranks: &states,
            own: self.own_rank(),
            token: self.shared.token,
            predecessor: self.predecessor(&states),
            lookahead: self.order_loss.lookahead(states.len(), self.sidecar.pass_ms.get()),
        };
        let action = decide(snapshot, self.target.as_ref().map(|(target, _)| target));
        match action {
            Action::Wait => self.target.is_some(),
            Action::NeedTarget => {
                let map = self.map.as_ref().map(|(_, map)| map.clone());
                map.into_iter().for_each(|map| self.set_target(map));
                true
            }
            Action::Orders(orders) => {
                if !self.delegate(snapshot, &orders).await {
                    self.send_orders(&states, orders).await;
                }
                true
            }
        }
    }

    pub(super) fn own_rank(&self) -> usize {
        self.shared.state.borrow().ranks.rank_at(self.sidecar.server).unwrap_or(0)
    }

    /// Returns the first rank without a recent state, if the previous coordinator has none either:
    /// this is then taken as the previous coordinator's rank.
    fn predecessor(&self, states: &[Option<RankState>]) -> Option<usize> {
        let previous = self.previous?;
        let is_fresh =
            self.shared.state.borrow().ranks.is_fresh_at(previous, self.sidecar.clock.now());
        if is_fresh { None } else { states.iter().position(Option::is_none) }
    }

    /// Clears the target once all ranks use it. Also drops a target that has not gone beyond
    /// loading, if it is too old or demand has shifted since.
    fn update_target(&mut self, states: &[&RankState]) {
        let Some((target, since)) = &self.target else {
            self.shifts_seen = self.shift_count();
            return;
        };
        let now = self.sidecar.clock.now();
        let group = &self.shared.group;
        if states.iter().all(|state| state.map == target.version) {
            info!(self.sidecar.log, "map in force"; "group" => group, "version" => target.version,
                "pass" => states[0].pass, "took_ms" => now.since(*since).as_millis() as u64);
            self.map = Some((target.version, target.map.clone()));
            self.target = None;
            self.last_forecast = Uptime::default();
            self.send_forecast(states.len());
            return;
        }
        let shifts = self.shift_count();
        let shifted = std::mem::replace(&mut self.shifts_seen, shifts) != shifts;
        let has_begun = states.iter().any(|state| state.has_begun(target.version));
        if !has_begun && (shifted || now.since(*since) > CHANGE_TIMEOUT) {
            warn!(self.sidecar.log, "map change dropped"; "group" => group,
                "version" => target.version, "shifted" => shifted);
            self.target = None;
        }
    }

    /// Plans a map in small parts, so that other tasks handle polls and answers in between. The
    /// plan is discarded if demand shifts before it is complete.
    async fn plan(&mut self, states: &[&RankState]) {
        let is_idle =
            states.iter().all(|state| state.scheduled.is_none() && state.paused.is_none());
        let Some((_, map)) = self.map.clone().filter(|_| is_idle) else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let Some((demand, slowdowns, load)) = self.demand(states.len()) else { return };
        let shifts = self.shift_count();
        let began = self.sidecar.clock.now();
        let workload = Workload { demand: &demand, slowdown: &slowdowns };
        let pressure = plan::pressure(&model, load, states.len());
        let mut planning = Planning::new(plan::planner(&model), &map, workload, pressure);
        while !planning.advance(PLAN_STEPS) {
            task::yield_now().await;
        }
        let Some(plan) = planning.finish().filter(|_| shifts == self.shift_count()) else { return };
        let took = self.sidecar.clock.now().since(began);
        info!(self.sidecar.log, "map planned"; "group" => &self.shared.group,
            "loads" => plan.max_loads, "moved" => plan.total_loads,
            "pressure" => format!("{pressure:.2}"), "took_ms" => took.as_millis() as u64,
            "skew_now" => format!("{:.3}", plan.skew_before),
            "skew_then" => format!("{:.3}", plan.skew_after));
        self.set_target(Arc::new(plan.map));
    }

    /// Returns the demand by set of layers and expert, the slowdowns of the ranks, and the number
    /// of requests at all ranks. `None` until enough selections were counted.
    fn demand(&self, ranks: usize) -> Option<(Vec<Vec<f64>>, Vec<f64>, u32)> {
        let state = self.shared.state.borrow();
        let now = self.sidecar.clock.now();
        let demand = state.demand.as_ref().filter(|demand| demand.is_ready(now))?;
        Some((demand.by_set(), state.ranks.slowdowns(ranks), state.ranks.total_load()))
    }

    /// Sends the expected time of a pass to gateways, whose own measurements follow only some
    /// passes later.
    fn send_forecast(&mut self, ranks: usize) {
        let now = self.sidecar.clock.now();
        if now.since(self.last_forecast) < FORECAST_PERIOD {
            return;
        }
        let Some((_, map)) = &self.map else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let Some((demand, slowdowns, load)) = self.demand(ranks) else { return };
        let skew = mean_skew(map, Workload { demand: &demand, slowdown: &slowdowns });
        let running = f64::from(load) / ranks.max(1) as f64;
        let pass_ms = model.pass.pass_ms(running, skew) as u32;
        self.last_forecast = now;
        self.forecast_count += 1;
        let (group, sequence) =
            (self.shared.group.clone(), (self.shared.token, self.forecast_count));
        let forecast = Message::Forecast(PassForecast { group, sequence, pass_ms });
        self.sidecar.relays.borrow().live().for_each(|ip| self.sidecar.send(ip, &forecast));
    }

    fn set_target(&mut self, map: Arc<GroupMap>) {
        self.version_count += 1;
        let version = version(self.shared.token, self.version_count);
        self.target = Some((TargetMap { version, map }, self.sidecar.clock.now()));
    }

    /// Sends orders to ranks concurrently, and records the states in the replies.
    async fn send_orders(&mut self, states: &[Option<RankState>], orders: Vec<(usize, OrderKind)>) {
        let base = self.map.as_ref().map(|(version, map)| (*version, &**map));
        let context = OrderContext { states, base, without_base: &self.without_base };
        // The replies are dated by the sending of the orders, since this process may be suspended
        // before it reads them.
        let now = self.sidecar.clock.now();
        let loaded_version = orders.iter().find_map(|(_, kind)| match kind {
            OrderKind::Load { version, .. } => Some(*version),
            _ => None,
        });
        let replies = orders::send_orders(self.sidecar, self.shared, context, orders).await;
        let mut state = self.shared.state.borrow_mut();
        let ranks = &mut state.ranks;
        for (rank, epoch, reply) in replies {
            if let (Some(version), Some(OrderOutcome::Accepted)) = (loaded_version, reply.outcome) {
                ranks.record_load(rank, version, epoch, now);
            }
            (0..reply.unanswered).for_each(|_| self.order_loss.record(false, now));
            if !reply.needs_map && (reply.outcome.is_some() || reply.unanswered == 0) {
                self.order_loss.record(reply.outcome.is_some(), now);
            }
            self.is_fenced |= reply.outcome == Some(OrderOutcome::Fenced);
            let Some(view) = ranks.get(rank) else { continue };
            let server = view.server;
            if reply.needs_map {
                self.without_base.insert(server);
            } else if reply.outcome.is_some() {
                self.without_base.remove(&server);
            }
            let read_at = view.read_at.map(|_| reply.read_at);
            if let Some(state) = reply.state {
                ranks.record(RankView { known_at: now, read_at, state, ..view.clone() });
            }
        }
    }
}
