//! Answers of the gateway itself, and the log line at the end of each request.
//!
//! In the gateway's process. If no server has answered, the status tells the caller whether the
//! request may have run: 503 with `Retry-After` states that it has not, 502 and 504 leave it
//! open. [`super::return_times`] decides on `Retry-After`.

use super::{
    call::{Call, Held, Progress},
    return_times::{RETRY_AFTER_FULL, retry_after},
    service_outages::present_outage,
    state::Gateway,
    stream::Reply,
};
use crate::platform::headers;
use http_body_util::{Either, Full};
use hyper::{Response, StatusCode};
use mastweir_core::gateway::{NextAction, Refusal};
use slog::info;
use std::time::Duration;

/// `Retry-After` while servers are probed for a crash under the request: longer than two probes.
const RETRY_AFTER_PROBES: Duration = Duration::from_millis(1_000);
/// Age from which a refused request counts as one that has waited. A body is usually read in less,
/// and a request that waits does so for tens of milliseconds at least.
const WAITED_MIN: Duration = Duration::from_millis(30);

/// Returns the name of a refusal in logs and metrics.
pub const fn refusal_label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Full => "full",
        Refusal::LessUrgent => "less_urgent",
        Refusal::LongPasses => "long_passes",
        Refusal::Stalled => "standing",
        Refusal::Backoff(_) => "backoff",
        Refusal::Limited(_) => "limited",
        Refusal::NoServer => "no_server",
        Refusal::NoHall => "no_hall",
    }
}

/// Returns the final answer to a request for which no server was found.
pub fn no_server(gateway: &Gateway, call: &Call, progress: &Progress, refusal: Refusal) -> Reply {
    let reason = refusal_label(refusal);
    gateway.metrics.count("refusals_total", reason);
    let outage = present_outage(gateway, call).filter(|_| refusal == Refusal::Stalled);
    if outage.is_some() {
        let waited = if call.age() < WAITED_MIN { "at_once" } else { "waited" };
        gateway.metrics.count("outage_refusals_total", waited);
    }
    let retry_after = retry_after(gateway, call, refusal);
    info!(gateway.log, "no server found"; "id" => &call.head.id, "service" => &call.service,
        "reason" => reason, "tried" => progress.tried().join(","),
        "returned" => call.is_retry, "left_ms" => call.time_left().as_millis() as u64,
        "waited_ms" => call.age().as_millis() as u64, "level" => call.level.rank,
        "outage_ms" => outage.map(|outage| outage.age.as_millis() as u64),
        "retry_after_ms" => retry_after.as_millis() as u64,
        "directory" => %gateway.fleet.borrow().directory().revision);
    end(gateway, call, progress, end_action(progress), retry_after)
}

/// Returns the final answer to a request that must not be sent to a server. `Retry-After` is the
/// time after which it would be sent again.
pub fn quarantined(gateway: &Gateway, call: &Call, progress: &Progress, held: Held) -> Reply {
    let retry_after = match held {
        Held::Request(quarantine) => {
            gateway.metrics.count("refusals_total", "quarantined");
            info!(gateway.log, "quarantined request refused"; "id" => &call.head.id, "ends" => quarantine.crashes, "proved" => quarantine.confirmed,
                "fingerprint" => %call.fingerprint(), "age_ms" => quarantine.age.as_millis() as u64,
                "tried" => progress.tried().join(","));
            if quarantine.confirmed { quarantine.duration } else { RETRY_AFTER_PROBES }
        }
        Held::Prompt(hold) => {
            let reason = if hold.is_quarantined { "quarantined_part" } else { "suspected_part" };
            gateway.metrics.count("refusals_total", reason);
            info!(gateway.log, "request refused for a part of its prompt"; "id" => &call.head.id,
                "reason" => reason, "part" => %hold.part, "crashes" => hold.crashes,
                "suspects" => hold.suspects, "parts" => call.parts_label(),
                "remaining_ms" => hold.remaining.as_millis() as u64,
                "tried" => progress.tried().join(","));
            hold.remaining
        }
    };
    end(gateway, call, progress, end_action(progress), retry_after)
}

/// Returns how a request ends that is not sent to another server.
pub fn end_action(progress: &Progress) -> NextAction {
    if progress.possible_runs() > 0 { NextAction::EndUnknown } else { NextAction::EndNotRun }
}

/// Returns the gateway's own final answer to a request. `retry_after` is sent only if the request
/// has not run.
pub fn end(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    next: NextAction,
    retry_after: Duration,
) -> Reply {
    let is_late = call.time_left().is_zero();
    let (status, retry_after) = match next {
        NextAction::EndNotRun => (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)),
        _ if is_late => (StatusCode::GATEWAY_TIMEOUT, None),
        _ => (StatusCode::BAD_GATEWAY, None),
    };
    log_outcome(gateway, call, progress, "ended", status);
    gateway_answer(&call.head.id, status, retry_after)
}

/// Refuses a request before a server is chosen for it.
pub fn refuse(gateway: &Gateway, id: &str, status: StatusCode, reason: &'static str) -> Reply {
    gateway.metrics.count("refusals_total", reason);
    info!(gateway.log, "request refused"; "id" => id, "status" => status.as_u16(),
        "reason" => reason, "config" => gateway.version());
    let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(RETRY_AFTER_FULL);
    gateway_answer(id, status, retry)
}

fn gateway_answer(id: &str, status: StatusCode, retry_after: Option<Duration>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::gateway_answer(id, retry_after);
    reply
}

/// Logs and counts a request that was answered or whose stream has begun.
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
        "waited_ms" => progress.send_delay().map(|delay| delay.as_millis() as u64),
        "sends" => progress.sends(), "server" => progress.server(),
        "config" => call.active.config.version);
}
