//! Real gateways between callers and scripted servers: what reaches whom, and how
//! each request ends.

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

/// A whole answer of a server.
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

/// What a server does for a request.
pub type Script = Box<dyn Fn(&Got) -> Vec<Act> + Send + Sync>;

/// A site with one gateway, ready, before servers with these scripts.
pub async fn site_of(scripts: Vec<Script>) -> Result<World> {
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
    Ok(World { site, servers, gateway })
}

pub struct World {
    pub site: Site,
    pub servers: Vec<Scripted>,
    pub gateway: Running,
}

impl World {
    async fn call(&self, method: &str, path: &str, more: &str, body: &str) -> Result<site::Answer> {
        exchange(self.gateway.callers, &request(method, path, "r-1", more, body)).await
    }

    /// Requests that all servers got together.
    fn got(&self) -> usize {
        self.servers.iter().map(|server| server.got().len()).sum()
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_unchanged() -> Result<()> {
    let world = site_of(vec![Box::new(|got| vec![answer(got, "200 OK", "whole")])]).await?;
    let more = "Request-Deadline: 2000\r\nTenant: other\r\nX-Own: kept\r\n";
    let reply = world.call("POST", "/once/a?b=c", more, "body").await?;
    expect_that!(reply.status, eq(200));
    expect_that!(reply.body, eq("whole"));
    expect_that!(reply.header("response-signature"), some(eq("sig")));
    expect_that!(reply.header("server-load"), none());
    let got = world.servers[0].got();
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
async fn unknown_routes_and_keys_are_refused_only_from_knowledge() -> Result<()> {
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
async fn an_answer_to_another_request_reaches_nobody() -> Result<()> {
    let world = site_of(vec![Box::new(|_| {
        let bytes = "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Signature: sig\r\n\
                     Content-Length: 5\r\n\r\nwrong";
        vec![Act::Send(bytes.into())]
    })])
    .await?;
    let reply = world.call("POST", "/once/a", "", "x").await?;
    expect_that!(reply.status, eq(502));
    expect_that!(reply.body, eq(""));
    expect_that!(world.got(), eq(1));
    Ok(())
}

/// Answers cut off at each place, and bytes that are none, never look whole.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_ends_a_call_that_may_run_once_as_unknown() -> Result<()> {
    let cuts: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nhalf",
        b"\x16\x03\x01 no answer at all\r\n\r\n",
    ];
    for cut in cuts {
        let script = move |_: &Got| vec![Act::Send(cut.to_vec()), Act::Close];
        let world = site_of(vec![Box::new(script), Box::new(script)]).await?;
        let reply = world.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(502));
        expect_that!(world.got(), eq(1));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_whole_only_if_its_end_was_no_reset() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n\r\nall of it";
    for (end, status) in [(Act::Close, 200), (Act::Reset, 502)] {
        let acts = vec![Act::Send(head.into()), Act::Wait(Duration::from_millis(50)), end];
        let world = site_of(vec![Box::new(move |_| acts.clone())]).await?;
        let reply = world.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(status));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_may_run_again_goes_to_another_server() -> Result<()> {
    let calls = Arc::new(AtomicUsize::new(0));
    let script = || {
        let calls = calls.clone();
        Box::new(move |got: &Got| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => vec![Act::Close],
            _ => vec![answer(got, "200 OK", "second")],
        })
    };
    let world = site_of(vec![script(), script()]).await?;
    let reply = world.call("GET", "/safe/a", "", "").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "second")));
    let each: Vec<usize> = world.servers.iter().map(|server| server.got().len()).collect();
    expect_that!(each, eq(&[1, 1]));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_said_only_with_evidence() -> Result<()> {
    // All servers say that they did not run it.
    let world = site_of(vec![Box::new(|_| refusal()), Box::new(|_| refusal())]).await?;
    let reply = world.call("POST", "/once/a", "", "x").await?;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.header("retry-after"), some(anything()));
    expect_that!(reply.header("not-executed"), none());
    expect_that!(world.got(), eq(2));
    // A server's own 503 says nothing of the kind, nor does its 429.
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        let world = site_of(vec![Box::new(move |got| vec![answer(got, status, "")])]).await?;
        let reply = world.call("POST", "/once/a", "", "x").await?;
        expect_that!(reply.status, eq(502));
        expect_that!(reply.header("response-signature"), none());
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_listens_no_more_has_not_run_it() -> Result<()> {
    let world = site_of(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let closed = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let gone = serde_json::json!({ "spec": { "service": "desk", "address": closed.to_string(),
        "zone": "hall-a", "slots": 8, "state": "ready" } });
    world.site.platform.put("servers", "i-gone", gone);
    for number in 0..20 {
        let bytes = request("POST", "/once/a", &format!("r-{number}"), "", "x");
        let reply = exchange(world.gateway.callers, &bytes).await?;
        expect_that!(reply.status, eq(200));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_is_passed_on_as_it_is() -> Result<()> {
    let script = |got: &Got| vec![answer(got, "500 Internal Server Error", "why")];
    let world = site_of(vec![Box::new(script)]).await?;
    let reply = world.call("POST", "/once/a", "", "x").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((500, "why")));
    expect_that!(reply.header("response-signature"), some(eq("sig")));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_taken_up_behind_its_last_whole_event() -> Result<()> {
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
    let world = site_of(vec![script(), script()]).await?;
    let reply = world.call("POST", "/stream/a", "", "x").await?;
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
    expect_that!(world.got(), eq(2));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_nobody_takes_up_does_not_look_complete() -> Result<()> {
    let script = |got: &Got| vec![stream_head(got), chunk("id: 1\ndata: a\n\nid"), Act::Close];
    let world = site_of(vec![Box::new(script)]).await?;
    let reply = world.call("POST", "/stream/a", "", "x").await?;
    expect_that!(reply.whole, eq(false));
    expect_that!(reply.body, eq("id: 1\ndata: a\n\n"));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_signature_is_nobodys() -> Result<()> {
    let script = |got: &Got| {
        let id = got.header("request-id").unwrap_or_default();
        let head =
            format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n");
        vec![Act::Send(head.into_bytes()), chunk("id: 1\ndata: a\n\n"), last_chunk()]
    };
    let world = site_of(vec![Box::new(script)]).await?;
    let reply = world.call("POST", "/stream/a", "", "x").await?;
    expect_that!((reply.status, reply.body.as_str()), eq((502, "")));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_ends_the_work_at_the_server() -> Result<()> {
    let world = site_of(vec![Box::new(|got| match got.header("x-begin") {
        Some(_) => vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), Act::Hang],
        None => vec![Act::Hang],
    })])
    .await?;
    for (left, more) in [(1, ""), (2, "X-Begin: 1\r\n")] {
        let mut caller = TcpStream::connect(world.gateway.callers).await?;
        caller.write_all(&request("POST", "/stream/a", "r-1", more, "x")).await?;
        wait_for(async || world.got() == left).await?;
        drop(caller);
        wait_for(async || world.servers[0].left() == left).await?;
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_deadline() -> Result<()> {
    let world = site_of(vec![Box::new(|_| vec![Act::Hang])]).await?;
    let reply = world.call("POST", "/once/a", "Request-Deadline: 200\r\n", "x").await?;
    expect_that!(reply.status, eq(504));
    wait_for(async || world.servers[0].left() == 1).await?;
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_too_large_is_refused() -> Result<()> {
    let world = site_of(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let reply = world.call("POST", "/once/a", "", &"x".repeat(100_001)).await?;
    expect_that!(reply.status, eq(413));
    expect_that!(world.got(), eq(0));
    Ok(())
}

/// A server that leaves gets nothing more; one whose address is another's neither.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_nothing_more() -> Result<()> {
    let script = |got: &Got| vec![answer(got, "200 OK", "")];
    let world = site_of(vec![Box::new(script), Box::new(script)]).await?;
    world.site.list("i-0", &world.servers[0], "draining");
    let call = async |number: usize| {
        let bytes = request("POST", "/once/a", &format!("r-{number}"), "", "x");
        exchange(world.gateway.callers, &bytes).await
    };
    let to_leaving = || world.servers[0].got().len();
    let number = AtomicUsize::new(0);
    // Once it is known, a run of calls passes it by.
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
async fn a_planned_stop_cuts_nothing() -> Result<()> {
    let mut world = site_of(vec![Box::new(|got| {
        vec![Act::Wait(Duration::from_millis(1_500)), answer(got, "200 OK", "late")]
    })])
    .await?;
    let addr = world.gateway.callers;
    let bytes = request("POST", "/once/a", "r-1", "", "x");
    let running = tokio::spawn(async move { exchange(addr, &bytes).await });
    wait_for(async || world.got() == 1).await?;
    // A connection that never carried a request does not hold the stop up.
    let silent = TcpStream::connect(addr).await?;
    world.gateway.ask_to_stop();
    wait_for(async || !world.gateway.is_ready().await).await?;
    let reply = running.await??;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "late")));
    expect_that!(reply.header("connection"), some(eq("close")));
    world.gateway.ended().await?;
    drop(silent);
    Ok(())
}
