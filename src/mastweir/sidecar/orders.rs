//! Sends the coordinator's orders to the servers of its group.
//!
//! Orders to load, schedule and cancel a map go to the aggregators of the group's subtrees in
//! batches, which keeps the number of calls and the bytes sent for maps small. Orders to pause
//! and resume go directly to the servers: if an aggregator stopped after it had forwarded a
//! pause, nobody could end the pause. A rank whose sidecar is silent gets all of its orders
//! directly.

use super::{
    order_executor::{self, SendResult},
    poller::SharedGroup,
    rank_views::RankView,
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

/// Covers the way to an aggregator in another hall, to its subtree, and back.
const BATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// State of the group at the time of the orders.
#[derive(Clone, Copy)]
pub struct OrderContext<'a> {
    /// States of the ranks, in order. `None` where the state is not recent.
    pub states: &'a [Option<RankState>],
    /// The map in force with its version.
    pub base: Option<(u64, &'a GroupMap)>,
    /// Servers whose sidecars lack the base map and need a full one.
    pub without_base: &'a HashSet<SocketAddr>,
}

/// Number and epoch of a rank, and the reply to its order.
pub type RankReply = (u32, u64, OrderReply);

/// An order for one rank.
struct RankOrder {
    rank: u32,
    view: RankView,
    order: Order,
}

/// Sends orders to ranks concurrently, and returns their replies.
pub async fn send_orders(
    sidecar: &Sidecar,
    shared: &SharedGroup,
    context: OrderContext<'_>,
    orders: Vec<(usize, OrderKind)>,
) -> Vec<RankReply> {
    let orders = address_orders(shared, context, orders);
    log_orders(sidecar, shared, &orders);
    let delta = map_delta(context, &orders);
    let (forwarded, direct): (Vec<RankOrder>, Vec<RankOrder>) =
        orders.into_iter().partition(|order| is_forwarded(sidecar, order));
    let mut pending: Vec<LocalBoxFuture<'_, Vec<RankReply>>> = Vec::new();
    for (aggregator, subtree) in by_aggregator(sidecar, shared, forwarded) {
        let delta = delta.as_ref().map(|delta| delta_for(delta, &subtree, context));
        pending.push(send_batch(sidecar, shared, aggregator, subtree, delta).boxed_local());
    }
    for order in direct {
        pending.push(send_directly(sidecar, order).boxed_local());
    }
    let replies: Vec<RankReply> = join_all(pending).await.into_iter().flatten().collect();
    log_replies(sidecar, shared, &replies);
    replies
}

fn address_orders(
    shared: &SharedGroup,
    context: OrderContext<'_>,
    orders: Vec<(usize, OrderKind)>,
) -> Vec<RankOrder> {
    let group = shared.state.borrow();
    let address = |(at, kind): (usize, OrderKind)| {
        let state = context.states[at].as_ref()?;
        let view = group.ranks.get(state.rank)?.clone();
        let order =
            Order { token: shared.token, order_seq: state.order_seq, epoch: state.epoch, kind };
        Some(RankOrder { rank: state.rank, view, order })
    };
    orders.into_iter().filter_map(address).collect()
}

/// Returns whether an order goes to the rank's sidecar rather than directly to its server.
fn is_forwarded(sidecar: &Sidecar, order: &RankOrder) -> bool {
    let is_forwardable =
        !matches!(order.order.kind, OrderKind::Pause { .. } | OrderKind::Resume { .. });
    is_forwardable && order.view.read_at.is_some() && order.view.server != sidecar.server
}

/// Returns the difference between the base map and the map to load, if any order loads one.
fn map_delta(context: OrderContext<'_>, orders: &[RankOrder]) -> Option<MapDelta> {
    let (version, map) = orders.iter().find_map(|order| match &order.order.kind {
        OrderKind::Load { version, map } => Some((*version, map)),
        _ => None,
    })?;
    let delta = context.base.map(|base| MapDelta::from_base(base, version, map));
    Some(delta.unwrap_or_else(|| MapDelta::full(version, map)))
}

/// Returns the delta for a subtree: the full map if any of its sidecars lacks the base map.
fn delta_for(delta: &MapDelta, subtree: &[RankOrder], context: OrderContext<'_>) -> MapDelta {
    let needs_full = subtree.iter().any(|order| context.without_base.contains(&order.view.server));
    let map = subtree.iter().find_map(|order| match &order.order.kind {
        OrderKind::Load { map, .. } => Some(map),
        _ => None,
    });
    match map.filter(|_| needs_full) {
        Some(map) => MapDelta::full(delta.version, map),
        None => delta.clone(),
    }
}

/// Groups orders by the aggregator that forwards them: that of the rank's subtree, or the first
/// rank with an order if the aggregator itself has none.
fn by_aggregator(
    sidecar: &Sidecar,
    shared: &SharedGroup,
    orders: Vec<RankOrder>,
) -> Vec<(SocketAddr, Vec<RankOrder>)> {
    let state = shared.state.borrow();
    let subtrees = state.subtrees(sidecar.clock.now());
    let mut parts: BTreeMap<Option<usize>, Vec<RankOrder>> = BTreeMap::new();
    for order in orders {
        let subtree = subtrees.iter().position(|subtree| subtree.contains(&order.view.server));
        parts.entry(subtree).or_default().push(order);
    }
    let with_aggregator = |(at, part): (Option<usize>, Vec<RankOrder>)| {
        let is_addressed =
            |aggregator: &&SocketAddr| part.iter().any(|order| order.view.server == **aggregator);
        let aggregator = at.and_then(|at| subtrees[at].first()).filter(is_addressed);
        let aggregator = aggregator.copied().unwrap_or(part[0].view.server);
        (aggregator, part)
    };
    parts.into_iter().map(with_aggregator).collect()
}

/// Sends a batch of orders to an aggregator.
async fn send_batch(
    sidecar: &Sidecar,
    shared: &SharedGroup,
    aggregator: SocketAddr,
    subtree: Vec<RankOrder>,
    map: Option<MapDelta>,
) -> Vec<RankReply> {
    let orders = subtree.iter().filter_map(directed_order).collect();
    let batch = OrderBatch { map, orders };
    let addr = sidecar.addr(aggregator.ip());
    let call = internal::call(&sidecar.peer_pool, addr, "/orders", &batch, BATCH_TIMEOUT).await;
    let results: BatchReplies = call.unwrap_or_else(|error| {
        warn!(sidecar.log, "no reply from aggregator"; "aggregator" => %aggregator,
            "error" => %error);
        shared.state.borrow_mut().record_failure(aggregator, sidecar.clock.now());
        BatchReplies::new()
    });
    let mut replies: BTreeMap<SocketAddr, OrderReply> = results.into_iter().collect();
    let to_reply = |order: RankOrder| {
        let reply = replies.remove(&order.view.server).unwrap_or_default();
        (order.rank, order.order.epoch, reply)
    };
    subtree.into_iter().map(to_reply).collect()
}

fn directed_order(order: &RankOrder) -> Option<BatchOrder> {
    let kind = match &order.order.kind {
        OrderKind::Load { .. } => BatchOrderKind::Load,
        OrderKind::Schedule { version, pass } => {
            BatchOrderKind::Schedule { version: *version, pass: *pass }
        }
        OrderKind::Cancel { version } => BatchOrderKind::Cancel { version: *version },
        OrderKind::Pause { .. } | OrderKind::Resume { .. } => return None,
    };
    let Order { token, order_seq, epoch, .. } = order.order;
    Some(BatchOrder { server: order.view.server, token, order_seq, epoch, kind })
}

/// Sends an order directly to a server. If the rank's sidecar is not silent, the state after the
/// order is fetched from the sidecar.
async fn send_directly(sidecar: &Sidecar, order: RankOrder) -> Vec<RankReply> {
    let RankOrder { rank, view, order } = order;
    let engine = EngineClient::new(view.server, sidecar.peer_pool.clone());
    if let (OrderKind::Load { version, map }, true) = (&order.kind, view.server == sidecar.server) {
        sidecar.maps.borrow_mut().insert(*version, map.clone());
    }
    let reply = if view.read_at.is_none() || view.server == sidecar.server {
        order_executor::execute(sidecar, &engine, &order).await
    } else {
        let SendResult { outcome, unanswered } =
            order_executor::send_order(sidecar, &engine, &order).await;
        let reply = order_executor::fetch_state(sidecar, view.server, BATCH_TIMEOUT).await;
        OrderReply { outcome, unanswered, ..reply }
    };
    vec![(rank, order.epoch, reply)]
}

fn log_orders(sidecar: &Sidecar, shared: &SharedGroup, orders: &[RankOrder]) {
    let Some(first) = orders.first() else { return };
    let brief = match &first.order.kind {
        OrderKind::Load { version, .. } => format!("load {version}"),
        other => format!("{other:?}"),
    };
    info!(sidecar.log, "orders sent"; "group" => &shared.group, "token" => shared.token,
        "epoch" => first.order.epoch, "first" => brief, "first_rank" => first.rank,
        "ranks" => orders.len());
}

fn log_replies(sidecar: &Sidecar, shared: &SharedGroup, replies: &[RankReply]) {
    let answered = replies.iter().filter(|(_, _, reply)| reply.outcome.is_some());
    let silent: Vec<u32> = replies
        .iter()
        .filter(|(_, _, reply)| reply.outcome.is_none())
        .map(|(rank, ..)| *rank)
        .collect();
    let refused = replies.iter().filter(|(_, _, reply)| {
        reply.outcome.is_some_and(|outcome| outcome != OrderOutcome::Accepted)
    });
    let lacking = replies.iter().filter(|(_, _, reply)| reply.needs_map).count();
    info!(sidecar.log, "orders answered"; "group" => &shared.group, "answered" => answered.count(),
        "refused" => refused.count(), "lacking" => lacking, "silent" => silent.len(),
        "first_silent" => silent.first());
}
