//! Carries out what a call asks for.
//!
//! The decisions are [`Call`]'s and the router's; here are the sockets, the
//! timers and the log lines. A call runs as a task of its own and reports to
//! the handler that started it: a whole answer, the beginning of a stream, or a
//! problem.

mod lines;
mod start;

use super::{
    Shared,
    admit::Admitted,
    attempt::{self, Came, Link},
    keys::{self, Places},
    lock,
    order::Order,
    problem::{Kind, Problem},
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

/// Bytes of an answer that is not a stream at most.
const ANSWER_MAX: usize = 4 << 20;
/// Units of a stream between the server and a slow caller.
const STREAM_ROOM: usize = 32;
/// Silence between two units of a stream that counts as a stall.
const STALL: Duration = Duration::from_millis(1_500);
/// What the agent has less of a deadline than the entry: its refusal comes in
/// time, and proves that the request did not run.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
const EVENT_STREAM: &str = "text/event-stream";

/// A call in progress.
struct Driver {
    shared: Arc<Shared>,
    order: Order,
    admitted: Admitted,
    op: OpId,
    bindings: Vec<Binding>,
    deadline: Uptime,
    link: Option<Link>,
    tried: Vec<String>,
    reply: Option<oneshot::Sender<Reply>>,
    stream: Option<mpsc::Sender<Bytes>>,
    head: (u16, Option<String>),
    body: Vec<u8>,
}

/// Runs a request to its end.
pub async fn run(
    shared: Arc<Shared>,
    order: Order,
    admitted: Admitted,
    reply: oneshot::Sender<Reply>,
) {
    shared.active.fetch_add(1, Ordering::SeqCst);
    lock(&shared.budget).deposit();
    let limit = Duration::from_millis(u64::from(order.service.deadline_ms));
    let mut driver = Driver {
        deadline: shared.context.clock.now() + limit,
        shared: shared.clone(),
        op: OpId([0; 16]),
        bindings: Vec::new(),
        order,
        admitted,
        link: None,
        tried: Vec::new(),
        reply: Some(reply),
        stream: None,
        head: (0, None),
        body: Vec::new(),
    };
    driver.run().await;
    shared.active.fetch_sub(1, Ordering::SeqCst);
}

impl Driver {
    async fn run(&mut self) {
        // Its caller may have submitted it before, here or at another entry.
        if self.is_quarantined() {
            return self.refuse(Kind::Quarantined).await;
        }
        if self.order.service.repeatable {
            let resumable = self.order.service.resumable && self.order.streamed;
            let end = self.drive(Call::new(RetryPolicy::Repeatable { resumable })).await;
            return self.conclude(end).await;
        }
        let places = match keys::places(&self.shared, &self.order).await {
            Ok(places) => places,
            Err(kind) => return self.refuse(kind).await,
        };
        let former = places.former.clone();
        let end = self.once(places).await;
        let Some(former) = former.filter(|_| end.0 == Outcome::NotRun) else {
            return self.conclude(end).await;
        };
        // An earlier submission was refused everywhere, which is final for
        // those places. This one may run at others.
        match keys::rebind(&self.shared, &self.order, &former).await {
            Ok(places) => {
                let end = self.once(places).await;
                self.conclude(end).await;
            }
            Err(kind) => self.refuse(kind).await,
        }
    }

    async fn once(&mut self, places: Places) -> (Outcome, Option<Evidence>) {
        if let Some(chosen) = &places.chosen {
            self.log_choice(chosen);
        }
        let fences = places.bindings.iter().map(|binding| binding.fence.clone()).collect();
        self.op = places.op;
        self.bindings = places.bindings;
        self.drive(Call::new(RetryPolicy::AtMostOnce { fences, exclusive: places.private })).await
    }

    /// Feeds the call until it finishes.
    async fn drive(&mut self, mut call: Call) -> (Outcome, Option<Evidence>) {
        let mut action = call.start();
        loop {
            action = match action {
                Action::Route => {
                    let fence = self.route();
                    call.routed(fence)
                }
                Action::Connect { fence, from, wait } => {
                    self.open(&mut call, &fence, from, wait).await
                }
                Action::Wait => self.read(&mut call).await,
                Action::ForwardHead => {
                    self.deliver_head(&mut call);
                    self.read(&mut call).await
                }
                Action::ForwardChunk => self.deliver(&mut call).await,
                Action::Finish { outcome, evidence, cancel } => {
                    if outcome == Outcome::Unknown {
                        // Charged for what came of it, its prompt at least.
                        let cost = self.order.service.cost;
                        let decoded = cost.units(0, call.delivered());
                        self.admitted.settle(self.order.prefill.saturating_add(decoded));
                    }
                    self.close(outcome, evidence, cancel).await;
                    return (outcome, evidence);
                }
            };
        }
    }

    /// Whether engines ended under the request, so that it goes to no other.
    fn is_quarantined(&self) -> bool {
        let now = self.shared.context.clock.now();
        let mut suspects = lock(&self.shared.suspects);
        if suspects.is_empty() {
            return false;
        }
        let quarantine = suspects.quarantine(self.order.fingerprint(), now);
        if let Some(Quarantine { crashes: ends, age, .. }) = quarantine {
            slog::info!(self.shared.context.log, "quarantined request refused"; "request" => &self.order.id,
                "fingerprint" => %self.order.fingerprint(), "ends" => ends,
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
            let request = self.order.routing(&self.tried);
            view.choose(&self.order.service_name, &request, now, &mut *rng)
        };
        match &chosen {
            Some(chosen) => self.log_choice(chosen),
            None => self.log_none(),
        }
        chosen.map(|chosen| chosen.fence)
    }

    async fn open(&mut self, call: &mut Call, fence: &Fence, from: u64, wait: Duration) -> Action {
        if let Some(link) = self.link.take() {
            drop(link);
        }
        if !wait.is_zero() {
            let jitter = rand::rng().random_range(0.5..1.5);
            time::sleep(wait.mul_f64(jitter)).await;
        }
        let now = self.shared.context.clock.now();
        if now >= self.deadline {
            return self.feed(call, Event::Deadline);
        }
        self.tried.push(fence.server.clone());
        let opened = attempt::open(&self.shared, &fence.server).await;
        let Ok(mut link) = opened else {
            self.signal(&fence.server, Signal::Failed);
            return self.feed(call, Event::ConnectFailed);
        };
        let opened = self.feed(call, Event::Connected);
        let service = &self.order.service_name;
        lock(&self.shared.view).sent(service, &fence.server, self.order.cost, now);
        if link.start(self.start(fence, from), &self.order.body).await.is_err() {
            self.signal(&fence.server, Signal::Failed);
            return self.feed(call, Event::Lost);
        }
        self.link = Some(link);
        opened
    }

    async fn read(&mut self, call: &mut Call) -> Action {
        let Some(link) = &mut self.link else { return self.feed(call, Event::Lost) };
        let clock = &self.shared.context.clock;
        let left = self.deadline.since(clock.now());
        let resumable = self.order.service.resumable && self.stream.is_some();
        let patience = if resumable { left.min(STALL) } else { left };
        let next = clock.timeout_at(clock.now() + patience, link.next(&self.shared));
        let Ok(came) = next.await else {
            return self.silence(call, patience < left).await;
        };
        self.take(call, came)
    }

    fn take(&mut self, call: &mut Call, came: Came) -> Action {
        if let Some(head) = came.head {
            self.head = head;
        }
        if let Some(life) = came.ended {
            let now = self.shared.context.clock.now();
            lock(&self.shared.suspects).record_crash(self.order.fingerprint(), life, now);
        }
        if let Some(spent) = came.spent {
            self.admitted.settle(spent.units);
        }
        if matches!(came.event, Event::Chunk { .. }) {
            let before = self.body.len();
            self.body.extend_from_slice(&came.bytes);
            let action = self.feed(call, came.event);
            if action != Action::ForwardChunk {
                self.body.truncate(before);
            }
            return action;
        }
        if came.event == Event::Lost {
            let server = self.tried.last().cloned().unwrap_or_default();
            self.signal(&server, Signal::Failed);
        }
        self.feed(call, came.event)
    }

    async fn silence(&mut self, call: &mut Call, stalled: bool) -> Action {
        if !stalled {
            return self.feed(call, Event::Deadline);
        }
        let server = self.tried.last().cloned().unwrap_or_default();
        slog::warn!(self.shared.context.log, "stream stalled; moves it to another server";
            "request" => &self.order.id, "server" => &server);
        self.signal(&server, Signal::Stalled);
        if let Some(link) = self.link.take() {
            link.cancel().await;
        }
        self.feed(call, Event::Lost)
    }

    fn deliver_head(&mut self, call: &mut Call) {
        self.admitted.begins();
        self.body.clear();
        let (status, content) = self.head.clone();
        let streamed = content.as_deref().is_some_and(|content| content.starts_with(EVENT_STREAM));
        if !streamed || self.stream.is_some() {
            return;
        }
        call.mark_committed();
        let (sender, units) = mpsc::channel(STREAM_ROOM);
        self.stream = Some(sender);
        self.reply(Reply::Stream { status, content, units });
    }

    async fn deliver(&mut self, call: &mut Call) -> Action {
        let Some(stream) = &self.stream else {
            if self.body.len() > ANSWER_MAX {
                return self.feed(call, Event::CallerDisconnected);
            }
            return self.read(call).await;
        };
        let unit = Bytes::from(std::mem::take(&mut self.body));
        match self.shared.context.clock.timeout_at(self.deadline, stream.send(unit)).await {
            Ok(Ok(())) => self.read(call).await,
            Ok(Err(_)) => self.feed(call, Event::CallerDisconnected),
            Err(_) => self.feed(call, Event::Deadline),
        }
    }

    fn feed(&self, call: &mut Call, event: Event) -> Action {
        call.handle(event, &mut lock(&self.shared.budget))
    }

    /// The last attempt is over.
    async fn close(&mut self, outcome: Outcome, evidence: Option<Evidence>, cancel: bool) {
        let Some(link) = self.link.take() else { return };
        if cancel {
            link.cancel().await;
        } else if outcome == Outcome::Done || matches!(evidence, Some(Evidence::Refused(_))) {
            link.give_back(&self.shared);
        }
        if outcome == Outcome::Done
            && let Some(server) = self.tried.last().cloned()
        {
            self.signal(&server, Signal::Success);
            let now = self.shared.context.clock.now();
            lock(&self.shared.suspects).record_completed(self.order.fingerprint(), now);
        }
    }

    fn signal(&self, server: &str, signal: Signal) {
        let now = self.shared.context.clock.now();
        let service = &self.order.service_name;
        if lock(&self.shared.view).ended(service, server, Some(signal), now) {
            slog::warn!(self.shared.context.log, "server ejected"; "server" => server,
                "signal" => ?signal);
        }
    }

    async fn conclude(&mut self, (outcome, evidence): (Outcome, Option<Evidence>)) {
        self.log_end(outcome, evidence);
        if outcome != Outcome::Done {
            return self.tell(Kind::of(outcome, evidence), outcome).await;
        }
        let (status, content) = std::mem::take(&mut self.head);
        let body = std::mem::take(&mut self.body);
        self.reply(Reply::Whole { status, content, body });
    }

    /// Refused before any attempt.
    async fn refuse(&mut self, kind: Kind) {
        let may_have_run = matches!(kind, Kind::KeyUnknown | Kind::BadTicket);
        let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        self.log_end(outcome, None);
        self.tell(kind, outcome).await;
    }

    async fn tell(&mut self, kind: Kind, outcome: Outcome) {
        let problem = Problem::new(kind, outcome, &self.order.id, None);
        // A stream that has begun ends with an event that says so, and without
        // the last event of a whole one.
        if let Some(stream) = self.stream.take() {
            let json = serde_json::to_string(&problem).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {json}\n\n"));
            let _ = stream.send(event).await;
            return;
        }
        self.reply(Reply::Problem(problem));
    }

    /// The handler may have gone; then nobody is to be told.
    fn reply(&mut self, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            let _ = sender.send(reply);
        }
    }
}
