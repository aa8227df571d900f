//! The coordinator of a group: plans maps, and has them put in force.

use super::{
    lead::{self, LEAD_EVERY},
    rank,
    state::Sidecar,
};
use crate::{
    gateway::message::{OrderReply, RankReport},
    net::internal,
};
use futures_util::future::join_all;
use mastweir_core::{
    experts::{
        layers::{LayerPlanner, mean_skew},
        recent::RecentDemand,
    },
    gateway::Model,
    switch::hold::{Act, GroupMap, Layers, Order, OrderKind, RankState, Taken, Wanted, decide},
    time::Uptime,
};
use slog::{info, warn};
use std::{collections::BTreeMap, net::IpAddr, time::Duration};
use tokio::{sync::mpsc, time};

/// A rank's state that is older than this decides nothing.
const STATE_LASTS: Duration = Duration::from_millis(700);
/// Pause between two looks while nothing is under way, and while something is.
const LOOK_IDLE: Duration = Duration::from_millis(100);
const LOOK_BUSY: Duration = Duration::from_millis(15);
/// An order goes to a sidecar in another hall and its server, and back.
const ORDER_LASTS: Duration = Duration::from_millis(600);
/// A change that has not begun to pause the group after this time is dropped:
/// demand has moved on.
const CHANGE_LASTS: Duration = Duration::from_secs(4);
/// Seconds for which a map helps, as demand shifts every few seconds.
const HORIZON_S: f64 = 2.5;
/// Part of the passes' work that a plan has to save.
const LEAST_GAIN: f64 = 0.05;
/// Versions under one token; tokens are the higher bits, so that no two
/// coordinators give the same version to two maps.
const VERSIONS_BITS: u32 = 20;

#[derive(Debug)]
struct Seen {
    ip: IpAddr,
    at: Uptime,
    state: RankState,
}

struct Coordinator<'a> {
    sidecar: &'a Sidecar,
    group: &'a str,
    token: u64,
    ranks: BTreeMap<u32, Seen>,
    demand: Option<RecentDemand>,
    map: Option<(u64, GroupMap)>,
    wanted: Option<(Wanted, Uptime)>,
    versions: u64,
    fenced: bool,
}

/// Coordinates until another takes over.
pub async fn run(
    sidecar: &Sidecar,
    group: &str,
    token: u64,
    reports: &mut mpsc::Receiver<(IpAddr, RankReport)>,
) {
    let mut own = Coordinator {
        sidecar,
        group,
        token,
        ranks: BTreeMap::new(),
        demand: None,
        map: None,
        wanted: None,
        versions: 0,
        fenced: false,
    };
    let mut announced = time::Instant::now() - LEAD_EVERY;
    loop {
        if announced.elapsed() >= LEAD_EVERY {
            announced = time::Instant::now();
            lead::announce(sidecar, group, token);
        }
        while let Ok((ip, report)) = reports.try_recv() {
            own.take_in(ip, report);
        }
        if own.is_over() {
            return;
        }
        let busy = own.step().await;
        let pause = if busy { LOOK_BUSY } else { LOOK_IDLE };
        // A report ends the pause.
        if let Ok(Some((ip, report))) = time::timeout(pause, reports.recv()).await {
            own.take_in(ip, report);
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

    fn take_in(&mut self, ip: IpAddr, report: RankReport) {
        if report.group != self.group {
            return;
        }
        let now = self.sidecar.clock.now();
        self.note(ip, report.state, now);
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        let demand =
            self.demand.get_or_insert_with(|| RecentDemand::new(model.sets, model.experts));
        demand.add(report.from as usize, &report.counts, now);
    }

    fn note(&mut self, ip: IpAddr, state: RankState, now: Uptime) {
        let before = self.ranks.get(&state.rank);
        let newer = before.is_none_or(|before| {
            state.epoch > before.state.epoch
                || (state.epoch == before.state.epoch && state.taken >= before.state.taken)
        });
        // A server that restarted counts its orders from zero, in a new epoch.
        if newer {
            self.ranks.insert(state.rank, Seen { ip, at: now, state });
        }
    }

    /// The states of all ranks, in order, if all are fresh and of one life.
    fn states(&self) -> Option<Vec<RankState>> {
        let now = self.sidecar.clock.now();
        let size = self.ranks.values().next()?.state.size as usize;
        let fresh = |seen: &&Seen| now.since(seen.at) < STATE_LASTS;
        let states: Vec<RankState> =
            self.ranks.values().filter(fresh).map(|seen| seen.state.clone()).collect();
        let epoch = states.first()?.epoch;
        let whole = states.len() == size && states.iter().all(|state| state.epoch == epoch);
        whole.then_some(states)
    }

    /// One step. True if something is under way.
    async fn step(&mut self) -> bool {
        let Some(states) = self.states() else { return false };
        let version = states[0].map;
        let one_map = states.iter().all(|state| state.map == version);
        self.drop_wanted(&states);
        if !one_map {
            // Some states are from before a switch, some from after it.
            return true;
        }
        if self.map.as_ref().is_none_or(|(known, _)| *known != version) {
            self.read_map(version, &states).await;
            return true;
        }
        if self.wanted.is_none() {
            self.plan(&states);
        }
        let own = self.own_rank();
        let act = decide(&states, self.wanted.as_ref().map(|(wanted, _)| wanted), own);
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
        let ip = self.sidecar.ip;
        self.ranks.values().position(|seen| seen.ip == ip).unwrap_or(0)
    }

    /// Forgets a change that is in force, or that is too late.
    fn drop_wanted(&mut self, states: &[RankState]) {
        let Some((wanted, since)) = &self.wanted else { return };
        let now = self.sidecar.clock.now();
        if states.iter().all(|state| state.map == wanted.version) {
            info!(self.sidecar.log, "map in force"; "group" => self.group, "version" => wanted.version,
                "pass" => states[0].pass, "took_ms" => now.since(*since).as_millis() as u64);
            self.map = Some((wanted.version, wanted.map.clone()));
            self.wanted = None;
            return;
        }
        let begun = states.iter().any(|state| {
            state.paused.is_some() || state.scheduled.is_some() || state.map == wanted.version
        });
        if !begun && now.since(*since) > CHANGE_LASTS {
            warn!(self.sidecar.log, "change of map dropped"; "group" => self.group,
                "version" => wanted.version);
            self.wanted = None;
        }
    }

    async fn read_map(&mut self, version: u64, states: &[RankState]) {
        let reads = self.ranks.values().map(|seen| self.read_rank(seen.ip));
        let read: Vec<Option<(u64, Layers)>> = join_all(reads).await;
        let layers: Vec<Layers> = read
            .into_iter()
            .flatten()
            .filter(|(read, _)| *read == version)
            .map(|(_, layers)| layers)
            .collect();
        if layers.len() != states.len() {
            warn!(self.sidecar.log, "map not read"; "group" => self.group, "version" => version,
                "ranks" => layers.len());
            return;
        }
        let sets = layers.first().map_or(0, Vec::len);
        let by_set = |set: usize| layers.iter().map(|rank| rank[set].clone()).collect();
        self.map = Some((version, (0..sets).map(by_set).collect()));
        info!(self.sidecar.log, "map read"; "group" => self.group, "version" => version, "sets" => sets);
    }

    async fn read_rank(&self, ip: IpAddr) -> Option<(u64, Layers)> {
        if ip == self.sidecar.ip {
            return self.sidecar.engine.map().await.ok();
        }
        let addr = self.sidecar.addr(ip);
        internal::call(&self.sidecar.internal, addr, "/map", &(), ORDER_LASTS).await.ok()
    }

    fn plan(&mut self, states: &[RankState]) {
        let idle = states.iter().all(|state| state.scheduled.is_none() && state.paused.is_none());
        let (Some(demand), Some((_, map))) = (&self.demand, &self.map) else { return };
        let Some(model) = self.sidecar.model.borrow().clone() else { return };
        if !idle || !demand.is_known() {
            return;
        }
        let demand = demand.by_set();
        let Some(plan) = planner(&model).plan(map, &demand) else { return };
        info!(self.sidecar.log, "map planned"; "group" => self.group, "loads" => plan.loads,
            "skew_now" => format!("{:.3}", mean_skew(map, &demand)),
            "skew_then" => format!("{:.3}", plan.skew_then));
        self.want(plan.map);
    }

    fn want(&mut self, map: GroupMap) {
        self.versions += 1;
        let version = (self.token << VERSIONS_BITS) + self.versions;
        self.wanted = Some((Wanted { version, map }, self.sidecar.clock.now()));
    }

    /// Gives orders to ranks, all at once, and takes their states in.
    async fn give(&mut self, states: &[RankState], orders: Vec<(usize, OrderKind)>) {
        let given = orders.into_iter().map(|(at, kind)| {
            let state = &states[at];
            let order = Order { token: self.token, taken: state.taken, epoch: state.epoch, kind };
            self.give_one(state.rank, order)
        });
        let replies = join_all(given).await;
        let now = self.sidecar.clock.now();
        for (rank, reply) in replies {
            self.fenced |= reply.taken == Some(Taken::Fenced);
            let Some(seen) = self.ranks.get(&rank) else { continue };
            let ip = seen.ip;
            if let Some(state) = reply.state {
                self.note(ip, state, now);
            }
        }
    }

    async fn give_one(&self, rank: u32, order: Order) -> (u32, OrderReply) {
        let ip = self.ranks[&rank].ip;
        let reply = if ip == self.sidecar.ip {
            rank::carry_out(self.sidecar, &order).await
        } else {
            let addr = self.sidecar.addr(ip);
            let call = internal::call(&self.sidecar.internal, addr, "/order", &order, ORDER_LASTS);
            call.await.unwrap_or_else(|error| {
                warn!(self.sidecar.log, "sidecar gave no answer"; "rank" => rank, "error" => %error);
                OrderReply { taken: None, state: None }
            })
        };
        let brief = match &order.kind {
            OrderKind::Load { version, .. } => format!("load {version}"),
            other => format!("{other:?}"),
        };
        info!(self.sidecar.log, "order"; "group" => self.group, "rank" => rank, "order" => brief,
            "taken" => order.taken, "outcome" => ?reply.taken);
        (rank, reply)
    }
}

fn planner(model: &Model) -> LayerPlanner {
    LayerPlanner {
        places: model.places,
        fresh: model.fresh,
        load_s: model.load_s,
        horizon_s: HORIZON_S,
        least_gain: LEAST_GAIN,
    }
}
