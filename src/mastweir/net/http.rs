//! Calls over HTTP/1.1 with the connection in hand.
//!
//! A forwarded request needs to know whether any of its bytes left, must close
//! its connection when its caller leaves, and must never share one with another
//! request. So each exchange holds its connection as a [`Connection`], and gives
//! it back to the [`Pool`] only after a whole answer. Everything runs on one
//! thread.

use crate::util::clock::{Clock, DeadlinePassed};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use mastweir_core::time::Uptime;
use socket2::SockRef;
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task, time};

/// Idle connections that are kept to one address.
const IDLE_MAX: usize = 8;
/// An idle connection is used again within this time, unless its server says
/// less: servers close idle ones after seconds, and may be silent about it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// What is left unused of the time that a server keeps an idle connection, for
/// the way of the last request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Unacknowledged bytes end a connection after this time. Without it a
/// connection to a machine that is gone hangs for minutes.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(4);

/// How long whoever turns a request away wants no others, if its answer says so. A date, the
/// header's other form, is not read.
pub fn retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let refusals = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
    if !refusals.contains(&status) {
        return None;
    }
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(value.trim().parse().ok()?).ok()
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was opened; nothing was sent.
    #[error("no connection to {addr}: {source}; check that it listens and can be reached")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The connection ended before any byte of the request left.
    #[error("the connection ended before the request was sent; send it again")]
    Unsent,
    /// The request left, at least in part, and there is no whole answer.
    #[error("no whole answer: {0}; whether it was carried out is unknown")]
    Http(#[from] hyper::Error),
    /// The answer is larger than the caller takes.
    #[error("the answer is larger than {limit} bytes, or broke off; raise the limit if it may be")]
    IncompleteBody {
        /// Largest answer taken.
        limit: usize,
    },
    /// No answer in time.
    #[error("no answer in time; whether it was carried out is unknown")]
    Timeout(#[from] DeadlinePassed),
}

impl CallError {
    /// Whether nothing of the request can have reached the other side.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unsent)
    }

    /// Whether what came is no answer.
    pub fn is_malformed(&self) -> bool {
        let Self::Http(error) = self else { return false };
        error.is_parse()
    }

    /// Whether nobody listens there.
    pub fn is_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else { return false };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// A small answer, read to its end.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    /// HTTP status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A connection that one request and its answer hold.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
}

impl Connection {
    /// Whether its connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends the request; the connection closes if the future is dropped.
    ///
    /// # Errors
    ///
    /// [`CallError::Unsent`] only if no byte of it left.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            if unsent { CallError::Unsent } else { error.into_error().into() }
        })
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

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    clock: Clock,
}

impl Pool {
    /// A connection that is idle, if there is one.
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
    /// It could not be opened in `wait`.
    pub async fn open(&self, addr: SocketAddr, wait: Duration) -> Result<Connection, CallError> {
        let connect = async {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
            Ok(stream)
        };
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let stream = time::timeout(wait, connect).await.unwrap_or_else(|_| Err(late()));
        let stream = stream.map_err(|source| CallError::Connect { addr, source })?;
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(true)
            .handshake(TokioIo::new(stream))
            .await?;
        // Its end shows at the request that holds it; an idle one's is of no
        // interest.
        task::spawn_local(async move { drop(connection.await) });
        Ok(Connection { sender, addr })
    }

    /// Keeps a connection whose answer was read to its end. `keep` is how long
    /// its server keeps it, if it said so.
    pub fn release(&self, connection: Connection, keep: Option<Duration>) {
        let lifetime = keep.map_or(IDLE_TIMEOUT, |keep| keep.saturating_sub(IDLE_MARGIN));
        let now = self.clock.now();
        let until = now + lifetime.min(IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.addr).or_default();
        list.retain(|idle| idle.is_usable(now));
        if list.len() < IDLE_MAX {
            list.push(IdleConnection { connection, until });
        }
    }

    /// Closes idle connections to an address.
    fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes idle connections that are past their time, and forgets addresses
    /// that have none.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|idle| idle.is_usable(now));
        }
        idle.retain(|_, list| !list.is_empty());
    }

    /// One call with a small answer: over an idle connection if there is one.
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
        let called = self.exchange(addr, request, wait, limit).await;
        if matches!(called, Err(CallError::Timeout(_))) {
            // What silenced this connection may have silenced the idle ones beside it;
            // each would cost another call its whole wait.
            self.close_idle(addr);
        }
        called
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
