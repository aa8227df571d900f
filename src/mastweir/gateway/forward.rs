//! The path of one request through the gateway, from its head to its final answer.
//!
//! `admit` finds the route and the customer and reads the body; `dispatch` chooses a server, makes
//! an attempt there, and repeats that with other servers for as long as the route, the retry budget
//! and the deadline allow. Event streams are handed to `stream` once their head is read, other
//! answers to `plain_answer`.

use super::{
    attempt::{ServerAnswer, attempt_state, attempt_with_backup, may_retry},
    bodies::{ReadError, read_request},
    call::{Call, Progress},
    caller::Caller,
    final_answer::{end, end_action, log_outcome, no_server, quarantined, refuse},
    in_flight::InFlight,
    plain_answer,
    return_times::RETRY_AFTER_FULL,
    state::Gateway,
    stream::{self, Reply},
    waiting::wait_for_server,
};
use crate::platform::headers;
use hyper::{
    Request, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
};
use mastweir_core::gateway::{Kind, NextAction, Route, final_action, next_action};
use rand::Rng;
use slog::{info, warn};
use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

/// For requests without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Serves one request of a caller. `connection_requests` is the number of requests that the caller's
/// connection has carried.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    connection_requests: Rc<Cell<usize>>,
    caller: Arc<Caller>,
) -> Reply {
    let in_flight = InFlight::new(&gateway, &connection_requests);
    let mut reply = match admit(&gateway, request, &caller).await {
        Ok(call) => dispatch(&gateway, call, in_flight).await,
        Err(reply) => reply,
    };
    if gateway.stopping.get() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Finds the route and the customer of a request and reads its body, or refuses it.
async fn admit(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    caller: &Arc<Caller>,
) -> Result<Call, Reply> {
    let arrived = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let head = headers::read_request(&parts.headers);
    let Some(active) = gateway.active().filter(|_| gateway.knows_evacuations()) else {
        return Err(refuse(gateway, &head.id, StatusCode::SERVICE_UNAVAILABLE, "no_config"));
    };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some(route_index) = active.index.find(host, parts.uri.path()) else {
        return Err(refuse(gateway, &head.id, StatusCode::NOT_FOUND, "no_route"));
    };
    let route = &active.config.routes[route_index];
    let customer_of = |keys: &std::collections::HashMap<String, String>| {
        head.key.as_ref().and_then(|key| keys.get(key)).cloned()
    };
    let customer = active.config.customers.as_ref().and_then(customer_of);
    if active.config.customers.is_some() && !route.public && customer.is_none() {
        return Err(refuse(gateway, &head.id, StatusCode::UNAUTHORIZED, "no_key"));
    }
    let Some(service) = pick_target(gateway, route) else {
        return Err(refuse(gateway, &head.id, StatusCode::SERVICE_UNAVAILABLE, "no_target"));
    };
    let timeout =
        head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(Duration::from_millis(route.timeout_ms));
    let deadline = arrived + timeout.min(MAX_TIMEOUT);
    let is_retry = head
        .timeout
        .is_some_and(|timeout| gateway.retry_detector.borrow_mut().is_retry(&route.name, timeout));
    let limit = active.config.limits.body_bytes;
    let transfer = gateway.buffers.open(caller, &head.id);
    let reading = read_request(gateway, &transfer, body, limit);
    let reading = gateway.clock.timeout_at(deadline, reading);
    let body = match transfer.unless_ended(reading).await {
        Some(Ok(Ok(Some(body)))) => body,
        Some(Ok(Ok(None))) => {
            return Err(refuse(gateway, &head.id, StatusCode::PAYLOAD_TOO_LARGE, "large_body"));
        }
        None | Some(Ok(Err(ReadError::Ended(_)))) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(refuse(gateway, &head.id, status, "buffer_budget"));
        }
        Some(Ok(Err(ReadError::Broken(_)))) => {
            return Err(refuse(gateway, &head.id, StatusCode::BAD_REQUEST, "bad_body"));
        }
        Some(Err(_)) => {
            return Err(refuse(gateway, &head.id, StatusCode::REQUEST_TIMEOUT, "late_body"));
        }
    };
    if head.prompt.is_malformed && !gateway.malformed_prompt.replace(true) {
        warn!(gateway.log, "malformed parts of a prompt; give id and tokens of each, 64 at most"; "id" => &head.id,
            "route" => &route.name, "parts" => head.prompt.shared.len());
    }
    let prompt_parts = Rc::from(head.prompt.shared.as_slice());
    let level = active.level(&service, customer.as_deref(), route);
    let position = gateway.urgency_shares.borrow_mut().record(&service, level);
    Ok(Call {
        head,
        headers: parts.headers,
        method: parts.method,
        uri: parts.uri,
        version: parts.version,
        body,
        transfer,
        route_index,
        service,
        customer,
        arrived,
        deadline,
        clock: gateway.clock.clone(),
        active,
        draw: gateway.rng.borrow_mut().random(),
        is_retry,
        level,
        position,
        prompt_parts,
        fingerprint: OnceCell::new(),
    })
}

/// Chooses a service at random by the weights of a route's targets.
fn pick_target(gateway: &Gateway, route: &Route) -> Option<String> {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = match total {
        0 => return route.targets.first().map(|target| target.service.clone()),
        total => gateway.rng.borrow_mut().random_range(0..total),
    };
    for target in &route.targets {
        if drawn < target.weight {
            return Some(target.service.clone());
        }
        drawn -= target.weight;
    }
    None
}

/// Sends a request to servers until there is a final answer.
async fn dispatch(gateway: &Rc<Gateway>, call: Call, in_flight: InFlight) -> Reply {
    gateway.count_request(&call.service);
    let mut call = Rc::new(call);
    let in_flight = Rc::new(in_flight);
    let progress = Progress::default();
    loop {
        if call.transfer.is_ended() {
            return end(gateway, &call, &progress, end_action(&progress), RETRY_AFTER_FULL);
        }
        // Checked before, during and after the wait, as servers may crash under other requests of
        // its kind.
        if let Some(held) = call.held(gateway) {
            return quarantined(gateway, &call, &progress, held);
        }
        let chosen = tokio::select! {
            biased;
            held = call.wait_until_held(gateway) => {
                return quarantined(gateway, &call, &progress, held);
            }
            chosen = wait_for_server(gateway, &call, &progress) => chosen,
        };
        if let Some(held) = call.held(gateway) {
            return quarantined(gateway, &call, &progress, held);
        }
        let slot = match chosen {
            Ok(slot) => slot,
            Err(refusal) => return no_server(gateway, &call, &progress, refusal),
        };
        let attempted = attempt_with_backup(gateway, &call, slot, &progress);
        let attempted = gateway.unless_ending(call.transfer.unless_ended(attempted)).await;
        let Some(attempted) = attempted.flatten() else {
            // The server may have got a part of the request.
            return end(gateway, &call, &progress, NextAction::EndUnknown, RETRY_AFTER_FULL);
        };
        let result = match attempted {
            Err(result) => result,
            Ok(answer) if is_stream(&call, &answer) => {
                log_outcome(gateway, &call, &progress, "streaming", answer.parts.status);
                return stream::reply(gateway.clone(), call, answer, progress, in_flight);
            }
            Ok(answer) => {
                let reply = plain_answer::reply(gateway, &mut call, answer, &progress, &in_flight);
                match gateway.unless_ending(reply).await {
                    Some(Ok(reply)) => return reply,
                    Some(Err(result)) => result,
                    None => {
                        let action = NextAction::EndUnknown;
                        return end(gateway, &call, &progress, action, RETRY_AFTER_FULL);
                    }
                }
            }
        };
        let state = attempt_state(&call, &progress);
        if next_action(state, result) == NextAction::Retry {
            if may_retry(gateway, &call, &progress, result) {
                info!(gateway.log, "retrying request at another server"; "id" => &call.head.id, "after" => ?result,
                    "tried" => progress.tried().join(","), "left_ms" => call.time_left().as_millis() as u64);
                continue;
            }
            if let Some(held) = call.held(gateway) {
                return quarantined(gateway, &call, &progress, held);
            }
        }
        return end(gateway, &call, &progress, final_action(state, result), RETRY_AFTER_FULL);
    }
}

fn is_stream(call: &Call, answer: &ServerAnswer) -> bool {
    // The server's own answers are signed and carry the request's id.
    let is_genuine = answer.head.signed && answer.head.id == call.head.id;
    call.route().kind == Kind::Stream && answer.parts.status == StatusCode::OK && is_genuine
}
