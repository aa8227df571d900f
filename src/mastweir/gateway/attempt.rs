//! One attempt: a request sent to one server, up to the head of its answer.

use super::{
    call::{Call, Progress},
    crash_probe::broke_off,
    server_notices::{Heard, said},
    state::Gateway,
};
use crate::{
    net::http::{CallError, Connection},
    platform::headers::{self, AddedHeaders, AnswerHead, QueuePriority},
};
use http_body_util::Full;
use hyper::{Request, StatusCode, body::Incoming, http::response::Parts};
use mastweir_core::gateway::{AttemptResult, Candidate, Proof, Rate};
use slog::info;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time;

/// Opening a connection takes a round trip; a machine that is gone says nothing.
const CONNECT_LASTS: Duration = Duration::from_millis(250);
/// A server without an answer or an event is looked at this often: callers give a stream up
/// after two seconds, and a connection that went silent is missed after one.
const STUCK_LOOK: Duration = Duration::from_millis(300);
/// It is looked at sooner where it would fall silent before; no sooner than this.
const STUCK_LOOK_LEAST: Duration = Duration::from_millis(20);

/// Sends of a request that may not have run, beyond the servers it may run at.
const SENDS_SPARE: u32 = 2;

/// An answer whose head was read.
#[derive(Debug)]
pub struct Got {
    /// Status and headers.
    pub parts: Parts,
    /// What its head says.
    pub head: AnswerHead,
    /// Its body.
    pub body: Incoming,
    /// The connection.
    pub exchange: Connection,
    /// Its place at the server.
    pub place: Place,
}

/// A request's place at a server: counted from the choice to the end.
#[derive(Debug)]
pub struct Place {
    gateway: Rc<Gateway>,
    /// The server.
    pub server: Candidate,
    failed: Cell<bool>,
}

impl Place {
    fn take(gateway: &Rc<Gateway>, server: Candidate) -> Self {
        gateway.fleet.borrow_mut().record_sent(&server.id, gateway.clock.now());
        Self { gateway: gateway.clone(), server, failed: Cell::new(false) }
    }

    /// Notes that the server gave no whole answer, or a failure.
    pub fn fail(&self) {
        self.failed.set(true);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let Candidate { id, incarnation: born, .. } = &self.server;
        self.gateway.fleet.borrow_mut().record_ended(id, *born, self.failed.get(), now);
        self.gateway.server_changes.notify_waiters();
    }
}

/// Sends a request to a server, and reads the head of the answer.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    server: Candidate,
    last_event: Option<&str>,
    progress: &mut Progress,
) -> Result<Got, AttemptResult> {
    progress.tried.push(server.id.clone());
    progress.waited.get_or_insert(call.age());
    let place = Place::take(gateway, server);
    let addr = place.server.addr;
    let id = &place.server.id;
    let lent = gateway.fleet.borrow_mut().take_permit(id, gateway.clock.now());
    let idle = if call.route().is_repeatable() { gateway.server_pool.reuse(addr) } else { None };
    let opened = match idle {
        Some(exchange) => Ok(exchange),
        None => gateway.server_pool.open(addr, CONNECT_LASTS.min(call.left())).await,
    };
    let mut exchange = opened.map_err(|error| {
        unreachable(gateway, call, &place, &error);
        AttemptResult::NotRun(Proof::NeverSent)
    })?;
    // The server may have said so, or named its limit, while the connection opened.
    if !gateway.fleet.borrow_mut().may_send(id, lent, gateway.clock.now()) {
        gateway.server_pool.release(exchange, None);
        return Err(AttemptResult::NotRun(Proof::NeverSent));
    }
    let added = AddedHeaders {
        remaining: call.left(),
        server_id: &place.server.id,
        customer: call.customer.as_deref(),
        last_event,
        priority: priority(call, last_event),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::for_server(&call.headers, added);
    let asked = gateway.clock.now();
    let sent = tokio::select! {
        sent = gateway.clock.timeout_at(call.deadline, exchange.send(request)) => sent,
        reason = stuck(gateway, call, &place, false) => {
            progress.runs += 1;
            place.fail();
            gateway.metrics.count("attempts_failed_total", reason);
            info!(gateway.log, "server makes no progress"; "id" => &call.head.id,
                "server" => &place.server.id, "reason" => reason,
                "fingerprint" => %call.fingerprint());
            return Err(AttemptResult::Broken);
        }
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_unsent() => {
            unreachable(gateway, call, &place, &error);
            return Err(AttemptResult::NotRun(Proof::NeverSent));
        }
        Ok(Err(error)) => {
            progress.runs += 1;
            broken(gateway, call, &place, &error);
            // Bytes that are no answer come from a server that lives.
            if !error.is_malformed() {
                broke_off(gateway, call, &place.server).await;
            }
            return Err(AttemptResult::Broken);
        }
        Err(_) => {
            progress.runs += 1;
            return Err(AttemptResult::Broken);
        }
    };
    let (parts, body) = response.into_parts();
    let head = headers::read_answer(parts.status, &parts.headers);
    gateway.fleet.borrow_mut().record_reached(&place.server.id);
    said(gateway, call, &place.server, Heard { status: parts.status, head: &head, asked });
    if !head.id.is_empty() && head.id != call.head.id {
        progress.runs += 1;
        place.fail();
        info!(gateway.log, "answer belongs to another request"; "id" => &call.head.id,
            "answer_id" => &head.id, "server" => &place.server.id);
        return Err(AttemptResult::Broken);
    }
    let wrong_server = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if wrong_server || head.not_run {
        let proof = if wrong_server { Proof::WrongServer } else { Proof::Refused };
        refused(gateway, call, &place, proof, &head);
        return Err(AttemptResult::NotRun(proof));
    }
    progress.runs += 1;
    Ok(Got { parts, head, body, exchange, place })
}

/// When a request goes at its server. One that was taken up has a caller who waits for its
/// next event; one whose caller was refused before can't be in time any more.
fn priority(call: &Call, last_event: Option<&str>) -> QueuePriority {
    match last_event {
        Some(_) => QueuePriority::First,
        None if call.is_model() && call.returned => QueuePriority::Last,
        None => QueuePriority::Normal,
    }
}

/// Ends when a server has made no progress for a while, or its connection has gone silent,
/// and the request may go to another one; says which. It never ends for a request that may
/// not be repeated. `runs`: whether the request had an event there.
pub async fn stuck(gateway: &Gateway, call: &Call, place: &Place, runs: bool) -> &'static str {
    if !call.route().is_repeatable() {
        return std::future::pending().await;
    }
    let id = &place.server.id;
    let pass = gateway.fleet.borrow().last_report(id).map(|told| told.pass);
    loop {
        let soon = gateway.fleet.borrow().time_to_stuck(id, gateway.clock.now());
        let pause = soon.map_or(STUCK_LOOK, |soon| soon.max(STUCK_LOOK_LEAST));
        time::sleep(pause.min(STUCK_LOOK)).await;
        let now = gateway.clock.now();
        let fleet = gateway.fleet.borrow();
        if fleet.is_stuck(id, place.server.incarnation, now) {
            return "stuck";
        }
        if pass.is_some_and(|pass| fleet.is_stream_silent(id, pass, runs, now)) {
            return "mute";
        }
    }
}

/// Whether the fleet's retries, and this request's sends, allow another one. One
/// that never left is not a retry to any server. What servers end under goes to no other.
pub fn may_retry(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    answer: AttemptResult,
) -> bool {
    let sends = u32::try_from(progress.tried.len()).unwrap_or(u32::MAX);
    if sends >= call.route().attempts + SENDS_SPARE {
        return false;
    }
    if call.quarantine(gateway).is_some() {
        gateway.metrics.count("retries_denied_total", "quarantined");
        return false;
    }
    let unsent = answer == AttemptResult::NotRun(Proof::NeverSent);
    let allowed = unsent || gateway.take_retry(&call.service);
    if !allowed {
        gateway.metrics.count("retries_denied_total", "budget");
    }
    allowed
}

fn unreachable(gateway: &Gateway, call: &Call, place: &Place, error: &CallError) {
    gateway.fleet.borrow_mut().record_unreachable(&place.server.id, gateway.clock.now());
    gateway.metrics.count("attempts_failed_total", "unreachable");
    info!(gateway.log, "server not reached"; "id" => &call.head.id, "server" => &place.server.id,
        "error" => %error);
}

fn broken(gateway: &Gateway, call: &Call, place: &Place, error: &CallError) {
    place.fail();
    gateway.metrics.count("attempts_failed_total", "broken");
    info!(gateway.log, "attempt broken"; "id" => &call.head.id, "server" => &place.server.id,
        "fingerprint" => %call.fingerprint(), "error" => %error);
}

fn refused(gateway: &Gateway, call: &Call, place: &Place, proof: Proof, head: &AnswerHead) {
    let now = gateway.clock.now();
    let server = &place.server;
    match proof {
        Proof::WrongServer => gateway.fleet.borrow_mut().record_unreachable(&server.id, now),
        // It speaks of itself, not of its group.
        _ if head.retry_after.is_some() => (),
        // Plain services turn single requests away.
        _ if call.is_model() => {
            gateway.fleet.borrow_mut().record_refused(&server.id, server.load_milli, now);
        }
        _ => (),
    }
    gateway.metrics.count("attempts_failed_total", "refused");
    info!(gateway.log, "server refused"; "id" => &call.head.id, "server" => &place.server.id,
        "proof" => ?proof, "load_milli" => place.server.load_milli, "leaving" => head.leaving,
        "limit_per_s" => head.limit.rate().map(Rate::requests),
        "retry_after_ms" => head.retry_after.map(|wait| wait.as_millis() as u64),
        "report_age_ms" => place.server.report_age.map(|age| age.as_millis() as u64));
}
