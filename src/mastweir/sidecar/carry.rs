//! Carrying out a coordinator's orders, and passing on those for the section.

use super::state::Sidecar;
use crate::{
    gateway::message::{Batch, Brief, Carried, Directed, OrderReply},
    net::internal,
    platform::engine::Engine,
};
use futures_util::future::join_all;
use mastweir_core::switch::{
    hold::{Order, OrderKind, Taken},
    maps::{MapChange, dealt},
};
use slog::warn;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An order goes to a sidecar of the same hall and its server, and back; the coordinator
/// waits 0.2 s longer than that for what all of a section answered.
const PASSED_ON_LASTS: Duration = Duration::from_millis(400);

/// Answers another sidecar's call.
pub async fn answer(sidecar: &Sidecar, path: &str, body: &[u8]) -> Option<Vec<u8>> {
    match path {
        "/orders" => {
            let batch: Batch = postcard::from_bytes(body).ok()?;
            postcard::to_stdvec(&carry_all(sidecar, batch).await).ok()
        }
        "/state" => postcard::to_stdvec(&after(sidecar, &sidecar.engine, None).await).ok(),
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
async fn carry_all(sidecar: &Sidecar, batch: Batch) -> Carried {
    let Batch { map, orders } = batch;
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

async fn pass_on(sidecar: &Sidecar, order: Directed, map: Option<&MapChange>) -> OrderReply {
    let server = order.server;
    let batch = Batch { map: map.cloned(), orders: vec![order] };
    let addr = sidecar.addr(server.ip());
    let call = internal::call(&sidecar.internal, addr, "/orders", &batch, PASSED_ON_LASTS);
    let carried: Result<Carried, _> = call.await;
    let replies = carried.unwrap_or_else(|error| {
        warn!(sidecar.log, "order not passed on"; "server" => %server, "error" => %error);
        Carried::new()
    });
    replies.into_iter().next().map(|(_, reply)| reply).unwrap_or_default()
}

async fn carry_own(sidecar: &Sidecar, order: Directed, map: Option<&MapChange>) -> OrderReply {
    let kind = match order.brief {
        Brief::Schedule { version, pass } => OrderKind::Schedule { version, pass },
        Brief::Cancel { version } => OrderKind::Cancel { version },
        Brief::Load => {
            if map.is_some_and(|change| change.base == 0) {
                know_dealt(sidecar);
            }
            let made = map.and_then(|change| {
                let map = sidecar.maps.borrow_mut().apply(change)?;
                Some(OrderKind::Load { version: change.version, map })
            });
            let Some(kind) = made else {
                let reply = after(sidecar, &sidecar.engine, None).await;
                return OrderReply { lacks: true, ..reply };
            };
            kind
        }
    };
    let Directed { token, taken, epoch, .. } = order;
    carry_out(sidecar, &sidecar.engine, &Order { token, taken, epoch, kind }).await
}

/// Keeps the map of a group's new life, which is the base of the first changes; the digest
/// of what comes out tells if it was another.
fn know_dealt(sidecar: &Sidecar) {
    let mut maps = sidecar.maps.borrow_mut();
    let state = sidecar.state.borrow();
    let rank = state.as_ref().and_then(|state| state.rank.as_ref());
    let model = sidecar.model.borrow();
    if let (None, Some(rank), Some(model)) = (maps.get(0), rank, model.as_ref()) {
        let map = dealt(model.sets, model.experts, rank.size as usize);
        maps.keep(0, Arc::new(map));
    }
}

/// Gives an order to a server, and reads its state after it.
pub async fn carry_out(sidecar: &Sidecar, engine: &Engine, order: &Order) -> OrderReply {
    let taken = give(sidecar, engine, order).await;
    sidecar.changed.notify_one();
    after(sidecar, engine, taken).await
}

/// Gives an order to a server; none if it gave no answer.
pub async fn give(sidecar: &Sidecar, engine: &Engine, order: &Order) -> Option<Taken> {
    match engine.order(order).await {
        Ok(taken) => Some(taken),
        Err(error) => {
            warn!(sidecar.log, "order without an answer"; "token" => order.token,
                "taken" => order.taken, "error" => %error);
            None
        }
    }
}

/// What a rank made of an order, with its state now.
async fn after(sidecar: &Sidecar, engine: &Engine, taken: Option<Taken>) -> OrderReply {
    let state = engine.state().await.ok().and_then(|state| state.rank);
    OrderReply { taken, state, read_at: sidecar.clock.now(), lacks: false }
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
