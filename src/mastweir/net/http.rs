//! HTTP/1.1 client with explicit connections, used by gateways and sidecars.
//!
//! A gateway that forwards a request must know whether any byte of it was sent, and must close
//! the connection to the server when the caller disconnects. So each request has a [`Connection`]
//! of its own, which returns to the [`Pool`] only after a complete answer. A pool and its
//! connections are used by one thread.

use super::metered::{Meter, MeteredStream};
use crate::util::clock::{Clock, DeadlinePassed};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use mastweir_core::time::Uptime;
use socket2::SockRef;
use std::{
    cell::RefCell,
    collections::HashMap,
    error::Error,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{net::TcpStream, task, time};

/// Maximum number of idle connections per address.
const IDLE_MAX: usize = 8;
/// Longest time for which an idle connection is kept. Servers close idle connections after some
/// seconds, often without a `Keep-Alive` header that says so.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before a server closes an idle connection from which on the connection isn't reused, so
/// that the server does not close it while a request is under way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Time after which a connection with unacknowledged bytes is closed, for example because the
/// peer's machine has crashed. The system's default is many minutes.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// Most bytes that the HTTP library reads ahead on a connection, which bounds the pieces of a body
/// and the head. A streamed answer holds one piece here and one for its caller.
const READ_BYTES_MAX: usize = 32 << 10;
/// Most bytes that a server may send without a piece of its answer: interim answers, the framing of
/// chunks, trailers. Several times what is read ahead.
const OVERHEAD_BYTES_MAX: u64 = 128 << 10;

/// Whether a status is one of an answer. The HTTP library also accepts unknown classes, and takes a
/// switch of protocols, which no process of mastweir requests, for an answer.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns the `Retry-After` time of an answer with status 503 or 429. The header's date form is
/// not supported.
pub fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let refusals = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if !refusals.contains(&status) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
}

/// Why a request got no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection to {addr}: {source}; check that it listens and is reachable")]
    Connect { addr: SocketAddr, source: io::Error },
    /// The connection was closed before any byte of the request was sent.
    #[error("the connection was closed before the request was sent; send it again")]
    Unsent,
    /// The connection failed after a part of the request was sent, or the answer is malformed.
    #[error(
        "no complete answer: {}; it is unknown whether the request was carried out",
        describe(.0)
    )]
    Http(#[from] hyper::Error),
    /// The answer's body is too large or was cut off.
    #[error("the answer was cut off or is larger than {limit} bytes")]
    IncompleteBody {
        /// Maximum size of a body, in bytes.
        limit: usize,
    },
    /// There was no complete answer in time.
    #[error("no answer in time; it is unknown whether the request was carried out")]
    Timeout(#[from] DeadlinePassed),
}

/// Describes an error of the HTTP library with its cause, which alone tells a reset from bytes that
/// are no answer.
fn describe(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |cause| format!("{error}: {cause}"))
}

impl CallError {
    /// Returns whether it is certain that no byte of the request was sent.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unsent)
    }

    /// Returns whether the received bytes are not a valid HTTP answer.
    pub fn is_malformed(&self) -> bool {
        let Self::Http(error) = self else { return false };
        let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
        error.is_parse() || cause.is_some_and(|cause| cause.kind() == io::ErrorKind::InvalidData)
    }

    /// Returns whether the other machine refused the connection, so that nothing listens there.
    pub fn is_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else { return false };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// An answer with its complete body.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    meter: Arc<Meter>,
}

impl Connection {
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns how far the server has taken what was sent.
    pub fn meter(&self) -> Arc<Meter> {
        self.meter.clone()
    }

    /// Sends a request and waits for the answer's head. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`CallError::Unsent`] only if no byte of the request was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, CallError> {
        self.meter.record_piece();
        let answer = self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            if unsent { CallError::Unsent } else { CallError::from(error.into_error()) }
        })?;
        self.meter.record_piece();
        Ok(answer.map(|body| AnswerBody { body, meter: self.meter.clone() }))
    }
}

/// The body of an answer, whose pieces the connection's meter records.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    meter: Arc<Meter>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.meter.record_piece();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Uptime,
}

impl IdleConnection {
    fn is_usable(&self, now: Uptime) -> bool {
        self.until > now && !self.connection.is_closed()
    }
}

/// A pool of idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    clock: Clock,
}

impl Pool {
    /// Returns an idle connection that is still usable.
    pub fn reuse(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        let now = self.clock.now();
        while let Some(last) = list.pop() {
            if last.is_usable(now) && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// No connection could be opened within `wait`.
    pub async fn open(&self, addr: SocketAddr, wait: Duration) -> Result<Connection, CallError> {
        let connect = async {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
            let stream = MeteredStream::new(stream, &self.clock)?;
            Ok(stream.with_overhead_max(OVERHEAD_BYTES_MAX))
        };
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = time::timeout(wait, connect).await.unwrap_or_else(|_| Err(timed_out()));
        let stream = stream.map_err(|source| CallError::Connect { addr, source })?;
        let meter = stream.meter();
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(READ_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await?;
        // `Connection::send` and the answer's body report errors of the connection.
        task::spawn_local(async move { drop(connection.await) });
        Ok(Connection { sender, addr, meter })
    }

    /// Returns a connection to the pool after a complete answer. `keep_alive` is the time for
    /// which the server keeps the idle connection open, if known.
    pub fn release(&self, connection: Connection, keep_alive: Option<Duration>) {
        let lifetime =
            keep_alive.map_or(IDLE_TIMEOUT, |lifetime| lifetime.saturating_sub(IDLE_MARGIN));
        let now = self.clock.now();
        let until = now + lifetime.min(IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.addr).or_default();
        list.retain(|idle| idle.is_usable(now));
        if list.len() < IDLE_MAX {
            list.push(IdleConnection { connection, until });
        }
    }

    /// Closes the idle connections to an address.
    fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes expired idle connections and removes addresses without connections.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// Sends a request over an idle or a new connection and reads the complete answer, of `limit`
    /// bytes at most.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: usize,
    ) -> Result<FullAnswer, CallError> {
        let answer = self.exchange(addr, request, wait, limit).await;
        if matches!(answer, Err(CallError::Timeout(_))) {
            // The idle connections may be dead for the same reason, and each would let another
            // call time out.
            self.close_idle(addr);
        }
        answer
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: usize,
    ) -> Result<FullAnswer, CallError> {
        let deadline = self.clock.now() + wait;
        let mut connection = match self.reuse(addr) {
            Some(connection) => connection,
            None => self.open(addr, wait).await?,
        };
        let answer = self.clock.timeout_at(deadline, connection.send(request)).await??;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, limit).collect();
        let body = self.clock.timeout_at(deadline, body).await?;
        let body = body.map_err(|_| CallError::IncompleteBody { limit })?.to_bytes();
        self.release(connection, None);
        Ok(FullAnswer { status: parts.status.as_u16(), headers: parts.headers, body })
    }
}
