//! The gateway's listeners, its start and its stop.

use super::{
    fetch, forward, generations, peers,
    state::{Gateway, GatewayOptions},
    watch,
};
use crate::net::internal;
use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use std::{cell::Cell, convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch as flag,
    task, time,
};

/// Time between "not ready" and the end of accepting: the platform's balancer
/// asks each second and needs two misses.
const UNREADY_LASTS: Duration = Duration::from_millis(2_600);
/// What is left of the grace time for the process to end by itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// How often a stopping gateway looks whether it is done.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// How often a connection is looked at that is to close once it is idle.
const IDLE_LOOK: Duration = Duration::from_millis(150);
/// Idle connections, and servers that lapsed, are looked through this often.
const SWEEP_EVERY: Duration = Duration::from_secs(2);
/// Smallest buffer that the HTTP library takes.
const HEAD_BYTES_MIN: usize = 8_192;
/// Connections of callers at most; the rest of the descriptors is for servers.
const CONNECTIONS_MAX: usize = 2_500;
/// After an error in accepting, say for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runs a gateway until it was told to stop and its requests have ended.
///
/// # Errors
///
/// An address can't be used.
pub async fn run(options: &GatewayOptions, stop: impl Future<Output = ()>) -> eyre::Result<()> {
    let gateway = Rc::new(Gateway::new(options));
    let (ip, port) = {
        let settings = gateway.settings.borrow();
        (settings.ip, settings.internal_port)
    };
    let callers = bind(options.caller_addr).await?;
    let ready = bind(options.ready_addr).await?;
    let own = SocketAddr::new(ip, port);
    let internal = bind(own).await?;
    let socket = UdpSocket::bind(own).await.wrap_err_with(|| format!("binding {own}"))?;
    info!(gateway.log, "gateway started"; "callers" => %options.caller_addr, "internal" => %own);
    let (closing, closed) = flag::channel(false);
    let counted = gateway.clone();
    task::spawn_local(generations::watch(gateway.store.clone(), gateway.log.clone(), move || {
        counted.metrics.count("store_eras_total", "changed");
    }));
    task::spawn_local(watch::config(gateway.clone()));
    task::spawn_local(watch::servers(gateway.clone()));
    task::spawn_local(watch::quarantine(gateway.clone()));
    task::spawn_local(peers::run(gateway.clone(), socket));
    task::spawn_local(sweep(gateway.clone()));
    task::spawn_local(serve_ready(gateway.clone(), ready));
    if let Some(port) = options.metrics_port {
        let listener = bind(SocketAddr::new(ip, port)).await?;
        task::spawn_local(serve_metrics(gateway.clone(), listener));
    }
    let answering = gateway.clone();
    task::spawn_local(internal::serve(internal, move |path, body| {
        let reply = fetch::answer(&answering, &path, &body);
        async move { reply }
    }));
    task::spawn_local(accept(gateway.clone(), callers, closed));
    stop.await;
    let grace = gateway.settings.borrow().bounds.grace;
    let end = time::Instant::now() + grace.saturating_sub(STOP_MARGIN);
    gateway.stopping.set(true);
    info!(gateway.log, "gateway stopping"; "held" => gateway.in_flight.get(),
        "connections" => gateway.connections.get());
    time::sleep(UNREADY_LASTS.min(grace / 2)).await;
    // The receivers are connections; none may be left.
    let _ = closing.send(true);
    while gateway.connections.get() > 0 && time::Instant::now() < end {
        time::sleep(LOOK_AGAIN).await;
    }
    info!(gateway.log, "gateway stopped"; "connections_cut" => gateway.connections.get());
    Ok(())
}

async fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("listening on {addr}; check that the address is this instance's"))
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        time::sleep(SWEEP_EVERY).await;
        gateway.server_pool.close_expired();
        gateway.internal_pool.close_expired();
        gateway.drop_expired();
        gateway.suspects.borrow_mut().expire(gateway.clock.now());
    }
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener, closed: flag::Receiver<bool>) {
    let mut closing = closed.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Those who come now are refused, and go elsewhere.
            _ = closing.wait_for(|closed| *closed) => return,
        };
        match accepted {
            Ok((stream, _)) if gateway.connections.get() < CONNECTIONS_MAX => {
                task::spawn_local(connection(gateway.clone(), stream, closed.clone()));
            }
            Ok(_) => gateway.metrics.count("connections_refused_total", "full"),
            Err(error) => {
                warn!(gateway.log, "connection not accepted"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a caller's connection.
struct Counted(Rc<Gateway>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(gateway: Rc<Gateway>, stream: TcpStream, mut closed: flag::Receiver<bool>) {
    gateway.connections.set(gateway.connections.get() + 1);
    let _counted = Counted(gateway.clone());
    if let Err(error) = stream.set_nodelay(true) {
        warn!(gateway.log, "connection not set up"; "error" => %error);
        return;
    }
    let limits = gateway.active().map(|active| active.config.limits).unwrap_or_default();
    let serving = gateway.clone();
    let held = Rc::new(Cell::new(0));
    let counted = held.clone();
    let service = service_fn(move |request| {
        let (gateway, held) = (serving.clone(), counted.clone());
        async move { Ok::<_, Infallible>(forward::serve(gateway, request, held).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Covers the time between two requests as well.
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.header_ms)))
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES_MIN))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = closed.wait_for(|closed| *closed) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = &mut connection => ended,
                () = idle(&held) => Ok(()),
            }
        }
    };
    if ended.is_err() {
        gateway.metrics.count("connections_broken_total", "caller");
    }
}

/// Ends when no request is held on a connection, twice in a row: the library
/// keeps one open that never carried any.
async fn idle(held: &Cell<usize>) {
    let mut looks = 0;
    while looks < 2 {
        time::sleep(IDLE_LOOK).await;
        looks = if held.get() == 0 { looks + 1 } else { 0 };
    }
}

async fn serve_ready(gateway: Rc<Gateway>, listener: TcpListener) {
    serve_small(listener, move || {
        let status =
            if gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, String::new())
    })
    .await;
}

async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    serve_small(listener, move || (StatusCode::OK, gateway.metrics.render())).await;
}

/// Serves the same answer on every path.
async fn serve_small(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let (status, text) = answer();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A broken connection concerns its caller alone.
        task::spawn_local(async move { drop(connection.await) });
    }
}
