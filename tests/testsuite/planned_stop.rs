//! Planned stops of a gateway while connections of callers are open.

use crate::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::Scripted,
    site::{self, Running, Site, request, route, wait_for},
};
use serde_json::json;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::watch,
    task::JoinHandle,
    time,
};

/// Read whole by the gateway, and more than the system's buffers hold.
const ANSWER_LEN: usize = 250_000;
/// Longer than the callers of a test read slowly, and shorter than the limits of the gateway.
const GRACE: Duration = Duration::from_secs(40);
/// Well before the end of the grace time.
const SOON: Duration = Duration::from_secs(20);

struct Fixture {
    _site: Site,
    server: Scripted,
    gateway: Running,
    /// Whether callers read as fast as they can.
    fast: watch::Sender<bool>,
}

impl Fixture {
    async fn start() -> Result<Self> {
        let mut site = Site::new(1)?;
        site.grace = GRACE;
        let body = "x".repeat(ANSWER_LEN);
        let server = Scripted::start(move |got| vec![answer(got, "200 OK", &body)]).await?;
        site.list("i-0", &server, "ready");
        let mut safe = route("/safe/", "safe");
        safe["timeout_ms"] = json!(60_000);
        let limits = json!({ "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000 });
        let spec = json!({ "version": 1, "routes": [safe], "services": [{ "name": "desk" }],
            "limits": limits, "tenants": [{ "name": "north", "api_keys": [site::KEY] }] });
        site.platform.put("config", "main", json!({ "spec": spec }));
        let (_, store) = site.door().await?;
        let gateway = site.gateway(0, store.addr)?;
        gateway.wait_ready().await?;
        Ok(Self { _site: site, server, gateway, fast: watch::Sender::new(false) })
    }

    /// Sends a request over a connection whose receive buffer takes little.
    async fn send(&self, more: &str) -> Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(4 << 10)?;
        let mut caller = socket.connect(self.gateway.callers).await?;
        let more = format!("Request-Deadline: 60000\r\n{more}");
        let bytes = String::from_utf8(request("GET", "/safe/a", "r-1", &more, ""))?;
        let bytes = bytes.replacen("Connection: close\r\n", "", 1);
        caller.write_all(bytes.as_bytes()).await?;
        Ok(caller)
    }

    /// Sends a request, and reads the answer slowly but steadily until `fast` is set.
    async fn call_slowly(&self, more: &str) -> Result<JoinHandle<Result<site::Answer>>> {
        let mut caller = self.send(more).await?;
        let mut read = vec![0; 1_000];
        caller.read_exact(&mut read).await?;
        let fast = self.fast.subscribe();
        Ok(tokio::spawn(async move {
            let mut piece = [0; 2_000];
            while !*fast.borrow() {
                let got = caller.read(&mut piece).await?;
                eyre::ensure!(got > 0, "the answer ended after {} bytes", read.len());
                read.extend_from_slice(&piece[..got]);
                time::sleep(Duration::from_millis(200)).await;
            }
            caller.read_to_end(&mut read).await?;
            Ok(site::parse(&read))
        }))
    }

    /// Begins a planned stop, and waits until the gateway takes no connections.
    async fn stop_accepting(&mut self) -> Result<()> {
        self.gateway.ask_to_stop();
        wait_for(async || TcpStream::connect(self.gateway.callers).await.is_err()).await
    }
}

/// Guards against a planned stop that drops what a caller has still to read of an answer that the
/// server has completed.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_callers_that_read_slowly() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let mut callers = Vec::new();
    for more in ["", "", "Connection: close\r\n"] {
        callers.push(fixture.call_slowly(more).await?);
    }
    expect_that!(fixture.server.got().len(), eq(3));
    fixture.stop_accepting().await?;
    // Time in which a connection would be found idle.
    time::sleep(Duration::from_secs(1)).await;
    fixture.fast.send_replace(true);
    for caller in callers {
        let reply = caller.await??;
        expect_that!((reply.status, reply.body.len()), eq((200, ANSWER_LEN)));
    }
    fixture.gateway.ended().await
}

/// Guards against a stop that waits for the rest of a head until the end of the grace time, when
/// there is no time left for the request.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_drops_connections_without_a_whole_head() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let mut silent = TcpStream::connect(fixture.gateway.callers).await?;
    let mut partial = TcpStream::connect(fixture.gateway.callers).await?;
    partial.write_all(b"GET /safe/a HTTP/1.1\r\nHost: ").await?;
    // Keeps the gateway from ending.
    let slow = fixture.call_slowly("").await?;
    fixture.stop_accepting().await?;
    for idle in [&mut silent, &mut partial] {
        let mut read = Vec::new();
        let ended = time::timeout(SOON, idle.read_to_end(&mut read)).await;
        expect_that!(ended.is_ok(), eq(true));
        expect_that!(read.len(), eq(0));
    }
    fixture.fast.send_replace(true);
    expect_that!(slow.await??.body.len(), eq(ANSWER_LEN));
    fixture.gateway.ended().await
}

/// Guards against a cut of a caller that pauses while it reads, when its server has completed the
/// answer and the gateway holds all of it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_for_a_caller_that_pauses() -> Result<()> {
    let mut fixture = Fixture::start().await?;
    let mut caller = fixture.send("").await?;
    let mut read = vec![0; 1_000];
    caller.read_exact(&mut read).await?;
    fixture.gateway.ask_to_stop();
    time::sleep(Duration::from_millis(2_800)).await;
    // The connection may have been reset.
    let _ = caller.read_to_end(&mut read).await;
    let reply = site::parse(&read);
    expect_that!((reply.status, reply.body.len()), eq((200, ANSWER_LEN)));
    fixture.gateway.ended().await
}
