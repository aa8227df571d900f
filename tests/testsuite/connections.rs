//! Connections that are kept for the next call.

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
/// Long for an answer on loopback, also on a busy machine.
const WAIT: Duration = Duration::from_secs(10);
/// For a call that nothing answers.
const WAIT_IN_VAIN: Duration = Duration::from_millis(100);

/// Answers the first call on a connection once as many have come, and nothing behind it.
async fn answer_once(mut stream: TcpStream, both: &Barrier) -> Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    both.wait().await;
    stream.write_all(ANSWER).await?;
    // Reads on, so that the connection stays open.
    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
    Ok(())
}

async fn call(pool: &Pool, addr: SocketAddr, wait: Duration) -> Result<u16, CallError> {
    let mut request = Request::new(Full::new(Bytes::new()));
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("x"));
    pool.call(addr, request, wait, 100).await.map(|called| called.status)
}

/// All idle connections died without a word. The first call that meets one is lost; the
/// next must not meet another.
#[googletest::test]
#[tokio::test]
async fn a_call_that_got_no_answer_ends_the_idle_connections_beside_it() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let local = LocalSet::new();
    local.spawn_local(async move {
        // The first two wait for each other, so neither takes the other's connection.
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
            let (one, two) = tokio::join!(call(&pool, addr, WAIT), call(&pool, addr, WAIT));
            expect_that!((one?, two?), eq((200, 200)));
            let lost = call(&pool, addr, WAIT_IN_VAIN).await;
            expect_that!(lost, err(matches_pattern!(CallError::Timeout(anything()))));
            expect_that!(call(&pool, addr, WAIT).await?, eq(200));
            Ok(())
        })
        .await
}
