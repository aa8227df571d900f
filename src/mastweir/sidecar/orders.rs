//! How a coordinator's orders reach the servers of its group.
//!
//! Those to load, schedule and cancel go to the heads of the group's sections, a batch
//! each, and come back as one answer a section: a group of 96 ranks takes 10 calls and
//! 10 times what changes in the map, where 96 whole maps took 0.6 s of the coordinator's
//! link. Orders to pause and to resume go from here to the server itself: if a sidecar
//! stood still right after giving one, nobody could end the pause. A rank whose sidecar is
//! silent gets all of its orders so.

use super::{
    carry::{self, Given},
    polling::Shared,
    ranks::Seen,
    state::Sidecar,
};
use crate::{
    gateway::message::{BatchOrder, BatchOrderKind, BatchReplies, OrderBatch, OrderReply},
    net::internal,
    platform::engine::EngineClient,
};
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use mastweir_core::switch::{
    map_change::{GroupMap, Order, OrderKind, OrderOutcome, RankState},
    maps::MapDelta,
};
use slog::{info, warn};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// A batch goes to a head in another hall, from there to its section, and back.
const BATCH_LASTS: Duration = Duration::from_millis(600);

/// What orders are given by.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    /// The ranks' states, in order.
    pub states: &'a [Option<RankState>],
    /// The map in force, with its version.
    pub base: Option<(u64, &'a GroupMap)>,
    /// Servers whose sidecars need all of a map.
    pub lacking: &'a HashSet<SocketAddr>,
}

/// Number and epoch of a rank, and what became of its order.
pub type Replied = (u32, u64, OrderReply);

struct Addressed {
    rank: u32,
    seen: Seen,
    order: Order,
}

/// Gives orders to ranks, all at once.
pub async fn give(
    sidecar: &Sidecar,
    shared: &Shared,
    given: Basis<'_>,
    orders: Vec<(usize, OrderKind)>,
) -> Vec<Replied> {
    let orders = addressed(shared, given, orders);
    log(sidecar, shared, &orders);
    let change = map_change(given, &orders);
    let (through, direct): (Vec<Addressed>, Vec<Addressed>) =
        orders.into_iter().partition(|order| goes_through(sidecar, order));
    let mut under_way: Vec<LocalBoxFuture<'_, Vec<Replied>>> = Vec::new();
    for (head, section) in by_head(sidecar, shared, through) {
        let change = change.as_ref().map(|change| change_for(change, &section, given));
        under_way.push(send(sidecar, shared, head, section, change).boxed_local());
    }
    for order in direct {
        under_way.push(give_directly(sidecar, order).boxed_local());
    }
    let replies: Vec<Replied> = join_all(under_way).await.into_iter().flatten().collect();
    log_replies(sidecar, shared, &replies);
    replies
}

fn addressed(shared: &Shared, given: Basis<'_>, orders: Vec<(usize, OrderKind)>) -> Vec<Addressed> {
    let known = shared.known.borrow();
    let address = |(at, kind): (usize, OrderKind)| {
        let state = given.states[at].as_ref()?;
        let seen = known.ranks.get(state.rank)?.clone();
        let order =
            Order { token: shared.token, order_seq: state.order_seq, epoch: state.epoch, kind };
        Some(Addressed { rank: state.rank, seen, order })
    };
    orders.into_iter().filter_map(address).collect()
}

/// Whether an order goes through the rank's sidecar, rather than from here to its server.
fn goes_through(sidecar: &Sidecar, order: &Addressed) -> bool {
    let is_brief = !matches!(order.order.kind, OrderKind::Pause { .. } | OrderKind::Resume { .. });
    is_brief && order.seen.read_at.is_some() && order.seen.server != sidecar.server
}

/// What changes in the map that is to be loaded, if one is.
fn map_change(given: Basis<'_>, orders: &[Addressed]) -> Option<MapDelta> {
    let (version, map) = orders.iter().find_map(|order| match &order.order.kind {
        OrderKind::Load { version, map } => Some((*version, map)),
        _ => None,
    })?;
    let change = given.base.map(|base| MapDelta::from_base(base, version, map));
    Some(change.unwrap_or_else(|| MapDelta::full(version, map)))
}

/// The same with all of the map, if a sidecar of the section lacks the base.
fn change_for(change: &MapDelta, section: &[Addressed], given: Basis<'_>) -> MapDelta {
    let lacks = section.iter().any(|order| given.lacking.contains(&order.seen.server));
    let map = section.iter().find_map(|order| match &order.order.kind {
        OrderKind::Load { map, .. } => Some(map),
        _ => None,
    });
    match map.filter(|_| lacks) {
        Some(map) => MapDelta::full(change.version, map),
        None => change.clone(),
    }
}

/// Orders by the head that passes them on: that of their section, or the first of them if
/// that is silent itself.
fn by_head(
    sidecar: &Sidecar,
    shared: &Shared,
    orders: Vec<Addressed>,
) -> Vec<(SocketAddr, Vec<Addressed>)> {
    let known = shared.known.borrow();
    let sections = known.sections(sidecar.clock.now());
    let mut parts: BTreeMap<Option<usize>, Vec<Addressed>> = BTreeMap::new();
    for order in orders {
        let section = sections.iter().position(|section| section.contains(&order.seen.server));
        parts.entry(section).or_default().push(order);
    }
    let headed = |(at, part): (Option<usize>, Vec<Addressed>)| {
        let heard = |head: &&SocketAddr| part.iter().any(|order| order.seen.server == **head);
        let head = at.and_then(|at| sections[at].first()).filter(heard);
        let head = head.copied().unwrap_or(part[0].seen.server);
        (head, part)
    };
    parts.into_iter().map(headed).collect()
}

/// Sends a batch to a head.
async fn send(
    sidecar: &Sidecar,
    shared: &Shared,
    head: SocketAddr,
    section: Vec<Addressed>,
    map: Option<MapDelta>,
) -> Vec<Replied> {
    let orders = section.iter().filter_map(directed).collect();
    let batch = OrderBatch { map, orders };
    let addr = sidecar.addr(head.ip());
    let call = internal::call(&sidecar.internal, addr, "/orders", &batch, BATCH_LASTS).await;
    let carried: BatchReplies = call.unwrap_or_else(|error| {
        warn!(sidecar.log, "section gave no answer"; "head" => %head, "error" => %error);
        shared.known.borrow_mut().failed(head, sidecar.clock.now());
        BatchReplies::new()
    });
    let mut replies: BTreeMap<SocketAddr, OrderReply> = carried.into_iter().collect();
    let replied = |order: Addressed| {
        let reply = replies.remove(&order.seen.server).unwrap_or_default();
        (order.rank, order.order.epoch, reply)
    };
    section.into_iter().map(replied).collect()
}

fn directed(order: &Addressed) -> Option<BatchOrder> {
    let brief = match &order.order.kind {
        OrderKind::Load { .. } => BatchOrderKind::Load,
        OrderKind::Schedule { version, pass } => {
            BatchOrderKind::Schedule { version: *version, pass: *pass }
        }
        OrderKind::Cancel { version } => BatchOrderKind::Cancel { version: *version },
        OrderKind::Pause { .. } | OrderKind::Resume { .. } => return None,
    };
    let Order { token, order_seq: taken, epoch, .. } = order.order;
    Some(BatchOrder { server: order.seen.server, token, order_seq: taken, epoch, kind: brief })
}

/// Gives an order from here, and asks the rank's sidecar, if that is heard, for its state
/// after it.
async fn give_directly(sidecar: &Sidecar, order: Addressed) -> Vec<Replied> {
    let Addressed { rank, seen, order } = order;
    let engine = EngineClient::new(seen.server, sidecar.internal.clone());
    if let (OrderKind::Load { version, map }, true) = (&order.kind, seen.server == sidecar.server) {
        sidecar.maps.borrow_mut().insert(*version, map.clone());
    }
    let reply = if seen.read_at.is_none() || seen.server == sidecar.server {
        carry::carry_out(sidecar, &engine, &order).await
    } else {
        let Given { taken, unanswered } = carry::give(sidecar, &engine, &order).await;
        let reply = carry::state_of(sidecar, seen.server, BATCH_LASTS).await;
        OrderReply { outcome: taken, unanswered, ..reply }
    };
    vec![(rank, order.epoch, reply)]
}

fn log(sidecar: &Sidecar, shared: &Shared, orders: &[Addressed]) {
    let Some(first) = orders.first() else { return };
    let brief = match &first.order.kind {
        OrderKind::Load { version, .. } => format!("load {version}"),
        other => format!("{other:?}"),
    };
    info!(sidecar.log, "orders given"; "group" => &shared.group, "token" => shared.token,
        "epoch" => first.order.epoch, "first" => brief, "first_rank" => first.rank,
        "ranks" => orders.len());
}

fn log_replies(sidecar: &Sidecar, shared: &Shared, replies: &[Replied]) {
    let taken = replies.iter().filter(|(_, _, reply)| reply.outcome.is_some());
    let silent: Vec<u32> = replies
        .iter()
        .filter(|(_, _, reply)| reply.outcome.is_none())
        .map(|(rank, ..)| *rank)
        .collect();
    let refused = replies
        .iter()
        .filter(|(_, _, reply)| reply.outcome.is_some_and(|taken| taken != OrderOutcome::Accepted));
    let lacking = replies.iter().filter(|(_, _, reply)| reply.needs_map).count();
    info!(sidecar.log, "orders answered"; "group" => &shared.group, "answered" => taken.count(),
        "refused" => refused.count(), "lacking" => lacking, "silent" => silent.len(),
        "first_silent" => silent.first());
}
