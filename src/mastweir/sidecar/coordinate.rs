//! The coordinator of a group: plans maps, and has them put in force.

use super::{
    plan, rank,
    ranks::{Ranks, Seen},
    state::Sidecar,
};
use crate::{
    gateway::message::{Message, OrderReply, Pace, RankReport},
    net::internal,
    platform::engine::Engine,
};
use futures_util::future::join_all;
use mastweir_core::{
    experts::{
        layers::{Work, mean_skew},
        recent::RecentDemand,
    },
    switch::{
        OrderLoss,
        hold::{
            Act, GroupMap, Layers, Order, OrderKind, RankState, Taken, View, Wanted, decide,
            version,
        },
    },
    time::Uptime,
};
use serde::Serialize;
use slog::{info, warn};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::{sync::mpsc, time};

/// Pause between two looks while nothing is under way, and while something is.
const LOOK_IDLE: Duration = Duration::from_millis(100);
const LOOK_BUSY: Duration = Duration::from_millis(15);
/// An order goes to a sidecar in another hall and its server, and back.
const ORDER_LASTS: Duration = Duration::from_millis(600);
/// A change that has not begun to pause the group after this time is dropped:
/// demand has moved on.
const CHANGE_LASTS: Duration = Duration::from_secs(4);
/// How often gateways are told of the pace meanwhile: one pass.
const PACE_EVERY: Duration = Duration::from_millis(80);

struct Coordinator<'a> {
    sidecar: &'a Sidecar,
    group: &'a str,
    token: u64,
    ranks: Ranks,
    demand: Option<RecentDemand>,
    map: Option<(u64, GroupMap)>,
    wanted: Option<(Wanted, Uptime)>,
    versions: u64,
    fenced: bool,
    /// How many orders get no answer.
    loss: OrderLoss,
    /// Whether a part of the map is a guess.
    guessed: bool,
    /// Shifts of demand that were seen to.
    shifts: u32,
    /// When gateways were last told of the pace.
    paced: Uptime,
    /// Where the coordinator with the token before is, if that is known.
    before: Option<IpAddr>,
}

/// Coordinates until another takes over.
pub async fn run(
    sidecar: &Sidecar,
    group: &str,
    token: u64,
    before: Option<IpAddr>,
    reports: &mut mpsc::Receiver<RankReport>,
) {
    let mut own = Coordinator {
        sidecar,
        group,
        token,
        ranks: Ranks::new(),
        demand: None,
        map: None,
        wanted: None,
        versions: 0,
        fenced: false,
        loss: OrderLoss::default(),
        guessed: false,
        shifts: 0,
        paced: Uptime::default(),
        before: before.filter(|ip| *ip != sidecar.ip),
    };
    loop {
        while let Ok(report) = reports.try_recv() {
            own.take_in(&report);
        }
        while let Some(asked) = own.ranks.answer_now() {
            own.ranks.take_answer(sidecar, asked);
        }
        if own.is_over() {
            return;
        }
        let busy = own.step().await;
        let pause = if busy { LOOK_BUSY } else { LOOK_IDLE };
        // A report or an answer ends the pause.
        tokio::select! {
            () = time::sleep(pause) => (),
            Some(report) = reports.recv() => own.take_in(&report),
            Some(asked) = own.ranks.answer() => own.ranks.take_answer(sidecar, asked),
        }
    }
}

impl Coordinator<'_> {
    /// Whether another coordinates, or the server beside has left the group.
    fn is_over(&self) -> bool {
        let heard = self.sidecar.heard.borrow();
        let other = heard
            .as_ref()
            .is_some_and(|heard| heard.lead.group == self.group && heard.lead.token > self.token);
        let state = self.sidecar.state.borrow();
        let member = state.as_ref().is_some_and(|state| state.group.as_deref() == Some(self.group));
        other || self.fenced || !member
    }

    fn take_in(&mut self, report: &RankReport) {
        if report.group != self.group {
            return;
        }
        let now = self.sidecar.clock.now();
        self.ranks.report(report, now);
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let every = rank::counts_every(model.sets * model.experts);
        let new = || RecentDemand::new(model.sets, model.experts, every);
        let demand = self.demand.get_or_insert_with(new);
        demand.add(report.from as usize, &report.counts, now);
    }

    fn engine(&self, server: SocketAddr) -> Engine {
        Engine::new(server, self.sidecar.internal.clone())
    }

    /// One step. True if something is under way.
    async fn step(&mut self) -> bool {
        self.ranks.ask_silent(self.sidecar, self.group);
        let wanted = self.wanted.as_ref().map(|(wanted, _)| wanted.version);
        let states = self.ranks.states(wanted, self.sidecar.clock.now());
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
            self.read_map(version, states.len()).await;
        }
        if self.wanted.is_none() && whole {
            self.plan(&known);
        }
        if self.wanted.is_some() {
            self.tell_pace(states.len());
        }
        let view = View {
            ranks: &states,
            own: self.own_rank(),
            token: self.token,
            predecessor: self.predecessor(&states),
            ahead: self.loss.ahead(states.len(), self.sidecar.pass_ms.get()),
        };
        let act = decide(view, self.wanted.as_ref().map(|(wanted, _)| wanted));
        match act {
            Act::Wait => self.wanted.is_some(),
            Act::Want => {
                let map = self.map.as_ref().map(|(_, map)| map.clone());
                map.into_iter().for_each(|map| self.want(map));
                true
            }
            Act::Orders(orders) => {
                self.give(&states, orders).await;
                true
            }
        }
    }

    fn own_rank(&self) -> usize {
        self.ranks.number_at(self.sidecar.server).unwrap_or(0)
    }

    /// The rank of the coordinator before, if it is the one that can't be reached.
    fn predecessor(&self, states: &[Option<RankState>]) -> Option<usize> {
        let before = self.before?;
        let heard = self.ranks.hears(before, self.sidecar.clock.now());
        if heard { None } else { states.iter().position(Option::is_none) }
    }

    /// Forgets a change that is in force, that is too late, or whose loads are for a
    /// demand that has shifted: those of the next plan take their place.
    fn drop_wanted(&mut self, states: &[&RankState]) {
        let Some((wanted, since)) = &self.wanted else {
            self.shifts = self.demand.as_ref().map_or(0, RecentDemand::shifts);
            return;
        };
        let now = self.sidecar.clock.now();
        if states.iter().all(|state| state.map == wanted.version) {
            info!(self.sidecar.log, "map in force"; "group" => self.group, "version" => wanted.version,
                "pass" => states[0].pass, "took_ms" => now.since(*since).as_millis() as u64);
            self.map = Some((wanted.version, wanted.map.clone()));
            self.wanted = None;
            self.paced = Uptime::default();
            self.tell_pace(states.len());
            return;
        }
        let shifts = self.demand.as_ref().map_or(0, RecentDemand::shifts);
        let shifted = std::mem::replace(&mut self.shifts, shifts) != shifts;
        let begun = states.iter().any(|state| state.has_begun(wanted.version));
        if !begun && (shifted || now.since(*since) > CHANGE_LASTS) {
            warn!(self.sidecar.log, "change of map dropped"; "group" => self.group,
                "version" => wanted.version, "shifted" => shifted);
            self.wanted = None;
        }
    }

    /// Reads the map in force from the ranks. A rank that can't be reached holds at
    /// least what no other does; the map is read again when it is back.
    async fn read_map(&mut self, version: u64, ranks: usize) {
        // One that is silent would hold up the others.
        let fresh = self.ranks.fresh(self.sidecar.clock.now());
        let reads = fresh.map(async |seen| (seen.state.rank, self.read_rank(seen).await));
        let read: Vec<(u32, Option<(u64, Layers)>)> = join_all(reads).await;
        let mut by_rank: Vec<Option<Layers>> = vec![None; ranks];
        for (rank, layers) in read {
            let layers = layers.filter(|(read, _)| *read == version).map(|(_, layers)| layers);
            if let Some(place) = by_rank.get_mut(rank as usize) {
                *place = layers;
            }
        }
        let missing = by_rank.iter().filter(|layers| layers.is_none()).count();
        let experts = self.sidecar.model.borrow().as_ref().map_or(0, |model| model.experts);
        if missing > 1 || experts == 0 {
            warn!(self.sidecar.log, "map not read"; "group" => self.group, "version" => version,
                "missing" => missing);
            return;
        }
        self.map = Some((version, plan::assemble(&by_rank, experts)));
        self.guessed = missing > 0;
        info!(self.sidecar.log, "map read"; "group" => self.group, "version" => version,
            "missing" => missing);
    }

    async fn read_rank(&self, seen: &Seen) -> Option<(u64, Layers)> {
        if seen.read_at.is_none() || seen.server == self.sidecar.server {
            return self.engine(seen.server).map().await.ok();
        }
        let addr = self.sidecar.addr(seen.server.ip());
        internal::call(&self.sidecar.internal, addr, "/map", &(), ORDER_LASTS).await.ok()
    }

    fn plan(&mut self, states: &[&RankState]) {
        let idle = states.iter().all(|state| state.scheduled.is_none() && state.paused.is_none());
        let (Some(demand), Some((_, map))) = (&self.demand, &self.map) else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        if !idle || !demand.is_known(self.sidecar.clock.now()) {
            return;
        }
        let (demand, pace) = (demand.by_set(), self.ranks.paces(states.len()));
        let work = Work { demand: &demand, pace: &pace };
        let pressure = plan::pressure(&model, self.ranks.load(), states.len());
        let Some(plan) = plan::planner(&model).plan(map, work, pressure) else { return };
        info!(self.sidecar.log, "map planned"; "group" => self.group, "loads" => plan.loads,
            "moved" => plan.moved, "pressure" => format!("{pressure:.2}"),
            "skew_now" => format!("{:.3}", plan.skew_now),
            "skew_then" => format!("{:.3}", plan.skew_then));
        self.want(plan.map);
    }

    /// Tells gateways how long passes are while the map doesn't fit demand: they see it
    /// only some passes later.
    fn tell_pace(&mut self, ranks: usize) {
        let now = self.sidecar.clock.now();
        if now.since(self.paced) < PACE_EVERY {
            return;
        }
        let (Some(demand), Some((_, map))) = (&self.demand, &self.map) else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        if !demand.is_known(now) {
            return;
        }
        let (demand, pace) = (demand.by_set(), self.ranks.paces(ranks));
        let skew = mean_skew(map, Work { demand: &demand, pace: &pace });
        let running = f64::from(self.ranks.load()) / ranks.max(1) as f64;
        let pass_ms = model.pass.pass_ms(running, skew) as u32;
        self.paced = now;
        let pace = Message::Pace(Pace { group: self.group.to_owned(), pass_ms });
        self.sidecar.gateways.borrow().live().for_each(|ip| self.sidecar.send(ip, &pace));
    }

    fn want(&mut self, map: GroupMap) {
        self.versions += 1;
        let version = version(self.token, self.versions);
        self.wanted = Some((Wanted { version, map }, self.sidecar.clock.now()));
    }

    /// Gives orders to ranks, all at once, and takes their states in.
    async fn give(&mut self, states: &[Option<RankState>], orders: Vec<(usize, OrderKind)>) {
        let given = orders.into_iter().filter_map(|(at, kind)| {
            let state = states[at].as_ref()?;
            let order = Order { token: self.token, taken: state.taken, epoch: state.epoch, kind };
            Some(self.give_one(state.rank, order))
        });
        // What ranks reply is as old as the order, if this process stood still.
        let now = self.sidecar.clock.now();
        let replies = join_all(given).await;
        for (rank, loads, reply) in replies {
            if let (Some(loads), Some(Taken::Yes)) = (loads, reply.taken) {
                self.ranks.loads(rank, loads.0, loads.1, now);
            }
            self.loss.note(reply.taken.is_some(), now);
            self.fenced |= reply.taken == Some(Taken::Fenced);
            let Some(seen) = self.ranks.get(rank) else { continue };
            let server = seen.server;
            let read_at = seen.read_at.map(|_| reply.read_at);
            if let Some(state) = reply.state {
                let (load, pace_milli) = (seen.load, seen.pace_milli);
                self.ranks.note(Seen { server, at: now, read_at, state, load, pace_milli });
            }
        }
    }

    /// Gives an order from here, and asks the rank's sidecar for its state after it.
    /// A pause must not depend on the sidecar: if it stood still right after giving
    /// it, nobody could end the pause.
    async fn give_directly(&self, seen: &Seen, order: &Order) -> OrderReply {
        let taken = rank::give(self.sidecar, &self.engine(seen.server), order).await;
        let reply = self.call_sidecar(seen, "/state", &()).await;
        OrderReply { taken, ..reply }
    }

    async fn call_sidecar<A: Serialize>(&self, seen: &Seen, path: &str, asked: &A) -> OrderReply {
        let addr = self.sidecar.addr(seen.server.ip());
        let call = internal::call(&self.sidecar.internal, addr, path, asked, ORDER_LASTS);
        call.await.unwrap_or_else(|error| {
            warn!(self.sidecar.log, "sidecar gave no answer"; "rank" => seen.state.rank, "error" => %error);
            OrderReply::default()
        })
    }

    /// Gives an order. Names the version and epoch if it was one to load.
    async fn give_one(&self, rank: u32, order: Order) -> (u32, Option<(u64, u64)>, OrderReply) {
        let Some(seen) = self.ranks.get(rank) else {
            return (rank, None, OrderReply::default());
        };
        let reply = if seen.read_at.is_none() || seen.server == self.sidecar.server {
            rank::carry_out(self.sidecar, &self.engine(seen.server), &order).await
        } else if matches!(order.kind, OrderKind::Pause { .. } | OrderKind::Resume { .. }) {
            self.give_directly(seen, &order).await
        } else {
            self.call_sidecar(seen, "/order", &order).await
        };
        let brief = match &order.kind {
            OrderKind::Load { version, .. } => format!("load {version}"),
            other => format!("{other:?}"),
        };
        info!(self.sidecar.log, "order"; "group" => self.group, "rank" => rank, "order" => brief,
            "taken" => order.taken, "outcome" => ?reply.taken);
        let loads = match &order.kind {
            OrderKind::Load { version, .. } => Some((*version, order.epoch)),
            _ => None,
        };
        (rank, loads, reply)
    }
}
