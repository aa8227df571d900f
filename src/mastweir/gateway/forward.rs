//! One request, from its head to its final answer.

use super::{
    attempt::{Got, attempt, may_retry},
    call::{Call, Progress},
    crash_probe::broke_off,
    final_answer::{BACK_FULL, end, log_outcome, no_server, quarantined, refuse},
    in_flight::Held,
    permits,
    state::Gateway,
    stream::{self, Reply},
};
use crate::platform::headers;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
};
use mastweir_core::{
    gateway::{
        AttemptResult, AttemptState, Candidate, Kind, NextAction, Refusal, Route, final_action,
        max_deferral, next_action,
    },
    time::Uptime,
};
use rand::Rng;
use slog::info;
use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};
use tokio::time;

/// Largest answer that is held back until it is whole. Usual ones are some KB.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Load of a model's server, over its slots, up to which it goes before fuller ones; whether
/// any gets a request is decided by the mean load of all. 0.62, 0.78 and 0.97 were no better,
/// 1.25 was worse (means of simulated days, least difference told apart 0.01, while it alone
/// decided).
const MODEL_ROOM: f64 = 1.06;
/// The same for other services, whose queues are short.
const PLAIN_ROOM: f64 = 3.0;
/// Part of the objective after which a request that found no room is refused: so
/// much later a caller that comes back can still be served in time.
const HELD_PART: f64 = 0.2;
/// How long callers stay without an event of a stream, says the users' page: the longest of
/// this, so many objectives, and so many of the pauses that are in time.
const STAYS_LEAST: Duration = Duration::from_secs(2);
const STAYS_OBJECTIVES: u32 = 4;
const STAYS_GAPS: u32 = 8;
/// Passes from a send to the first event, with one to spare.
const FIRST_PASSES: f64 = 4.0;
/// The least time for it, with the ways between.
const FIRST_LEAST: Duration = Duration::from_millis(500);
/// Least pause between two looks for room, and the longest without news of any server.
const LOOK_AGAIN: Duration = Duration::from_millis(8);
const LOOK_LAST: Duration = Duration::from_millis(40);
/// Waits for a caller whose request has no deadline of its own.
const WAIT_USUAL: Duration = Duration::from_secs(30);
/// Largest wait that is taken from a caller.
const WAIT_MAX: Duration = Duration::from_secs(3_600);

/// Serves one request of a caller. `connection` counts those that are held on its
/// connection.
pub async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    connection: Rc<Cell<usize>>,
) -> Reply {
    let held = Held::new(&gateway, &connection);
    let mut reply = match admit(&gateway, request).await {
        Ok(call) => carry(&gateway, call, held).await,
        Err(reply) => reply,
    };
    if gateway.stopping.get() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Finds route and customer, and reads the body.
async fn admit(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Result<Call, Reply> {
    let arrived = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let head = headers::read_request(&parts.headers);
    let Some(active) = gateway.active() else {
        return Err(refuse(gateway, &head.id, StatusCode::SERVICE_UNAVAILABLE, "no_config"));
    };
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some(number) = active.index.find(host, parts.uri.path()) else {
        return Err(refuse(gateway, &head.id, StatusCode::NOT_FOUND, "no_route"));
    };
    let route = &active.config.routes[number];
    let known = |keys: &std::collections::HashMap<String, String>| {
        head.key.as_ref().and_then(|key| keys.get(key)).cloned()
    };
    let customer = active.config.customers.as_ref().and_then(known);
    if active.config.customers.is_some() && !route.public && customer.is_none() {
        return Err(refuse(gateway, &head.id, StatusCode::UNAUTHORIZED, "no_key"));
    }
    let Some(service) = pick_target(gateway, route) else {
        return Err(refuse(gateway, &head.id, StatusCode::SERVICE_UNAVAILABLE, "no_target"));
    };
    let wait = head.timeout.unwrap_or(WAIT_USUAL).min(Duration::from_millis(route.timeout_ms));
    let deadline = arrived + wait.min(WAIT_MAX);
    let returned = head
        .timeout
        .is_some_and(|wait| gateway.retry_detector.borrow_mut().is_retry(&route.name, wait));
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
    Ok(Call {
        head,
        headers: parts.headers,
        method: parts.method,
        uri: parts.uri,
        body,
        number,
        service,
        customer,
        arrived,
        deadline,
        clock: gateway.clock.clone(),
        active,
        chance: gateway.rng.borrow_mut().random(),
        returned,
        fingerprint: OnceCell::new(),
    })
}

/// Draws a service by the weights of a route's targets.
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

/// Carries a request to its final answer.
async fn carry(gateway: &Rc<Gateway>, call: Call, held: Held) -> Reply {
    gateway.count_request(&call.service);
    let call = Rc::new(call);
    let mut progress = Progress::default();
    loop {
        // Servers may have ended under it before it came, and while it waited for one.
        let found = match call.quarantine(gateway) {
            None => find_server(gateway, &call, &progress).await,
            Some(quarantine) => return quarantined(gateway, &call, &progress, quarantine),
        };
        if let Some(quarantine) = call.quarantine(gateway) {
            return quarantined(gateway, &call, &progress, quarantine);
        }
        let server = match found {
            Ok(server) => server,
            Err(refusal) => return no_server(gateway, &call, &progress, refusal),
        };
        let got = attempt(gateway, &call, server, None, &mut progress).await;
        let answer = match got {
            Err(answer) => answer,
            Ok(got) if is_stream(&call, &got) => {
                log_outcome(gateway, &call, &progress, "streaming", got.parts.status);
                return stream::reply(gateway.clone(), call, got, progress, held);
            }
            Ok(got) => match whole(gateway, &call, got, &progress).await {
                Ok(reply) => return reply,
                Err(answer) => answer,
            },
        };
        let step = step(&call, &progress);
        if next_action(step, answer) == NextAction::Retry
            && may_retry(gateway, &call, &progress, answer)
        {
            info!(gateway.log, "request sent again"; "id" => &call.head.id, "after" => ?answer,
                "tried" => progress.tried.join(","), "left_ms" => call.left().as_millis() as u64);
            continue;
        }
        return end(gateway, &call, &progress, final_action(step, answer), BACK_FULL);
    }
}

fn is_stream(call: &Call, got: &Got) -> bool {
    // One without a signature or an id is not the server's.
    let own = got.head.signed && got.head.id == call.head.id;
    call.route().kind == Kind::Stream && got.parts.status == StatusCode::OK && own
}

fn step(call: &Call, progress: &Progress) -> AttemptState {
    let route = call.route();
    AttemptState {
        repeatable: route.is_repeatable(),
        may_have_run: progress.runs > 0,
        attempts_left: route.attempts.saturating_sub(progress.runs),
        time_left: call.left(),
    }
}

/// Chooses a server, waiting for room a little if there is none.
async fn find_server(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
) -> Result<Candidate, Refusal> {
    let room = if call.is_model() { MODEL_ROOM } else { PLAIN_ROOM };
    permits::add_demand(gateway, &call.service);
    loop {
        let news = gateway.server_changes.notified();
        let refusal = match gateway.choose(call.needs_first(&progress.tried, room)) {
            Ok(server) if is_paced(call, progress, &server) => return Ok(server),
            Ok(_) => None,
            Err(refusal) => Some(refusal),
        };
        let is_final = |refusal: &Refusal| {
            let wait = match refusal {
                // When servers take requests again is known: waiting here brings nothing.
                Refusal::Backoff(_) => return true,
                Refusal::Limited(wait) => LOOK_AGAIN.max(*wait),
                _ => LOOK_AGAIN,
            };
            gateway.clock.now() + wait >= held_until(gateway, call, *refusal)
        };
        if let Some(refusal) = refusal.filter(is_final) {
            return Err(refusal);
        }
        if matches!(refusal, Some(Refusal::Limited(_))) {
            permits::add_demand(gateway, &call.service);
        }
        time::sleep(LOOK_AGAIN).await;
        // What is known of servers changes with what is heard of them and what ends here.
        let _ = time::timeout(LOOK_LAST, news).await;
    }
}

/// Until when a request waits for room. One whose caller came back has no other try, and is
/// late already: where servers are full it waits for as long as its first event will still
/// find that caller. While a group stands still nothing is waited for: held meanwhile,
/// returned requests served no more callers (60.4 in 100 of what was owed on a simulated day
/// with a hall cut off, 62.3 without), since all of them met the group at once.
fn held_until(gateway: &Gateway, call: &Call, refusal: Refusal) -> Uptime {
    let route = call.route();
    let objective = Duration::from_millis(route.objective_ms);
    let mut held = objective.mul_f64(HELD_PART);
    if refusal == Refusal::Full && call.is_model() && call.returned {
        let gap = Duration::from_millis(route.gap_ms);
        let stays = STAYS_LEAST.max(objective * STAYS_OBJECTIVES).max(gap * STAYS_GAPS);
        let pass_ms = gateway.fleet.borrow().pass_ms_of(&call.service);
        let first = Duration::from_secs_f64(pass_ms * FIRST_PASSES / 1_000.0);
        held = held.max(stays.saturating_sub(first.max(FIRST_LEAST)));
    }
    (call.arrived + held).min(call.deadline)
}

/// Whether a request may begin now at that server.
fn is_paced(call: &Call, progress: &Progress, server: &Candidate) -> bool {
    let route = call.route();
    let objective = Duration::from_millis(route.objective_ms);
    let held = max_deferral(server.pass_ms, route.gap_ms as f64, objective);
    progress.waited.is_some() || call.age() + LOOK_AGAIN > held
}

/// Reads an answer to its end before any of it goes to the caller.
async fn whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    got: Got,
    progress: &Progress,
) -> Result<Reply, AttemptResult> {
    let Got { parts, head, body, exchange, place } = got;
    let read = Limited::new(body, ANSWER_BYTES_MAX).collect();
    let read = gateway.clock.timeout_at(call.deadline, read).await;
    let is_broken = matches!(read, Ok(Err(_)));
    let Ok(Ok(body)) = read else {
        place.fail();
        gateway.metrics.count("attempts_failed_total", "cut");
        if is_broken {
            broke_off(gateway, call, &place.server).await;
        }
        return Err(AttemptResult::Broken);
    };
    gateway.server_pool.release(exchange, head.keep_alive);
    let status = parts.status;
    let failed = status.is_server_error();
    if failed {
        place.fail();
    }
    let success = status.is_success();
    // A success without a signature, and an answer without its id, are not the
    // server's.
    if success && (!head.signed || head.id != call.head.id) {
        place.fail();
        return Err(AttemptResult::Broken);
    }
    if success {
        // A failure proves nothing: the next server may run it, and end.
        call.finished(gateway);
    }
    let retry = next_action(step(call, progress), AttemptResult::Failed) == NextAction::Retry;
    if failed && retry && may_retry(gateway, call, progress, AttemptResult::Failed) {
        return Err(AttemptResult::Failed);
    }
    // These would tell the caller that it has not run.
    if promises_not_run(status) {
        return Err(AttemptResult::Broken);
    }
    let mut reply = Response::new(Either::Left(Full::new(body.to_bytes())));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::for_caller(&parts.headers);
    log_outcome(gateway, call, progress, "answered", status);
    Ok(reply)
}

fn promises_not_run(status: StatusCode) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    promises.contains(&status)
}
