//! Connections and requests of callers: reuse, chunked bodies, request smuggling, resumed streams.

use crate::gateway::{answer, chunk, last_chunk, start_fixture, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::site::{HOST, KEY, exchange, parse, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn connection_is_reused_for_many_requests() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "whole")])]).await?;
    let mut stream = TcpStream::connect(fixture.gateway.callers).await?;
    for number in 0..5 {
        let bytes = request("POST", "/once/a", &format!("r-{number}"), "", "body");
        let text = String::from_utf8(bytes)?.replace("Connection: close\r\n", "");
        stream.write_all(text.as_bytes()).await?;
        let mut read = Vec::new();
        while !read.ends_with(b"whole") {
            let mut buffer = [0; 1_024];
            let len = stream.read(&mut buffer).await?;
            expect_that!(len, gt(0), "{number}: closed without an answer");
            read.extend_from_slice(&buffer[..len]);
        }
        let reply = parse(&read);
        expect_that!((reply.status, reply.whole), eq((200, true)), "{number}");
        expect_that!(reply.header("request-id"), some(eq(format!("r-{number}").as_str())));
    }
    expect_that!(fixture.servers[0].got().len(), eq(5));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_is_forwarded_whole() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "whole")])]).await?;
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let text = format!("{head}4\r\nbody\r\n9\r\n in parts\r\n0\r\n\r\n");
    let reply = exchange(fixture.gateway.callers, text.as_bytes()).await?;
    expect_that!(reply.status, eq(200));
    let got = fixture.servers[0].got();
    expect_that!(got.len(), eq(1));
    expect_that!(got[0].body, eq(b"body in parts"));
    expect_that!(got[0].header("transfer-encoding"), none());
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_smuggled_in_body_is_not_run() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "whole")])]).await?;
    let hidden = String::from_utf8(request("POST", "/once/hidden", "r-hidden", "", ""))?;
    let both = format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len());
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\nAuthorization: Bearer {KEY}\r\n"
    );
    // With conflicting lengths, and with a valid one.
    for text in [
        format!("{head}{both}\r\n0\r\n\r\n{hidden}"),
        format!("{head}Content-Length: {}\r\nConnection: close\r\n\r\n{hidden}", hidden.len()),
    ] {
        exchange(fixture.gateway.callers, text.as_bytes()).await?;
    }
    let ran: Vec<String> = fixture.servers[0]
        .got()
        .iter()
        .filter_map(|got| got.header("request-id").map(str::to_owned))
        .collect();
    expect_that!(ran, each(eq("r-1")));
    Ok(())
}

/// `Last-Event-Id` of a caller is forwarded to the server.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn caller_resumes_stream_after_last_event() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| match got.header("last-event-id") {
        Some("1") => vec![stream_head(got), chunk("id: 2\ndata: b\n\n"), last_chunk()],
        _ => vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), last_chunk()],
    })])
    .await?;
    let bytes = request("POST", "/stream/a", "r-1", "Last-Event-Id: 1\r\n", "");
    let reply = exchange(fixture.gateway.callers, &bytes).await?;
    expect_that!((reply.body.as_str(), reply.whole), eq(("id: 2\ndata: b\n\n", true)));
    Ok(())
}
