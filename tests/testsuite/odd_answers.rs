//! Malformed answers, and answers with a misleading status or malformed headers: callers must not
//! be misled about whether a request has run, and safe requests are retried at another server.

use crate::gateway::{Script, answer, start_fixture};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    net::http::Pool,
    platform::store::{Store, StoreError},
};
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{Answer, exchange, request},
};
use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::task::LocalSet;

/// An answer without a body, with additional headers.
fn headers_only(got: &Got, status: &str, more: &str) -> Vec<Act> {
    let id = got.header("request-id").unwrap_or_default();
    let text = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}Content-Length: 0\r\n\r\n");
    vec![Act::Send(text.into_bytes())]
}

/// Sends requests to two servers until the first one, which runs `first`, has got one. Returns the
/// last answer, and the number of requests that the second server got.
async fn replies(first: Script, path: &str) -> Result<(Answer, usize)> {
    let fixture =
        start_fixture(vec![first, Box::new(|got| vec![answer(got, "200 OK", "second")])]).await?;
    let mut last = Answer::default();
    // The gateway may choose the second server first.
    for number in 0..4 {
        let bytes = request("POST", path, &format!("r-{number}"), "", "body");
        last = exchange(fixture.gateway.callers, &bytes).await?;
        if !fixture.servers[0].got().is_empty() {
            break;
        }
    }
    Ok((last, fixture.servers[1].got().len()))
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_answer_is_not_forwarded() -> Result<()> {
    let garbage = || vec![Act::Send(b"\x00\x01 no answer\r\n\r\n".to_vec()), Act::Close];
    let (once, _) = replies(Box::new(move |_| garbage()), "/once/a").await?;
    expect_that!(once.status, eq(502));
    let (safe, _) = replies(Box::new(move |_| garbage()), "/safe/a").await?;
    expect_that!((safe.status, safe.body.as_str()), eq((200, "second")));
    Ok(())
}

/// These statuses prove that a request was not run only together with the header for it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn status_alone_does_not_prove_not_run() -> Result<()> {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        let script: Script =
            Box::new(move |got| headers_only(got, status, "Response-Signature: sig\r\n"));
        let (once, second) = replies(script, "/once/a").await?;
        expect_that!(once.status, eq(502), "{status}");
        expect_that!(once.header("response-signature"), none(), "{status}");
        expect_that!(second, eq(0), "{status}");
    }
    Ok(())
}

/// With the header, the status does not matter.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_sent_to_next_server() -> Result<()> {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"] {
        let script: Script = Box::new(move |got| headers_only(got, status, "Not-Executed: 1\r\n"));
        let (once, second) = replies(script, "/once/a").await?;
        expect_that!((once.status, second), eq((200, 1)), "{status}");
    }
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_retry_after_is_ignored() -> Result<()> {
    for time in ["soon", "-3", "NaN", "inf", "1e99", "", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let count = AtomicUsize::new(0);
        let script: Script = Box::new(move |got| match count.fetch_add(1, Ordering::SeqCst) {
            0 => headers_only(
                got,
                "503 Unavailable",
                &format!("Not-Executed: 1\r\nRetry-After: {time}\r\n"),
            ),
            _ => vec![answer(got, "200 OK", "whole")],
        });
        let fixture = start_fixture(vec![script]).await?;
        for status in [503, 200] {
            let bytes = request("POST", "/once/a", &format!("r-{status}"), "", "body");
            let reply = exchange(fixture.gateway.callers, &bytes).await?;
            expect_that!(reply.status, eq(status), "{time}");
        }
    }
    Ok(())
}

/// Connections that a server announced to close must not be reused.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn connections_closed_by_servers_lose_no_request() -> Result<()> {
    let count = AtomicUsize::new(0);
    let script: Script = Box::new(move |got| {
        let signed = "Response-Signature: sig\r\n";
        match count.fetch_add(1, Ordering::SeqCst) % 3 {
            0 => {
                let closes = format!("{signed}Connection: close\r\n");
                headers_only(got, "200 OK", &closes).into_iter().chain([Act::Close]).collect()
            }
            1 => headers_only(got, "200 OK", &format!("{signed}Keep-Alive: timeout=1\r\n")),
            _ => headers_only(got, "200 OK", signed),
        }
    });
    let fixture = start_fixture(vec![script]).await?;
    for number in 0..30 {
        let path = if number % 2 == 0 { "/once/a" } else { "/safe/a" };
        let bytes = request("POST", path, &format!("r-{number}"), "", "body");
        let reply = exchange(fixture.gateway.callers, &bytes).await?;
        expect_that!((reply.status, reply.whole), eq((200, true)), "{number}");
    }
    Ok(())
}

/// Guards against an answer that was delayed while the store was restored from a copy.
#[googletest::test]
#[tokio::test]
async fn late_answer_of_earlier_generation_is_rejected() -> Result<()> {
    let count = AtomicUsize::new(0);
    let store = Scripted::start(move |_| {
        let (era, revision) = [(3, 90), (2, 200), (3, 95)][count.fetch_add(1, Ordering::SeqCst)];
        let body = format!(r#"{{"items":[],"has_more":false,"timestamp":{revision}}}"#);
        let head = format!("HTTP/1.1 200 OK\r\nStore-Era: {era}\r\n");
        vec![Act::Send(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into())]
    })
    .await?;
    LocalSet::new()
        .run_until(async {
            let store = Store::new(store.addr, Rc::new(Pool::default()));
            expect_that!(store.servers().await?.revision.to_string(), eq("3.90"));
            let late = store.servers().await;
            expect_that!(
                late.is_err_and(|error| matches!(error, StoreError::StaleGeneration { .. })),
                eq(true)
            );
            expect_that!(store.generation(), eq(3));
            expect_that!(store.servers().await?.revision.to_string(), eq("3.95"));
            Ok(())
        })
        .await
}

/// The head of a stream that ends with its connection.
fn unframed_head(got: &Got) -> Act {
    let id = got.header("request-id").unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n");
    Act::Send(format!("{head}Content-Type: text/event-stream\r\n\r\n").into_bytes())
}

/// A server that ends its first stream as given, and continues it to the second event elsewhere.
async fn unframed_stream(first: &'static str, end: Act) -> Result<(Answer, usize)> {
    let streams = Arc::new(AtomicUsize::new(0));
    let counted = streams.clone();
    let script = move |got: &Got| match counted.fetch_add(1, Ordering::SeqCst) {
        0 => vec![unframed_head(got), Act::Send(first.into()), end.clone()],
        _ if got.header("last-event-id") == Some("1") => {
            vec![unframed_head(got), Act::Send("id: 2\ndata: b\n\n".into()), Act::Close]
        }
        _ => vec![
            unframed_head(got),
            Act::Send("id: 1\ndata: a\n\nid: 2\ndata: b\n\n".into()),
            Act::Close,
        ],
    };
    let scripts: Vec<Script> = vec![Box::new(script.clone()), Box::new(script)];
    let fixture = start_fixture(scripts).await?;
    let bytes = request("POST", "/stream/a", "r-1", "", "body");
    let reply = exchange(fixture.gateway.callers, &bytes).await?;
    expect_that!(reply.status, eq(200));
    Ok((reply, streams.load(Ordering::SeqCst)))
}

/// Neither a length nor chunks: a stream is whole if its connection ends between two events.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_may_end_with_its_connection() -> Result<()> {
    let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let (reply, streams) = unframed_stream(whole, Act::Close).await?;
    expect_that!((reply.whole, reply.body.as_str(), streams), eq((true, whole, 1)));
    // A reset is no end, nor is an end inside an event or before the first one.
    let first = "id: 1\ndata: a\n\n";
    for (sent, end) in [
        (first, Act::Reset),
        ("id: 1\ndata: a\n\nid: 2\nda", Act::Close),
        ("id: 1\ndata: a\n", Act::Close),
        ("", Act::Close),
    ] {
        let (reply, streams) = unframed_stream(sent, end).await?;
        expect_that!((reply.whole, reply.body.as_str(), streams), eq((true, whole, 2)), "{sent:?}");
    }
    Ok(())
}

/// A stream that can't be resumed is not passed on as whole.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_inside_an_event_is_not_whole() -> Result<()> {
    for sent in ["id: 1\ndata: a\n\nid: 2\nda", "id: 1", ""] {
        let script: Script =
            Box::new(move |got| vec![unframed_head(got), Act::Send(sent.into()), Act::Close]);
        let fixture = start_fixture(vec![script]).await?;
        let bytes = request("POST", "/stream/a", "r-1", "", "body");
        let reply = exchange(fixture.gateway.callers, &bytes).await?;
        expect_that!(reply.whole, eq(false), "{sent:?}");
    }
    Ok(())
}

/// Guards against a caller that gets a status that is none of an answer: outside of 200 to 599, or
/// for a switch of protocols that nobody asked for.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answers_with_an_invalid_status_are_not_forwarded() -> Result<()> {
    for status in ["000 None", "000", "099 None", "101 Switching Protocols", "600 None", "999 None"]
    {
        for more in ["Response-Signature: sig\r\n", "Response-Signature: sig\r\nUpgrade: x\r\n"] {
            let script = || -> Script { Box::new(move |got| headers_only(got, status, more)) };
            let (once, second) = replies(script(), "/once/a").await?;
            expect_that!((once.status, second), eq((502, 0)), "{status}");
            expect_that!(once.header("response-signature"), none(), "{status}");
            let (safe, _) = replies(script(), "/safe/a").await?;
            expect_that!((safe.status, safe.body.as_str()), eq((200, "second")), "{status}");
        }
    }
    Ok(())
}
