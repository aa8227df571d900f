//! What a server says of itself in an answer: its load, that it leaves, how long it wants no
//! requests of this gateway, and how many it takes from all of them.
//!
//! All of it is about the server, and binds the requests that come; what the answer says of
//! its own request is read in `attempt`.

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
pub struct Heard<'a> {
    /// Its status.
    pub status: StatusCode,
    /// What its head says.
    pub head: &'a AnswerHead,
    /// When its request left.
    pub asked: Uptime,
}

/// Keeps what a server's answer says of it. Another server at its address speaks for itself
/// alone.
pub fn said(gateway: &Gateway, call: &Call, server: &Candidate, heard: Heard<'_>) {
    let Heard { status, head, .. } = heard;
    let Candidate { id, incarnation: born, .. } = server;
    let now = gateway.clock.now();
    if let Some((running, waiting)) = head.load {
        gateway.fleet.borrow_mut().record_answer_load(id, running, waiting, now);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if head.leaving && gateway.fleet.borrow_mut().mark_leaving(id, *born, now) {
        log_leaving(gateway, id, "answer");
    }
    if let Some(wait) = head.retry_after {
        gateway.metrics.count("servers_backing_off_total", "asked");
        gateway.fleet.borrow_mut().set_backoff(id, *born, wait, now);
    }
    // An answer to an earlier request is older than this one's span says.
    if head.id == call.head.id {
        note_limit(gateway, server, heard);
    }
}

fn note_limit(gateway: &Gateway, server: &Candidate, heard: Heard<'_>) {
    let Candidate { id, incarnation: born, .. } = server;
    let rate = match heard.head.limit {
        LimitHeader::Absent => None,
        LimitHeader::Valid(rate) => Some(rate),
        // It is neither a limit nor the end of one.
        LimitHeader::Malformed => {
            gateway.metrics.count("server_limits_total", "unread");
            if gateway.invalid_limits.is_first(id) {
                warn!(gateway.log, "server limit not read"; "server" => id,
                    "remedy" => "it binds nobody; have the server name one decimal number");
            }
            return;
        }
    };
    let now = gateway.clock.now();
    let word = LimitReport { rate, sent: heard.asked, received: now };
    let change = gateway.fleet.borrow_mut().record_limit(id, *born, word, now);
    if let Some(change) = change {
        log_limit_change(gateway, id, change, "answer");
    }
}

/// The line of a limit that changed.
pub fn log_limit_change(gateway: &Gateway, id: &str, change: LimitChange, from: &'static str) {
    let label = if change.now.is_some() { "named" } else { "ended" };
    gateway.metrics.count("server_limits_total", label);
    info!(gateway.log, "server limit changed"; "server" => id, "from" => from,
        "before_per_s" => change.before.map(|rate| rate.requests()),
        "now_per_s" => change.now.map(|rate| rate.requests()));
}

/// The line of a server that says itself that it leaves, whatever the store's list says.
pub fn log_leaving(gateway: &Gateway, id: &str, from: &'static str) {
    info!(gateway.log, "server leaves"; "server" => id, "from" => from);
}
