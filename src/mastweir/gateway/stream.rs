//! Forwards a stream of events from a server to its caller, in the gateway's process.
//!
//! Only whole events are forwarded. If the server's connection breaks or the server makes no
//! progress, the request is sent to another server with the id of the last forwarded event, and
//! the stream continues there. If that fails, the caller's connection is closed without the end
//! of the body, so that the caller can tell that the stream is incomplete.

use super::{
    attempt::{ServerAnswer, SlotGuard, attempt, may_retry, report_age_ms, wait_until_stuck},
    call::{Call, Progress},
    crash_probe::suspect_crash,
    final_answer::refusal_label,
    in_flight::InFlight,
    permits::choose_until,
    state::Gateway,
};
use crate::{net::http::Connection, platform::headers};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use mastweir_core::{
    gateway::{AttemptResult, BodyKind, EventSplitter, LoadReport, Refusal, StreamTiming},
    time::Uptime,
};
use slog::info;
use std::{pin::Pin, rc::Rc, time::Duration};

/// The body of a streamed answer.
pub type StreamReply =
    StreamBody<Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamIncomplete>>>>>;

/// An answer to a caller.
pub type Reply = Response<Either<Full<Bytes>, StreamReply>>;

/// Highest load, as a fraction of its slots, of a server that may resume a stream. Resumed streams
/// have priority over new requests.
const RESUME_MAX_LOAD: f64 = 2.5;

/// Longest wait for a permit if only rate-limited servers could resume a stream. Callers
/// disconnect two seconds after the last event.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason for a failover: the server's connection broke.
const BROKEN: &str = "broken";

/// A stream that can't be finished. Ends the caller's connection before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("stream incomplete; send the request again with the id of the last event")]
pub struct StreamIncomplete;

/// Why a stream is not continued at another server.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum ResumeDenied {
    #[error("its route does not allow it; set stream_resume if its servers can resume")]
    Route,
    #[error("all attempts are used up; raise max_attempts to allow more")]
    Attempts,
    #[error("no retry is allowed; see retries_denied_total")]
    Retry,
    #[error("no server has capacity: {}", refusal_label(*.0))]
    NoServer(Refusal),
}

impl ResumeDenied {
    /// Name in logs and metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Attempts => "attempts",
            Self::Retry => "retry",
            Self::NoServer(_) => "no_server",
        }
    }
}

struct Upstream {
    body: Incoming,
    connection: Connection,
    slot: SlotGuard,
    keep_alive: Option<Duration>,
    /// Whether the end of the body can be told from the end of the connection.
    is_framed: bool,
    /// When the head of the answer was read.
    begun: Uptime,
}

struct StreamForwarder {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    progress: Progress,
    events: EventSplitter,
    upstream: Option<Upstream>,
    resumed: u32,
    timing: StreamTiming,
    /// Latest load report of the server when the longest gap ended.
    slowest_report: Option<LoadReport>,
    /// Held until the last event has been sent.
    _in_flight: Rc<InFlight>,
}

enum Chunk {
    Events(Bytes),
    End,
    Incomplete,
}

/// Returns the answer to the caller for a stream whose head was read.
pub fn reply(
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    answer: ServerAnswer,
    progress: Progress,
    in_flight: Rc<InFlight>,
) -> Reply {
    let head = headers::for_caller(&answer.parts.headers);
    let events = EventSplitter::after(call.head.last_event.clone());
    let upstream = Some(to_upstream(answer, gateway.clock.now()));
    let timing = StreamTiming::new(gateway.clock.now(), call.age());
    let forwarder = StreamForwarder {
        gateway,
        call,
        progress,
        events,
        upstream,
        resumed: 0,
        timing,
        slowest_report: None,
        _in_flight: in_flight,
    };
    forwarder.call.transfer.begin_reply();
    let chunks = stream::unfold(Some(forwarder), async |forwarder| {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Chunk::Events(bytes) => match forwarder.hold(bytes).await {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(forwarder))),
                Err(incomplete) => Some((Err(incomplete), None)),
            },
            Chunk::End => None,
            Chunk::Incomplete => Some((Err(StreamIncomplete), None)),
        }
    });
    let chunks: Pin<Box<dyn Stream<Item = _>>> = Box::pin(chunks);
    let mut reply = Response::new(Either::Right(StreamBody::new(chunks)));
    *reply.status_mut() = StatusCode::OK;
    *reply.headers_mut() = head;
    reply
}

fn to_upstream(answer: ServerAnswer, begun: Uptime) -> Upstream {
    let headers = &answer.parts.headers;
    let is_framed = headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
    Upstream {
        is_framed,
        begun,
        body: answer.body,
        connection: answer.connection,
        slot: answer.slot,
        keep_alive: answer.head.keep_alive,
    }
}

impl StreamForwarder {
    /// Returns the next whole events or the end of the stream, after failovers where needed.
    async fn next(&mut self) -> Chunk {
        loop {
            // A server that crashes may close its connection before the first event.
            let has_begun = self.events.last_id().is_some();
            let Some(upstream) = &mut self.upstream else { return Chunk::Incomplete };
            let frame = tokio::select! {
                frame = self.call.clock.timeout_at(self.call.deadline, upstream.body.frame()) => frame,
                reason = wait_until_stuck(&self.gateway, &self.call, &upstream.slot, true) => {
                    if let Err(denial) = self.fail_over(reason).await {
                        return self.abort_unresumed(denial);
                    }
                    continue;
                }
            };
            match frame {
                Err(_) => return self.abort("late"),
                Ok(Some(Ok(frame))) => {
                    let Some(bytes) = frame.data_ref() else { continue };
                    let events = self.events.push(bytes);
                    if !events.is_empty() {
                        upstream.slot.record_written();
                        self.record_event();
                        return Chunk::Events(events.into());
                    }
                    if self.events.is_oversized() {
                        return self.abort("oversized event");
                    }
                }
                Ok(None) if self.events.is_at_boundary() && (upstream.is_framed || has_begun) => {
                    return self.finish();
                }
                Ok(None) | Ok(Some(Err(_))) => {
                    if let Err(denial) = self.fail_over(BROKEN).await {
                        return self.abort_unresumed(denial);
                    }
                }
            }
        }
    }

    /// Takes events from the byte budget until the caller has taken them.
    async fn hold(&mut self, events: Bytes) -> Result<Bytes, StreamIncomplete> {
        let transfer = &self.call.transfer;
        match transfer.charge(&self.gateway, BodyKind::Answer, events.len()).await {
            Ok(charge) => Ok(transfer.deliver(events, charge)),
            Err(_) => {
                self.abort("budget");
                Err(StreamIncomplete)
            }
        }
    }

    fn record_event(&mut self) {
        if !self.timing.record_event(self.gateway.clock.now()) {
            return;
        }
        let Some(upstream) = &self.upstream else { return };
        let fleet = self.gateway.fleet.borrow();
        self.slowest_report = fleet.last_report(&upstream.slot.server.id).cloned();
    }

    /// Logs and counts the stream's timing against the objectives of its route.
    fn log_timing(&self, end: &'static str) {
        let route = self.call.route();
        let objective = Duration::from_millis(route.objective_ms);
        let first = self.timing.time_to_first();
        let late = match first {
            Some(first) if first > objective => "first event",
            _ if self.timing.longest_gap() > Duration::from_millis(route.gap_ms) => "pause",
            _ => "no",
        };
        self.gateway.metrics.count("streams_late_total", late);
        self.gateway.metrics.observe("stream_pause_seconds", self.timing.longest_gap());
        first
            .into_iter()
            .for_each(|first| self.gateway.metrics.observe("first_event_seconds", first));
        let slowest = self.slowest_report.as_ref();
        info!(self.gateway.log, "stream timing"; "id" => &self.call.head.id, "late" => late,
            "end" => end, "route" => &route.name,
            "waited_ms" => self.progress.send_delay.map(|delay| delay.as_millis() as u64),
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "pause_ms" => self.timing.longest_gap().as_millis() as u64,
            "pause_at_ms" => self.timing.longest_gap_end().as_millis() as u64,
            "server" => self.progress.tried.last(),
            "group" => slowest.and_then(|report| report.group.clone()),
            "pass" => slowest.map(|report| report.pass), "pass_ms" => slowest.map(|report| report.pass_ms),
            "running" => slowest.map(|report| report.running),
            "waiting" => slowest.map(|report| report.waiting));
    }

    fn finish(&mut self) -> Chunk {
        let Some(upstream) = self.upstream.take() else { return Chunk::Incomplete };
        upstream.slot.record_completed();
        self.gateway.server_pool.release(upstream.connection, upstream.keep_alive);
        let took = self.call.age();
        self.call.record_completed(&self.gateway);
        self.gateway.metrics.count("streams_total", "complete");
        self.log_timing("complete");
        self.gateway.metrics.observe("stream_seconds", took);
        info!(self.gateway.log, "stream complete"; "id" => &self.call.head.id,
            "took_ms" => took.as_millis() as u64, "resumed" => self.resumed);
        Chunk::End
    }

    fn abort_unresumed(&mut self, denial: ResumeDenied) -> Chunk {
        self.gateway.metrics.count("streams_not_resumed_total", denial.label());
        info!(self.gateway.log, "stream not resumed"; "id" => &self.call.head.id,
            "reason" => denial.label(), "runs" => self.progress.possible_runs,
            "error" => %denial);
        self.abort("not resumed")
    }

    fn abort(&mut self, reason: &'static str) -> Chunk {
        self.upstream = None;
        self.gateway.metrics.count("streams_total", "cut");
        self.log_timing("cut");
        info!(self.gateway.log, "stream cut"; "id" => &self.call.head.id, "reason" => reason,
            "last_event" => self.events.last_id(), "tried" => self.progress.tried.join(","),
            "took_ms" => self.call.age().as_millis() as u64);
        Chunk::Incomplete
    }

    /// Leaves a server whose stream broke or stalled, and resumes the stream at another one.
    async fn fail_over(&mut self, reason: &'static str) -> Result<(), ResumeDenied> {
        if let Some(upstream) = self.upstream.take() {
            upstream.slot.mark_failed();
            let now = self.gateway.clock.now();
            self.gateway.metrics.count("streams_interrupted_total", reason);
            info!(self.gateway.log, "stream interrupted"; "id" => &self.call.head.id,
                "server" => &upstream.slot.server.id, "reason" => reason,
                "fingerprint" => %self.call.fingerprint(), "parts" => self.call.parts_label(),
                "head_ms" => now.since(upstream.begun).as_millis() as u64,
                "gap_ms" => self.timing.gap(now).as_millis() as u64,
                "report_age_ms" => report_age_ms(&self.gateway, &upstream.slot.server.id),
                "last_event" => self.events.last_id());
            if reason == BROKEN {
                suspect_crash(&self.gateway, &self.call, &upstream.slot.server).await;
            }
        }
        self.resume().await
    }

    /// Continues the stream at another server after the last whole event.
    async fn resume(&mut self) -> Result<(), ResumeDenied> {
        self.events.discard_partial();
        if !self.call.route().resumable {
            return Err(ResumeDenied::Route);
        }
        let mut result = AttemptResult::Broken;
        while self.progress.possible_runs < self.call.route().attempts {
            if !may_retry(&self.gateway, &self.call, &self.progress, result) {
                return Err(ResumeDenied::Retry);
            }
            let tried = &self.progress.tried;
            let until = self.gateway.clock.now() + RESUME_TIMEOUT.min(self.call.time_left());
            let needs = self.call.requirements(tried, RESUME_MAX_LOAD);
            let chosen = choose_until(&self.gateway, needs, until).await;
            let server = chosen.map_err(ResumeDenied::NoServer)?;
            let slot = SlotGuard::acquire(&self.gateway, server);
            let last = self.events.last_id().map(str::to_owned);
            let answered =
                attempt(&self.gateway, &self.call, slot, last.as_deref(), &mut self.progress);
            match answered.await {
                Ok(answer) if answer.parts.status == StatusCode::OK => {
                    info!(self.gateway.log, "stream resumed"; "id" => &self.call.head.id,
                        "last_event" => last, "server" => &answer.slot.server.id);
                    self.resumed += 1;
                    self.upstream = Some(to_upstream(answer, self.gateway.clock.now()));
                    return Ok(());
                }
                Ok(_) => result = AttemptResult::Failed,
                Err(failure) => result = failure,
            }
        }
        Err(ResumeDenied::Attempts)
    }
}
