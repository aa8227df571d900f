//! The path of one request through the gateway, from its head to its final answer.
//!
//! `admit` finds the route and the customer and reads the body; `dispatch` chooses a server, makes
//! an attempt there, and repeats that with other servers for as long as the route, the retry budget
//! and the deadline allow. Streams are handed to `stream` once their head is read; other answers
//! are read completely first, so that a broken one can still be replaced by a retry.

use super::{
    attempt::{ServerAnswer, attempt, may_retry},
    call::{Call, Progress},
    crash_probe::suspect_crash,
    final_answer::{end, log_outcome, no_server, quarantined, refuse},
    in_flight::InFlight,
    return_times::RETRY_AFTER_FULL,
    state::Gateway,
    stream::{self, Reply},
    waiting::wait_for_server,
};
use crate::platform::headers;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
};
use mastweir_core::gateway::{
    AttemptResult, AttemptState, Kind, NextAction, Route, final_action, next_action,
};
use rand::Rng;
use slog::info;
use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

/// Largest answer that is buffered.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// For requests without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Serves one request of a caller. `connection_requests` is the number of requests in flight on
/// the caller's connection.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    connection_requests: Rc<Cell<usize>>,
) -> Reply {
    let in_flight = InFlight::new(&gateway, &connection_requests);
    let mut reply = match admit(&gateway, request).await {
        Ok(call) => dispatch(&gateway, call, in_flight).await,
        Err(reply) => reply,
    };
    if gateway.stopping.get() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Finds the route and the customer of a request and reads its body, or refuses it.
async fn admit(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Result<Call, Reply> {
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
    let body = gateway.clock.timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(refuse(gateway, &head.id, StatusCode::PAYLOAD_TOO_LARGE, "large_body"));
        }
        Ok(Err(_)) => return Err(refuse(gateway, &head.id, StatusCode::BAD_REQUEST, "bad_body")),
        Err(_) => return Err(refuse(gateway, &head.id, StatusCode::REQUEST_TIMEOUT, "late_body")),
    };
    let mut call = Call {
        head,
        headers: parts.headers,
        method: parts.method,
        uri: parts.uri,
        body,
        route_index,
        service,
        customer,
        arrived,
        deadline,
        clock: gateway.clock.clone(),
        active,
        draw: gateway.rng.borrow_mut().random(),
        is_retry,
        position: 0.0,
        fingerprint: OnceCell::new(),
    };
    let level = call.level();
    call.position = gateway.urgency_shares.borrow_mut().record(&call.service, level);
    Ok(call)
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
    let call = Rc::new(call);
    let mut progress = Progress::default();
    loop {
        // Checked before and after the wait, as servers may crash under a copy of the request.
        let chosen = match call.quarantine(gateway) {
            None => wait_for_server(gateway, &call, &progress).await,
            Some(quarantine) => return quarantined(gateway, &call, &progress, quarantine),
        };
        if let Some(quarantine) = call.quarantine(gateway) {
            return quarantined(gateway, &call, &progress, quarantine);
        }
        let slot = match chosen {
            Ok(slot) => slot,
            Err(refusal) => return no_server(gateway, &call, &progress, refusal),
        };
        let attempted = attempt(gateway, &call, slot, None, &mut progress).await;
        let result = match attempted {
            Err(result) => result,
            Ok(answer) if is_stream(&call, &answer) => {
                log_outcome(gateway, &call, &progress, "streaming", answer.parts.status);
                return stream::reply(gateway.clone(), call, answer, progress, in_flight);
            }
            Ok(answer) => match read_answer(gateway, &call, answer, &progress).await {
                Ok(reply) => return reply,
                Err(result) => result,
            },
        };
        let state = attempt_state(&call, &progress);
        if next_action(state, result) == NextAction::Retry
            && may_retry(gateway, &call, &progress, result)
        {
            info!(gateway.log, "retrying request at another server"; "id" => &call.head.id, "after" => ?result,
                "tried" => progress.tried.join(","), "left_ms" => call.time_left().as_millis() as u64);
            continue;
        }
        return end(gateway, &call, &progress, final_action(state, result), RETRY_AFTER_FULL);
    }
}

fn is_stream(call: &Call, answer: &ServerAnswer) -> bool {
    // The server's own answers are signed and carry the request's id.
    let is_genuine = answer.head.signed && answer.head.id == call.head.id;
    call.route().kind == Kind::Stream && answer.parts.status == StatusCode::OK && is_genuine
}

fn attempt_state(call: &Call, progress: &Progress) -> AttemptState {
    let route = call.route();
    AttemptState {
        repeatable: route.is_repeatable(),
        may_have_run: progress.possible_runs > 0,
        attempts_left: route.attempts.saturating_sub(progress.possible_runs),
        time_left: call.time_left(),
    }
}

/// Reads an answer completely and returns it for the caller.
///
/// # Errors
///
/// [`AttemptResult::Broken`] if the answer is incomplete, does not come from the server, or has a
/// status that must not reach the caller; [`AttemptResult::Failed`] if the server failed and the
/// request may be retried.
async fn read_answer(
    gateway: &Rc<Gateway>,
    call: &Call,
    answer: ServerAnswer,
    progress: &Progress,
) -> Result<Reply, AttemptResult> {
    let ServerAnswer { parts, head, body, connection, slot } = answer;
    let read = Limited::new(body, ANSWER_BYTES_MAX).collect();
    let read = gateway.clock.timeout_at(call.deadline, read).await;
    let is_broken = matches!(read, Ok(Err(_)));
    let Ok(Ok(body)) = read else {
        slot.mark_failed();
        gateway.metrics.count("attempts_failed_total", "cut");
        if is_broken {
            suspect_crash(gateway, call, &slot.server).await;
        }
        return Err(AttemptResult::Broken);
    };
    gateway.server_pool.release(connection, head.keep_alive);
    let status = parts.status;
    let is_failure = status.is_server_error();
    if is_failure {
        slot.mark_failed();
    }
    let is_success = status.is_success();
    // The server's own successes are signed and carry the request's id.
    if is_success && (!head.signed || head.id != call.head.id) {
        slot.mark_failed();
        return Err(AttemptResult::Broken);
    }
    if is_success {
        // A failure does not clear the request: the next server may still crash under it.
        call.record_completed(gateway);
    }
    let can_retry =
        next_action(attempt_state(call, progress), AttemptResult::Failed) == NextAction::Retry;
    if is_failure && can_retry && may_retry(gateway, call, progress, AttemptResult::Failed) {
        return Err(AttemptResult::Failed);
    }
    // The request may have run, so statuses by which callers conclude the opposite are withheld.
    if implies_not_run(status) {
        return Err(AttemptResult::Broken);
    }
    let mut reply = Response::new(Either::Left(Full::new(body.to_bytes())));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::for_caller(&parts.headers);
    log_outcome(gateway, call, progress, "answered", status);
    Ok(reply)
}

fn implies_not_run(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    statuses.contains(&status)
}
