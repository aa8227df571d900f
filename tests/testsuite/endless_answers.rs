//! Servers that send bytes without end, in the head or the body of an answer. Each such answer is
//! bounded by bytes, the caller's deadline or the caller's leaving; then its connection is closed,
//! and other callers of the gateway and the server are served.

use super::gateway::{Script, TestFixture, answer, chunk, last_chunk, start_fixture, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::{Act, Got},
    site::{exchange, request, wait_for},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const GENUINE: &str = "Response-Signature: sig\r\n";

/// An answer that never ends: what comes once, and what is repeated.
#[derive(Clone, Copy, Debug)]
struct Endless {
    name: &'static str,
    first: &'static str,
    repeated: &'static str,
}

const fn endless(name: &'static str, first: &'static str, repeated: &'static str) -> Endless {
    Endless { name, first, repeated }
}

/// Before the end of the head.
const HEADS: [Endless; 5] = [
    endless("no HTTP", "", "garbage "),
    endless("status line", "HTTP/1.1 200 ", "garbage "),
    endless("header", "HTTP/1.1 200 OK\r\nX-Long: ", "garbage "),
    endless("headers", "HTTP/1.1 200 OK\r\n", "X-Other: garbage\r\n"),
    endless("interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-Other: garbage\r\n\r\n"),
];

/// In the framing of a chunked body.
const FRAMES: [Endless; 4] = [
    endless("size of a chunk", "", "00000000"),
    endless("extension of a chunk", "4;", "garbage"),
    endless("space after the size of a chunk", "4", "        "),
    endless("trailers", "4\r\nwhol\r\n0\r\n", "X-Other: garbage\r\n"),
];

impl Endless {
    fn acts(self, head: Option<Act>) -> Vec<Act> {
        let first = Act::Send(self.first.as_bytes().to_vec());
        let repeated = Act::Repeat(self.repeated.repeat(256).into_bytes());
        head.into_iter().chain([first, repeated]).collect()
    }
}

fn chunked_head(got: &Got) -> Act {
    let id = got.header("request-id").unwrap_or_default();
    Act::Send(
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{GENUINE}Transfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes(),
    )
}

/// Starts a server that answers the first request as `first` says and the others whole, and another
/// one that always does.
async fn start(first: impl Fn(&Got) -> Vec<Act> + Send + Sync + 'static) -> Result<TestFixture> {
    let whole: Script = Box::new(|got| {
        let is_stream = got.head.contains(" /stream/");
        if is_stream { stream(got) } else { vec![answer(got, "200 OK", "whole")] }
    });
    let first: Script = Box::new(move |got| {
        if got.header("x-endless").is_some() {
            first(got)
        } else {
            vec![answer(got, "200 OK", "whole")]
        }
    });
    start_fixture(vec![first, whole]).await
}

fn stream(got: &Got) -> Vec<Act> {
    vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), chunk("id: 2\ndata: b\n\n"), last_chunk()]
}

/// Sends requests until the first server has got one. Returns the status and the body of that one.
async fn call(fixture: &TestFixture, path: &str) -> Result<(u16, String)> {
    // The gateway may choose the second server first.
    for number in 0..40 {
        let bytes = request("POST", path, &format!("r-{number}"), "X-Endless: 1\r\n", "body");
        let reply = exchange(fixture.gateway.callers, &bytes).await?;
        if !fixture.servers[0].got().is_empty() {
            return Ok((reply.status, reply.body));
        }
    }
    eyre::bail!("the first server got no request")
}

/// Whether the connection of the endless answer was closed, and all other requests are served.
async fn expect_recovered(fixture: &TestFixture, name: &str) -> Result<()> {
    wait_for(async || fixture.servers[0].left() == 1).await?;
    for number in 0..8 {
        let bytes = request("POST", "/once/a", &format!("after-{number}"), "", "body");
        let reply = exchange(fixture.gateway.callers, &bytes).await?;
        expect_that!((reply.status, reply.body.as_str()), eq((200, "whole")), "{name}");
    }
    Ok(())
}

/// Guards against safe requests that wait for their deadline at a server that sends no answer.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn safe_requests_go_on_at_another_server() -> Result<()> {
    for head in HEADS {
        let fixture = start(move |_| head.acts(None)).await?;
        expect_that!(call(&fixture, "/safe/a").await?, eq(&(200, "whole".to_owned())), "{head:?}");
        expect_recovered(&fixture, head.name).await?;
    }
    for frame in FRAMES {
        let fixture = start(move |got| frame.acts(Some(chunked_head(got)))).await?;
        expect_that!(call(&fixture, "/safe/a").await?, eq(&(200, "whole".to_owned())), "{frame:?}");
        expect_recovered(&fixture, frame.name).await?;
    }
    Ok(())
}

/// An unsafe request may have run, so it ends with 502, before its deadline.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_requests_end_as_unknown() -> Result<()> {
    for head in HEADS {
        let fixture = start(move |_| head.acts(None)).await?;
        expect_that!(call(&fixture, "/once/a").await?.0, eq(502), "{head:?}");
        expect_recovered(&fixture, head.name).await?;
    }
    for frame in FRAMES {
        let fixture = start(move |got| frame.acts(Some(chunked_head(got)))).await?;
        expect_that!(call(&fixture, "/once/a").await?.0, eq(502), "{frame:?}");
        expect_recovered(&fixture, frame.name).await?;
    }
    Ok(())
}

/// Guards against streams that are cut, although another server could resume them.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_resumed_at_another_server() -> Result<()> {
    let event = endless("event", "id: 2\ndata: ", "garbage ");
    for (endless, is_event) in FRAMES.map(|frame| (frame, false)).into_iter().chain([(event, true)])
    {
        let fixture = start(move |got| {
            let mut acts = vec![stream_head(got), chunk("id: 1\ndata: a\n\n")];
            if is_event {
                acts.push(chunk(endless.first));
                let piece = endless.repeated.repeat(64);
                let piece = format!("{:x}\r\n{piece}\r\n", piece.len());
                acts.push(Act::Repeat(piece.into_bytes()));
            } else {
                acts.extend(endless.acts(None));
            }
            acts
        })
        .await?;
        let (status, body) = call(&fixture, "/stream/a").await?;
        expect_that!(status, eq(200), "{endless:?}");
        // The second server is asked to go on after the first event, but its script repeats it.
        expect_that!(body, ends_with("id: 2\ndata: b\n\n"), "{endless:?}");
        expect_recovered(&fixture, endless.name).await?;
    }
    Ok(())
}

/// A body without a length ends with its connection, and may be an answer of any size. It is passed
/// on as its caller takes it, until that leaves.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn endless_body_ends_when_its_caller_leaves() -> Result<()> {
    let fixture = start(|got| {
        let id = got.header("request-id").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{GENUINE}\r\n");
        vec![Act::Send(head.into_bytes()), Act::Repeat(vec![b'x'; 4_096])]
    })
    .await?;
    // The gateway may choose the second server first.
    let mut number = 0;
    while fixture.servers[0].got().is_empty() {
        number += 1;
        let bytes = request("POST", "/safe/a", &format!("r-{number}"), "X-Endless: 1\r\n", "body");
        let mut caller = TcpStream::connect(fixture.gateway.callers).await?;
        caller.write_all(&bytes).await?;
        let mut read = 0;
        let mut buffer = vec![0; 64 << 10];
        while read < 1 << 20 {
            match caller.read(&mut buffer).await? {
                0 => break,
                bytes => read += bytes,
            }
        }
    }
    expect_recovered(&fixture, "body").await
}
