//! Forwards a stream of events from a server to its caller, in the gateway's process.
//!
//! Only whole events are forwarded. If the server's connection breaks, the request is sent to
//! another server with the id of the last forwarded event, and the stream continues there. If that
//! fails, the caller's connection is closed without the end of the body, so that the caller can tell
//! that the stream is incomplete.
//!
//! A server that makes no progress may have failed, or may go on. So the stream is resumed at
//! another server while the connection to the first one is kept, and whichever delivers the next
//! event first continues the stream. If no other server may resume it, the first one is awaited.

use super::{
    attempt::{RESTARTED, ServerAnswer, report_age_ms, wait_until_stuck},
    call::{Call, Progress},
    crash_probe::suspect_crash,
    in_flight::InFlight,
    resumption::{Read, ResumeDenied, Resumed, StallEnd, Upstream, may_resume, race, resume},
    state::Gateway,
};
use crate::platform::headers;
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::{Either, Full, StreamBody};
use hyper::{Response, StatusCode, body::Frame};
use mastweir_core::gateway::{BodyKind, EventSplitter, LoadReport, StreamTiming};
use slog::info;
use std::{pin::Pin, rc::Rc, time::Duration};

/// The body of a streamed answer.
pub type StreamReply =
    StreamBody<Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamIncomplete>>>>>;

/// An answer to a caller.
pub type Reply = Response<Either<Full<Bytes>, StreamReply>>;

/// Reason for an interruption: the server's connection broke.
const BROKEN: &str = "broken";
/// Reason for an interruption: the server sent an event that is larger than any accepted.
const OVERSIZED: &str = "oversized";

/// A stream that can't be finished. Ends the caller's connection before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("stream incomplete; send the request again with the id of the last event")]
pub struct StreamIncomplete;

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
    let upstream = Some(Upstream::new(answer, gateway.clock.now()));
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

impl StreamForwarder {
    /// Returns the next whole events or the end of the stream, after failovers where needed.
    async fn next(&mut self) -> Chunk {
        loop {
            let Some(upstream) = &mut self.upstream else { return Chunk::Incomplete };
            let can_resume = may_resume(&self.call, &self.progress).is_ok();
            let slot = upstream.slot.clone();
            let read = tokio::select! {
                biased;
                read = upstream.read(&self.call, &mut self.events) => read,
                reason = wait_until_stuck(&self.gateway, &self.call, &slot, true), if can_resume => {
                    match reason {
                        RESTARTED => Read::Restarted,
                        reason => self.resume_or_wait(reason).await,
                    }
                }
            };
            match read {
                Read::Events(bytes) => {
                    self.record_event();
                    return Chunk::Events(bytes);
                }
                Read::End => return self.finish(),
                Read::Late => return self.abort("late"),
                Read::Broken | Read::Restarted | Read::Oversized => {
                    let reason = match read {
                        Read::Restarted => RESTARTED,
                        Read::Oversized => OVERSIZED,
                        _ => BROKEN,
                    };
                    if let Err(denied) = self.fail_over(reason).await {
                        self.log_denied(denied);
                        return self.abort("not resumed");
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
            "waited_ms" => self.progress.send_delay().map(|delay| delay.as_millis() as u64),
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "pause_ms" => self.timing.longest_gap().as_millis() as u64,
            "pause_at_ms" => self.timing.longest_gap_end().as_millis() as u64,
            "server" => self.progress.server(),
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

    fn log_denied(&self, denied: ResumeDenied) {
        self.gateway.metrics.count("streams_not_resumed_total", denied.label());
        info!(self.gateway.log, "stream not resumed"; "id" => &self.call.head.id,
            "reason" => denied.label(), "runs" => self.progress.possible_runs(),
            "error" => %denied);
    }

    fn abort(&mut self, reason: &'static str) -> Chunk {
        self.upstream = None;
        self.gateway.metrics.count("streams_total", "cut");
        self.log_timing("cut");
        info!(self.gateway.log, "stream cut"; "id" => &self.call.head.id, "reason" => reason,
            "last_event" => self.events.last_id(), "tried" => self.progress.tried().join(","),
            "took_ms" => self.call.age().as_millis() as u64);
        Chunk::Incomplete
    }

    /// Leaves a server that can't go on, and resumes the stream at another one.
    async fn fail_over(&mut self, reason: &'static str) -> Result<(), ResumeDenied> {
        if let Some(left) = self.upstream.take() {
            self.leave(&left, reason);
            if reason == BROKEN {
                suspect_crash(&self.gateway, &self.call, &left.slot.server).await;
            }
        }
        self.events.discard_partial();
        let last = self.events.last_id();
        let upstream = resume(&self.gateway, &self.call, &self.progress, last).await?;
        self.progress.record_answered(&upstream.slot.server.id);
        self.resumed += 1;
        self.upstream = Some(upstream);
        Ok(())
    }

    /// Resumes the stream at another server, but keeps the connection to the present one until an
    /// event has come from the other. Returns what comes first.
    async fn resume_or_wait(&mut self, reason: &'static str) -> Read {
        self.log_stalled(reason);
        let Some(stalled) = &mut self.upstream else { return Read::Broken };
        let race = race(&self.gateway, &self.call, &self.progress, stalled, &mut self.events);
        match race.await {
            StallEnd::Continued(read) => {
                let is_continued = matches!(read, Read::Events(_) | Read::End);
                self.log_stall_end(if is_continued { "continued" } else { "failed" });
                read
            }
            StallEnd::Resumed(resumed) => {
                self.log_stall_end("resumed");
                self.switch(*resumed, reason)
            }
            StallEnd::Denied(denied) => {
                self.log_denied(denied);
                let Some(stalled) = &mut self.upstream else { return Read::Broken };
                let read = stalled.read(&self.call, &mut self.events).await;
                self.log_stall_end("awaited");
                read
            }
            StallEnd::Broken(resumed) => {
                self.log_stall_end("broken");
                if let Some(broken) = self.upstream.take() {
                    self.leave(&broken, BROKEN);
                }
                resumed.map_or(Read::Broken, |resumed| self.switch(*resumed, BROKEN))
            }
        }
    }

    /// Continues with a server that has resumed the stream.
    fn switch(&mut self, resumed: Resumed, reason: &'static str) -> Read {
        let resumed_server = resumed.upstream.slot.server.id.clone();
        if let Some(stalled) = self.upstream.replace(resumed.upstream) {
            self.leave(&stalled, reason);
        }
        self.progress.record_answered(&resumed_server);
        self.events = resumed.events;
        self.resumed += 1;
        resumed.read
    }

    fn log_stalled(&self, reason: &'static str) {
        let Some(upstream) = &self.upstream else { return };
        let server = &upstream.slot.server.id;
        self.gateway.metrics.count("streams_stalled_total", reason);
        info!(self.gateway.log, "stream stalled"; "id" => &self.call.head.id,
            "server" => server, "reason" => reason,
            "gap_ms" => self.timing.gap(self.gateway.clock.now()).as_millis() as u64,
            "report_age_ms" => report_age_ms(&self.gateway, server),
            "last_event" => self.events.last_id());
    }

    fn log_stall_end(&self, outcome: &'static str) {
        self.gateway.metrics.count("stalls_ended_total", outcome);
        info!(self.gateway.log, "stall ended"; "id" => &self.call.head.id, "outcome" => outcome,
            "gap_ms" => self.timing.gap(self.gateway.clock.now()).as_millis() as u64);
    }

    /// Records that a server failed to continue the stream.
    fn leave(&self, upstream: &Upstream, reason: &'static str) {
        let server = &upstream.slot.server.id;
        upstream.slot.mark_failed();
        let now = self.gateway.clock.now();
        self.gateway.metrics.count("streams_interrupted_total", reason);
        info!(self.gateway.log, "stream interrupted"; "id" => &self.call.head.id,
            "server" => server, "reason" => reason,
            "fingerprint" => %self.call.fingerprint(), "parts" => self.call.parts_label(),
            "head_ms" => now.since(upstream.begun).as_millis() as u64,
            "gap_ms" => self.timing.gap(now).as_millis() as u64,
            "report_age_ms" => report_age_ms(&self.gateway, server),
            "last_event" => self.events.last_id());
    }
}
