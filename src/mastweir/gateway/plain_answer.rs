//! Answers that are no event streams: small ones are read whole, large ones are streamed.
//!
//! In the gateway's process. Until an answer is complete or known to be large, a broken one can
//! still be replaced by a retry. A large answer is streamed once its head shows a genuine success.
//! If it breaks off, the caller's connection is closed before the end of the body, so that the
//! caller can tell that the answer is incomplete.

use super::{
    attempt::{ServerAnswer, SlotGuard, attempt_state, may_retry},
    bodies::{ReadBody, ReadError},
    call::{Call, Progress},
    crash_probe::suspect_crash,
    final_answer::{end, log_outcome},
    in_flight::InFlight,
    state::Gateway,
    stream::{Reply, StreamIncomplete},
};
use crate::{
    net::http::{AnswerBody, Connection},
    platform::headers,
};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    Response, StatusCode, Version,
    body::{Body, Frame},
    header::CONTENT_LENGTH,
};
use mastweir_core::gateway::{AttemptResult, BodyKind, NextAction, next_action};
use slog::info;
use std::{pin::Pin, rc::Rc, time::Duration};

/// Largest answer that is read whole although it could be streamed, so that a retry can replace it.
const WHOLE_BYTES_MAX: usize = 256 << 10;
/// Largest answer that is read whole, which applies to failures and to callers that could not tell
/// a broken-off stream from a complete one. Usual answers have some KB.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Returns an answer for the caller, read whole or as a stream.
///
/// # Errors
///
/// [`AttemptResult::Broken`] if the answer is incomplete, does not come from the server, or has a
/// status that must not reach the caller; [`AttemptResult::Failed`] if the server failed and the
/// request may be retried.
pub async fn reply(
    gateway: &Rc<Gateway>,
    call: &mut Rc<Call>,
    mut answer: ServerAnswer,
    progress: &Progress,
    in_flight: &Rc<InFlight>,
) -> Result<Reply, AttemptResult> {
    let mut read = ReadBody::default();
    let is_large = answer.body.size_hint().lower() > WHOLE_BYTES_MAX as u64;
    let can_stream = can_stream(call, &answer);
    let max = if can_stream { WHOLE_BYTES_MAX } else { ANSWER_BYTES_MAX };
    let is_whole = if can_stream && is_large {
        false
    } else {
        let reading =
            read.read_on(gateway, &call.transfer, &mut answer.body, max, BodyKind::Answer);
        let reading = gateway.clock.timeout_at(call.deadline, reading);
        match call.transfer.unless_ended(reading).await {
            Some(Ok(Ok(is_whole))) => is_whole,
            None | Some(Ok(Err(ReadError::Ended(_)))) => {
                return Ok(end(gateway, call, progress, NextAction::EndUnknown, Duration::ZERO));
            }
            failed => {
                answer.slot.mark_failed();
                gateway.metrics.count("attempts_failed_total", "cut");
                if matches!(failed, Some(Ok(Err(_)))) {
                    suspect_crash(gateway, call, &answer.slot.server).await;
                }
                return Err(AttemptResult::Broken);
            }
        }
    };
    if is_whole {
        return whole_reply(gateway, call, answer, read, progress);
    }
    if can_stream {
        return Ok(LargeAnswer::reply(gateway, call, answer, read, progress, in_flight));
    }
    answer.slot.mark_failed();
    gateway.metrics.count("attempts_failed_total", "cut");
    info!(gateway.log, "answer is too large to be read whole"; "id" => &call.head.id,
        "server" => &answer.slot.server.id, "status" => answer.parts.status.as_u16(),
        "bytes_max" => ANSWER_BYTES_MAX);
    Err(AttemptResult::Broken)
}

/// Returns whether the head shows a genuine success, and the caller can tell a stream that breaks
/// off from a complete one. To HTTP/1.0 an answer of unknown length ends with the connection.
fn can_stream(call: &Call, answer: &ServerAnswer) -> bool {
    let has_end = call.version != Version::HTTP_10 || answer.body.size_hint().exact().is_some();
    answer.parts.status.is_success() && is_genuine(call, answer) && has_end
}

/// The server's own answers are signed and carry the request's id.
fn is_genuine(call: &Call, answer: &ServerAnswer) -> bool {
    answer.head.signed && answer.head.id == call.head.id
}

fn whole_reply(
    gateway: &Rc<Gateway>,
    call: &Call,
    answer: ServerAnswer,
    read: ReadBody,
    progress: &Progress,
) -> Result<Reply, AttemptResult> {
    let is_genuine = is_genuine(call, &answer);
    let ServerAnswer { parts, head, connection, slot, .. } = answer;
    gateway.server_pool.release(connection, head.keep_alive);
    let status = parts.status;
    let is_failure = status.is_server_error();
    if is_failure {
        slot.mark_failed();
    }
    if status.is_success() && !is_genuine {
        slot.mark_failed();
        return Err(AttemptResult::Broken);
    }
    if status.is_success() {
        // A failure does not clear the request: the next server may still crash under it.
        call.record_completed(gateway);
        slot.record_completed();
    }
    let can_retry =
        next_action(attempt_state(call, progress), AttemptResult::Failed) == NextAction::Retry;
    if is_failure && can_retry && may_retry(gateway, call, progress, AttemptResult::Failed) {
        return Err(AttemptResult::Failed);
    }
    // The request may have run, so statuses by which callers conclude the opposite are withheld.
    if implies_not_run(status) {
        return Err(AttemptResult::Broken);
    }
    let body = match read.into_whole() {
        (body, Some(charge)) => call.transfer.deliver(body, charge),
        (body, None) => body,
    };
    call.transfer.begin_whole_reply(call.deadline);
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers::for_caller(&parts.headers);
    log_outcome(gateway, call, progress, "answered", status);
    Ok(reply)
}

fn implies_not_run(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    statuses.contains(&status)
}

/// Where the rest of a large answer comes from.
struct Upstream {
    body: AnswerBody,
    connection: Connection,
    slot: Rc<SlotGuard>,
    keep_alive: Option<Duration>,
}

/// A large answer on its way to the caller. At most one piece of it waits for the caller besides
/// the one that the HTTP client has read.
struct LargeAnswer {
    gateway: Rc<Gateway>,
    /// Without its body, which is not sent again.
    call: Rc<Call>,
    /// What was read before the answer was known to be large.
    first: ReadBody,
    upstream: Option<Upstream>,
    sent: u64,
    /// Held until the last piece has been handed over.
    _in_flight: Rc<InFlight>,
}

impl LargeAnswer {
    fn reply(
        gateway: &Rc<Gateway>,
        call: &mut Rc<Call>,
        answer: ServerAnswer,
        first: ReadBody,
        progress: &Progress,
        in_flight: &Rc<InFlight>,
    ) -> Reply {
        let ServerAnswer { parts, head, body, connection, slot } = answer;
        // The request can't be sent again, so its body is released; the fingerprint is kept.
        call.fingerprint();
        if let Some(call) = Rc::get_mut(call) {
            call.body = Bytes::new();
        }
        log_outcome(gateway, call, progress, "streaming", parts.status);
        call.transfer.begin_reply();
        // The hint counts what is left to read.
        let length = body.size_hint().exact().map(|left| left + first.len() as u64);
        let upstream = Upstream { body, connection, slot, keep_alive: head.keep_alive };
        let answer = Self {
            gateway: gateway.clone(),
            call: call.clone(),
            first,
            upstream: Some(upstream),
            sent: 0,
            _in_flight: in_flight.clone(),
        };
        let pieces = stream::unfold(Some(answer), async |answer| {
            let mut answer = answer?;
            match answer.next().await {
                Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some(answer))),
                Ok(None) => None,
                Err(incomplete) => Some((Err(incomplete), None)),
            }
        });
        let pieces: Pin<Box<dyn Stream<Item = _>>> = Box::pin(pieces);
        let mut reply = Response::new(Either::Right(StreamBody::new(pieces)));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = headers::for_caller(&parts.headers);
        if let Some(length) = length {
            reply.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        reply
    }

    /// Returns the next piece once the caller's connection has taken the one before, or `None` at
    /// the end.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamIncomplete> {
        self.call.transfer.wait_delivered().await;
        if let Some((piece, charge)) = self.first.take_piece() {
            self.sent += piece.len() as u64;
            return Ok(Some(self.call.transfer.deliver(piece, charge)));
        }
        loop {
            let Some(upstream) = &mut self.upstream else { return Ok(None) };
            // Operators bound how long a request may be held, also for readers that are slow.
            match self.gateway.clock.timeout_at(self.call.deadline, upstream.body.frame()).await {
                Err(_) => return Err(self.abort("late").await),
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Some(Err(_))) => return Err(self.abort("broken").await),
                Ok(Some(Ok(frame))) => {
                    let Ok(piece) = frame.into_data() else { continue };
                    // With a known length the HTTP library does not ask for more than that.
                    if upstream.body.is_end_stream() {
                        self.finish();
                    }
                    let charge =
                        self.call.transfer.charge(&self.gateway, BodyKind::Answer, piece.len());
                    let Ok(charge) = charge.await else { return Err(self.abort("budget").await) };
                    self.sent += piece.len() as u64;
                    return Ok(Some(self.call.transfer.deliver(piece, charge)));
                }
            }
        }
    }

    fn finish(&mut self) {
        let Some(upstream) = self.upstream.take() else { return };
        upstream.slot.record_completed();
        self.gateway.server_pool.release(upstream.connection, upstream.keep_alive);
        self.call.record_completed(&self.gateway);
        self.gateway.metrics.count("large_answers_total", "complete");
        info!(self.gateway.log, "large answer complete"; "id" => &self.call.head.id,
            "took_ms" => self.call.age().as_millis() as u64);
    }

    /// Ends the answer before its end, and closes the connection to the server.
    async fn abort(&mut self, reason: &'static str) -> StreamIncomplete {
        self.gateway.metrics.count("large_answers_total", "cut");
        info!(self.gateway.log, "large answer cut"; "id" => &self.call.head.id,
            "reason" => reason, "bytes" => self.sent,
            "took_ms" => self.call.age().as_millis() as u64);
        if let Some(upstream) = self.upstream.take()
            && reason != "budget"
        {
            upstream.slot.mark_failed();
            self.gateway.metrics.count("attempts_failed_total", "cut");
            if reason == "broken" {
                suspect_crash(&self.gateway, &self.call, &upstream.slot.server).await;
            }
        }
        StreamIncomplete
    }
}
