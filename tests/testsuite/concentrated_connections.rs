//! A load balancer sends most new connections to one gateway.

use crate::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_core::gateway::AcceptLimit;
use mastweir_test_support::{
    scripted::{Act, Scripted},
    site::{Running, Site, exchange, request, route},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    io::ErrorKind,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task, time,
};

const GATEWAYS: usize = 3;
const SERVERS: usize = 6;
/// Part of the new connections that one gateway gets, in 100.
const CONCENTRATED: u32 = 80;

/// Gateways before servers that run each request for 20 ms.
async fn start() -> Result<(Site, Vec<Running>, Vec<Scripted>)> {
    let site = Site::new(u8::try_from(GATEWAYS)?)?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Scripted::start(|got| {
            vec![Act::Wait(Duration::from_millis(20)), answer(got, "200 OK", "whole")]
        });
        let server = server.await?;
        site.list(&format!("i-{number}"), &server, "ready");
        servers.push(server);
    }
    site.configure(1, &[route("/safe/", "safe")]);
    let (_, served) = site.door().await?;
    let gateways: Result<Vec<Running>> =
        (0..GATEWAYS).map(|number| site.gateway(number, served.addr)).collect();
    let gateways = gateways?;
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    Ok((site, gateways, servers))
}

/// Opens a connection for each of `count` requests, of which `share` in 100 go to the first
/// gateway. Returns how many were served.
async fn call(gateways: &[Running], count: u32, share: u32, name: &str) -> u32 {
    let mut calls = task::JoinSet::new();
    for number in 0..count {
        let other = 1 + (number / 7) as usize % (GATEWAYS - 1);
        let gateway = if number * 37 % 100 < share { 0 } else { other };
        let addr = gateways[gateway].callers;
        let bytes = request("GET", "/safe/a", &format!("{name}-{number}"), "", "");
        calls.spawn(async move {
            exchange(addr, &bytes).await.is_ok_and(|reply| reply.status == 200 && reply.whole)
        });
        time::sleep(Duration::from_millis(8)).await;
    }
    calls.join_all().await.into_iter().map(u32::from).sum()
}

/// The other gateways are as ready as before, and what the one reads is served as before.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_most_new_connections() -> Result<()> {
    let (_site, gateways, _servers) = start().await?;
    let before = call(&gateways, 200, 100 / GATEWAYS as u32, "before").await;
    let during = call(&gateways, 400, CONCENTRATED, "during").await;
    expect_that!(before, ge(150));
    // Twice as many requests were sent.
    expect_that!(f64::from(during), ge(0.75 * 2.0 * f64::from(before)));
    for gateway in &gateways {
        expect_that!(gateway.is_ready().await, eq(true));
    }
    Ok(())
}

/// How one connection ended for its caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    /// Closed without a byte of an answer.
    Unread,
    Other,
}

async fn connect(addr: SocketAddr, id: String) -> End {
    let bytes = request("GET", "/safe/a", &id, "", "");
    let mut read = Vec::new();
    let exchanged = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(&bytes).await?;
        stream.read_to_end(&mut read).await
    };
    match time::timeout(Duration::from_secs(20), exchanged).await {
        Ok(Ok(_)) if read.starts_with(b"HTTP/1.1 200") => End::Served,
        Ok(Err(error)) if read.is_empty() && error.kind() != ErrorKind::TimedOut => End::Unread,
        Ok(Ok(0)) => End::Unread,
        _ => End::Other,
    }
}

/// A gateway with too little processor time closes connections unread, answers those that it has
/// read, and takes new ones as before once the load has ended.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn overloaded_gateway_closes_connections_unread() -> Result<()> {
    let (_site, gateways, _servers) = start().await?;
    let addr = gateways[0].callers;
    // Holds the gateway's thread for most of the time, as another process on its core does.
    gateways[0].occupy(Duration::from_millis(180));
    let mut calls = task::JoinSet::new();
    for number in 0..900 {
        calls.spawn(connect(addr, format!("b-{number}")));
        time::sleep(Duration::from_millis(4)).await;
    }
    let ends = calls.join_all().await;
    gateways[0].occupy(Duration::ZERO);
    let count = |end| ends.iter().filter(|other| **other == end).count();
    expect_that!(count(End::Other), eq(0));
    expect_that!(count(End::Served), ge(40));
    expect_that!(count(End::Unread), ge(100));
    let refused = gateways[0].metric("mastweir_connections_refused_total{kind=\"lag\"}").await;
    expect_that!(refused.unwrap_or_default(), ge(100));
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(20) {
        if connect(addr, "probe".to_owned()).await == End::Served
            && call(&gateways[..1], 20, 100, "after").await == 20
        {
            return Ok(());
        }
    }
    eyre::bail!("connections are still refused")
}

/// Load that a gateway can't carry in virtual time: each accepted connection takes 2 ms.
#[googletest::test]
fn refused_part_follows_the_load() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut limit = AcceptLimit::default();
    let mut backlog_ms = 0.0_f64;
    let mut refused = Vec::new();
    for second in 0..20 {
        let offered = if (4..12).contains(&second) { 2_000 } else { 100 };
        let mut count = 0;
        let mut worst = 0.0_f64;
        for _ in 0..20 {
            for _ in 0..offered / 20 {
                if limit.refuses(rng.random()) { count += 1 } else { backlog_ms += 2.0 }
            }
            backlog_ms = (backlog_ms - 50.0).max(0.0);
            worst = worst.max(backlog_ms);
            limit.record_lag(Duration::from_secs_f64(backlog_ms / 1e3));
        }
        refused.push((second, count * 100 / offered, worst as u64));
    }
    let lines =
        refused.iter().map(|(second, part, lag)| format!("{second:2} s: {part:3} % {lag:4} ms"));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r"
     0 s:   0 %    0 ms
     1 s:   0 %    0 ms
     2 s:   0 %    0 ms
     3 s:   0 %    0 ms
     4 s:  72 %  622 ms
     5 s:  81 %   90 ms
     6 s:  80 %  124 ms
     7 s:  76 %  116 ms
     8 s:  76 %  112 ms
     9 s:  76 %  114 ms
    10 s:  76 %  132 ms
    11 s:  77 %  106 ms
    12 s:  82 %    0 ms
    13 s:  37 %    0 ms
    14 s:   3 %    0 ms
    15 s:   0 %    0 ms
    16 s:   0 %    0 ms
    17 s:   0 %    0 ms
    18 s:   0 %    0 ms
    19 s:   0 %    0 ms
    ");
}
