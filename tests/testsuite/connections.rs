//! The pool of idle connections.

use bytes::Bytes;
use eyre::Result;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::{Request, header};
use mastweir::net::http::{CallError, Pool};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Barrier,
    task::LocalSet,
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Longer than any answer on loopback takes.
const TIMEOUT: Duration = Duration::from_secs(10);
/// For a call that gets no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Answers the first call on a connection once the barrier opens, and no later call.
async fn answer_once(mut stream: TcpStream, both: &Barrier) -> Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    both.wait().await;
    stream.write_all(ANSWER).await?;
    // Keeps the connection open.
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
    Ok(())
}

async fn call(pool: &Pool, addr: SocketAddr, wait: Duration) -> Result<u16, CallError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("x"));
    pool.call(addr, request, wait, 100).await.map(|called| called.status)
}

/// All idle connections are dead without having been closed. One call may fail on one of them; the
/// next call must not use another.
#[googletest::test]
#[tokio::test]
async fn unanswered_call_closes_idle_connections() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let local = LocalSet::new();
    local.spawn_local(async move {
        // The first two calls wait for each other, so that each opens a connection.
        let both = std::rc::Rc::new(Barrier::new(2));
        let alone = std::rc::Rc::new(Barrier::new(1));
        for number in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            let barrier = if number < 2 { both.clone() } else { alone.clone() };
            tokio::task::spawn_local(async move { answer_once(stream, &barrier).await });
        }
    });
    local
        .run_until(async {
            let pool = Pool::default();
            let (one, two) = tokio::join!(call(&pool, addr, TIMEOUT), call(&pool, addr, TIMEOUT));
            expect_that!((one?, two?), eq((200, 200)));
            let lost = call(&pool, addr, SHORT_TIMEOUT).await;
            expect_that!(lost, err(matches_pattern!(CallError::Timeout(anything()))));
            expect_that!(call(&pool, addr, TIMEOUT).await?, eq(200));
            Ok(())
        })
        .await
}
