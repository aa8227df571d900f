//! Gateways between callers and scripted servers: what is forwarded, to whom, and how each request
//! ends.

use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{self, Running, Site, exchange, request, route, wait_for},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// A complete answer of a server.
pub fn answer(got: &Got, status: &str, body: &str) -> Act {
    let id = got.header("request-id").unwrap_or_default();
    Act::Send(
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
             Server-Load: 1,0,8\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes(),
    )
}

fn refusal() -> Vec<Act> {
    let bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    vec![Act::Send(bytes.into())]
}

pub fn stream_head(got: &Got) -> Act {
    let id = got.header("request-id").unwrap_or_default();
    Act::Send(
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes(),
    )
}

pub fn chunk(bytes: &str) -> Act {
    Act::Send(format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes())
}

pub fn last_chunk() -> Act {
    Act::Send(b"0\r\n\r\n".to_vec())
}

/// Returns what a server does with a request.
pub type Script = Box<dyn Fn(&Got) -> Vec<Act> + Send + Sync>;

/// Starts a gateway and a server for each script, and waits until the gateway is ready.
pub async fn start_fixture(scripts: Vec<Script>) -> Result<TestFixture> {
    let site = Site::new(1)?;
    let mut servers = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        let server = Scripted::start(script).await?;
        site.list(&format!("i-{number}"), &server, "ready");
        servers.push(server);
    }
    site.configure(
        1,
        &[route("/once/", "unsafe"), route("/safe/", "safe"), route("/stream/", "streaming")],
    );
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    Ok(TestFixture { site, servers, gateway })
}

pub struct TestFixture {
    pub site: Site,
    pub servers: Vec<Scripted>,
    pub gateway: Running,
}

impl TestFixture {
    async fn call(&self, method: &str, path: &str, more: &str, body: &str) -> Result<site::Answer> {
        exchange(self.gateway.callers, &request(method, path, "r-1", more, body)).await
    }

    /// Returns the number of requests that all servers received.
    fn request_count(&self) -> usize {
        self.servers.iter().map(|server| server.got().len()).sum()
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_unchanged() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "whole")])]).await?;
    let more = "Request-Deadline: 2000\r\nTenant: other\r\nX-Own: kept\r\n";
    let reply = fixture.call("POST", "/once/a?b=c", more, "body").await?;
    expect_that!(reply.status, eq(200));
    expect_that!(reply.body, eq("whole"));
    expect_that!(reply.header("response-signature"), some(eq("sig")));
    expect_that!(reply.header("server-load"), none());
    let got = fixture.servers[0].got();
    expect_that!(got.len(), eq(1));
    let got = &got[0];
    expect_that!(got.head.lines().next(), some(eq("POST /once/a?b=c HTTP/1.1")));
    expect_that!(got.body, eq(b"body"));
    expect_that!(got.header("host"), some(eq(site::HOST)));
    expect_that!(got.header("x-own"), some(eq("kept")));
    expect_that!(got.header("tenant"), some(eq("north")));
    expect_that!(got.header("expect-instance"), some(eq("i-0")));
    expect_that!(got.header("authorization"), none());
    let left: u64 = got.header("request-deadline").unwrap_or_default().parse()?;
    expect_that!(left, all!(gt(0), le(2_000)));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_and_keys_are_refused_once_configured() -> Result<()> {
    let site = Site::new(1)?;
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    let bytes = request("GET", "/safe/a", "r-1", "", "");
    wait_for(async || exchange(gateway.callers, &bytes).await.is_ok()).await?;
    expect_that!(exchange(gateway.callers, &bytes).await?.status, eq(503));
    expect_that!(gateway.is_ready().await, eq(false));
    let server = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-0", &server, "ready");
    site.configure(1, &[route("/safe/", "safe")]);
    gateway.wait_ready().await?;
    expect_that!(exchange(gateway.callers, &bytes).await?.status, eq(200));
    let other = request("GET", "/other/a", "r-2", "", "");
    expect_that!(exchange(gateway.callers, &other).await?.status, eq(404));
    let text = String::from_utf8(bytes)?.replace(site::KEY, "unknown");
    expect_that!(exchange(gateway.callers, text.as_bytes()).await?.status, eq(401));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_another_request_id_is_dropped() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|_| {
        let bytes = "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Signature: sig\r\n\
                     Content-Length: 5\r\n\r\nwrong";
        vec![Act::Send(bytes.into())]
    })])
    .await?;
    let reply = fixture.call("POST", "/once/a", "", "x").await?;
    expect_that!(reply.status, eq(502));
    expect_that!(reply.body, eq(""));
    expect_that!(fixture.request_count(), eq(1));
    Ok(())
}

/// Truncated and malformed answers are never forwarded as complete.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_to_unsafe_request_ends_as_unknown() -> Result<()> {
    let cuts: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nhalf",
        b"\x16\x03\x01 no answer at all\r\n\r\n",
    ];
    for cut in cuts {
        let script = move |_: &Got| vec![Act::Send(cut.to_vec()), Act::Close];
        let fixture = start_fixture(vec![Box::new(script), Box::new(script)]).await?;
        let reply = fixture.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(502));
        expect_that!(fixture.request_count(), eq(1));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unsized_answer_is_complete_unless_reset() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n\r\nall of it";
    for (end, status) in [(Act::Close, 200), (Act::Reset, 502)] {
        let acts = vec![Act::Send(head.into()), Act::Wait(Duration::from_millis(50)), end];
        let fixture = start_fixture(vec![Box::new(move |_| acts.clone())]).await?;
        let reply = fixture.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(status));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn safe_request_is_retried_at_another_server() -> Result<()> {
    let calls = Arc::new(AtomicUsize::new(0));
    let script = || {
        let calls = calls.clone();
        Box::new(move |got: &Got| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => vec![Act::Close],
            _ => vec![answer(got, "200 OK", "second")],
        })
    };
    let fixture = start_fixture(vec![script(), script()]).await?;
    let reply = fixture.call("GET", "/safe/a", "", "").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "second")));
    let each: Vec<usize> = fixture.servers.iter().map(|server| server.got().len()).collect();
    expect_that!(each, eq(&[1, 1]));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_claimed_only_with_proof() -> Result<()> {
    // All servers state that they did not run the request.
    let fixture = start_fixture(vec![Box::new(|_| refusal()), Box::new(|_| refusal())]).await?;
    let reply = fixture.call("POST", "/once/a", "", "x").await?;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(reply.header("not-executed"), none());
    expect_that!(fixture.request_count(), eq(2));
    // Statuses alone are no such statement.
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        let fixture =
            start_fixture(vec![Box::new(move |got| vec![answer(got, status, "")])]).await?;
        let reply = fixture.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(502));
        expect_that!(reply.header("response-signature"), none());
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_to_closed_port_is_retried() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let closed = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let gone = serde_json::json!({ "spec": { "service": "desk", "address": closed.to_string(),
        "zone": "hall-a", "slots": 8, "state": "ready" } });
    fixture.site.platform.put("servers", "i-gone", gone);
    for number in 0..20 {
        let bytes = request("POST", "/once/a", &format!("r-{number}"), "", "x");
        let reply = exchange(fixture.gateway.callers, &bytes).await?;
        expect_that!(reply.status, eq(200));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn server_failure_is_forwarded_unchanged() -> Result<()> {
    let script = |got: &Got| vec![answer(got, "500 Internal Server Error", "why")];
    let fixture = start_fixture(vec![Box::new(script)]).await?;
    let reply = fixture.call("POST", "/once/a", "", "x").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((500, "why")));
    expect_that!(reply.header("response-signature"), some(eq("sig")));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_resumes_after_last_whole_event() -> Result<()> {
    let script = || {
        Box::new(|got: &Got| match got.header("last-event-id") {
            None => vec![
                stream_head(got),
                chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
                Act::Wait(Duration::from_millis(30)),
                Act::Close,
            ],
            Some("2") => {
                let rest = chunk("id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
                vec![stream_head(got), rest, last_chunk()]
            }
            Some(_) => vec![Act::Close],
        })
    };
    let fixture = start_fixture(vec![script(), script()]).await?;
    let reply = fixture.call("POST", "/stream/a", "", "x").await?;
    expect_that!(reply.whole, eq(true));
    insta::assert_snapshot!(reply.body, @"
    id: 1
    data: a

    id: 2
    data: b

    id: 3
    data: c

    id: 4
    data: d
    ");
    expect_that!(fixture.request_count(), eq(2));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unresumed_stream_is_incomplete_to_caller() -> Result<()> {
    let script = |got: &Got| vec![stream_head(got), chunk("id: 1\ndata: a\n\nid"), Act::Close];
    let fixture = start_fixture(vec![Box::new(script)]).await?;
    let reply = fixture.call("POST", "/stream/a", "", "x").await?;
    expect_that!(reply.whole, eq(false));
    expect_that!(reply.body, eq("id: 1\ndata: a\n\n"));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unsigned_stream_is_rejected() -> Result<()> {
    let script = |got: &Got| {
        let id = got.header("request-id").unwrap_or_default();
        let head =
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n");
        vec![Act::Send(head.into_bytes()), chunk("id: 1\ndata: a\n\n"), last_chunk()]
    };
    let fixture = start_fixture(vec![Box::new(script)]).await?;
    let reply = fixture.call("POST", "/stream/a", "", "x").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((502, "")));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_request_at_server() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| match got.header("x-begin") {
        Some(_) => vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), Act::Hang],
        None => vec![Act::Hang],
    })])
    .await?;
    for (left, more) in [(1, ""), (2, "X-Begin: 1\r\n")] {
        let mut caller = TcpStream::connect(fixture.gateway.callers).await?;
        caller.write_all(&request("POST", "/stream/a", "r-1", more, "x")).await?;
        wait_for(async || fixture.request_count() == left).await?;
        drop(caller);
        wait_for(async || fixture.servers[0].left() == left).await?;
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_ends_at_its_deadline() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|_| vec![Act::Hang])]).await?;
    let reply = fixture.call("POST", "/once/a", "Request-Deadline: 200\r\n", "x").await?;
    expect_that!(reply.status, eq(504));
    wait_for(async || fixture.servers[0].left() == 1).await?;
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_is_refused() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let reply = fixture.call("POST", "/once/a", "", &"x".repeat(100_001)).await?;
    expect_that!(reply.status, eq(413));
    expect_that!(fixture.request_count(), eq(0));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_requests() -> Result<()> {
    let script = |got: &Got| vec![answer(got, "200 OK", "")];
    let fixture = start_fixture(vec![Box::new(script), Box::new(script)]).await?;
    fixture.site.list("i-0", &fixture.servers[0], "draining");
    let call = async |number: usize| {
        let bytes = request("POST", "/once/a", &format!("r-{number}"), "", "x");
        exchange(fixture.gateway.callers, &bytes).await
    };
    let to_leaving = || fixture.servers[0].got().len();
    let number = AtomicUsize::new(0);
    // Waits for a run of calls that all go to the other server.
    wait_for(async || {
        let before = to_leaving();
        for _ in 0..12 {
            let number = number.fetch_add(1, Ordering::SeqCst);
            if !call(number).await.is_ok_and(|reply| reply.status == 200) {
                return false;
            }
        }
        to_leaving() == before
    })
    .await
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_open_requests() -> Result<()> {
    let mut fixture = start_fixture(vec![Box::new(|got| {
        vec![Act::Wait(Duration::from_millis(1_500)), answer(got, "200 OK", "late")]
    })])
    .await?;
    let addr = fixture.gateway.callers;
    let bytes = request("POST", "/once/a", "r-1", "", "x");
    let running = tokio::spawn(async move { exchange(addr, &bytes).await });
    wait_for(async || fixture.request_count() == 1).await?;
    // A connection without a request must not delay the stop.
    let silent = TcpStream::connect(addr).await?;
    fixture.gateway.ask_to_stop();
    wait_for(async || !fixture.gateway.is_ready().await).await?;
    let reply = running.await??;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "late")));
    expect_that!(reply.header("connection"), some(eq("close")));
    fixture.gateway.ended().await?;
    drop(silent);
    Ok(())
}
