//! Answers of servers that are none, or promise what they can't: their callers are told the
//! truth, and what may run again goes to another server.

use crate::gateway::{Script, answer, site_of};
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
    sync::atomic::{AtomicUsize, Ordering},
};
use tokio::task::LocalSet;

/// An answer with these words in its head, of a server that has no others.
fn odd(got: &Got, status: &str, more: &str) -> Vec<Act> {
    let id = got.header("request-id").unwrap_or_default();
    let text = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}Content-Length: 0\r\n\r\n");
    vec![Act::Send(text.into_bytes())]
}

/// What callers get of two servers, the first of which answers oddly.
async fn replies(first: Script, path: &str) -> Result<(Answer, usize)> {
    let world = site_of(vec![first, Box::new(|got| vec![answer(got, "200 OK", "second")])]).await?;
    let mut last = Answer::default();
    // Whichever server is tried first.
    for number in 0..4 {
        let bytes = request("POST", path, &format!("r-{number}"), "", "body");
        last = exchange(world.gateway.callers, &bytes).await?;
        if !world.servers[0].got().is_empty() {
            break;
        }
    }
    Ok((last, world.servers[1].got().len()))
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_answer_reach_nobody() -> Result<()> {
    let garbage = || vec![Act::Send(b"\x00\x01 no answer\r\n\r\n".to_vec()), Act::Close];
    let (once, _) = replies(Box::new(move |_| garbage()), "/once/a").await?;
    expect_that!(once.status, eq(502));
    let (safe, _) = replies(Box::new(move |_| garbage()), "/safe/a").await?;
    expect_that!((safe.status, safe.body.as_str()), eq((200, "second")));
    Ok(())
}

/// Only the server's own word that it did not run it makes a promise of these statuses.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_alone_promises_nothing() -> Result<()> {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"] {
        let script: Script = Box::new(move |got| odd(got, status, "Response-Signature: sig\r\n"));
        let (once, second) = replies(script, "/once/a").await?;
        expect_that!(once.status, eq(502), "{status}");
        expect_that!(once.header("response-signature"), none(), "{status}");
        expect_that!(second, eq(0), "{status}");
    }
    Ok(())
}

/// With it, whatever the status, the next server gets the request.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_was_turned_away_goes_to_the_next() -> Result<()> {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"] {
        let script: Script = Box::new(move |got| odd(got, status, "Not-Executed: 1\r\n"));
        let (once, second) = replies(script, "/once/a").await?;
        expect_that!((once.status, second), eq((200, 1)), "{status}");
    }
    Ok(())
}

/// A time without requests that can't be read binds nobody: the next request is served.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_time_that_is_none_keeps_no_server_from_serving() -> Result<()> {
    for time in ["soon", "-3", "NaN", "inf", "1e99", "", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let count = AtomicUsize::new(0);
        let script: Script = Box::new(move |got| match count.fetch_add(1, Ordering::SeqCst) {
            0 => {
                odd(got, "503 Unavailable", &format!("Not-Executed: 1\r\nRetry-After: {time}\r\n"))
            }
            _ => vec![answer(got, "200 OK", "whole")],
        });
        let world = site_of(vec![script]).await?;
        for status in [503, 200] {
            let bytes = request("POST", "/once/a", &format!("r-{status}"), "", "body");
            let reply = exchange(world.gateway.callers, &bytes).await?;
            expect_that!(reply.status, eq(status), "{time}");
        }
    }
    Ok(())
}

/// One that its server says it closes is not used again; no caller notices.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_servers_say_they_close_cost_nobody_an_answer() -> Result<()> {
    let count = AtomicUsize::new(0);
    let script: Script = Box::new(move |got| {
        let signed = "Response-Signature: sig\r\n";
        match count.fetch_add(1, Ordering::SeqCst) % 3 {
            0 => {
                let closes = format!("{signed}Connection: close\r\n");
                odd(got, "200 OK", &closes).into_iter().chain([Act::Close]).collect()
            }
            1 => odd(got, "200 OK", &format!("{signed}Keep-Alive: timeout=1\r\n")),
            _ => odd(got, "200 OK", signed),
        }
    });
    let world = site_of(vec![script]).await?;
    for number in 0..30 {
        let path = if number % 2 == 0 { "/once/a" } else { "/safe/a" };
        let bytes = request("POST", path, &format!("r-{number}"), "", "body");
        let reply = exchange(world.gateway.callers, &bytes).await?;
        expect_that!((reply.status, reply.whole), eq((200, true)), "{number}");
    }
    Ok(())
}

/// An answer over a connection that hung while the store came back from a copy.
#[googletest::test]
#[tokio::test]
async fn a_late_answer_of_an_earlier_era_changes_nothing() -> Result<()> {
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
