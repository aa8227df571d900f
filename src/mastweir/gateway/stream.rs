//! A stream of events, passed on and, if it breaks, taken up by another server.

use super::{
    attempt::{Got, Place, attempt, may_retry, stuck},
    call::{Call, Progress},
    crash_probe::broke_off,
    in_flight::Held,
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
};
use mastweir_core::gateway::{AttemptResult, EventSplitter, LoadReport, StreamTiming};
use slog::info;
use std::{pin::Pin, rc::Rc, time::Duration};

/// The body of a stream's answer.
pub type StreamReply = StreamBody<Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, StreamCut>>>>>;

/// An answer to a caller.
pub type Reply = Response<Either<Full<Bytes>, StreamReply>>;

/// Room of a server that takes a stream up: it goes on where it stood, so it goes
/// before new requests.
const RESUME_ROOM: f64 = 2.5;

/// How long one that has to be taken up waits where only servers with a limit could serve it:
/// its caller leaves two seconds behind the last event.
const RESUME_WAITS: Duration = Duration::from_millis(1_000);

/// Why a stream left its server, whose connection ended.
const BROKEN: &str = "broken";

/// A stream that can't be finished. Its connection is closed, so that the caller
/// sees that it is not complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off; ask again with the id of the last event")]
pub struct StreamCut;

struct Source {
    body: Incoming,
    exchange: Connection,
    place: Place,
    keep: Option<Duration>,
}

struct Relay {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    progress: Progress,
    events: EventSplitter,
    source: Option<Source>,
    resumed: u32,
    pauses: StreamTiming,
    /// What the server had said last when the longest pause ended.
    slowest: Option<LoadReport>,
    /// Until the last event has gone.
    _held: Held,
}

enum Piece {
    Events(Bytes),
    End,
    Cut,
}

/// The answer to a caller, of a stream that has begun.
pub fn reply(
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    got: Got,
    progress: Progress,
    held: Held,
) -> Reply {
    let head = headers::for_caller(&got.parts.headers);
    let events = EventSplitter::after(call.head.last_event.clone());
    let source = Some(source(got));
    let pauses = StreamTiming::new(gateway.clock.now(), call.age());
    let relay = Relay {
        gateway,
        call,
        progress,
        events,
        source,
        resumed: 0,
        pauses,
        slowest: None,
        _held: held,
    };
    let pieces = stream::unfold(Some(relay), async |relay| {
        let mut relay = relay?;
        match relay.next().await {
            Piece::Events(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Piece::End => None,
            Piece::Cut => Some((Err(StreamCut), None)),
        }
    });
    let pieces: Pin<Box<dyn Stream<Item = _>>> = Box::pin(pieces);
    let mut reply = Response::new(Either::Right(StreamBody::new(pieces)));
    *reply.status_mut() = StatusCode::OK;
    *reply.headers_mut() = head;
    reply
}

fn source(got: Got) -> Source {
    Source { body: got.body, exchange: got.exchange, place: got.place, keep: got.head.keep_alive }
}

impl Relay {
    /// The next whole events, or the end.
    async fn next(&mut self) -> Piece {
        loop {
            let Some(source) = &mut self.source else { return Piece::Cut };
            let frame = tokio::select! {
                frame = self.call.clock.timeout_at(self.call.deadline, source.body.frame()) => frame,
                reason = stuck(&self.gateway, &self.call, &source.place, true) => {
                    if !self.take_up_elsewhere(reason).await {
                        return self.cut("not taken up");
                    }
                    continue;
                }
            };
            match frame {
                Err(_) => return self.cut("late"),
                Ok(Some(Ok(frame))) => {
                    let Some(bytes) = frame.data_ref() else { continue };
                    let whole = self.events.push(bytes);
                    if !whole.is_empty() {
                        self.note_event();
                        return Piece::Events(whole.into());
                    }
                    if self.events.is_oversized() {
                        return self.cut("oversized event");
                    }
                }
                Ok(None) if self.events.is_at_boundary() => return self.finish(),
                Ok(None) | Ok(Some(Err(_))) => {
                    if !self.take_up_elsewhere(BROKEN).await {
                        return self.cut("not taken up");
                    }
                }
            }
        }
    }

    fn note_event(&mut self) {
        if !self.pauses.record_event(self.gateway.clock.now()) {
            return;
        }
        let Some(source) = &self.source else { return };
        let fleet = self.gateway.fleet.borrow();
        self.slowest = fleet.last_report(&source.place.server.id).cloned();
    }

    /// The line of how it kept pace, and whether that was in time.
    fn log_pace(&self, end: &'static str) {
        let route = self.call.route();
        let objective = Duration::from_millis(route.objective_ms);
        let first = self.pauses.time_to_first();
        let late = match first {
            Some(first) if first > objective => "first event",
            _ if self.pauses.longest_gap() > Duration::from_millis(route.gap_ms) => "pause",
            _ => "no",
        };
        self.gateway.metrics.count("streams_late_total", late);
        self.gateway.metrics.observe("stream_pause_seconds", self.pauses.longest_gap());
        first
            .into_iter()
            .for_each(|first| self.gateway.metrics.observe("first_event_seconds", first));
        let slowest = self.slowest.as_ref();
        info!(self.gateway.log, "stream pace"; "id" => &self.call.head.id, "late" => late,
            "end" => end, "route" => &route.name,
            "waited_ms" => self.progress.waited.map(|waited| waited.as_millis() as u64),
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "pause_ms" => self.pauses.longest_gap().as_millis() as u64,
            "pause_at_ms" => self.pauses.longest_gap_end().as_millis() as u64,
            "server" => self.progress.tried.last(),
            "group" => slowest.and_then(|told| told.group.clone()),
            "pass" => slowest.map(|told| told.pass), "pass_ms" => slowest.map(|told| told.pass_ms),
            "running" => slowest.map(|told| told.running),
            "waiting" => slowest.map(|told| told.waiting));
    }

    fn finish(&mut self) -> Piece {
        let Some(source) = self.source.take() else { return Piece::Cut };
        self.gateway.server_pool.release(source.exchange, source.keep);
        let took = self.call.age();
        self.call.finished(&self.gateway);
        self.gateway.metrics.count("streams_total", "complete");
        self.log_pace("complete");
        self.gateway.metrics.observe("stream_seconds", took);
        info!(self.gateway.log, "stream complete"; "id" => &self.call.head.id,
            "took_ms" => took.as_millis() as u64, "resumed" => self.resumed);
        Piece::End
    }

    fn cut(&mut self, reason: &'static str) -> Piece {
        self.source = None;
        self.gateway.metrics.count("streams_total", "cut");
        self.log_pace("cut");
        info!(self.gateway.log, "stream cut"; "id" => &self.call.head.id, "reason" => reason,
            "last_event" => self.events.last_id(), "tried" => self.progress.tried.join(","),
            "took_ms" => self.call.age().as_millis() as u64);
        Piece::Cut
    }

    /// Leaves the server, whose stream ended early or stands still.
    async fn take_up_elsewhere(&mut self, reason: &'static str) -> bool {
        if let Some(source) = self.source.take() {
            source.place.fail();
            info!(self.gateway.log, "stream left its server"; "id" => &self.call.head.id,
                "server" => &source.place.server.id, "reason" => reason,
                "fingerprint" => %self.call.fingerprint(),
                "last_event" => self.events.last_id());
            if reason == BROKEN {
                broke_off(&self.gateway, &self.call, &source.place.server).await;
            }
        }
        self.resume().await
    }

    /// Has another server go on behind the last whole event.
    async fn resume(&mut self) -> bool {
        self.events.discard_partial();
        if !self.call.route().resumable {
            return false;
        }
        let mut answer = AttemptResult::Broken;
        while self.progress.runs < self.call.route().attempts {
            if !may_retry(&self.gateway, &self.call, &self.progress, answer) {
                return false;
            }
            let tried = &self.progress.tried;
            let until = self.gateway.clock.now() + RESUME_WAITS.min(self.call.left());
            let needs = self.call.needs(tried, RESUME_ROOM);
            let Ok(server) = choose_until(&self.gateway, needs, until).await else { return false };
            let last = self.events.last_id().map(str::to_owned);
            let got =
                attempt(&self.gateway, &self.call, server, last.as_deref(), &mut self.progress);
            match got.await {
                Ok(got) if got.parts.status == StatusCode::OK => {
                    info!(self.gateway.log, "stream taken up"; "id" => &self.call.head.id,
                        "last_event" => last, "server" => &got.place.server.id);
                    self.resumed += 1;
                    self.source = Some(source(got));
                    return true;
                }
                Ok(_) => answer = AttemptResult::Failed,
                Err(ended) => answer = ended,
            }
        }
        false
    }
}
