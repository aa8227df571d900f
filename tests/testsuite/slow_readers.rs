//! Bodies held for callers and servers that read slowly: what the byte budget ends, and how those
//! transfers end for their callers. The budget's decisions are in `memory_budget`.

use crate::gateway::{answer, chunk, last_chunk, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{self, Running, Site, exchange, request, route, wait_for, wait_within},
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
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time,
};

const BUDGET: usize = 1 << 20;
/// The part of it that requests may take.
const REQUESTS: usize = BUDGET * 3 / 4;
/// More than is read whole.
const LARGE: usize = 300 << 10;
/// Well before the deadlines of the routes, so that it is not they that end the requests.
const SOON: Duration = Duration::from_secs(20);

struct Fixture {
    _site: Site,
    server: Scripted,
    gateway: Running,
}

impl Fixture {
    /// Starts a gateway with a small budget, a server of the service `desk`, and one of the service
    /// `slow` at another address.
    async fn start(
        script: impl Fn(&Got) -> Vec<Act> + Send + Sync + 'static,
        slow: Option<SocketAddr>,
    ) -> Result<Self> {
        let mut site = Site::new(1)?;
        site.buffer_bytes = BUDGET as u64;
        let server = Scripted::start(script).await?;
        let list = |id: &str, service: &str, addr: SocketAddr| {
            let spec = json!({ "service": service, "address": addr.to_string(), "zone": "hall-a",
                "slots": 1_000, "state": "ready" });
            site.platform.put("servers", id, json!({ "spec": spec }));
        };
        list("i-0", "desk", server.addr);
        slow.into_iter().for_each(|addr| list("i-slow", "slow", addr));
        let kinds = [("/once/", "unsafe"), ("/safe/", "safe"), ("/stream/", "streaming")];
        let mut routes = kinds.map(|(prefix, kind)| route(prefix, kind)).to_vec();
        routes.push(route("/slow/", "safe"));
        routes[3]["service"] = json!("slow");
        routes.iter_mut().for_each(|route| route["timeout_ms"] = json!(60_000));
        let services = ["desk", "slow"].map(|name| json!({ "name": name }));
        let spec = json!({ "version": 1, "routes": routes, "services": services,
            "limits": { "max_header_bytes": 16_384, "max_body_bytes": 8 << 20,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 },
            "tenants": [{ "name": "north", "api_keys": [site::KEY] }] });
        site.platform.put("config", "main", json!({ "spec": spec }));
        let (_, served) = site.door().await?;
        let gateway = site.gateway(0, served.addr)?;
        gateway.wait_ready().await?;
        Ok(Self { _site: site, server, gateway })
    }

    /// Opens a connection whose receive buffer takes little.
    async fn connect(&self) -> Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(4 << 10)?;
        Ok(socket.connect(self.gateway.callers).await?)
    }

    /// Sends a request over such a connection.
    async fn call(&self, method: &str, path: &str, body: &str) -> Result<TcpStream> {
        let mut caller = self.connect().await?;
        let more = "Request-Deadline: 60000\r\n";
        caller.write_all(&request(method, path, "r-1", more, body)).await?;
        Ok(caller)
    }

    async fn small(&self) -> Result<site::Answer> {
        exchange(self.gateway.callers, &request("POST", "/once/small", "r-2", "", "x")).await
    }

    /// Returns how many transfers were ended for a reason.
    async fn ended(&self, reason: &str) -> u64 {
        let metric = format!("mastweir_buffers_ended_total{{kind=\"{reason}\"}}");
        self.gateway.metric(&metric).await.unwrap_or(0)
    }

    async fn held(&self) -> Result<u64> {
        self.gateway.metric("mastweir_buffered_bytes").await
    }
}

/// A large answer that is never finished.
fn unfinished(got: &Got) -> Vec<Act> {
    vec![stream_head(got), chunk(&"x".repeat(LARGE)), Act::Hang]
}

fn script(got: &Got) -> Vec<Act> {
    let path = got.head.split(' ').nth(1).unwrap_or_default();
    match path.rsplit('/').next() {
        Some("large") => unfinished(got),
        // Leaves the connection's buffers with bytes, and the gateway with nothing to write.
        Some("event") => {
            vec![stream_head(got), chunk(&format!("data: {}\n\n", "x".repeat(20_000))), Act::Hang]
        }
        Some("events") => {
            let events = format!("data: {}\n\n", "x".repeat(1_000)).repeat(2_000);
            vec![stream_head(got), chunk(&events), Act::Hang]
        }
        _ => vec![answer(got, "200 OK", "whole")],
    }
}

async fn read_to_end(mut caller: TcpStream) -> site::Answer {
    let mut read = Vec::new();
    // A reset ends an answer as well; what came before it counts.
    let _ = caller.read_to_end(&mut read).await;
    site::parse(&read)
}

/// Guards against a process that is killed because its memory is spent on answers that nobody
/// reads, and against work at servers that goes on for them.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_callers_that_stop_reading_stay_within_the_budget() -> Result<()> {
    const CALLERS: usize = 200;
    let fixture = Fixture::start(script, None).await?;
    let mut callers = Vec::new();
    let mut most = 0;
    for number in 0..CALLERS {
        callers.push(fixture.call("GET", "/safe/large", "").await?);
        if number % 10 == 0 {
            most = most.max(fixture.held().await?);
            expect_that!(fixture.small().await?.status, eq(200));
        }
    }
    wait_within(SOON, async || {
        let held = fixture.held().await.unwrap_or(u64::MAX);
        expect_that!(held, le(BUDGET as u64));
        fixture.server.left() == CALLERS && held == 0
    })
    .await?;
    expect_that!(most, all!(gt(0), le(BUDGET as u64)));
    expect_that!(fixture.ended("budget").await, gt(0));
    let refused_or_cut = fixture.ended("budget").await + fixture.ended("unread").await;
    expect_that!(refused_or_cut, eq(CALLERS as u64));
    for caller in callers {
        let reply = read_to_end(caller).await;
        // An answer that had not begun ends as unknown, as the request has run.
        expect_that!(reply.status, any!(eq(200), eq(502), eq(0)));
        expect_that!(reply.status == 200 && reply.whole, eq(false));
    }
    expect_that!(fixture.small().await?.body, eq("whole"));
    Ok(())
}

/// Guards against streams that go on at the server while nobody reads them, also if all waiting
/// bytes are in the system's buffers.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_stops_reading_events_is_cut() -> Result<()> {
    let fixture = Fixture::start(script, None).await?;
    for (cut, path) in [(1, "/stream/event"), (2, "/stream/events")] {
        let caller = fixture.call("POST", path, "x").await?;
        wait_within(SOON, async || fixture.server.left() == cut).await?;
        expect_that!(fixture.ended("unread").await, eq(cut as u64));
        let reply = read_to_end(caller).await;
        expect_that!(reply.whole, eq(false));
    }
    expect_that!(fixture.ended("budget").await, eq(0));
    expect_that!(fixture.held().await?, eq(0));
    Ok(())
}

/// Guards against a stream that is cut although its caller reads all that there is: no bytes wait
/// for a caller while its server is silent.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn caller_of_a_silent_stream_is_kept() -> Result<()> {
    let script = |got: &Got| {
        let wait = Act::Wait(Duration::from_millis(3_500));
        vec![stream_head(got), chunk("data: a\n\n"), wait, chunk("data: b\n\n"), last_chunk()]
    };
    let fixture = Fixture::start(script, None).await?;
    let reply = read_to_end(fixture.call("POST", "/stream/a", "x").await?).await;
    expect_that!((reply.body.as_str(), reply.whole), eq(("data: a\n\ndata: b\n\n", true)));
    Ok(())
}

/// Guards against a cut of a caller whose small answer the gateway has written: nothing is held for
/// it, and no work goes on, for example while the caller's network is away for some seconds.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn small_answer_waits_for_its_caller() -> Result<()> {
    let whole = "x".repeat(20_000);
    let body = whole.clone();
    let fixture = Fixture::start(move |got| vec![answer(got, "200 OK", &body)], None).await?;
    let mut caller = fixture.connect().await?;
    let bytes = String::from_utf8(request("GET", "/safe/small", "r-1", "", ""))?;
    // The connection stays open after the answer.
    caller.write_all(bytes.replace("Connection: close\r\n", "").as_bytes()).await?;
    wait_for(async || fixture.server.got().len() == 1).await?;
    time::sleep(Duration::from_millis(3_500)).await;
    expect_that!(fixture.held().await?, eq(0));
    let mut read = Vec::new();
    while !read.ends_with(whole.as_bytes()) {
        let got = caller.read_buf(&mut read).await?;
        eyre::ensure!(got > 0, "the answer ended after {} bytes", read.len());
    }
    expect_that!(site::parse(&read).status, eq(200));
    Ok(())
}

/// Guards against uploads that fill the memory while their server does not read them, and against
/// a refusal as not run of what the server may run.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn upload_that_its_server_does_not_read_makes_room() -> Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(4 << 10)?;
    socket.bind("127.0.0.1:0".parse()?)?;
    // Connections are opened by the system, and nothing is ever read.
    let listener = socket.listen(16)?;
    let fixture = Fixture::start(script, Some(listener.local_addr()?)).await?;
    let body = "x".repeat(REQUESTS);
    let slow = fixture.call("POST", "/slow/a", &body).await?;
    let (mut server, _) = listener.accept().await?;
    server.read_exact(&mut [0; 100]).await?;
    let bytes = request("POST", "/once/a", "r-3", "", &body);
    let reply = exchange(fixture.gateway.callers, &bytes).await?;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "whole")));
    let reply = read_to_end(slow).await;
    expect_that!(reply.status, eq(502));
    expect_that!(reply.header("retry-after"), none());
    expect_that!(fixture.ended("budget").await, eq(1));
    // The connection to the server is closed, and the request is sent to no other.
    wait_for(async || fixture.held().await.is_ok_and(|held| held == 0)).await?;
    expect_that!(fixture.server.got().len(), eq(1));
    Ok(())
}

/// Guards against a body that is read although it can never fit, and against an untruthful
/// refusal of it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_larger_than_the_budget_is_refused() -> Result<()> {
    let fixture = Fixture::start(script, None).await?;
    let mut bytes = request("POST", "/once/a", "r-1", "", &"x".repeat(2 * BUDGET));
    // The rest would not be read, and would turn the end of the connection into a reset.
    bytes.truncate(bytes.len() - 2 * BUDGET + REQUESTS + 1);
    let reply = exchange(fixture.gateway.callers, &bytes).await?;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(fixture.server.got().len(), eq(0));
    expect_that!(fixture.ended("budget").await, eq(1));
    wait_for(async || fixture.held().await.is_ok_and(|held| held == 0)).await
}

/// Guards against a broken-off large answer that looks complete to its caller.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn large_answer_that_breaks_off_is_incomplete_to_its_caller() -> Result<()> {
    let head = |got: &Got, length: &str| {
        let id = got.header("request-id").unwrap_or_default();
        let head =
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n{length}\r\n");
        Act::Send(head.into_bytes())
    };
    let script = move |got: &Got| {
        let body = Act::Send("x".repeat(LARGE).into_bytes());
        let pause = Act::Wait(Duration::from_millis(100));
        match got.header("x-length").unwrap_or_default() {
            "known" => vec![head(got, "Content-Length: 600000\r\n"), body, pause, Act::Close],
            "chunked" => vec![stream_head(got), chunk(&"x".repeat(LARGE)), pause, Act::Close],
            "unsized" => vec![head(got, ""), body, pause, Act::Reset],
            "whole" => vec![head(got, &format!("Content-Length: {LARGE}\r\n")), body],
            _ => vec![stream_head(got), chunk(&"x".repeat(LARGE)), last_chunk()],
        }
    };
    let fixture = Fixture::start(script, None).await?;
    let call = async |length: &str, version: &str| {
        let more = format!("X-Length: {length}\r\n");
        let bytes = String::from_utf8(request("POST", "/once/a", "r-1", &more, "x"))?;
        let bytes = bytes.replace("HTTP/1.1", version).into_bytes();
        exchange(fixture.gateway.callers, &bytes).await
    };
    for length in ["known", "chunked", "unsized"] {
        let reply = call(length, "HTTP/1.1").await?;
        expect_that!((reply.status, reply.whole), eq((200, false)), "{length}");
    }
    // To HTTP/1.0 the end of the connection ends an answer of unknown length.
    for (length, status) in [("known", 200), ("chunked", 502), ("unsized", 502)] {
        let reply = call(length, "HTTP/1.0").await?;
        expect_that!(reply.status, eq(status), "{length}");
        expect_that!(reply.status == 200 && reply.whole, eq(false), "{length}");
    }
    for (length, version) in [("whole", "HTTP/1.1"), ("", "HTTP/1.1"), ("whole", "HTTP/1.0")] {
        let reply = call(length, version).await?;
        expect_that!((reply.status, reply.whole), eq((200, true)), "{length}");
        expect_that!(reply.body.len(), eq(LARGE));
    }
    wait_for(async || fixture.held().await.is_ok_and(|held| held == 0)).await
}

/// Guards against a cut of a caller that reads, if slowly, while there is room, and against a
/// refusal of others because of it when there is none. A receiver announces room in its buffer in
/// steps, so single bytes can't be seen; the caller reads just more than such a step at a time.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_is_kept_until_the_budget_is_spent() -> Result<()> {
    let fixture = Fixture::start(script, None).await?;
    let stopped = fixture.call("GET", "/safe/large", "").await?;
    let mut slow = fixture.call("GET", "/safe/large", "").await?;
    let (is_cut, cut) = (Arc::new(AtomicBool::new(false)), Duration::from_millis(200));
    let ended = is_cut.clone();
    let reading = tokio::spawn(async move {
        let mut piece = [0; 2_000];
        while slow.read(&mut piece).await.is_ok_and(|bytes| bytes > 0) {
            time::sleep(cut).await;
        }
        ended.store(true, Ordering::SeqCst);
    });
    wait_within(SOON, async || fixture.ended("unread").await == 1).await?;
    // The slow reader has been as old for as long.
    time::sleep(Duration::from_secs(1)).await;
    expect_that!(is_cut.load(Ordering::SeqCst), eq(false));
    expect_that!(fixture.ended("unread").await, eq(1));
    expect_that!(fixture.held().await?, gt(0));
    let bytes = request("POST", "/once/a", "r-3", "", &"x".repeat(REQUESTS));
    expect_that!(exchange(fixture.gateway.callers, &bytes).await?.status, eq(200));
    expect_that!(fixture.ended("budget").await, eq(1));
    reading.await?;
    expect_that!(is_cut.load(Ordering::SeqCst), eq(true));
    expect_that!(read_to_end(stopped).await.whole, eq(false));
    Ok(())
}
