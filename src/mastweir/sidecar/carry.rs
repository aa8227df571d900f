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
const PASSED_ON_LASTS: Duration = Duration::from_millis(400);

/// Times that an order is given, beside its server, before its coordinator is told that it
/// got no answer. With a tenth of them lost a round of 63 ranks lacks one in 160 rounds; given
/// once it lacks six in each, and a round costs its coordinator the slowest rank's wait.
const GIVEN_MAX: u32 = 4;

/// Answers another sidecar's call.
pub async fn answer(sidecar: &Sidecar, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        "/orders" => {
            let batch: OrderBatch = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&carry_all(sidecar, batch).await).ok()
        }
        "/state" => {
            postcard::to_stdvec(&after(sidecar, &sidecar.engine, Given::default()).await).ok()
        }
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
async fn carry_all(sidecar: &Sidecar, batch: OrderBatch) -> BatchReplies {
    let OrderBatch { map, orders } = batch;
    let carried = orders.into_iter().map(async |order| {
        let server = order.server;
        let reply = if server == sidecar.server {
            carry_own(sidecar, order, map.as_ref()).await
        } else {
            pass_on(sidecar, order, map.as_ref()).await
        };
        (server, reply)
    });
    join_all(carried).await
}

async fn pass_on(sidecar: &Sidecar, order: BatchOrder, map: Option<&MapDelta>) -> OrderReply {
    let server = order.server;
    let batch = OrderBatch { map: map.cloned(), orders: vec![order] };
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.internal, addr, "/orders", &batch, PASSED_ON_LASTS);
    let carried: Result<BatchReplies, _> = call.await;
    let replies = carried.unwrap_or_else(|error| {
        warn!(sidecar.log, "order not passed on"; "server" => %server, "error" => %error);
        BatchReplies::new()
    });
    replies.into_iter().next().map(|(_, reply)| reply).unwrap_or_default()
}

async fn carry_own(sidecar: &Sidecar, order: BatchOrder, map: Option<&MapDelta>) -> OrderReply {
    let kind = match order.kind {
        BatchOrderKind::Schedule { version, pass } => OrderKind::Schedule { version, pass },
        BatchOrderKind::Cancel { version } => OrderKind::Cancel { version },
        BatchOrderKind::Load => {
            if map.is_some_and(|change| change.base == 0) {
                know_dealt(sidecar);
            }
            let made = map.and_then(|change| {
                let map = sidecar.maps.borrow_mut().apply(change)?;
                Some(OrderKind::Load { version: change.version, map })
            });
            let Some(kind) = made else {
                let reply = after(sidecar, &sidecar.engine, Given::default()).await;
                return OrderReply { needs_map: true, ..reply };
            };
            kind
        }
    };
    let BatchOrder { token, order_seq: taken, epoch, .. } = order;
    carry_out(sidecar, &sidecar.engine, &Order { token, order_seq: taken, epoch, kind }).await
}

/// Keeps the map of a group's new life, which is the base of the first changes; the digest
/// of what comes out tells if it was another.
fn know_dealt(sidecar: &Sidecar) {
    let mut maps = sidecar.maps.borrow_mut();
    let state = sidecar.state.borrow();
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
pub async fn carry_out(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> OrderReply {
    let given = give(sidecar, engine, order).await;
    sidecar.changed.notify_one();
    after(sidecar, engine, given).await
}

/// What came of giving an order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Given {
    /// What the server made of it; none if it gave no answer.
    pub taken: Option<OrderOutcome>,
    /// Times that it was given without an answer.
    pub unanswered: u32,
}

/// Gives an order to a server, some times over while it gets no answer.
pub async fn give(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> Given {
    let mut unanswered = 0;
    while unanswered < GIVEN_MAX {
        match engine.order(order).await {
            Ok(taken) => return Given { taken: Some(taken), unanswered },
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
    Given { taken: None, unanswered }
}

/// What a rank made of an order, with its state now.
async fn after(sidecar: &Sidecar, engine: &EngineClient, given: Given) -> OrderReply {
    let state = engine.state().await.ok().and_then(|state| state.rank);
    let Given { taken, unanswered } = given;
    OrderReply { outcome: taken, state, read_at: sidecar.clock.now(), needs_map: false, unanswered }
}

/// Asks another sidecar for its rank's state.
pub async fn state_of(sidecar: &Sidecar, server: SocketAddr, wait: Duration) -> OrderReply {
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.internal, addr, "/state", &(), wait);
    call.await.unwrap_or_else(|error| {
        warn!(sidecar.log, "sidecar gave no answer"; "server" => %server, "error" => %error);
        OrderReply::default()
    })
}
