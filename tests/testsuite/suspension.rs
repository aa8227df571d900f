//! A machine that was suspended: time has gone on, and timers have stood still.

use crate::gateway::{answer, chunk, last_chunk, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    gateway::message::{Message, Report},
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

/// A request is sent to its second server with what its caller has left by then, not with
/// what the gateway's timers have counted.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_are_given_no_time_that_has_passed_meanwhile() -> Result<()> {
    let site = Site::new(1)?;
    let breaks = Scripted::start(|got| match got.header("request-id") {
        Some("r-1") => vec![Act::Wait(Duration::from_millis(600)), Act::Reset],
        _ => vec![answer(got, "200 OK", "")],
    })
    .await?;
    site.list("i-0", &breaks, "ready");
    site.configure(1, &[route("/safe/", "safe")]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let bytes = request("GET", "/safe/a", "r-1", "Request-Deadline: 4500\r\n", "");
    let calling = tokio::spawn(exchange_owned(gateway.callers, bytes));
    wait_for(async || breaks.got().len() == 1).await?;
    let other = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-1", &other, "ready");
    gateway.clock.suspend(SUSPENDED);
    expect_that!(calling.await??.status, eq(200));
    let got = other.got();
    let left: u64 = got[0].header("request-deadline").unwrap_or_default().parse()?;
    expect_that!(left, all!(gt(0), le(1_500)));
    Ok(())
}

/// A request that waits for its server ends at its deadline, not a minute later by the timer
/// that was set for it: its caller here waits half a minute.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_passed_meanwhile_ends_a_request() -> Result<()> {
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
    let calling = tokio::spawn(exchange_owned(gateway.callers, bytes));
    wait_for(async || server.got().len() == 1).await?;
    gateway.clock.suspend(Duration::from_secs(60));
    expect_that!(calling.await??.status, eq(504));
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
async fn a_wait_ends_by_the_clock_not_by_the_timer() {
    let clock = Clock::start();
    let until = clock.now() + Duration::from_secs(3_600);
    let begun = time::Instant::now();
    let suspending = clock.clone();
    let suspend = async move {
        time::sleep(Duration::from_secs(2)).await;
        suspending.suspend(Duration::from_secs(3_600));
    };
    tokio::join!(clock.sleep_until(until), suspend);
    expect_that!(begun.elapsed(), le(Duration::from_secs(4)));
    expect_that!(clock.timeout_at(until, std::future::pending::<()>()).await, err(anything()));
    expect_that!(clock.timeout_at(until, async { 7 }).await, ok(eq(7)));
    expect_that!(clock.now() > Uptime::from_secs(3_600), eq(true));
}

/// Streams go on behind a suspension: what came meanwhile lies unread when the gateway goes on,
/// and silence that nobody listened to is no reason to leave a server.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn no_server_is_left_for_what_was_not_read_meanwhile() -> Result<()> {
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
    let reports = Arc::new(AtomicBool::new(true));
    let addrs = servers.iter().map(|server| server.addr).collect();
    let reporting = tokio::spawn(report(site.internal(0), addrs, reports.clone()));
    // It speaks for its hall, and has heard the sidecars for long enough.
    time::sleep(Duration::from_millis(2_600)).await;
    let mut calls = Vec::new();
    for number in 0..6 {
        let bytes = request("POST", "/stream/a", &format!("r-{number}"), "", "x");
        calls.push(tokio::spawn(exchange_owned(gateway.callers, bytes)));
        time::sleep(Duration::from_millis(47)).await;
    }
    time::sleep(Duration::from_millis(400)).await;
    reports.store(false, Ordering::SeqCst);
    gateway.clock.suspend(Duration::from_millis(1_500));
    time::sleep(Duration::from_millis(150)).await;
    reports.store(true, Ordering::SeqCst);
    for call in calls {
        let reply = call.await??;
        expect_that!((reply.status, reply.whole), eq((200, true)));
    }
    let got: usize = servers.iter().map(|server| server.got().len()).sum();
    expect_that!(got, eq(6));
    reporting.abort();
    Ok(())
}

/// Sidecars of servers, as the gateway hears them.
async fn report(gateway: SocketAddr, servers: Vec<SocketAddr>, on: Arc<AtomicBool>) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    loop {
        for server in servers.iter().filter(|_| on.load(Ordering::SeqCst)) {
            let told = LoadReport { running: 3, group_open: true, ..LoadReport::default() };
            let report = Message::Report(Report { server: *server, told, lead: None });
            socket.send_to(&postcard::to_stdvec(&report)?, gateway).await?;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}
