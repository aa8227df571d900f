//! Starts and stops a gateway, and accepts connections of callers, the platform's load balancer and
//! metrics collectors.
//!
//! A planned stop has three phases within the grace time: the gateway reports that it is not ready
//! until the balancer has taken it out, then it stops accepting connections, and then it waits for
//! the open ones to end. Shortly before the end of the grace time it answers the requests that no
//! server has answered.

use super::{
    caller::Caller,
    fetch, forward, generations, peers, service_outages,
    state::{Gateway, GatewayOptions},
    waiting, watch,
};
use crate::net::{
    internal,
    listener::{self, ACCEPT_PAUSE},
    metered::MeteredStream,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use mastweir_core::gateway::LAG_INTERVAL;
use rand::Rng;
use slog::{info, warn};
use std::{
    cell::Cell, convert::Infallible, future, net::SocketAddr, pin::pin, rc::Rc, time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch as flag,
    task, time,
};

/// Time between "not ready" and the end of accepting. The platform's balancer polls each second
/// and takes a gateway out after two failures.
const UNREADY_DURATION: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is left for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Part of the grace time before it in which requests that no server has answered are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a connection's first request head to arrive once the gateway closes its connections.
const LAST_HEAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of the removal of idle connections, expired servers and old suspect requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after the port for metrics could not be opened.
const METRICS_RETRY_INTERVAL: Duration = Duration::from_secs(10);
/// Smallest buffer that the HTTP library accepts.
const HEAD_BYTES_MIN: usize = 8_192;
/// Maximum number of callers' connections.
const CONNECTIONS_MAX: u64 = 2_500;
/// Part of the files that the process may have open that callers' connections may take. The others
/// are for servers, readiness checks, the store and other processes.
const CALLERS_SHARE: f64 = 0.625;

/// Runs a gateway until `stop` completes and the open requests have ended, or the grace time is
/// nearly over.
///
/// # Errors
///
/// An address can't be bound.
pub async fn run(options: &GatewayOptions, stop: impl Future<Output = ()>) -> eyre::Result<()> {
    let gateway = Rc::new(Gateway::new(options));
    let (ip, port) = {
        let settings = gateway.settings.borrow();
        (settings.ip, settings.internal_port)
    };
    let own_addr = SocketAddr::new(ip, port);
    let mut stop = pin!(stop);
    let sockets = tokio::select! {
        biased;
        () = &mut stop => return Ok(()),
        sockets = Sockets::open(options, own_addr) => sockets?,
    };
    info!(gateway.log, "gateway started"; "callers" => %options.caller_addr, "internal" => %own_addr);
    let (closing, closed) = flag::channel(false);
    let counting = gateway.clone();
    task::spawn_local(generations::watch(gateway.store.clone(), gateway.log.clone(), move || {
        counting.metrics.count("store_eras_total", "changed");
    }));
    task::spawn_local(watch::config(gateway.clone()));
    task::spawn_local(watch::servers(gateway.clone()));
    task::spawn_local(watch::quarantine(gateway.clone()));
    if gateway.settings.borrow().has_evacuations {
        task::spawn_local(watch::evacuations(gateway.clone()));
    }
    task::spawn_local(peers::run(gateway.clone(), sockets.datagrams));
    task::spawn_local(sweep(gateway.clone()));
    task::spawn_local(watch_lag(gateway.clone()));
    task::spawn_local(gateway.buffers.clone().watch());
    task::spawn_local(waiting::run(gateway.clone()));
    task::spawn_local(serve_ready(gateway.clone(), sockets.ready));
    if let Some(port) = options.metrics_port {
        task::spawn_local(serve_metrics(gateway.clone(), SocketAddr::new(ip, port)));
    }
    let answering = gateway.clone();
    task::spawn_local(internal::serve(sockets.internal, move |path, body| {
        let reply = fetch::answer(&answering, &path, &body);
        async move { reply }
    }));
    let max_connections = max_connections(options.open_files);
    task::spawn_local(accept(gateway.clone(), sockets.callers, max_connections, closed));
    stop.await;
    let grace = gateway.settings.borrow().bounds.grace;
    let serving = grace.saturating_sub(STOP_MARGIN);
    let deadline = time::Instant::now() + serving;
    gateway.stopping.set(true);
    task::spawn_local(announce_end(gateway.clone(), serving.saturating_sub(ANSWER_MARGIN)));
    info!(gateway.log, "gateway stopping"; "held" => gateway.in_flight.get(),
        "connections" => gateway.connections.get());
    time::sleep(UNREADY_DURATION.min(grace / 2)).await;
    // Fails if no connections are open.
    let _ = closing.send(true);
    while gateway.connections.get() > 0 && time::Instant::now() < deadline {
        time::sleep(STOP_POLL_INTERVAL).await;
    }
    info!(gateway.log, "gateway stopped"; "connections_cut" => gateway.connections.get());
    Ok(())
}

/// Announces that callers' connections are about to be cut.
async fn announce_end(gateway: Rc<Gateway>, after: Duration) {
    time::sleep(after).await;
    gateway.ending.send_replace(true);
}

/// The sockets without which a gateway does not run.
struct Sockets {
    internal: TcpListener,
    datagrams: UdpSocket,
    ready: TcpListener,
    callers: TcpListener,
}

impl Sockets {
    async fn open(options: &GatewayOptions, own_addr: SocketAddr) -> eyre::Result<Self> {
        let log = &options.log;
        Ok(Self {
            internal: listener::bind(own_addr, log).await?,
            datagrams: listener::bind_udp(own_addr, log).await?,
            ready: listener::bind(options.ready_addr, log).await?,
            // Last, since callers that connect wait for an answer.
            callers: listener::bind(options.caller_addr, log).await?,
        })
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        gateway.server_pool.close_expired();
        gateway.internal_pool.close_expired();
        gateway.drop_expired();
        service_outages::log_ended(&gateway, gateway.clock.now());
        gateway.suspects.borrow_mut().expire(gateway.clock.now());
        gateway.prompts.borrow_mut().expire(gateway.clock.now());
    }
}

/// Returns the maximum number of callers' connections if the process may have so many files open.
fn max_connections(open_files: Option<u64>) -> usize {
    let share = open_files.map_or(CONNECTIONS_MAX, |files| (files as f64 * CALLERS_SHARE) as u64);
    share.min(CONNECTIONS_MAX) as usize
}

async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    max_connections: usize,
    closed: flag::Receiver<bool>,
) {
    let mut closing = closed.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Dropping the listener refuses new connections, so that callers use another gateway.
            _ = closing.wait_for(|closed| *closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let draw = gateway.rng.borrow_mut().random();
                if gateway.connections.get() >= max_connections {
                    refuse(&gateway, &stream, "full");
                } else if gateway.accept_limit.get().refuses(draw) {
                    refuse(&gateway, &stream, "lag");
                } else {
                    task::spawn_local(connection(gateway.clone(), stream, closed.clone()));
                }
            }
            Err(error) => {
                warn!(gateway.log, "accepting a connection failed"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Makes a connection that is dropped unread reset, so that its caller uses another gateway at
/// once.
fn refuse(gateway: &Gateway, stream: &TcpStream, reason: &'static str) {
    gateway.metrics.count("connections_refused_total", reason);
    // Without a reset the caller might wait for an answer. One that has left needs none.
    let _ = stream.set_zero_linger();
}

/// Records how late a timer fires, which decides whether new connections are refused.
async fn watch_lag(gateway: Rc<Gateway>) {
    loop {
        let due = gateway.clock.now() + LAG_INTERVAL;
        time::sleep(LAG_INTERVAL).await;
        let lag = gateway.clock.now().since(due);
        let mut limit = gateway.accept_limit.get();
        if let Some(refused) = limit.record_lag(lag) {
            info!(gateway.log, "refusal of connections changed"; "refuses" => refused > 0.0,
                "lag_ms" => lag.as_millis() as u64, "connections" => gateway.connections.get(),
                "in_flight" => gateway.in_flight.get());
        }
        gateway.accept_limit.set(limit);
    }
}

/// Guard that counts a caller's connection.
struct ConnectionGuard(Rc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(gateway: Rc<Gateway>, stream: TcpStream, mut closed: flag::Receiver<bool>) {
    gateway.connections.set(gateway.connections.get() + 1);
    let _guard = ConnectionGuard(gateway.clone());
    if let Err(error) = stream.set_nodelay(true) {
        warn!(gateway.log, "setting TCP_NODELAY failed; closing connection"; "error" => %error);
        return;
    }
    let stream = match MeteredStream::new(stream, &gateway.clock) {
        Ok(stream) => stream,
        Err(error) => {
            warn!(gateway.log, "setting TCP_NOTSENT_LOWAT failed; closing connection"; "error" => %error);
            return;
        }
    };
    let caller = Caller::new(stream.meter());
    let limits = gateway.active().map(|active| active.config.limits).unwrap_or_default();
    let serving = gateway.clone();
    let requests = Rc::new(Cell::new(0));
    let (counted, calling) = (requests.clone(), caller.clone());
    let service = service_fn(move |request| {
        let (gateway, requests) = (serving.clone(), counted.clone());
        let caller = calling.clone();
        async move { Ok::<_, Infallible>(forward::serve(gateway, request, requests, caller).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also limits the time between two requests.
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.header_ms)))
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut cut = pin!(caller.wait_until_cut(&gateway));
    let result = tokio::select! {
        // Requests that have arrived are read before the connection is closed.
        biased;
        result = &mut connection => result,
        // Dropping the connection cancels what runs for it.
        () = &mut cut => return,
        _ = closed.wait_for(|closed| *closed) => {
            // Ends the connection as soon as the answer to the request in flight is written.
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                result = &mut connection => result,
                () = &mut cut => return,
                () = wait_without_request(&requests) => Ok(()),
            }
        }
    };
    if result.is_err() {
        gateway.metrics.count("connections_broken_total", "caller");
    }
}

/// Completes if a connection has carried no request once [`LAST_HEAD_TIMEOUT`] has passed. The
/// library's graceful shutdown waits for the rest of a head, and a request that is read late may be
/// cut off by the end of the grace time.
async fn wait_without_request(requests: &Cell<usize>) {
    time::sleep(LAST_HEAD_TIMEOUT).await;
    if requests.get() > 0 {
        // Only the library knows which part of an answer is not written yet.
        future::pending::<()>().await;
    }
}

async fn serve_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    serve_text(listener, move || {
        let status =
            if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    })
    .await;
}

/// Serves metrics. Requests are served without them while their port is in use.
async fn serve_metrics(gateway: Rc<Gateway>, addr: SocketAddr) {
    let listener = loop {
        match listener::bind(addr, &gateway.log).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(gateway.log, "metrics are not served"; "error" => format!("{error:#}"));
                time::sleep(METRICS_RETRY_INTERVAL).await;
            }
        }
    };
    serve_text(listener, move || {
        gateway.metrics.set("buffered_bytes", gateway.buffers.held());
        (StatusCode::OK, gateway.metrics.render())
    })
    .await;
}

/// Answers each request on any path with the result of `answer`.
async fn serve_text(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let stream = listener::accept(&listener).await;
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let (status, text) = answer();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A broken connection concerns only its caller.
        task::spawn_local(async move { drop(connection.await) });
    }
}
