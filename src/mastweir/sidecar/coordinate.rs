//! The coordinator of a group: plans maps, and has them put in force.

use super::{
    orders::{self, Basis},
    plan,
    polling::Shared,
    ranks::Seen,
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

/// Pause between two looks while nothing is under way, and while something is.
const LOOK_IDLE: Duration = Duration::from_millis(100);
const LOOK_BUSY: Duration = Duration::from_millis(15);
/// A change that has not begun to pause the group after this time is dropped:
/// demand has moved on.
const CHANGE_LASTS: Duration = Duration::from_secs(4);
/// How often gateways are told of the pace meanwhile: one pass.
const PACE_EVERY: Duration = Duration::from_millis(80);
/// Steps of a plan between two looks at what else there is to do: half a millisecond.
const PLAN_STEPS: usize = 150;

pub(super) struct Coordinator<'a> {
    pub(super) sidecar: &'a Sidecar,
    pub(super) shared: &'a Shared,
    pub(super) map: Option<(u64, Arc<GroupMap>)>,
    wanted: Option<(TargetMap, Uptime)>,
    versions: u64,
    fenced: bool,
    /// How many orders get no answer.
    loss: OrderLoss,
    /// Whether a part of the map is a guess.
    pub(super) guessed: bool,
    /// Shifts of demand that were seen to.
    shifts: u32,
    /// When gateways were last told of the pace, and how often.
    paced: Uptime,
    words: u64,
    /// Where the coordinator with the token before is, if that is known.
    before: Option<IpAddr>,
    /// Servers whose sidecars need all of a map.
    lacking: HashSet<SocketAddr>,
}

/// Coordinates until another takes over.
pub async fn run(sidecar: &Sidecar, shared: &Shared, before: Option<IpAddr>) {
    let mut own = Coordinator {
        sidecar,
        shared,
        map: None,
        wanted: None,
        versions: 0,
        fenced: false,
        loss: OrderLoss::default(),
        guessed: false,
        shifts: 0,
        paced: Uptime::default(),
        words: 0,
        before: before.filter(|ip| *ip != sidecar.ip),
        lacking: HashSet::new(),
    };
    while !own.is_over() {
        own.ask_silent();
        let busy = own.step().await;
        shared.busy.set(busy);
        let pause = if busy { LOOK_BUSY } else { LOOK_IDLE };
        // A report ends the pause.
        let _ = time::timeout(pause, shared.heard.notified()).await;
    }
}

impl Coordinator<'_> {
    /// Whether another coordinates, or the server beside has left the group.
    fn is_over(&self) -> bool {
        let heard = self.sidecar.heard.borrow();
        let (group, token) = (&self.shared.group, self.shared.token);
        let other = heard.as_ref().is_some_and(|heard| heard.leads(group) && heard.token > token);
        let state = self.sidecar.state.borrow();
        let member = state.as_ref().is_some_and(|state| state.group.as_ref() == Some(group));
        other || self.fenced || !member
    }

    /// Asks servers whose sidecars are silent themselves, and takes in what they said.
    fn ask_silent(&self) {
        let mut known = self.shared.known.borrow_mut();
        let known = &mut *known;
        while let Some(asked) = known.ranks.answer_now() {
            known.ranks.take_answer(self.sidecar, asked);
        }
        known.ranks.ask_silent(self.sidecar, &self.shared.group, known.members.keys());
    }

    pub(super) fn engine(&self, server: SocketAddr) -> EngineClient {
        EngineClient::new(server, self.sidecar.internal.clone())
    }

    fn shifts_seen(&self) -> u32 {
        self.shared.known.borrow().demand.as_ref().map_or(0, RecentDemand::shifts)
    }

    /// One step. True if something is under way.
    async fn step(&mut self) -> bool {
        let wanted = self.wanted.as_ref().map(|(wanted, _)| wanted.version);
        let now = self.sidecar.clock.now();
        let states = self.shared.known.borrow().ranks.states(wanted, now);
        let known: Vec<&RankState> = states.iter().flatten().collect();
        let Some(version) = known.first().map(|state| state.map) else { return false };
        let whole = known.len() == states.len();
        let one_map = known.iter().all(|state| state.map == version);
        self.drop_wanted(&known);
        if !one_map {
            // Some states are from before a switch, some from after it.
            return true;
        }
        let unread = self.map.as_ref().is_none_or(|(known, _)| *known != version);
        // With more than one rank missing there is no map to put together.
        let readable = known.len() + 1 >= states.len();
        if (unread && readable) || (whole && self.guessed) {
            self.find_map(version, states.len()).await;
        }
        if self.wanted.is_none() && whole {
            self.plan(&known).await;
        }
        if self.wanted.is_some() {
            self.tell_pace(states.len());
        }
        let view = GroupSnapshot {
            ranks: &states,
            own: self.own_rank(),
            token: self.shared.token,
            predecessor: self.predecessor(&states),
            lookahead: self.loss.lookahead(states.len(), self.sidecar.pass_ms.get()),
        };
        let act = decide(view, self.wanted.as_ref().map(|(wanted, _)| wanted));
        match act {
            Action::Wait => self.wanted.is_some(),
            Action::NeedTarget => {
                let map = self.map.as_ref().map(|(_, map)| map.clone());
                map.into_iter().for_each(|map| self.want(map));
                true
            }
            Action::Orders(orders) => {
                self.give(&states, orders).await;
                true
            }
        }
    }

    pub(super) fn own_rank(&self) -> usize {
        self.shared.known.borrow().ranks.number_at(self.sidecar.server).unwrap_or(0)
    }

    /// The rank of the coordinator before, if it is the one that can't be reached.
    fn predecessor(&self, states: &[Option<RankState>]) -> Option<usize> {
        let before = self.before?;
        let heard = self.shared.known.borrow().ranks.hears(before, self.sidecar.clock.now());
        if heard { None } else { states.iter().position(Option::is_none) }
    }

    /// Forgets a change that is in force, that is too late, or whose loads are for a
    /// demand that has shifted: those of the next plan take their place.
    fn drop_wanted(&mut self, states: &[&RankState]) {
        let Some((wanted, since)) = &self.wanted else {
            self.shifts = self.shifts_seen();
            return;
        };
        let now = self.sidecar.clock.now();
        let group = &self.shared.group;
        if states.iter().all(|state| state.map == wanted.version) {
            info!(self.sidecar.log, "map in force"; "group" => group, "version" => wanted.version,
                "pass" => states[0].pass, "took_ms" => now.since(*since).as_millis() as u64);
            self.map = Some((wanted.version, wanted.map.clone()));
            self.wanted = None;
            self.paced = Uptime::default();
            self.tell_pace(states.len());
            return;
        }
        let shifts = self.shifts_seen();
        let shifted = std::mem::replace(&mut self.shifts, shifts) != shifts;
        let begun = states.iter().any(|state| state.has_begun(wanted.version));
        if !begun && (shifted || now.since(*since) > CHANGE_LASTS) {
            warn!(self.sidecar.log, "change of map dropped"; "group" => group,
                "version" => wanted.version, "shifted" => shifted);
            self.wanted = None;
        }
    }

    /// Makes a plan, a part at a time: polls and answers go on meanwhile. One that
    /// popularity has left behind is not wanted.
    async fn plan(&mut self, states: &[&RankState]) {
        let idle = states.iter().all(|state| state.scheduled.is_none() && state.paused.is_none());
        let Some((_, map)) = self.map.clone().filter(|_| idle) else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let Some((demand, pace, load)) = self.demand(states.len()) else { return };
        let shifts = self.shifts_seen();
        let began = self.sidecar.clock.now();
        let work = Workload { demand: &demand, slowdown: &pace };
        let pressure = plan::pressure(&model, load, states.len());
        let mut planning = Planning::new(plan::planner(&model), &map, work, pressure);
        while !planning.advance(PLAN_STEPS) {
            task::yield_now().await;
        }
        let Some(plan) = planning.finish().filter(|_| shifts == self.shifts_seen()) else { return };
        let took = self.sidecar.clock.now().since(began);
        info!(self.sidecar.log, "map planned"; "group" => &self.shared.group,
            "loads" => plan.max_loads, "moved" => plan.total_loads,
            "pressure" => format!("{pressure:.2}"), "took_ms" => took.as_millis() as u64,
            "skew_now" => format!("{:.3}", plan.skew_before),
            "skew_then" => format!("{:.3}", plan.skew_after));
        self.want(Arc::new(plan.map));
    }

    /// Demand by set and expert, paces of the ranks, and requests at all of them; none
    /// before enough was counted.
    fn demand(&self, ranks: usize) -> Option<(Vec<Vec<f64>>, Vec<f64>, u32)> {
        let known = self.shared.known.borrow();
        let now = self.sidecar.clock.now();
        let demand = known.demand.as_ref().filter(|demand| demand.is_ready(now))?;
        Some((demand.by_set(), known.ranks.paces(ranks), known.ranks.load()))
    }

    /// Tells gateways how long passes are while the map doesn't fit demand: they see it
    /// only some passes later.
    fn tell_pace(&mut self, ranks: usize) {
        let now = self.sidecar.clock.now();
        if now.since(self.paced) < PACE_EVERY {
            return;
        }
        let Some((_, map)) = &self.map else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let Some((demand, pace, load)) = self.demand(ranks) else { return };
        let skew = mean_skew(map, Workload { demand: &demand, slowdown: &pace });
        let running = f64::from(load) / ranks.max(1) as f64;
        let pass_ms = model.pass.pass_ms(running, skew) as u32;
        self.paced = now;
        self.words += 1;
        let (group, word) = (self.shared.group.clone(), (self.shared.token, self.words));
        let pace = Message::Forecast(PassForecast { group, sequence: word, pass_ms });
        self.sidecar.speakers.borrow().live().for_each(|ip| self.sidecar.send(ip, &pace));
    }

    fn want(&mut self, map: Arc<GroupMap>) {
        self.versions += 1;
        let version = version(self.shared.token, self.versions);
        self.wanted = Some((TargetMap { version, map }, self.sidecar.clock.now()));
    }

    /// Gives orders to ranks, all at once, and takes their states in.
    async fn give(&mut self, states: &[Option<RankState>], orders: Vec<(usize, OrderKind)>) {
        let base = self.map.as_ref().map(|(version, map)| (*version, &**map));
        let given = Basis { states, base, lacking: &self.lacking };
        // What ranks reply is as old as the order, if this process stood still.
        let now = self.sidecar.clock.now();
        let loads = orders.iter().find_map(|(_, kind)| match kind {
            OrderKind::Load { version, .. } => Some(*version),
            _ => None,
        });
        let replies = orders::give(self.sidecar, self.shared, given, orders).await;
        let mut known = self.shared.known.borrow_mut();
        let ranks = &mut known.ranks;
        for (rank, epoch, reply) in replies {
            if let (Some(version), Some(OrderOutcome::Accepted)) = (loads, reply.outcome) {
                ranks.loads(rank, version, epoch, now);
            }
            (0..reply.unanswered).for_each(|_| self.loss.record(false, now));
            if !reply.needs_map && (reply.outcome.is_some() || reply.unanswered == 0) {
                self.loss.record(reply.outcome.is_some(), now);
            }
            self.fenced |= reply.outcome == Some(OrderOutcome::Fenced);
            let Some(seen) = ranks.get(rank) else { continue };
            let server = seen.server;
            if reply.needs_map {
                self.lacking.insert(server);
            } else if reply.outcome.is_some() {
                self.lacking.remove(&server);
            }
            let read_at = seen.read_at.map(|_| reply.read_at);
            if let Some(state) = reply.state {
                ranks.note(Seen { at: now, read_at, state, ..seen.clone() });
            }
        }
    }
}
