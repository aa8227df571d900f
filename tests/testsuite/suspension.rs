//! Guards against timers that stand still while a machine is suspended and time goes on.

use crate::gateway::{answer, chunk, last_chunk, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    gateway::message::{Message, ServerReport},
    util::clock::Clock,
};
use mastweir_core::{gateway::LoadReport, time::Uptime};
use mastweir_test_support::{
    scripted::{Act, Scripted},
    site::{Site, exchange, request, route, wait_for},
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{net::UdpSocket, time};

const SUSPENDED: Duration = Duration::from_secs(3);

/// A retry gets the time that the caller has left, not the time that the gateway's timers have
/// counted.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn retry_deadline_excludes_suspended_time() -> Result<()> {
    let site = Site::new(1)?;
    let first = Scripted::start(|got| match got.header("request-id") {
        Some("r-1") => vec![Act::Wait(Duration::from_millis(600)), Act::Reset],
        _ => vec![answer(got, "200 OK", "")],
    })
    .await?;
    site.list("i-0", &first, "ready");
    site.configure(1, &[route("/safe/", "safe")]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let bytes = request("GET", "/safe/a", "r-1", "Request-Deadline: 4500\r\n", "");
    let call = tokio::spawn(exchange_owned(gateway.callers, bytes));
    wait_for(async || first.got().len() == 1).await?;
    let other = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-1", &other, "ready");
    gateway.clock.simulate_suspend(SUSPENDED);
    expect_that!(call.await??.status, eq(200));
    let got = other.got();
    let left: u64 = got[0].header("request-deadline").unwrap_or_default().parse()?;
    expect_that!(left, all!(gt(0), le(1_500)));
    Ok(())
}

/// A request that waits for its server ends at its deadline, not when the timer set for it
/// fires.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn deadline_passed_during_suspension_ends_request() -> Result<()> {
    let site = Site::new(1)?;
    let server = Scripted::start(|_| vec![Act::Hang]).await?;
    site.list("i-0", &server, "ready");
    let mut route = route("/once/", "unsafe");
    route["timeout_ms"] = json!(60_000);
    site.configure(1, &[route]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let bytes = request("POST", "/once/a", "r-1", "Request-Deadline: 60000\r\n", "x");
    let call = tokio::spawn(exchange_owned(gateway.callers, bytes));
    wait_for(async || server.got().len() == 1).await?;
    gateway.clock.simulate_suspend(Duration::from_secs(60));
    expect_that!(call.await??.status, eq(504));
    Ok(())
}

async fn exchange_owned(
    addr: SocketAddr,
    bytes: Vec<u8>,
) -> Result<mastweir_test_support::site::Answer> {
    exchange(addr, &bytes).await
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn wait_ends_by_the_clock() {
    let clock = Clock::start();
    let until = clock.now() + Duration::from_secs(3_600);
    let begun = time::Instant::now();
    let suspended = clock.clone();
    let suspend = async move {
        time::sleep(Duration::from_secs(2)).await;
        suspended.simulate_suspend(Duration::from_secs(3_600));
    };
    tokio::join!(clock.sleep_until(until), suspend);
    expect_that!(begun.elapsed(), le(Duration::from_secs(4)));
    expect_that!(clock.timeout_at(until, std::future::pending::<()>()).await, err(anything()));
    expect_that!(clock.timeout_at(until, async { 7 }).await, ok(eq(7)));
    expect_that!(clock.now() > Uptime::from_secs(3_600), eq(true));
}

/// Streams continue after a suspension: messages that arrived meanwhile are still unread, so
/// silence does not mean that a server is lost.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unread_messages_do_not_break_streams() -> Result<()> {
    let site = Site::new(1)?;
    let mut servers = Vec::new();
    for number in 0..2 {
        let server = Scripted::start(|got| {
            let events = (1..=20).flat_map(|number| {
                let event = chunk(&format!("id: {number}\ndata: a\n\n"));
                [event, Act::Wait(Duration::from_millis(100))]
            });
            [vec![stream_head(got)], events.collect(), vec![last_chunk()]].concat()
        })
        .await?;
        site.list(&format!("i-{number}"), &server, "ready");
        servers.push(server);
    }
    site.configure(1, &[route("/stream/", "streaming")]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let is_sending = Arc::new(AtomicBool::new(true));
    let addrs = servers.iter().map(|server| server.addr).collect();
    let reports = tokio::spawn(report(site.internal(0), addrs, is_sending.clone()));
    // The gateway has become a relay, and has received reports for long enough.
    time::sleep(Duration::from_millis(2_600)).await;
    let mut calls = Vec::new();
    for number in 0..6 {
        let bytes = request("POST", "/stream/a", &format!("r-{number}"), "", "x");
        calls.push(tokio::spawn(exchange_owned(gateway.callers, bytes)));
        time::sleep(Duration::from_millis(47)).await;
    }
    time::sleep(Duration::from_millis(400)).await;
    is_sending.store(false, Ordering::SeqCst);
    gateway.clock.simulate_suspend(Duration::from_millis(1_500));
    time::sleep(Duration::from_millis(150)).await;
    is_sending.store(true, Ordering::SeqCst);
    for call in calls {
        let reply = call.await??;
        expect_that!((reply.status, reply.whole), eq((200, true)));
    }
    let got: usize = servers.iter().map(|server| server.got().len()).sum();
    expect_that!(got, eq(6));
    reports.abort();
    Ok(())
}

/// Sends the reports of the servers' sidecars to the gateway.
async fn report(
    gateway: SocketAddr,
    servers: Vec<SocketAddr>,
    is_sending: Arc<AtomicBool>,
) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    loop {
        for server in servers.iter().filter(|_| is_sending.load(Ordering::SeqCst)) {
            let told = LoadReport { running: 3, group_open: true, ..LoadReport::default() };
            let report =
                Message::Report(ServerReport { server: *server, load: told, coordinator: None });
            socket.send_to(&postcard::to_stdvec(&report)?, gateway).await?;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}
