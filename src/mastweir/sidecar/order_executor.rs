//! Carrying out a coordinator's orders, and passing on those for the section.

use super::state::Sidecar;
use crate::{
    gateway::message::{BatchOrder, BatchOrderKind, BatchReplies, OrderBatch, OrderReply},
    net::internal,
    platform::engine::{EngineClient, EngineError},
};
use futures_util::future::join_all;
use mastweir_core::switch::{
    map_change::{Order, OrderKind, OrderOutcome},
    maps::{MapDelta, round_robin_map},
};
use slog::warn;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An order goes to a sidecar of the same hall and its server, and back; the coordinator
/// waits 0.2 s longer than that for what all of a section answered.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Times that an order is given, beside its server, before its coordinator is told that it
/// got no answer. With a tenth of them lost a round of 63 ranks lacks one in 160 rounds; given
/// once it lacks six in each, and a round costs its coordinator the slowest rank's wait.
const ATTEMPTS_MAX: u32 = 4;

/// Aggregator another sidecar's call.
pub async fn handle_call(sidecar: &Sidecar, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        "/orders" => {
            let batch: OrderBatch = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&execute_batch(sidecar, batch).await).ok()
        }
        "/state" => postcard::to_stdvec(
            &reply_with_state(sidecar, &sidecar.engine, SendResult::default()).await,
        )
        .ok(),
        "/whole" => {
            let version: u64 = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&*sidecar.maps.borrow().get(version)?).ok()
        }
        "/map" => match sidecar.engine.map().await {
            Ok(map) => postcard::to_stdvec(&map).ok(),
            Err(error) => {
                warn!(sidecar.log, "map not read"; "error" => %error);
                None
            }
        },
        _ => None,
    }
}

/// Carries out the order for the server beside, and passes the others on.
async fn execute_batch(sidecar: &Sidecar, batch: OrderBatch) -> BatchReplies {
    let OrderBatch { map, orders } = batch;
    let results = orders.into_iter().map(async |order| {
        let server = order.server;
        let reply = if server == sidecar.server {
            execute_own(sidecar, order, map.as_ref()).await
        } else {
            forward_order(sidecar, order, map.as_ref()).await
        };
        (server, reply)
    });
    join_all(results).await
}

async fn forward_order(sidecar: &Sidecar, order: BatchOrder, map: Option<&MapDelta>) -> OrderReply {
    let server = order.server;
    let batch = OrderBatch { map: map.cloned(), orders: vec![order] };
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.peer_pool, addr, "/orders", &batch, FORWARD_TIMEOUT);
    let results: Result<BatchReplies, _> = call.await;
    let replies = results.unwrap_or_else(|error| {
        warn!(sidecar.log, "order not passed on"; "server" => %server, "error" => %error);
        BatchReplies::new()
    });
    replies.into_iter().next().map(|(_, reply)| reply).unwrap_or_default()
}

async fn execute_own(sidecar: &Sidecar, order: BatchOrder, map: Option<&MapDelta>) -> OrderReply {
    let kind = match order.kind {
        BatchOrderKind::Schedule { version, pass } => OrderKind::Schedule { version, pass },
        BatchOrderKind::Cancel { version } => OrderKind::Cancel { version },
        BatchOrderKind::Load => {
            if map.is_some_and(|delta| delta.base == 0) {
                cache_initial_map(sidecar);
            }
            let load = map.and_then(|delta| {
                let map = sidecar.maps.borrow_mut().apply(delta)?;
                Some(OrderKind::Load { version: delta.version, map })
            });
            let Some(kind) = load else {
                let reply = reply_with_state(sidecar, &sidecar.engine, SendResult::default()).await;
                return OrderReply { needs_map: true, ..reply };
            };
            kind
        }
    };
    let BatchOrder { token, order_seq, epoch, .. } = order;
    execute(sidecar, &sidecar.engine, &Order { token, order_seq, epoch, kind }).await
}

/// Keeps the map of a group's new life, which is the base of the first changes; the digest
/// of what comes out tells if it was another.
fn cache_initial_map(sidecar: &Sidecar) {
    let mut maps = sidecar.maps.borrow_mut();
    let state = sidecar.engine_state.borrow();
    let rank = state.as_ref().and_then(|state| state.rank.as_ref());
    let model = sidecar.model.borrow();
    if let (None, Some(rank), Some(model)) = (maps.get(0), rank, model.as_ref()) {
        let map = round_robin_map(model.sets, model.experts, rank.size as usize);
        maps.insert(0, Arc::new(map));
    }
}

/// Gives an order to a server, again while it gets no answer, and reads its state after it.
///
/// An order and its repetition name the same life, version, pass and number of orders
/// taken, so only one of them counts, however late the other comes.
pub async fn execute(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> OrderReply {
    let sent = send_order(sidecar, engine, order).await;
    sidecar.state_changed.notify_one();
    reply_with_state(sidecar, engine, sent).await
}

/// What came of giving an order.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendResult {
    /// What the server made of it; none if it gave no answer.
    pub outcome: Option<OrderOutcome>,
    /// Times that it was given without an answer.
    pub unanswered: u32,
}

/// Gives an order to a server, some times over while it gets no answer.
pub async fn send_order(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> SendResult {
    let mut unanswered = 0;
    while unanswered < ATTEMPTS_MAX {
        match engine.order(order).await {
            Ok(outcome) => return SendResult { outcome: Some(outcome), unanswered },
            Err(error) => {
                unanswered += 1;
                warn!(sidecar.log, "order without an answer"; "token" => order.token,
                    "taken" => order.order_seq, "times" => unanswered, "error" => %error);
                if !matches!(error, EngineError::Call(_)) {
                    break;
                }
            }
        }
    }
    SendResult { outcome: None, unanswered }
}

/// What a rank made of an order, with its state now.
async fn reply_with_state(
    sidecar: &Sidecar,
    engine: &EngineClient,
    sent: SendResult,
) -> OrderReply {
    let state = engine.state().await.ok().and_then(|state| state.rank);
    let SendResult { outcome, unanswered } = sent;
    OrderReply { outcome, state, read_at: sidecar.clock.now(), needs_map: false, unanswered }
}

/// Asks another sidecar for its rank's state.
pub async fn fetch_state(sidecar: &Sidecar, server: SocketAddr, wait: Duration) -> OrderReply {
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.peer_pool, addr, "/state", &(), wait);
    call.await.unwrap_or_else(|error| {
        warn!(sidecar.log, "sidecar gave no answer"; "server" => %server, "error" => %error);
        OrderReply::default()
    })
}
