//! Final answers of the gateway's own, and the line that each request ends with.

use super::{
    call::{Call, Progress},
    state::Gateway,
    stream::Reply,
};
use crate::platform::headers;
use http_body_util::{Either, Full};
use hyper::{Response, StatusCode};
use mastweir_core::gateway::{NextAction, QUARANTINE_DURATION, Quarantine, Refusal};
use rand::Rng;
use slog::info;
use std::{ops::Range, time::Duration};

/// When a caller that a plain service had no room for is told to come back: its requests
/// take some ten milliseconds.
pub const BACK_FULL: Duration = Duration::from_millis(400);
/// The same for a model's streams, which take seconds: drawn between these, so that those
/// who were refused together do not come back together.
const BACK_CROWD: Range<Duration> = Duration::from_millis(600)..Duration::from_millis(2_400);
/// The same while no server can serve: a group opens again, and a server
/// comes back, in seconds. Callers wait a third of their time at most.
const BACK_DOWN: Duration = Duration::from_millis(2_500);
/// On top of the time for which all servers want no requests, so that those who were refused
/// meanwhile do not come back in one moment.
const BACK_SPREAD: Range<Duration> = Duration::ZERO..Duration::from_millis(400);
/// The same where all servers name limits, and no gateway that lends for them has told when.
const BACK_UNTOLD: Duration = Duration::from_millis(1_000);
/// The same while it is looked at whether servers ended under a request: two looks take half
/// a second.
const BACK_PROVED: Duration = Duration::from_millis(1_000);

/// The final answer where no server is left to try.
pub fn no_server(gateway: &Gateway, call: &Call, progress: &Progress, refusal: Refusal) -> Reply {
    let reason = match refusal {
        Refusal::Full => "full",
        Refusal::Stalled => "standing",
        Refusal::Backoff(_) => "backoff",
        Refusal::Limited(_) => "limited",
        Refusal::NoServer => "no_server",
    };
    gateway.metrics.count("refusals_total", reason);
    info!(gateway.log, "no server found"; "id" => &call.head.id, "service" => &call.service,
        "reason" => reason, "tried" => progress.tried.join(","),
        "returned" => call.returned, "left_ms" => call.left().as_millis() as u64,
        "directory" => %gateway.fleet.borrow().directory().revision);
    end(gateway, call, progress, unsent(progress), back_after(gateway, call, refusal))
}

/// The final answer of a request that servers end under. Its caller is told when it would be
/// tried again, and nothing that would have it come sooner.
pub fn quarantined(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    quarantine: Quarantine,
) -> Reply {
    gateway.metrics.count("refusals_total", "quarantined");
    info!(gateway.log, "quarantined request refused"; "id" => &call.head.id, "ends" => quarantine.crashes, "proved" => quarantine.confirmed,
        "fingerprint" => %call.fingerprint(), "age_ms" => quarantine.age.as_millis() as u64,
        "tried" => progress.tried.join(","));
    let back = if quarantine.confirmed { QUARANTINE_DURATION } else { BACK_PROVED };
    end(gateway, call, progress, unsent(progress), back)
}

/// How a request ends that goes to no other server.
const fn unsent(progress: &Progress) -> NextAction {
    if progress.runs > 0 { NextAction::EndUnknown } else { NextAction::EndNotRun }
}

/// When a refused caller is told to come back.
fn back_after(gateway: &Gateway, call: &Call, refusal: Refusal) -> Duration {
    match refusal {
        Refusal::Full if call.is_model() => gateway.rng.borrow_mut().random_range(BACK_CROWD),
        Refusal::Full => BACK_FULL,
        Refusal::Stalled | Refusal::NoServer => BACK_DOWN,
        Refusal::Limited(left) if left.is_zero() => BACK_UNTOLD,
        Refusal::Backoff(left) | Refusal::Limited(left) => {
            left + gateway.rng.borrow_mut().random_range(BACK_SPREAD)
        }
    }
}

/// The final answer of the gateway's own.
pub fn end(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    next: NextAction,
    back: Duration,
) -> Reply {
    let late = call.left().is_zero();
    let (status, retry_after) = match next {
        NextAction::EndNotRun => (StatusCode::SERVICE_UNAVAILABLE, Some(back)),
        _ if late => (StatusCode::GATEWAY_TIMEOUT, None),
        _ => (StatusCode::BAD_GATEWAY, None),
    };
    log_outcome(gateway, call, progress, "ended", status);
    own(&call.head.id, status, retry_after)
}

/// Refuses a request before any server was looked for.
pub fn refuse(gateway: &Gateway, id: &str, status: StatusCode, reason: &'static str) -> Reply {
    gateway.metrics.count("refusals_total", reason);
    info!(gateway.log, "request refused"; "id" => id, "status" => status.as_u16(),
        "reason" => reason, "config" => gateway.version());
    let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(BACK_FULL);
    own(id, status, retry)
}

fn own(id: &str, status: StatusCode, retry_after: Option<Duration>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::gateway_answer(id, retry_after);
    reply
}

/// The line of a request that has its answer, or its stream's head.
pub fn log_outcome(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    outcome: &'static str,
    status: StatusCode,
) {
    let took = call.age();
    gateway.metrics.count("requests_total", outcome);
    gateway.metrics.observe("request_seconds", took);
    info!(gateway.log, "request"; "id" => &call.head.id, "route" => &call.route().name,
        "outcome" => outcome, "status" => status.as_u16(), "took_ms" => took.as_millis() as u64,
        "late" => if took.as_millis() > u128::from(call.route().objective_ms) { "yes" } else { "no" },
        "waited_ms" => progress.waited.map(|waited| waited.as_millis() as u64),
        "sends" => progress.tried.len(), "server" => progress.tried.last(),
        "config" => call.active.config.version);
}
