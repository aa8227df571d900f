//! Guards against requests that end without a complete answer although their servers are sound,
//! beside a planned stop or a change of the configuration.

use crate::gateway::{Script, TestFixture, answer, chunk, last_chunk, start_fixture, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{Answer, Site, exchange, parse, request, route, wait_for},
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time,
};

/// Longer than a server without an entry is a last resort.
const LAST_RESORT: Duration = Duration::from_millis(2_200);
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Number of events of a stream that lasts longer than a sidecar may be silent.
const LONG_EVENTS: usize = 25;

/// Events with the ids of a range, with a pause after each.
fn events(ids: std::ops::RangeInclusive<usize>) -> Vec<Act> {
    let event = |id| [chunk(&format!("id: {id}\ndata: a\n\n")), Act::Wait(EVENT_PAUSE)];
    ids.flat_map(event).collect()
}

/// A stream of [`LONG_EVENTS`] events.
fn long_stream(got: &Got) -> Vec<Act> {
    [vec![stream_head(got)], events(1..=LONG_EVENTS), vec![last_chunk()]].concat()
}

async fn exchange_owned(addr: SocketAddr, bytes: Vec<u8>) -> Result<Answer> {
    exchange(addr, &bytes).await
}

/// Sends a request in a task.
fn call(addr: SocketAddr, method: &str, path: &str, id: &str) -> JoinHandle<Result<Answer>> {
    tokio::spawn(exchange_owned(addr, request(method, path, id, "", "x")))
}

/// A configuration without the route, the key and the service, with other limits and bounds.
fn configure_without_all(site: &Site) {
    let spec = json!({
        "version": 2, "routes": [], "services": [],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 1,
            "header_timeout_ms": 1_000, "idle_timeout_ms": 1_000 },
        "tenants": [],
    });
    site.platform.put("config", "main", json!({ "spec": spec }));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answers_outlive_their_route_key_and_service() -> Result<()> {
    let script: Script = Box::new(|got| match got.head.contains("/stream/") {
        true => long_stream(got),
        false => vec![Act::Wait(Duration::from_millis(2_000)), answer(got, "200 OK", "whole")],
    });
    let fixture = start_fixture(vec![script]).await?;
    let callers = fixture.gateway.callers;
    let mut calls = Vec::new();
    for (number, path) in ["/stream/a", "/safe/a", "/once/a"].iter().enumerate() {
        calls.push(call(callers, "POST", path, &format!("r-{number}")));
    }
    wait_for(async || fixture.servers[0].got().len() == 3).await?;
    configure_without_all(&fixture.site);
    wait_for(async || {
        let reply = exchange(callers, &request("GET", "/safe/a", "r-9", "", "")).await;
        reply.is_ok_and(|reply| reply.status == 404)
    })
    .await?;
    for call in calls {
        let reply = call.await??;
        expect_that!((reply.status, reply.whole), eq((200, true)));
    }
    Ok(())
}

/// Starts a gateway whose route and requests have a minute, and a server that never answers.
async fn start_patient() -> Result<TestFixture> {
    let fixture = start_fixture(vec![Box::new(|_| vec![Act::Hang])]).await?;
    let mut route = route("/patient/", "safe");
    route["timeout_ms"] = json!(60_000);
    route["target_latency_ms"] = json!(60_000);
    fixture.site.configure(2, &[route]);
    let callers = fixture.gateway.callers;
    wait_for(async || {
        let more = "Request-Deadline: 100\r\n";
        let reply = exchange(callers, &request("GET", "/patient/a", "r-0", more, "")).await;
        reply.is_ok_and(|reply| reply.status == 504)
    })
    .await?;
    Ok(fixture)
}

/// A request that still waits for a server when its gateway ends is refused.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_at_the_end_of_a_stop_is_refused() -> Result<()> {
    let mut fixture = start_patient().await?;
    fixture.site.platform.remove("servers", "i-0");
    time::sleep(LAST_RESORT).await;
    let waiting = call(fixture.gateway.callers, "GET", "/patient/a", "r-1");
    time::sleep(Duration::from_millis(300)).await;
    fixture.gateway.ask_to_stop();
    fixture.gateway.ended().await?;
    let reply = waiting.await??;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    Ok(())
}

/// Reads one answer with a length from a connection that is kept.
async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut read = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        let len = stream.read(&mut buffer).await.ok().filter(|len| *len > 0)?;
        read.extend_from_slice(&buffer[..len]);
        let answer = parse(&read);
        if answer.status > 0 && answer.whole {
            return Some(answer);
        }
    }
}

/// Each request that a stopping gateway sent to a server gets its answer, also on a kept
/// connection.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_lose_no_request_at_a_stop() -> Result<()> {
    let mut fixture = start_fixture(vec![Box::new(|got| {
        vec![Act::Wait(Duration::from_millis(3)), answer(got, "200 OK", "whole")]
    })])
    .await?;
    let callers = fixture.gateway.callers;
    let answered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut tasks = Vec::new();
    for number in 0..24 {
        let answered = answered.clone();
        tasks.push(tokio::spawn(async move {
            for round in 0.. {
                let Ok(mut stream) = TcpStream::connect(callers).await else { return };
                for part in 0.. {
                    let id = format!("r-{number}-{round}-{part}");
                    let text = String::from_utf8_lossy(&request("POST", "/once/a", &id, "", "x"))
                        .replace("Connection: close\r\n", "");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        break;
                    }
                    let Some(answer) = read_answer(&mut stream).await else { break };
                    answered.lock().unwrap_or_else(PoisonError::into_inner).push(id);
                    if answer.header("connection") == Some("close") {
                        break;
                    }
                    time::sleep(Duration::from_millis(7 * (number % 5))).await;
                }
            }
        }));
    }
    time::sleep(Duration::from_millis(500)).await;
    fixture.gateway.ask_to_stop();
    fixture.gateway.ended().await?;
    for task in tasks {
        task.await?;
    }
    let answered = answered.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let got = fixture.servers[0].got();
    let ids = got.iter().filter_map(|got| got.header("request-id"));
    let lost: Vec<&str> = ids.filter(|id| !answered.iter().any(|known| known == id)).collect();
    expect_that!(got.len(), ge(100));
    expect_that!(lost, is_empty());
    Ok(())
}

/// A server that leaves may end in the middle of an answer. That is no crash under the request.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_outlives_servers_that_leave() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| match got.header("last-event-id") {
            _ if got.head.contains("/safe/") => vec![answer(got, "200 OK", "whole")],
            None => [vec![stream_head(got)], events(1..=20), vec![Act::End]].concat(),
            Some("20") => [vec![stream_head(got)], events(21..=40), vec![Act::End]].concat(),
            Some(_) => [vec![stream_head(got)], events(41..=42), vec![last_chunk()]].concat(),
        })
    };
    let fixture = start_fixture(vec![script(), script(), script()]).await?;
    let mut stream = route("/stream/", "streaming");
    stream["max_attempts"] = json!(4);
    stream["timeout_ms"] = json!(20_000);
    fixture.site.configure(2, &[route("/safe/", "safe"), stream]);
    let callers = fixture.gateway.callers;
    // The retry budget grows with the requests.
    for number in 0..40 {
        call(callers, "GET", "/safe/a", &format!("r-{number}")).await??;
    }
    let stream = call(callers, "POST", "/stream/a", "r-s");
    let is_serving =
        |server: &Scripted| server.got().iter().any(|got| got.header("request-id") == Some("r-s"));
    let mut left = Vec::new();
    while left.len() < 2 && !stream.is_finished() {
        for (number, server) in fixture.servers.iter().enumerate() {
            if is_serving(server) && !left.contains(&number) {
                fixture.site.list(&format!("i-{number}"), server, "draining");
                left.push(number);
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    let reply = stream.await??;
    expect_that!((reply.status, reply.whole), eq((200, true)), "{}", reply.body);
    expect_that!(fixture.gateway.metric("mastweir_requests_quarantined_total").await?, eq(0));
    Ok(())
}
