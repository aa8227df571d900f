//! Runs one admitted request at the entry, from the first attempt to the answer.
//!
//! [`Call`] is the state machine that decides on retries and outcomes, and the router chooses
//! servers. This module owns the sockets and timers: it carries out each [`Action`] and passes the
//! resulting [`Event`] back. Each request runs as a task of its own and sends the HTTP handler
//! that started it one [`Reply`]: a complete answer, the head of a stream, or a problem.

mod log;
mod start_frame;

use super::{
    Shared,
    admit::AdmissionGuard,
    attempt::{self, AttemptChannel, AttemptEvent},
    keys::{self, BoundOperation},
    lock,
    parsed_request::ParsedRequest,
    problem::{Problem, ProblemKind},
    reply::Reply,
};
use bytes::Bytes;
use mastweir_core::{
    gateway::Quarantine,
    id::{Fence, OpId},
    outcome::{Action, Binding, Call, Event, Evidence, Outcome, RetryPolicy},
    route::Signal,
    time::Uptime,
};
use rand::Rng;
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// Maximum bytes of an answer that is not streamed.
const ANSWER_MAX: usize = 4 << 20;
/// Chunks of a stream buffered for a slow caller.
const STREAM_BUFFER: usize = 32;
/// Time without a chunk after which a resumable stream moves to another server.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How much earlier the agent's deadline is than the entry's. The agent's refusal then arrives
/// in time, and proves that the request did not run.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
const EVENT_STREAM: &str = "text/event-stream";

/// A request in progress.
struct Driver {
    shared: Arc<Shared>,
    request: ParsedRequest,
    admission: AdmissionGuard,
    op: OpId,
    bindings: Vec<Binding>,
    deadline: Uptime,
    channel: Option<AttemptChannel>,
    /// Servers of the attempts so far, in order.
    tried: Vec<String>,
    /// `None` once the handler has its reply.
    reply: Option<oneshot::Sender<Reply>>,
    /// Set once the answer is streamed to the caller.
    stream: Option<mpsc::Sender<Bytes>>,
    /// HTTP status and content type.
    answer_head: (u16, Option<String>),
    /// The answer's body, or the last chunk of a stream.
    body: Vec<u8>,
}

/// Runs a request and sends its reply.
pub async fn run(
    shared: Arc<Shared>,
    request: ParsedRequest,
    admission: AdmissionGuard,
    reply: oneshot::Sender<Reply>,
) {
    shared.active.fetch_add(1, Ordering::SeqCst);
    lock(&shared.budget).deposit();
    let limit = Duration::from_millis(u64::from(request.service.deadline_ms));
    let mut driver = Driver {
        deadline: shared.context.clock.now() + limit,
        shared: shared.clone(),
        op: OpId([0; 16]),
        bindings: Vec::new(),
        request,
        admission,
        channel: None,
        tried: Vec::new(),
        reply: Some(reply),
        stream: None,
        answer_head: (0, None),
        body: Vec::new(),
    };
    driver.run().await;
    shared.active.fetch_sub(1, Ordering::SeqCst);
}

impl Driver {
    async fn run(&mut self) {
        // Servers may have crashed under an earlier submission, here or at another entry.
        if self.is_quarantined() {
            return self.reject(ProblemKind::Quarantined).await;
        }
        if self.request.service.repeatable {
            let resumable = self.request.service.resumable && self.request.streamed;
            let result = self.drive(Call::new(RetryPolicy::Repeatable { resumable })).await;
            return self.report_outcome(result).await;
        }
        let bound = match keys::resolve(&self.shared, &self.request).await {
            Ok(bound) => bound,
            Err(kind) => return self.reject(kind).await,
        };
        let existing = bound.existing.clone();
        let result = self.run_at_most_once(bound).await;
        let Some(existing) = existing.filter(|_| result.0 == Outcome::NotRun) else {
            return self.report_outcome(result).await;
        };
        // The operation was bound to agents by an earlier submission. All of them have refused
        // the operation, and each refusal is final, so other agents may run it.
        match keys::rebind(&self.shared, &self.request, &existing).await {
            Ok(bound) => {
                let result = self.run_at_most_once(bound).await;
                self.report_outcome(result).await;
            }
            Err(kind) => self.reject(kind).await,
        }
    }

    async fn run_at_most_once(&mut self, bound: BoundOperation) -> (Outcome, Option<Evidence>) {
        if let Some(chosen) = &bound.chosen {
            self.log_choice(chosen);
        }
        let fences = bound.bindings.iter().map(|binding| binding.fence.clone()).collect();
        self.op = bound.op;
        self.bindings = bound.bindings;
        self.drive(Call::new(RetryPolicy::AtMostOnce { fences, exclusive: bound.exclusive })).await
    }

    /// Carries out the call's actions until it finishes.
    async fn drive(&mut self, mut call: Call) -> (Outcome, Option<Evidence>) {
        let mut action = call.start();
        loop {
            action = match action {
                Action::Route => {
                    let fence = self.route();
                    call.routed(fence)
                }
                Action::Connect { fence, from, wait } => {
                    self.connect(&mut call, &fence, from, wait).await
                }
                Action::Wait => self.receive(&mut call).await,
                Action::ForwardHead => {
                    self.forward_head(&mut call);
                    self.receive(&mut call).await
                }
                Action::ForwardChunk => self.forward_chunk(&mut call).await,
                Action::Finish { outcome, evidence, cancel } => {
                    if outcome == Outcome::Unknown {
                        // Charges the prompt, and one model token for each chunk delivered.
                        let cost = self.request.service.cost;
                        let decoded = cost.units(0, call.delivered());
                        self.admission.settle(self.request.prefill.saturating_add(decoded));
                    }
                    self.end_attempt(outcome, evidence, cancel).await;
                    return (outcome, evidence);
                }
            };
        }
    }

    /// Returns whether the request is quarantined because servers crashed while they ran it.
    fn is_quarantined(&self) -> bool {
        let now = self.shared.context.clock.now();
        let mut poison_requests = lock(&self.shared.poison_requests);
        if poison_requests.is_empty() {
            return false;
        }
        let quarantine = poison_requests.quarantine(self.request.fingerprint(), now);
        if let Some(Quarantine { crashes, age, .. }) = quarantine {
            slog::info!(self.shared.context.log, "quarantined request refused"; "request" => &self.request.id,
                "fingerprint" => %self.request.fingerprint(), "ends" => crashes,
                "age_ms" => age.as_millis() as u64);
        }
        quarantine.is_some()
    }

    fn route(&mut self) -> Option<Fence> {
        if self.is_quarantined() {
            return None;
        }
        let chosen = {
            let view = lock(&self.shared.view);
            let now = self.shared.context.clock.now();
            let mut rng = lock(&self.shared.rng);
            let request = self.request.routing(&self.tried);
            view.choose(&self.request.service_name, &request, now, &mut *rng)
        };
        match &chosen {
            Some(chosen) => self.log_choice(chosen),
            None => self.log_no_server(),
        }
        chosen.map(|chosen| chosen.fence)
    }

    async fn connect(
        &mut self,
        call: &mut Call,
        fence: &Fence,
        from: u64,
        wait: Duration,
    ) -> Action {
        if let Some(channel) = self.channel.take() {
            drop(channel);
        }
        if !wait.is_zero() {
            let jitter = rand::rng().random_range(0.5..1.5);
            time::sleep(wait.mul_f64(jitter)).await;
        }
        let now = self.shared.context.clock.now();
        if now >= self.deadline {
            return self.handle(call, Event::Deadline);
        }
        self.tried.push(fence.server.clone());
        let opened = attempt::open(&self.shared, &fence.server).await;
        let Ok(mut channel) = opened else {
            self.record_signal(&fence.server, Signal::Failed);
            return self.handle(call, Event::ConnectFailed);
        };
        let action = self.handle(call, Event::Connected);
        let service = &self.request.service_name;
        lock(&self.shared.view).record_sent(service, &fence.server, self.request.cost, now);
        if channel.start(self.start_frame(fence, from), &self.request.body).await.is_err() {
            self.record_signal(&fence.server, Signal::Failed);
            return self.handle(call, Event::Lost);
        }
        self.channel = Some(channel);
        action
    }

    /// Waits for the next event of the attempt, up to the deadline or the stall timeout.
    async fn receive(&mut self, call: &mut Call) -> Action {
        let Some(channel) = &mut self.channel else { return self.handle(call, Event::Lost) };
        let clock = &self.shared.context.clock;
        let remaining = self.deadline.since(clock.now());
        let resumable = self.request.service.resumable && self.stream.is_some();
        let limit = if resumable { remaining.min(STALL_TIMEOUT) } else { remaining };
        let next = clock.timeout_at(clock.now() + limit, channel.next(&self.shared));
        let Ok(received) = next.await else {
            return self.on_timeout(call, limit < remaining).await;
        };
        self.on_received(call, received)
    }

    fn on_received(&mut self, call: &mut Call, received: AttemptEvent) -> Action {
        if let Some(head) = received.head {
            self.answer_head = head;
        }
        if let Some(engine) = received.crashed_engine {
            let now = self.shared.context.clock.now();
            lock(&self.shared.poison_requests).record_crash(
                self.request.fingerprint(),
                engine,
                now,
            );
        }
        if let Some(cost) = received.cost {
            self.admission.settle(cost.units);
        }
        if matches!(received.event, Event::Chunk { .. }) {
            let before = self.body.len();
            self.body.extend_from_slice(&received.bytes);
            let action = self.handle(call, received.event);
            if action != Action::ForwardChunk {
                self.body.truncate(before);
            }
            return action;
        }
        if received.event == Event::Lost {
            let server = self.tried.last().cloned().unwrap_or_default();
            self.record_signal(&server, Signal::Failed);
        }
        self.handle(call, received.event)
    }

    async fn on_timeout(&mut self, call: &mut Call, stalled: bool) -> Action {
        if !stalled {
            return self.handle(call, Event::Deadline);
        }
        let server = self.tried.last().cloned().unwrap_or_default();
        slog::warn!(self.shared.context.log, "stream stalled; moving it to another server";
            "request" => &self.request.id, "server" => &server);
        self.record_signal(&server, Signal::Stalled);
        if let Some(channel) = self.channel.take() {
            channel.cancel().await;
        }
        self.handle(call, Event::Lost)
    }

    fn forward_head(&mut self, call: &mut Call) {
        self.admission.mark_answering();
        self.body.clear();
        let (status, content_type) = self.answer_head.clone();
        let streamed = content_type
            .as_deref()
            .is_some_and(|content_type| content_type.starts_with(EVENT_STREAM));
        if !streamed || self.stream.is_some() {
            return;
        }
        call.mark_committed();
        let (sender, chunks) = mpsc::channel(STREAM_BUFFER);
        self.stream = Some(sender);
        self.reply(Reply::Stream { status, content_type, chunks });
    }

    async fn forward_chunk(&mut self, call: &mut Call) -> Action {
        let Some(stream) = &self.stream else {
            if self.body.len() > ANSWER_MAX {
                return self.handle(call, Event::CallerDisconnected);
            }
            return self.receive(call).await;
        };
        let chunk = Bytes::from(std::mem::take(&mut self.body));
        match self.shared.context.clock.timeout_at(self.deadline, stream.send(chunk)).await {
            Ok(Ok(())) => self.receive(call).await,
            Ok(Err(_)) => self.handle(call, Event::CallerDisconnected),
            Err(_) => self.handle(call, Event::Deadline),
        }
    }

    fn handle(&self, call: &mut Call, event: Event) -> Action {
        call.handle(event, &mut lock(&self.shared.budget))
    }

    /// Closes the channel of the last attempt, or returns it to the pool, and records the result.
    async fn end_attempt(&mut self, outcome: Outcome, evidence: Option<Evidence>, cancel: bool) {
        let Some(channel) = self.channel.take() else { return };
        if cancel {
            channel.cancel().await;
        } else if outcome == Outcome::Done || matches!(evidence, Some(Evidence::Refused(_))) {
            channel.release(&self.shared);
        }
        if outcome == Outcome::Done
            && let Some(server) = self.tried.last().cloned()
        {
            self.record_signal(&server, Signal::Success);
            let now = self.shared.context.clock.now();
            lock(&self.shared.poison_requests).record_completed(self.request.fingerprint(), now);
        }
    }

    fn record_signal(&self, server: &str, signal: Signal) {
        let now = self.shared.context.clock.now();
        let service = &self.request.service_name;
        if lock(&self.shared.view).record_ended(service, server, Some(signal), now) {
            slog::warn!(self.shared.context.log, "server ejected"; "server" => server,
                "signal" => ?signal);
        }
    }

    async fn report_outcome(&mut self, (outcome, evidence): (Outcome, Option<Evidence>)) {
        self.log_outcome(outcome, evidence);
        if outcome != Outcome::Done {
            return self.send_problem(ProblemKind::of(outcome, evidence), outcome).await;
        }
        let (status, content_type) = std::mem::take(&mut self.answer_head);
        let body = std::mem::take(&mut self.body);
        self.reply(Reply::Complete { status, content_type, body });
    }

    /// Ends a request before any attempt.
    async fn reject(&mut self, kind: ProblemKind) {
        let may_have_run = matches!(kind, ProblemKind::KeyUnknown | ProblemKind::BadTicket);
        let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        self.log_outcome(outcome, None);
        self.send_problem(kind, outcome).await;
    }

    async fn send_problem(&mut self, kind: ProblemKind, outcome: Outcome) {
        let problem = Problem::new(kind, outcome, &self.request.id, None);
        // A stream in progress ends with an error event, and without the final event of a
        // complete stream.
        if let Some(stream) = self.stream.take() {
            let json = serde_json::to_string(&problem).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
            let _ = stream.send(event).await;
            return;
        }
        self.reply(Reply::Problem(problem));
    }

    /// Sends the handler its reply, unless it has one. The handler may have ended.
    fn reply(&mut self, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }
}
