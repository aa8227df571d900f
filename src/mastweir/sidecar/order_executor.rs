//! Executes orders of a group's coordinator, and forwards those for other ranks of the subtree.
//!
//! Runs in the sidecar of each rank and serves the internal calls of other sidecars. An order
//! names the epoch, version, pass and number of orders accepted before, so a repeated order
//! takes effect only once.

use super::state::Sidecar;
use crate::{
    gateway::message::{
        BatchOrder, BatchOrderKind, BatchReplies, FinishReply, FinishRequest, OrderBatch,
        OrderReply,
    },
    net::internal,
    platform::engine::{EngineClient, EngineError},
};
use futures_util::future::join_all;
use mastweir_core::switch::{
    map_change::{Order, OrderKind, OrderOutcome, RankState},
    maps::{MapDelta, round_robin_map},
};
use slog::{info, warn};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::task;

/// Covers the way to a sidecar of the same hall and its server, and back. Shorter than the
/// coordinator's wait for the whole batch.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Attempts to send an order to a server before it is reported as unanswered. Repeating it here is
/// cheaper than another batch, which takes as long as its slowest rank. With a tenth of the orders
/// lost, one round in 160 of 63 ranks lacks an answer; with one attempt, six orders of each round
/// do.
const ATTEMPTS_MAX: u32 = 4;

/// Time for a delegate to read the state of a rank after an order. Short, since the group is
/// paused, and the coordinator's server may have become unreachable.
const FINAL_STATE_TIMEOUT: Duration = Duration::from_millis(40);

/// Handles a call of another sidecar. Returns the encoded answer, or `None` for an unknown path,
/// a malformed body, or data that this sidecar lacks.
pub async fn handle_call(sidecar: &Rc<Sidecar>, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        "/orders" => {
            let batch: OrderBatch = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&execute_batch(sidecar, batch).await).ok()
        }
        "/finish" => {
            let request: FinishRequest = postcard::from_bytes(body).ok()?;
            let delegate = sidecar.clone();
            // A task of its own, so that the end of the coordinator's connection doesn't stop it.
            let finishing = task::spawn_local(async move { finish(&delegate, &request).await });
            postcard::to_stdvec(&finishing.await.ok()?).ok()
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
                warn!(sidecar.log, "failed to read map"; "error" => %error);
                None
            }
        },
        _ => None,
    }
}

/// Executes the order for the local server and forwards the others.
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

/// Gives the last two orders of a map change as the coordinator's delegate: schedules the version
/// at the coordinator's rank, and resumes the group only if that rank has it.
async fn finish(sidecar: &Sidecar, request: &FinishRequest) -> FinishReply {
    let FinishRequest { orders, own, paused } = request;
    let schedule = execute_final(sidecar, *own, &orders.schedule()).await;
    let resume = if orders.may_resume(schedule.outcome, schedule.state.as_ref()) {
        Some(execute_final(sidecar, *paused, &orders.resume()).await)
    } else {
        None
    };
    info!(sidecar.log, "finished map change as delegate"; "token" => orders.token,
        "epoch" => orders.epoch, "version" => orders.version, "pass" => orders.pass,
        "server" => %own, "schedule" => ?schedule.outcome,
        "resume" => ?resume.as_ref().and_then(|reply| reply.outcome));
    FinishReply { schedule, resume }
}

/// Gives one of the last orders, and reads the state of its rank if it was not accepted.
async fn execute_final(sidecar: &Sidecar, server: SocketAddr, order: &Order) -> OrderReply {
    let engine = EngineClient::new(server, sidecar.peer_pool.clone());
    let SendResult { outcome, unanswered } = send_order(sidecar, &engine, order).await;
    let state = if outcome == Some(OrderOutcome::Accepted) {
        None
    } else {
        read_final_state(sidecar, server, &engine).await
    };
    OrderReply { outcome, state, read_at: sidecar.clock.now(), needs_map: false, unanswered }
}

async fn read_final_state(
    sidecar: &Sidecar,
    server: SocketAddr,
    engine: &EngineClient,
) -> Option<RankState> {
    let until = sidecar.clock.now() + FINAL_STATE_TIMEOUT;
    let read = sidecar.clock.timeout_at(until, engine.state()).await;
    let error = match read {
        Ok(Ok(state)) => return state.rank,
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    warn!(sidecar.log, "failed to read state after order"; "server" => %server, "error" => error);
    None
}

async fn forward_order(sidecar: &Sidecar, order: BatchOrder, map: Option<&MapDelta>) -> OrderReply {
    let server = order.server;
    let batch = OrderBatch { map: map.cloned(), orders: vec![order] };
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.peer_pool, addr, "/orders", &batch, FORWARD_TIMEOUT);
    let results: Result<BatchReplies, _> = call.await;
    let replies = results.unwrap_or_else(|error| {
        warn!(sidecar.log, "failed to forward order"; "server" => %server, "error" => %error);
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

/// Caches the initial map of the group's epoch, which is the base of its first map changes. If it
/// is not the real one, the digest of the resulting map differs.
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

/// Sends an order to a server, repeats it while there is no answer, and reads the state after it.
pub async fn execute(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> OrderReply {
    let sent = send_order(sidecar, engine, order).await;
    sidecar.state_changed.notify_one();
    reply_with_state(sidecar, engine, sent).await
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendResult {
    /// `None` if the server did not answer.
    pub outcome: Option<OrderOutcome>,
    /// Number of attempts without an answer.
    pub unanswered: u32,
}

/// Sends an order to a server, with several attempts while the server does not answer.
pub async fn send_order(sidecar: &Sidecar, engine: &EngineClient, order: &Order) -> SendResult {
    let mut unanswered = 0;
    while unanswered < ATTEMPTS_MAX {
        match engine.order(order).await {
            Ok(outcome) => return SendResult { outcome: Some(outcome), unanswered },
            Err(error) => {
                unanswered += 1;
                warn!(sidecar.log, "order not answered"; "token" => order.token,
                    "taken" => order.order_seq, "times" => unanswered, "error" => %error);
                if !matches!(error, EngineError::Call(_)) {
                    break;
                }
            }
        }
    }
    SendResult { outcome: None, unanswered }
}

/// Returns the reply to an order with the current state of the rank.
async fn reply_with_state(
    sidecar: &Sidecar,
    engine: &EngineClient,
    sent: SendResult,
) -> OrderReply {
    let state = engine.state().await.ok().and_then(|state| state.rank);
    let SendResult { outcome, unanswered } = sent;
    OrderReply { outcome, state, read_at: sidecar.clock.now(), needs_map: false, unanswered }
}

/// Requests the state of a rank from its sidecar.
pub async fn fetch_state(sidecar: &Sidecar, server: SocketAddr, wait: Duration) -> OrderReply {
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.peer_pool, addr, "/state", &(), wait);
    call.await.unwrap_or_else(|error| {
        warn!(sidecar.log, "no reply from sidecar"; "server" => %server, "error" => %error);
        OrderReply::default()
    })
}
