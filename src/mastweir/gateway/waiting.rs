//! Requests that wait for a server, and the task that finds servers for them.
//!
//! In the gateway's process. A request for which there is no server, or before which others wait,
//! enters the queue ([`WaitQueue`], which decides on the order). The task [`run`] tries the waiting
//! requests in order when servers may have capacity again. Each request ends its own wait at its
//! limit, so none waits longer even if the task is behind, and is removed by a guard if its caller
//! leaves. Near the end of a planned stop all waits end, as the connections are about to be cut.

use super::{
    attempt::SlotGuard,
    call::{Call, Progress},
    final_answer::refusal_label,
    permits,
    return_times::wait_limit,
    state::Gateway,
};
use mastweir_core::{
    gateway::{
        Candidate, Refusal, WaitQueue, WaitTicket, WaitingRequest, is_shared_refusal, max_deferral,
    },
    share::Cost,
    time::Uptime,
};
use slog::info;
use std::{cell::RefCell, collections::HashMap, mem, rc::Rc, time::Duration};
use tokio::{sync::Notify, task, time};

/// Load, as a fraction of its slots, up to which a model's server counts as having capacity.
/// Admission of a stream depends on the mean load of the service as well. While this load alone
/// decided, 0.62, 0.78 and 0.97 were no better, and 1.25 was worse.
const MODEL_MAX_LOAD: f64 = 1.06;
/// The same for a server without a model; above 1, requests wait in the server's queue.
const PLAIN_MAX_LOAD: f64 = 3.0;
/// Shortest time between two passes through the queue.
const PASS_INTERVAL_MIN: Duration = Duration::from_millis(8);
/// Longest time between two passes, in case that no change is notified: some refusals end by time
/// alone.
const PASS_INTERVAL_MAX: Duration = Duration::from_millis(40);
/// Requests tried before other tasks of the gateway run: a choice may look at all servers of a
/// service.
const TRIES_PER_TURN: usize = 32;

/// The waiting requests of a gateway.
#[derive(Debug, Default)]
pub struct WaitState {
    queue: RefCell<WaitQueue>,
    waiters: RefCell<HashMap<WaitTicket, Rc<Waiter>>>,
    /// Notifies the task of the first request to wait, and of requests that were not tried yet.
    arrivals: Notify,
}

/// A request that needs a server.
#[derive(Debug)]
struct Waiter {
    call: Rc<Call>,
    /// Servers to avoid.
    tried: Vec<String>,
    /// Whether the request was not sent to any server yet.
    is_first_send: bool,
    since: Uptime,
    status: RefCell<WaitStatus>,
    /// Notifies of a new end or outcome.
    changed: Notify,
}

#[derive(Debug)]
struct WaitStatus {
    /// Last refusal; `None` before the first one.
    refusal: Option<Refusal>,
    /// When the wait ends without a server.
    end: Uptime,
    tries: u32,
    outcome: Option<Result<SlotGuard, Refusal>>,
}

/// Result of looking for a server.
enum Attempted {
    Placed(SlotGuard),
    /// There is a server, but the request should be sent later.
    Deferred,
    Refused(Refusal),
}

/// Removes a waiting request from the queue when its wait is over or its caller leaves.
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    waiter: Rc<Waiter>,
    ticket: WaitTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let state = &self.gateway.waiting;
        state.waiters.borrow_mut().remove(&self.ticket);
        if state.queue.borrow_mut().remove(self.ticket) {
            self.waiter.log_end(self.gateway, "left", None);
        }
    }
}

/// Chooses a server and counts the request in its load. Waits in the queue if none has capacity.
///
/// # Errors
///
/// The last [`Refusal`], if the wait ends without a server or waiting does not help, and
/// [`Refusal::Full`] if the queue has no room.
pub async fn wait_for_server(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    progress: &Progress,
) -> Result<SlotGuard, Refusal> {
    permits::add_demand(gateway, &call.service);
    let waiter = Rc::new(Waiter::new(gateway, call, progress));
    let is_behind = gateway.waiting.queue.borrow().has_waiting(&call.service, call.level.rank);
    if !is_behind {
        match waiter.attempt(gateway) {
            Attempted::Placed(slot) => return Ok(slot),
            Attempted::Refused(refusal) if waiter.is_over(gateway, refusal) => return Err(refusal),
            Attempted::Refused(_) | Attempted::Deferred => (),
        }
    }
    let guard = enqueue(gateway, waiter)?;
    loop {
        let end = guard.waiter.status.borrow().end;
        tokio::select! {
            biased;
            () = guard.waiter.changed.notified() => (),
            () = gateway.clock.sleep_until(end) => expire(gateway, &guard),
        }
        let outcome = guard.waiter.status.borrow_mut().outcome.take();
        if let Some(outcome) = outcome {
            return outcome;
        }
    }
}

/// Adds a request to the queue, and ends the wait of those that are dropped for it.
fn enqueue(gateway: &Gateway, waiter: Rc<Waiter>) -> Result<WaitGuard<'_>, Refusal> {
    let state = &gateway.waiting;
    let is_untried = waiter.status.borrow().tries == 0;
    if is_untried {
        // Also a request whose limit has passed is tried once, by the next passes.
        let limit = wait_limit(&waiter.call);
        waiter.set_end(limit.max(waiter.since + PASS_INTERVAL_MIN * 2));
    }
    let was_empty = state.queue.borrow().is_empty();
    let enqueued = state.queue.borrow_mut().enqueue(waiter.request(), gateway.clock.now());
    let Ok(enqueued) = enqueued else {
        waiter.log_end(gateway, "not_queued", Some(Err(&Refusal::Full)));
        return Err(Refusal::Full);
    };
    for ticket in enqueued.dropped {
        let dropped = state.waiters.borrow().get(&ticket).cloned();
        if let Some(dropped) = dropped {
            dropped.finish(gateway, "dropped", Err(Refusal::Full));
        }
    }
    let ticket = enqueued.ticket;
    state.waiters.borrow_mut().insert(ticket, waiter.clone());
    if is_untried || was_empty {
        state.arrivals.notify_one();
    }
    Ok(WaitGuard { gateway, waiter, ticket })
}

/// Ends the wait of a request at its limit, after one more try.
fn expire(gateway: &Rc<Gateway>, guard: &WaitGuard<'_>) {
    let waiter = &guard.waiter;
    let end = waiter.status.borrow().end;
    if waiter.has_outcome() || gateway.clock.now() < end {
        return;
    }
    let refusal = match waiter.attempt(gateway) {
        Attempted::Placed(slot) => return place(gateway, guard.ticket, waiter, slot),
        Attempted::Refused(refusal) => refusal,
        Attempted::Deferred => waiter.status.borrow().refusal.unwrap_or(Refusal::Full),
    };
    refuse(gateway, guard.ticket, waiter, "expired", refusal);
}

fn place(gateway: &Gateway, ticket: WaitTicket, waiter: &Waiter, slot: SlotGuard) {
    gateway.waiting.queue.borrow_mut().serve(ticket);
    waiter.finish(gateway, "placed", Ok(slot));
}

fn refuse(
    gateway: &Gateway,
    ticket: WaitTicket,
    waiter: &Waiter,
    outcome: &'static str,
    refusal: Refusal,
) {
    gateway.waiting.queue.borrow_mut().remove(ticket);
    waiter.finish(gateway, outcome, Err(refusal));
}

/// Finds servers for waiting requests. Does not return.
pub async fn run(gateway: Rc<Gateway>) {
    let state = &gateway.waiting;
    // Exists before a request is tried on its arrival, so that no later change is missed.
    let mut changed = Box::pin(gateway.server_changes.notified());
    loop {
        while state.queue.borrow().is_empty() {
            tokio::select! {
                biased;
                () = state.arrivals.notified() => (),
                () = &mut changed => changed.set(gateway.server_changes.notified()),
            }
        }
        time::sleep(PASS_INTERVAL_MIN).await;
        tokio::select! {
            // Notified of reports on servers, of answers on permits, and of ended requests.
            () = &mut changed => (),
            () = state.arrivals.notified() => (),
            () = time::sleep(PASS_INTERVAL_MAX - PASS_INTERVAL_MIN) => (),
        }
        // Created before the pass, so that it gets the changes during the pass.
        changed.set(gateway.server_changes.notified());
        pass(&gateway).await;
    }
}

/// Tries all waiting requests in order.
async fn pass(gateway: &Rc<Gateway>) {
    let state = &gateway.waiting;
    let order = state.queue.borrow_mut().next_pass(gateway.clock.now());
    // Refusals by service that hold for all requests that may use any of its servers. Servers get
    // fuller during a pass, and what is freed meanwhile is found by the next one.
    let mut shared: HashMap<String, (bool, Refusal)> = HashMap::new();
    for (number, ticket) in order.into_iter().enumerate() {
        if number % TRIES_PER_TURN == TRIES_PER_TURN - 1 {
            task::yield_now().await;
        }
        // The request may have ended its wait since the order was made.
        let waiter = state.waiters.borrow().get(&ticket).cloned();
        let Some(waiter) = waiter.filter(|waiter| !waiter.has_outcome()) else { continue };
        if *gateway.ending.borrow() {
            let refusal = waiter.status.borrow().refusal.unwrap_or(Refusal::Full);
            refuse(gateway, ticket, &waiter, "stopped", refusal);
            continue;
        }
        let call = &waiter.call;
        let is_model = call.is_model();
        let is_unrestricted = waiter.tried.is_empty() && call.has_no_homes();
        let known = shared.get(&call.service).filter(|(model, _)| *model == is_model);
        let known = known.filter(|_| is_unrestricted).map(|(_, refusal)| *refusal);
        let attempted = match known {
            Some(refusal) => waiter.record_refusal(gateway, refusal),
            None => waiter.attempt(gateway),
        };
        match attempted {
            Attempted::Placed(slot) => place(gateway, ticket, &waiter, slot),
            Attempted::Deferred => (),
            Attempted::Refused(refusal) => {
                if is_unrestricted && known.is_none() && is_shared_refusal(refusal, is_model) {
                    shared.insert(call.service.clone(), (is_model, refusal));
                }
                if waiter.is_over(gateway, refusal) {
                    refuse(gateway, ticket, &waiter, "refused", refusal);
                }
            }
        }
    }
}

impl Waiter {
    fn new(gateway: &Gateway, call: &Rc<Call>, progress: &Progress) -> Self {
        let end = call.deadline;
        let status = WaitStatus { refusal: None, end, tries: 0, outcome: None };
        Self {
            call: call.clone(),
            tried: progress.tried(),
            is_first_send: progress.send_delay().is_none(),
            since: gateway.clock.now(),
            status: RefCell::new(status),
            changed: Notify::new(),
        }
    }

    /// Returns what decides on the request's place in the queue.
    fn request(&self) -> WaitingRequest {
        let call = &self.call;
        let head = &call.head;
        let objective = Duration::from_millis(call.route().objective_ms);
        // The caller's time counts from its first attempt, which was refused.
        let late_at = if call.is_retry { call.arrived } else { call.arrived + objective };
        WaitingRequest {
            service: call.service.clone(),
            customer: call.customer.clone(),
            rank: call.level.rank,
            cost: Cost::default()
                .units(u64::from(head.prompt_tokens), u64::from(head.answer_tokens)),
            bytes: call.body.len(),
            late_at,
        }
    }

    fn has_outcome(&self) -> bool {
        self.status.borrow().outcome.is_some()
    }

    /// Looks for a server, and counts the request in its load.
    fn attempt(&self, gateway: &Rc<Gateway>) -> Attempted {
        let max_load = if self.call.is_model() { MODEL_MAX_LOAD } else { PLAIN_MAX_LOAD };
        match gateway.choose(self.call.first_requirements(&self.tried, max_load)) {
            Ok(server) if self.is_deferred(&server) => {
                self.status.borrow_mut().tries += 1;
                self.set_end(self.call.deadline);
                Attempted::Deferred
            }
            Ok(server) => {
                self.status.borrow_mut().tries += 1;
                Attempted::Placed(SlotGuard::acquire(gateway, server))
            }
            Err(refusal) => self.record_refusal(gateway, refusal),
        }
    }

    fn record_refusal(&self, gateway: &Gateway, refusal: Refusal) -> Attempted {
        {
            let mut status = self.status.borrow_mut();
            status.tries += 1;
            status.refusal = Some(refusal);
        }
        self.set_end(wait_limit(&self.call));
        if matches!(refusal, Refusal::Limited(_)) && !self.is_over(gateway, refusal) {
            permits::add_demand(gateway, &self.call.service);
        }
        Attempted::Refused(refusal)
    }

    fn set_end(&self, end: Uptime) {
        let end = end.min(self.call.deadline);
        let before = mem::replace(&mut self.status.borrow_mut().end, end);
        if before != end {
            self.changed.notify_one();
        }
    }

    /// Whether a refused request does not go on waiting.
    fn is_over(&self, gateway: &Gateway, refusal: Refusal) -> bool {
        let wait = match refusal {
            // Waiting does not help: the caller gets `Retry-After` instead.
            Refusal::Backoff(_) | Refusal::NoHall => return true,
            Refusal::Limited(wait) => PASS_INTERVAL_MIN.max(wait),
            _ => PASS_INTERVAL_MIN,
        };
        gateway.clock.now() + wait >= self.status.borrow().end
    }

    /// Whether the request should be sent later. Its first send is deferred, as long as the
    /// objective allows, while passes at the chosen server are too long for the route's desired
    /// gap.
    fn is_deferred(&self, server: &Candidate) -> bool {
        let route = self.call.route();
        let objective = Duration::from_millis(route.objective_ms);
        let deferral = max_deferral(server.pass_ms, route.gap_ms as f64, objective);
        self.is_first_send && self.call.age() + PASS_INTERVAL_MIN <= deferral
    }

    fn finish(&self, gateway: &Gateway, name: &'static str, outcome: Result<SlotGuard, Refusal>) {
        self.log_end(gateway, name, Some(outcome.as_ref().map(|slot| &slot.server)));
        self.status.borrow_mut().outcome = Some(outcome);
        self.changed.notify_one();
    }

    /// Logs and counts a request that leaves the queue, or gets no place in it.
    fn log_end(
        &self,
        gateway: &Gateway,
        outcome: &'static str,
        result: Option<Result<&Candidate, &Refusal>>,
    ) {
        let server = result.and_then(Result::ok);
        let refusal = result.and_then(Result::err).copied();
        let waited = gateway.clock.now().since(self.since);
        gateway.metrics.count("waits_total", outcome);
        gateway.metrics.observe("wait_seconds", waited);
        let status = self.status.borrow();
        let queue = gateway.waiting.queue.borrow();
        let request = self.request();
        info!(gateway.log, "request left the queue"; "id" => &self.call.head.id, "outcome" => outcome,
            "reason" => refusal.or(status.refusal).map(refusal_label), "service" => request.service,
            "customer" => request.customer, "level" => request.rank, "levels" => self.call.level.count,
            "returned" => self.call.is_retry, "cost" => request.cost, "bytes" => request.bytes,
            "queue_ms" => waited.as_millis() as u64, "tries" => status.tries,
            "left_ms" => self.call.time_left().as_millis() as u64,
            "server" => server.map(|server| server.id.as_str()),
            "load_milli" => server.map(|server| server.load_milli),
            "report_age_ms" => server.and_then(|server| server.report_age).map(|age| age.as_millis() as u64),
            "waiting" => queue.len(),
            "waiting_bytes" => queue.bytes(), "config" => self.call.active.config.version,
            "directory" => %gateway.fleet.borrow().directory().revision);
    }
}
