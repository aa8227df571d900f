//! Guards against requests that end without a complete answer although their servers are sound:
//! beside a planned stop or change, while reports are missing or late, and on kept connections.

use crate::gateway::{Script, TestFixture, answer, chunk, last_chunk, start_fixture, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Message, ServerReport};
use mastweir_core::gateway::LoadReport;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{Answer, HOST, KEY, Site, exchange, parse, request, route, wait_for},
};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    task::JoinHandle,
    time,
};

/// Time after which a gateway has become a relay, and counts on receiving reports.
const RECEIVING_DELAY: Duration = Duration::from_millis(2_600);
/// Longer than a server without an entry is a last resort.
const LAST_RESORT: Duration = Duration::from_millis(2_200);
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Streams that a busy gateway forwards.
const STREAMS: usize = 8;
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

/// Sends the reports of servers' sidecars to a gateway. Each counts `passes` more than the last.
fn report(
    gateway: SocketAddr,
    servers: Vec<SocketAddr>,
    waiting: u32,
    passes: u64,
) -> JoinHandle<Result<()>> {
    tokio::spawn(async move {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let mut pass = 100;
        loop {
            pass += passes;
            let load =
                LoadReport { running: 3, waiting, group_open: true, pass, ..LoadReport::default() };
            for server in &servers {
                let report =
                    ServerReport { server: *server, load: load.clone(), coordinator: None };
                socket.send_to(&postcard::to_stdvec(&Message::Report(report))?, gateway).await?;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    })
}

fn addrs(fixture: &TestFixture) -> Vec<SocketAddr> {
    fixture.servers.iter().map(|server| server.addr).collect()
}

/// Some servers never state that they are leaving: their entry goes, and they serve on. The
/// reports of their sidecars go on as well.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_an_unlisted_server_goes_on() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(long_stream)]).await?;
    let reports = report(fixture.site.internal(0), addrs(&fixture), 0, 1);
    time::sleep(RECEIVING_DELAY).await;
    let stream = call(fixture.gateway.callers, "POST", "/stream/a", "r-1");
    wait_for(async || fixture.servers[0].got().len() == 1).await?;
    fixture.site.platform.remove("servers", "i-0");
    let reply = stream.await??;
    expect_that!((reply.status, reply.whole), eq((200, true)));
    reports.abort();
    Ok(())
}

/// The same before the head of an answer.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_at_an_unlisted_server_is_answered() -> Result<()> {
    let script: Script = Box::new(|got| {
        vec![Act::Wait(Duration::from_millis(1_800)), answer(got, "200 OK", "whole")]
    });
    let fixture = start_fixture(vec![script]).await?;
    let reports = report(fixture.site.internal(0), addrs(&fixture), 0, 1);
    time::sleep(RECEIVING_DELAY).await;
    let safe = call(fixture.gateway.callers, "GET", "/safe/a", "r-1");
    let once = call(fixture.gateway.callers, "POST", "/once/a", "r-2");
    wait_for(async || fixture.servers[0].got().len() == 2).await?;
    fixture.site.platform.remove("servers", "i-0");
    expect_that!(safe.await??.status, eq(200));
    expect_that!(once.await??.status, eq(200));
    reports.abort();
    Ok(())
}

/// A server may take a request out of its batch in the middle of the answer and read its prompt
/// anew later, while it goes on with others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_after_its_server_preempted_it() -> Result<()> {
    let script: Script = Box::new(|got| {
        let rest = [vec![Act::Wait(Duration::from_millis(1_600))], events(4..=6)].concat();
        [vec![stream_head(got)], events(1..=3), rest, vec![last_chunk()]].concat()
    });
    let fixture = start_fixture(vec![script]).await?;
    let reports = report(fixture.site.internal(0), addrs(&fixture), 1, 1);
    time::sleep(RECEIVING_DELAY).await;
    let reply = call(fixture.gateway.callers, "POST", "/stream/a", "r-1").await??;
    expect_that!((reply.status, reply.whole), eq((200, true)));
    reports.abort();
    Ok(())
}

/// A server that was listed a moment ago may serve before its sidecar has reported. Its events come
/// more slowly than the gateway checks for silence.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_server_without_reports_goes_on() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| {
            let slow = |id| [vec![Act::Wait(Duration::from_millis(600))], events(id..=id)].concat();
            [vec![stream_head(got)], slow(1), slow(2), slow(3), vec![last_chunk()]].concat()
        })
    };
    let fixture = start_fixture(vec![script(), script(), script()]).await?;
    for number in 0..3 {
        fixture.site.platform.remove("servers", &format!("i-{number}"));
    }
    let reports = report(fixture.site.internal(0), addrs(&fixture)[..2].to_vec(), 0, 0);
    time::sleep(RECEIVING_DELAY).await;
    for (number, server) in fixture.servers.iter().enumerate() {
        fixture.site.list(&format!("j-{number}"), server, "ready");
    }
    let mut calls = Vec::new();
    for number in 0..12 {
        calls.push(call(fixture.gateway.callers, "POST", "/stream/a", &format!("r-{number}")));
        time::sleep(Duration::from_millis(40)).await;
    }
    for call in calls {
        let reply = call.await??;
        // Requests that come before the list are refused.
        expect_that!((reply.status, reply.whole), any![eq((200, true)), eq((503, true))]);
    }
    let got: Vec<usize> = fixture.servers.iter().map(|server| server.got().len()).collect();
    expect_that!(got[2], ge(1));
    let sent = fixture.servers.iter().flat_map(Scripted::got);
    let resumed = sent.filter(|got| got.header("last-event-id").is_some()).count();
    expect_that!(resumed, eq(0));
    reports.abort();
    Ok(())
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

/// Starts a server that answers the first request of each connection, and closes the connection
/// when the next one comes.
async fn start_closing_on_reuse() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let len = stream.read(&mut buffer).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&buffer[..len]).into_owned();
                let got = Got { head, ..Got::default() };
                let is_stream = got.head.contains("/stream/");
                let acts = if is_stream {
                    vec![stream_head(&got), chunk("id: 1\ndata: a\n\n"), last_chunk()]
                } else {
                    vec![answer(&got, "200 OK", "whole")]
                };
                for act in acts {
                    let Act::Send(bytes) = act else { continue };
                    let _ = stream.write_all(&bytes).await;
                }
                let _ = stream.read(&mut buffer).await;
            });
        }
    });
    Ok(addr)
}

/// A server may close an idle connection at the moment at which a request is sent on it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_connection_that_its_server_closes_is_sent_again() -> Result<()> {
    let site = Site::new(1)?;
    let addr = start_closing_on_reuse().await?;
    let spec = json!({ "service": "desk", "address": addr.to_string(), "zone": "hall-a",
        "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0, "seq": 1 });
    site.platform.put("servers", "i-0", json!({ "spec": spec }));
    site.configure(
        1,
        &[route("/once/", "unsafe"), route("/safe/", "safe"), route("/stream/", "streaming")],
    );
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    for path in ["/once/a", "/safe/a", "/stream/a"] {
        for number in 0..2 {
            let id = format!("r-{number}");
            let reply = call(gateway.callers, "POST", path, &id).await??;
            expect_that!((reply.status, reply.whole), eq((200, true)), "{path} {number}");
        }
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

/// A request that a server has got has an unknown outcome when its gateway ends.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_answer_at_the_end_of_a_stop_is_answered() -> Result<()> {
    let mut fixture = start_patient().await?;
    let sent = call(fixture.gateway.callers, "GET", "/patient/a", "r-1");
    let got = || fixture.servers[0].got();
    wait_for(async || got().iter().any(|got| got.header("request-id") == Some("r-1"))).await?;
    fixture.gateway.ask_to_stop();
    fixture.gateway.ended().await?;
    expect_that!(sent.await??.status, any![eq(502), eq(504)]);
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

/// A gateway that is busy reads reports and events late. Neither shows that a server is silent,
/// nor that a stream is: the events of the passes that reports count wait to be read.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn busy_gateway_does_not_take_streams_for_silent() -> Result<()> {
    for passes in [0, 1] {
        let fixture = start_fixture(vec![Box::new(long_stream)]).await?;
        let mut route = route("/stream/", "streaming");
        route["timeout_ms"] = json!(30_000);
        fixture.site.configure(2, &[route]);
        let reports = report(fixture.site.internal(0), addrs(&fixture), 0, passes);
        time::sleep(RECEIVING_DELAY).await;
        let stream =
            |number| call(fixture.gateway.callers, "POST", "/stream/a", &format!("r-{number}"));
        let streams: Vec<_> = (0..STREAMS).map(stream).collect();
        wait_for(async || fixture.servers[0].got().len() == STREAMS).await?;
        fixture.gateway.occupy(Duration::from_millis(900));
        let mut whole = 0;
        for stream in streams {
            let reply = stream.await??;
            whole += usize::from(reply.status == 200 && reply.whole);
        }
        fixture.gateway.occupy(Duration::ZERO);
        expect_that!(whole, eq(STREAMS), "{passes} passes a report");
        reports.abort();
    }
    Ok(())
}

/// A raised limit of the time between two requests holds for the connections that are open.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn raised_idle_limit_holds_for_open_connections() -> Result<()> {
    let site = Site::new(1)?;
    let server = Scripted::start(|got| vec![answer(got, "200 OK", "whole")]).await?;
    site.list("i-0", &server, "ready");
    let configure = |version: u64, idle_ms: u64| {
        let spec = json!({
            "version": version, "routes": [route("/safe/", "safe")],
            "services": [{ "name": "desk", "health_path": "/healthz", "max_connections": 50 }],
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 100_000,
                "header_timeout_ms": 500, "idle_timeout_ms": idle_ms },
            "tenants": [{ "name": "north", "api_keys": [KEY] }],
        });
        site.platform.put("config", "main", json!({ "spec": spec }));
    };
    configure(1, 1_500);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let mut stream = TcpStream::connect(gateway.callers).await?;
    let bytes = format!(
        "GET /safe/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(bytes.as_bytes()).await?;
    expect_that!(read_answer(&mut stream).await.map(|answer| answer.status), some(eq(200)));
    configure(2, 20_000);
    time::sleep(Duration::from_millis(3_000)).await;
    // The other side may have closed the connection.
    let _ = stream.write_all(bytes.as_bytes()).await;
    expect_that!(read_answer(&mut stream).await.map(|answer| answer.status), some(eq(200)));
    Ok(())
}
