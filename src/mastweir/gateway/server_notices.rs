//! Records what a server states about itself in the head of an answer.
//!
//! In the gateway's process, each answer may state the server's load, that it is leaving, a
//! backoff (how long it wants no requests from this gateway), and a rate limit over all gateways.
//! These apply to later requests. What an answer states about its own request is handled in
//! `attempt`.

use super::{call::Call, state::Gateway};
use crate::platform::headers::{AnswerHead, LimitHeader};
use hyper::StatusCode;
use mastweir_core::{
    gateway::{Candidate, LimitChange, LimitReport},
    time::Uptime,
};
use slog::{info, warn};

/// An answer whose head was read.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAnswer<'a> {
    pub status: StatusCode,
    /// Parsed headers.
    pub head: &'a AnswerHead,
    /// When the request was sent.
    pub sent_at: Uptime,
}

/// Records what an answer states about its server. If the server's address belongs to another
/// server by now, only the load is recorded.
pub fn record_notices(
    gateway: &Gateway,
    call: &Call,
    server: &Candidate,
    answer: ReceivedAnswer<'_>,
) {
    let ReceivedAnswer { status, head, .. } = answer;
    let Candidate { id, incarnation, .. } = server;
    let now = gateway.clock.now();
    if let Some((running, waiting)) = head.load {
        gateway.fleet.borrow_mut().record_answer_load(id, running, waiting, now);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if head.leaving && gateway.fleet.borrow_mut().mark_leaving(id, *incarnation, now) {
        log_leaving(gateway, id, "answer");
    }
    if let Some(wait) = head.retry_after {
        gateway.metrics.count("servers_backing_off_total", "asked");
        gateway.fleet.borrow_mut().set_backoff(id, *incarnation, wait, now);
    }
    // An answer to an earlier request is older than `sent_at` says.
    if head.id == call.head.id {
        record_limit(gateway, server, answer);
    }
}

fn record_limit(gateway: &Gateway, server: &Candidate, answer: ReceivedAnswer<'_>) {
    let Candidate { id, incarnation, .. } = server;
    let rate = match answer.head.limit {
        LimitHeader::Absent => None,
        LimitHeader::Valid(rate) => Some(rate),
        // Neither sets a limit nor ends one.
        LimitHeader::Malformed => {
            gateway.metrics.count("server_limits_total", "unread");
            if gateway.invalid_limits.is_first(id) {
                warn!(gateway.log, "invalid server limit ignored"; "server" => id,
                    "remedy" => "have the server name its limit as one decimal number");
            }
            return;
        }
    };
    let now = gateway.clock.now();
    let report = LimitReport { rate, sent: answer.sent_at, received: now };
    let change = gateway.fleet.borrow_mut().record_limit(id, *incarnation, report, now);
    if let Some(change) = change {
        log_limit_change(gateway, id, change, "answer");
    }
}

/// Logs and counts a changed limit. `from` is the kind of process that stated the limit.
pub fn log_limit_change(gateway: &Gateway, id: &str, change: LimitChange, from: &'static str) {
    let label = if change.now.is_some() { "named" } else { "ended" };
    gateway.metrics.count("server_limits_total", label);
    info!(gateway.log, "server limit changed"; "server" => id, "from" => from,
        "before_per_s" => change.before.map(|rate| rate.requests()),
        "now_per_s" => change.now.map(|rate| rate.requests()));
}

/// Logs that a server stated that it is leaving. The store may list it as ready.
pub fn log_leaving(gateway: &Gateway, id: &str, from: &'static str) {
    info!(gateway.log, "server leaves"; "server" => id, "from" => from);
}
