//! One attempt at a request: sends it to one server and reads the head of the answer.
//!
//! Runs in the gateway's process. A failed attempt reports whether the request may have run:
//! only a connection that never carried it, a server's statement that it did not run it, and an
//! address that belongs to another server prove that it has not. If the server makes no progress and
//! the request may be repeated, another server is asked as well, and the answer that comes first is
//! used: silence does not prove that a server has failed.

use super::{
    call::{Call, Progress},
    crash_probe::suspect_crash,
    resumption::CAPACITY_POLL,
    server_notices::{ReceivedAnswer, record_notices},
    state::Gateway,
    waiting::wait_for_server,
};
use crate::{
    net::http::{self, AnswerBody, CallError, Connection},
    platform::headers::{self, AddedHeaders, AnswerHead, QueuePriority},
};
use http_body_util::Full;
use hyper::{Request, StatusCode, http::response::Parts};
use mastweir_core::gateway::{
    AttemptResult, AttemptState, Candidate, Fingerprint, NextAction, Proof, Rate, RunEnd, RunId,
    next_action,
};
use slog::info;
use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};
use tokio::time;

/// Several round trips. Short, as a machine that is down does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time between checks of a server that sends nothing. Callers disconnect from a
/// silent stream after two seconds.
const STUCK_POLL_MAX: Duration = Duration::from_millis(300);
const STUCK_POLL_MIN: Duration = Duration::from_millis(20);
/// Longest time until a report shows which pass the server's group makes.
const FIRST_PASS_POLL: Duration = Duration::from_millis(100);
/// Delay of a check from which on this process counts as suspended or busy.
const DELAY_MAX: Duration = Duration::from_millis(250);
/// Time after such a delay in which reports of sidecars arrive again, also forwarded ones.
const CATCH_UP: Duration = Duration::from_millis(400);

/// Maximum number of sends of a request beyond the attempts of its route. Sends after which the
/// request has certainly not run don't count as attempts.
const EXTRA_SENDS: u32 = 2;

/// Why a server makes no progress: it has started again, so nothing of the request is left there.
pub const RESTARTED: &str = "restarted";

/// An answer whose head was read, with its unread body.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Status and headers.
    pub parts: Parts,
    /// Parsed headers.
    pub head: AnswerHead,
    pub body: AnswerBody,
    /// The connection that the body comes from.
    pub connection: Connection,
    pub slot: Rc<SlotGuard>,
}

/// Counts a request in its server's load from the choice of the server until the guard is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gateway: Rc<Gateway>,
    pub server: Candidate,
    /// Whether a permit was taken for the request.
    has_permit: bool,
    failed: Cell<bool>,
    /// The request in the record of recent answers, from its send on.
    run: Cell<Option<RunId>>,
}

impl SlotGuard {
    /// Counts a request in the load of its server, and takes a permit if the server needs one.
    pub fn acquire(gateway: &Rc<Gateway>, server: Candidate) -> Self {
        let now = gateway.clock.now();
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.record_sent(&server.id, now);
        let has_permit = fleet.take_permit(&server.id, now);
        Self {
            gateway: gateway.clone(),
            server,
            has_permit,
            failed: Cell::new(false),
            run: Cell::default(),
        }
    }

    /// Records that the request is being sent.
    fn record_sent(&self, call: &Call) {
        if !call.prompt_parts.is_empty() {
            let incarnation = Fingerprint::of_incarnation(&self.server.id);
            self.run.set(self.gateway.runs.borrow_mut().start(incarnation, &call.prompt_parts));
        }
    }

    /// Records that the head of the answer was read.
    fn record_begun(&self) {
        if let Some(run) = self.run.get() {
            self.gateway.runs.borrow_mut().record_begun(run, self.gateway.clock.now());
        }
    }

    /// Records that the server sent an answer or a part of one.
    fn record_answered(&self) {
        let Candidate { id, incarnation, .. } = &self.server;
        let now = self.gateway.clock.now();
        self.gateway.fleet.borrow_mut().record_answered(id, *incarnation, now);
    }

    /// Records that a piece of the answer was read.
    pub fn record_written(&self) {
        self.record_answered();
        if let Some(run) = self.run.get() {
            self.gateway.runs.borrow_mut().record_written(run, self.gateway.clock.now());
        }
    }

    /// Records that the answer was read whole.
    pub fn record_completed(&self) {
        self.record_end(RunEnd::Completed);
    }

    fn record_end(&self, end: RunEnd) {
        if let Some(run) = self.run.get() {
            self.gateway.runs.borrow_mut().record_end(run, end, self.gateway.clock.now());
        }
    }

    /// Records that the server failed or gave no complete answer.
    pub fn mark_failed(&self) {
        self.failed.set(true);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        // Has no effect after another end.
        self.record_end(RunEnd::Broken);
        let now = self.gateway.clock.now();
        let Candidate { id, incarnation, .. } = &self.server;
        self.gateway.fleet.borrow_mut().record_ended(id, *incarnation, self.failed.get(), now);
        self.gateway.server_changes.notify_waiters();
    }
}

/// Sends a request to the server of a slot and reads the head of the answer. `last_event` is the id
/// of the last event that the caller got, if a stream is resumed.
///
/// # Errors
///
/// [`AttemptResult`] tells whether the request may have run.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    slot: Rc<SlotGuard>,
    last_event: Option<&str>,
    progress: &Progress,
) -> Result<ServerAnswer, AttemptResult> {
    progress.record_chosen(&slot.server.id, call.age());
    let addr = slot.server.addr;
    let id = &slot.server.id;
    let idle = if call.route().is_repeatable() { gateway.server_pool.reuse(addr) } else { None };
    let opened = match idle {
        Some(connection) => Ok(connection),
        None => gateway.server_pool.open(addr, CONNECT_TIMEOUT.min(call.time_left())).await,
    };
    let mut connection = opened.map_err(|error| {
        on_unreachable(gateway, call, &slot, &error);
        AttemptResult::NotRun(Proof::NeverSent)
    })?;
    // The server may have been excluded or limited while the connection was opened.
    if !gateway.fleet.borrow_mut().may_send(id, slot.has_permit, gateway.clock.now()) {
        gateway.server_pool.release(connection, None);
        return Err(AttemptResult::NotRun(Proof::NeverSent));
    }
    if gateway.prompts.borrow_mut().begin(&call.prompt_parts, gateway.clock.now()).is_some() {
        gateway.server_pool.release(connection, None);
        return Err(AttemptResult::NotRun(Proof::NeverSent));
    }
    // Another attempt may have been sent meanwhile.
    if progress.possible_runs() >= call.route().attempts {
        gateway.server_pool.release(connection, None);
        return Err(AttemptResult::NotRun(Proof::NeverSent));
    }
    slot.record_sent(call);
    progress.record_sent();
    let added = AddedHeaders {
        remaining: call.time_left(),
        server_id: &slot.server.id,
        customer: call.customer.as_deref(),
        last_event,
        priority: priority(call, last_event),
    };
    let mut request =
        Request::new(Full::new(call.transfer.sending(&call.body, connection.meter())));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::for_server(&call.headers, added);
    let sent_at = gateway.clock.now();
    let sent = tokio::select! {
        sent = gateway.clock.timeout_at(call.deadline, connection.send(request)) => sent,
        // The server drops it from its queue once the connection is closed.
        () = call.wait_until_quarantined(gateway) => {
            gateway.metrics.count("attempts_failed_total", "quarantined");
            info!(gateway.log, "waiting attempt cancelled for a part of its prompt"; "id" => &call.head.id,
                "server" => &slot.server.id, "parts" => call.parts_label());
            return Err(AttemptResult::Broken);
        }
    };
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_unsent() => {
            slot.record_end(RunEnd::NotRun);
            progress.record_not_run();
            on_unreachable(gateway, call, &slot, &error);
            return Err(AttemptResult::NotRun(Proof::NeverSent));
        }
        Ok(Err(error)) => {
            on_broken(gateway, call, &slot, &error);
            // A malformed answer comes from a server that runs.
            if !error.is_malformed() {
                suspect_crash(gateway, call, &slot.server).await;
            }
            return Err(AttemptResult::Broken);
        }
        Err(_) => return Err(AttemptResult::Broken),
    };
    let (parts, body) = response.into_parts();
    if !http::is_final(parts.status) {
        slot.mark_failed();
        gateway.metrics.count("attempts_failed_total", "status");
        info!(gateway.log, "answer has an invalid status"; "id" => &call.head.id,
            "server" => &slot.server.id, "status" => parts.status.as_u16());
        return Err(AttemptResult::Broken);
    }
    let head = headers::read_answer(parts.status, &parts.headers);
    slot.record_answered();
    record_notices(
        gateway,
        call,
        &slot.server,
        ReceivedAnswer { status: parts.status, head: &head, sent_at },
    );
    if !head.id.is_empty() && head.id != call.head.id {
        slot.mark_failed();
        info!(gateway.log, "answer belongs to another request"; "id" => &call.head.id,
            "answer_id" => &head.id, "server" => &slot.server.id);
        return Err(AttemptResult::Broken);
    }
    let is_wrong_server = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if is_wrong_server || head.not_run {
        let proof = if is_wrong_server { Proof::WrongServer } else { Proof::Refused };
        slot.record_end(RunEnd::NotRun);
        progress.record_not_run();
        on_refused(gateway, call, &slot, proof, &head);
        return Err(AttemptResult::NotRun(proof));
    }
    slot.record_begun();
    Ok(ServerAnswer { parts, head, body, connection, slot })
}

/// Makes an attempt and, while its server makes no progress, one at another server. Returns the
/// answer that comes first.
///
/// # Errors
///
/// The result of the first attempt, if neither was answered.
pub async fn attempt_with_backup(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    slot: SlotGuard,
    progress: &Progress,
) -> Result<ServerAnswer, AttemptResult> {
    let slot = Rc::new(slot);
    let mut first = pin!(attempt(gateway, call, slot.clone(), None, progress));
    let reason = tokio::select! {
        biased;
        result = &mut first => return result,
        reason = wait_until_stuck(gateway, call, &slot, false) => reason,
    };
    info!(gateway.log, "server makes no progress"; "id" => &call.head.id,
        "server" => &slot.server.id, "reason" => reason,
        "report_age_ms" => report_age_ms(gateway, &slot.server.id),
        "fingerprint" => %call.fingerprint());
    if reason == RESTARTED {
        slot.mark_failed();
        gateway.metrics.count("attempts_failed_total", reason);
        return Err(AttemptResult::Broken);
    }
    let may_wait = Cell::new(true);
    let mut backup = pin!(back_up(gateway, call, progress, &may_wait));
    tokio::select! {
        biased;
        result = &mut first => match result {
            Ok(answer) => {
                progress.record_answered(&answer.slot.server.id);
                Ok(answer)
            }
            Err(result) => {
                may_wait.set(false);
                backup.await.ok_or(result)
            }
        },
        answer = &mut backup => match answer {
            Some(answer) => {
                slot.mark_failed();
                gateway.metrics.count("attempts_failed_total", reason);
                Ok(answer)
            }
            None => first.await,
        },
    }
}

/// Makes attempts at other servers until one succeeds, as often as the route allows. While `may_wait`
/// holds, waits for their capacity and for the retry budget.
async fn back_up(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    progress: &Progress,
    may_wait: &Cell<bool>,
) -> Option<ServerAnswer> {
    let mut result = AttemptResult::Broken;
    loop {
        let next = next_action(attempt_state(call, progress), result);
        if next != NextAction::Retry || !may_send_again(gateway, call, progress) {
            return None;
        }
        let slot = wait_for_server(gateway, call, progress).await.ok();
        let Some(slot) = slot.filter(|_| may_retry(gateway, call, progress, result)) else {
            if !may_wait.get() {
                return None;
            }
            time::sleep(CAPACITY_POLL).await;
            continue;
        };
        match attempt(gateway, call, Rc::new(slot), None, progress).await {
            // The first server may still succeed.
            Ok(answer) if !answer.parts.status.is_success() => result = AttemptResult::Failed,
            Ok(answer) => return Some(answer),
            Err(failure) => result = failure,
        }
    }
}

/// Returns the request's priority in its server's queue. A resumed stream goes first, since its
/// caller waits for the next event. Where requests differ in urgency, it follows from the level.
/// Elsewhere a retry after a refusal goes last, since it is late already.
fn priority(call: &Call, last_event: Option<&str>) -> QueuePriority {
    let level = call.level;
    match last_event {
        Some(_) => QueuePriority::First,
        None if level.is_ranked() => {
            QueuePriority::Level { fraction: level.fraction(), is_retry: call.is_retry }
        }
        None if call.is_model() && call.is_retry => QueuePriority::Last,
        None => QueuePriority::Normal,
    }
}

/// Waits until a server is stuck, its connection is silent, or it has started again, and returns which
/// of them. Never completes for a request that may not be repeated. `has_started` says whether the server has
/// sent an event of the request.
pub async fn wait_until_stuck(
    gateway: &Gateway,
    call: &Call,
    slot: &SlotGuard,
    has_started: bool,
) -> &'static str {
    if !call.route().is_repeatable() {
        return std::future::pending().await;
    }
    let id = &slot.server.id;
    let since = gateway.clock.now();
    let mut now = since;
    let mut pass = None;
    let mut delayed = None;
    loop {
        let until_stuck = gateway.fleet.borrow().time_to_stuck(id, now);
        let max = if pass.is_none() { FIRST_PASS_POLL } else { STUCK_POLL_MAX };
        let pause = until_stuck.map_or(max, |until_stuck| until_stuck.max(STUCK_POLL_MIN)).min(max);
        time::sleep(pause).await;
        let slept = gateway.clock.now().since(now);
        now = now + slept;
        if slept > pause + DELAY_MAX {
            delayed = Some(now);
        }
        // What arrived while this process stood still or was busy may not be read yet.
        if delayed.is_some_and(|at| now.since(at) < CATCH_UP) {
            continue;
        }
        let fleet = gateway.fleet.borrow();
        pass = pass.or_else(|| fleet.pass_after(id, since));
        if fleet.is_superseded(id, slot.server.incarnation) {
            return RESTARTED;
        }
        if fleet.is_stuck(id, slot.server.incarnation, now) {
            return "stuck";
        }
        if pass.is_some_and(|pass| fleet.is_stream_silent(id, pass, has_started, now)) {
            return "mute";
        }
    }
}

/// Returns the age of the last report of a server's sidecar, for the log.
pub fn report_age_ms(gateway: &Gateway, id: &str) -> Option<u64> {
    let age = gateway.fleet.borrow().report_age(id, gateway.clock.now())?;
    Some(age.as_millis() as u64)
}

/// Returns whether a request may be sent again after a failed attempt, and takes the retry from
/// the service's budget. Requests that were never sent are not charged; requests that must not be
/// sent to a server are not retried.
pub fn may_retry(
    gateway: &Gateway,
    call: &Call,
    progress: &Progress,
    result: AttemptResult,
) -> bool {
    if !may_send_again(gateway, call, progress) {
        return false;
    }
    let is_unsent = result == AttemptResult::NotRun(Proof::NeverSent);
    let is_allowed = is_unsent || gateway.take_retry(&call.service);
    if !is_allowed {
        gateway.metrics.count("retries_denied_total", "budget");
    }
    is_allowed
}

/// Returns whether a request may be sent again as far as its number of sends and quarantines decide.
pub fn may_send_again(gateway: &Gateway, call: &Call, progress: &Progress) -> bool {
    let sends = u32::try_from(progress.sends()).unwrap_or(u32::MAX);
    if sends >= call.route().attempts + EXTRA_SENDS {
        return false;
    }
    let is_held = call.held(gateway).is_some();
    if is_held {
        gateway.metrics.count("retries_denied_total", "quarantined");
    }
    !is_held
}

/// Returns what decides about another attempt.
pub fn attempt_state(call: &Call, progress: &Progress) -> AttemptState {
    let route = call.route();
    AttemptState {
        repeatable: route.is_repeatable(),
        may_have_run: progress.possible_runs() > 0,
        attempts_left: route.attempts.saturating_sub(progress.possible_runs()),
        time_left: call.time_left(),
    }
}

fn on_unreachable(gateway: &Gateway, call: &Call, slot: &SlotGuard, error: &CallError) {
    gateway.fleet.borrow_mut().record_unreachable(&slot.server.id, gateway.clock.now());
    gateway.metrics.count("attempts_failed_total", "unreachable");
    info!(gateway.log, "server not reached"; "id" => &call.head.id, "server" => &slot.server.id,
        "error" => %error);
}

fn on_broken(gateway: &Gateway, call: &Call, slot: &SlotGuard, error: &CallError) {
    slot.mark_failed();
    gateway.metrics.count("attempts_failed_total", "broken");
    info!(gateway.log, "attempt broken"; "id" => &call.head.id, "server" => &slot.server.id,
        "fingerprint" => %call.fingerprint(), "parts" => call.parts_label(), "error" => %error);
}

fn on_refused(gateway: &Gateway, call: &Call, slot: &SlotGuard, proof: Proof, head: &AnswerHead) {
    let now = gateway.clock.now();
    let server = &slot.server;
    match proof {
        Proof::WrongServer => gateway.fleet.borrow_mut().record_unreachable(&server.id, now),
        // A backoff concerns the server itself, not its group.
        _ if head.retry_after.is_some() => (),
        // Servers without a model may refuse single requests, which is no sign of load.
        _ if call.is_model() => {
            gateway.fleet.borrow_mut().record_refused(&server.id, server.load_milli, now);
        }
        _ => (),
    }
    gateway.metrics.count("attempts_failed_total", "refused");
    info!(gateway.log, "server refused"; "id" => &call.head.id, "server" => &slot.server.id,
        "proof" => ?proof, "load_milli" => slot.server.load_milli, "leaving" => head.leaving,
        "limit_per_s" => head.limit.rate().map(Rate::requests),
        "retry_after_ms" => head.retry_after.map(|wait| wait.as_millis() as u64),
        "report_age_ms" => slot.server.report_age.map(|age| age.as_millis() as u64));
}
