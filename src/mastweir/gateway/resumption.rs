//! Reading a stream from a server, and resuming it at another one.
//!
//! In the gateway's process. A stream is resumed after the last whole event that the caller got, as
//! often as its route, the retry budget and the capacity of other servers allow.

use super::{
    attempt::{ServerAnswer, SlotGuard, attempt, may_retry, may_send_again, wait_until_stuck},
    call::{Call, Progress},
    crash_probe::suspect_crash,
    final_answer::refusal_label,
    permits::choose_until,
    state::Gateway,
};
use crate::net::http::{AnswerBody, Connection};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use mastweir_core::{
    gateway::{AttemptResult, EventSplitter, Refusal},
    time::Uptime,
};
use slog::info;
use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};
use tokio::time;

/// Highest load, as a fraction of its slots, of a server that may resume a stream. Resumed streams
/// have priority over new requests.
const RESUME_MAX_LOAD: f64 = 2.5;

/// Longest wait for a permit if only rate-limited servers could resume a stream. Callers
/// disconnect two seconds after the last event.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before servers are looked at again after none had capacity.
pub const CAPACITY_POLL: Duration = Duration::from_millis(100);

/// Why a stream is not continued at another server.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum ResumeDenied {
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
    pub const fn label(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Attempts => "attempts",
            Self::Retry => "retry",
            Self::NoServer(_) => "no_server",
        }
    }
}

/// Where the events of a stream come from.
pub struct Upstream {
    body: AnswerBody,
    pub connection: Connection,
    pub slot: Rc<SlotGuard>,
    pub keep_alive: Option<Duration>,
    /// Whether the end of the body can be told from the end of the connection.
    is_framed: bool,
    /// Whether a whole event was read.
    has_begun: bool,
    /// When the head of the answer was read.
    pub begun: Uptime,
}

/// What came next from a server.
pub enum Read {
    /// Whole events.
    Events(Bytes),
    /// The end of the stream, after a whole event.
    End,
    /// The end of the connection, or an error.
    Broken,
    /// Nothing, as the server has started again.
    Restarted,
    /// An event that is larger than any accepted.
    Oversized,
    /// Nothing until the request's deadline.
    Late,
}

/// A stream that another server has continued.
pub struct Resumed {
    pub upstream: Upstream,
    pub events: EventSplitter,
    /// What came first: events, or the end.
    pub read: Read,
}

/// How the stall of a stream ended.
pub enum StallEnd {
    /// The server went on.
    Continued(Read),
    /// Another server continued the stream first.
    Resumed(Box<Resumed>),
    /// No other server may continue the stream.
    Denied(ResumeDenied),
    /// The server's connection broke; the other server continued the stream, if any could.
    Broken(Option<Box<Resumed>>),
}

impl Upstream {
    /// Creates the source of a stream from an answer whose head was read at `begun`.
    pub fn new(answer: ServerAnswer, begun: Uptime) -> Self {
        let headers = &answer.parts.headers;
        let is_framed =
            headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH);
        Self {
            is_framed,
            has_begun: false,
            begun,
            body: answer.body,
            connection: answer.connection,
            slot: answer.slot,
            keep_alive: answer.head.keep_alive,
        }
    }

    /// Reads up to the end of the next whole event. No event is lost if the read is cancelled.
    pub async fn read(&mut self, call: &Call, events: &mut EventSplitter) -> Read {
        loop {
            match call.clock.timeout_at(call.deadline, self.body.frame()).await {
                Err(_) => return Read::Late,
                Ok(Some(Ok(frame))) => {
                    let Some(bytes) = frame.data_ref() else { continue };
                    let whole = events.push(bytes);
                    if !whole.is_empty() {
                        self.has_begun = true;
                        self.slot.record_written();
                        return Read::Events(whole.into());
                    }
                    if events.is_oversized() {
                        return Read::Oversized;
                    }
                }
                // A server that crashes may close its connection before the first event.
                Ok(None) if events.is_at_boundary() && (self.is_framed || self.has_begun) => {
                    return Read::End;
                }
                Ok(None) | Ok(Some(Err(_))) => return Read::Broken,
            }
        }
    }
}

/// Returns whether another server may be asked to resume a stream at all.
///
/// # Errors
///
/// What forbids it.
pub fn may_resume(call: &Call, progress: &Progress) -> Result<(), ResumeDenied> {
    if !call.route().resumable {
        return Err(ResumeDenied::Route);
    }
    if progress.possible_runs() >= call.route().attempts {
        return Err(ResumeDenied::Attempts);
    }
    Ok(())
}

/// Continues a stream at another server after the event `last`.
///
/// # Errors
///
/// Why no server continues it.
pub async fn resume(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &Progress,
    last: Option<&str>,
) -> Result<Upstream, ResumeDenied> {
    let mut result = AttemptResult::Broken;
    loop {
        may_resume(call, progress)?;
        let tried = progress.tried();
        let until = gateway.clock.now() + RESUME_TIMEOUT.min(call.time_left());
        let needs = call.requirements(&tried, RESUME_MAX_LOAD);
        let chosen = choose_until(gateway, needs, until).await;
        let server = chosen.map_err(ResumeDenied::NoServer)?;
        // Only a send is charged to the retry budget.
        if !may_retry(gateway, call, progress, result) {
            return Err(ResumeDenied::Retry);
        }
        let slot = Rc::new(SlotGuard::acquire(gateway, server));
        let can_try_next = progress.possible_runs() + 1 < call.route().attempts;
        let answered = tokio::select! {
            biased;
            answered = attempt(gateway, call, slot.clone(), last, progress) => answered,
            _ = wait_until_stuck(gateway, call, &slot, false), if can_try_next => {
                slot.mark_failed();
                Err(AttemptResult::Broken)
            }
        };
        match answered {
            Ok(answer) if answer.parts.status == StatusCode::OK => {
                info!(gateway.log, "stream resumed"; "id" => &call.head.id,
                    "last_event" => last, "server" => &answer.slot.server.id);
                return Ok(Upstream::new(answer, gateway.clock.now()));
            }
            Ok(_) => result = AttemptResult::Failed,
            Err(failure) => result = failure,
        }
    }
}

/// Resumes a stream whose server makes no progress at another server, while the first one may still
/// go on. Tries again while no other server has capacity.
pub async fn race(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &Progress,
    stalled: &mut Upstream,
    events: &mut EventSplitter,
) -> StallEnd {
    let last = events.last_id().map(str::to_owned);
    let may_wait = Cell::new(true);
    let mut resuming = pin!(resume_when_possible(gateway, call, progress, last, &may_wait));
    tokio::select! {
        biased;
        read = stalled.read(call, events) => match read {
            Read::Broken => {
                may_wait.set(false);
                let server = &stalled.slot.server;
                let (resumed, ()) = tokio::join!(resuming, suspect_crash(gateway, call, server));
                StallEnd::Broken(resumed.ok().map(Box::new))
            }
            read => StallEnd::Continued(read),
        },
        resumed = &mut resuming => match resumed {
            Ok(resumed) => StallEnd::Resumed(Box::new(resumed)),
            Err(denied) => StallEnd::Denied(denied),
        },
    }
}

/// Continues a stream at another server. While `may_wait` holds, waits until one has capacity and the
/// retry budget allows it.
async fn resume_when_possible(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &Progress,
    last: Option<String>,
    may_wait: &Cell<bool>,
) -> Result<Resumed, ResumeDenied> {
    loop {
        let resumed = resume_to_event(gateway, call, progress, last.clone()).await;
        let is_temporary = match &resumed {
            Err(ResumeDenied::NoServer(_)) => true,
            Err(ResumeDenied::Retry) => may_send_again(gateway, call, progress),
            _ => false,
        };
        if !is_temporary || !may_wait.get() {
            return resumed;
        }
        time::sleep(CAPACITY_POLL).await;
    }
}

/// Continues a stream at another server, and waits for its first event there.
async fn resume_to_event(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &Progress,
    last: Option<String>,
) -> Result<Resumed, ResumeDenied> {
    loop {
        let mut upstream = resume(gateway, call, progress, last.as_deref()).await?;
        let mut events = EventSplitter::after(last.clone());
        let slot = upstream.slot.clone();
        let can_try_next = may_resume(call, progress).is_ok();
        let read = tokio::select! {
            biased;
            read = upstream.read(call, &mut events) => read,
            _ = wait_until_stuck(gateway, call, &slot, true), if can_try_next => Read::Late,
        };
        match read {
            Read::Events(_) | Read::End => return Ok(Resumed { upstream, events, read }),
            Read::Broken => {
                slot.mark_failed();
                suspect_crash(gateway, call, &slot.server).await;
            }
            Read::Oversized | Read::Late | Read::Restarted => slot.mark_failed(),
        }
    }
}
