//! Guards against giving up answers that a server still makes: neither the silence of its sidecar
//! nor a pause of its own is a failure of the server.

use crate::gateway::{Script, TestFixture, answer, chunk, last_chunk, start_fixture, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Message, ServerReport};
use mastweir_core::gateway::LoadReport;
use mastweir_test_support::{
    scripted::{Act, Got, Scripted},
    site::{Answer, exchange, request, route, wait_for},
};
use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    task::{AbortHandle, JoinHandle},
    time,
};

/// Interval of events, shorter than any bound on silence.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the passes of a server's group; twelve without an event make a stream silent.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Longer than any bound on silence.
const PAUSE: Duration = Duration::from_millis(2_500);

fn event(number: u32) -> String {
    format!("id: {number}\ndata: a\n\n")
}

fn events(numbers: RangeInclusive<u32>) -> Vec<Act> {
    events_at(numbers, EVENT_INTERVAL)
}

fn events_at(numbers: RangeInclusive<u32>, interval: Duration) -> Vec<Act> {
    numbers.flat_map(|number| [chunk(&event(number)), Act::Wait(interval)]).collect()
}

fn whole(last: u32) -> String {
    (1..=last).map(event).collect()
}

/// A stream of eight events with a pause in the middle.
fn paused_stream(got: &Got) -> Vec<Act> {
    let paused = vec![Act::Wait(PAUSE)];
    [vec![stream_head(got)], events(1..=4), paused, events(5..=8), vec![last_chunk()]].concat()
}

/// Sends the reports of a server's sidecar to a gateway, unless it is silenced.
async fn report(
    gateway: SocketAddr,
    server: SocketAddr,
    is_reporting: Arc<AtomicBool>,
) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let start = time::Instant::now();
    loop {
        if is_reporting.load(Ordering::SeqCst) {
            let passes = start.elapsed().as_millis() / PASS_INTERVAL.as_millis();
            let pass = u64::try_from(passes)?;
            let load = LoadReport { running: 1, group_open: true, pass, ..LoadReport::default() };
            let report = Message::Report(ServerReport { server, load, coordinator: None });
            socket.send_to(&postcard::to_stdvec(&report)?, gateway).await?;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// A gateway whose servers have sidecars, each of which can be silenced.
struct Reporting {
    fixture: TestFixture,
    is_reporting: Vec<Arc<AtomicBool>>,
    reports: Vec<AbortHandle>,
}

impl Drop for Reporting {
    fn drop(&mut self) {
        self.reports.iter().for_each(AbortHandle::abort);
    }
}

impl Reporting {
    /// Starts the servers, and waits until the gateway relies on the reports of their sidecars.
    async fn start(scripts: Vec<Script>) -> Result<Self> {
        let fixture = start_fixture(scripts).await?;
        let (mut is_reporting, mut reports) = (Vec::new(), Vec::new());
        for server in &fixture.servers {
            let flag = Arc::new(AtomicBool::new(true));
            let task = report(fixture.site.internal(0), server.addr, flag.clone());
            reports.push(tokio::spawn(task).abort_handle());
            is_reporting.push(flag);
        }
        time::sleep(Duration::from_millis(2_600)).await;
        Ok(Self { fixture, is_reporting, reports })
    }

    fn call(&self, method: &str, path: &str, id: &str) -> JoinHandle<Result<Answer>> {
        let bytes = request(method, path, id, "", "");
        let callers: SocketAddr = self.fixture.gateway.callers;
        tokio::spawn(async move { exchange(callers, &bytes).await })
    }

    /// Waits until a server has got a request, and silences its sidecar. Returns the server.
    async fn silence_sidecar(&self) -> Result<usize> {
        let servers = &self.fixture.servers;
        wait_for(async || servers.iter().any(|server| !server.got().is_empty())).await?;
        let server = servers.iter().position(|server| !server.got().is_empty()).unwrap_or(0);
        self.is_reporting[server].store(false, Ordering::SeqCst);
        Ok(server)
    }

    /// Silences all sidecars for a while.
    async fn restart_sidecars(&self) {
        self.is_reporting.iter().for_each(|flag| flag.store(false, Ordering::SeqCst));
        time::sleep(Duration::from_millis(1_200)).await;
        self.is_reporting.iter().for_each(|flag| flag.store(true, Ordering::SeqCst));
    }

    /// Waits until a server has got a certain request, and silences its sidecar.
    async fn silence_server_of(&self, id: &str) -> Result<()> {
        let servers = &self.fixture.servers;
        let has =
            |server: &Scripted| server.got().iter().any(|got| got.header("request-id") == Some(id));
        wait_for(async || servers.iter().any(has)).await?;
        let server = servers.iter().position(has).unwrap_or(0);
        self.is_reporting[server].store(false, Ordering::SeqCst);
        Ok(())
    }

    fn request_count(&self) -> usize {
        self.fixture.servers.iter().map(|server| server.got().len()).sum()
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_at_their_servers_while_sidecars_restart() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| [vec![stream_head(got)], events(1..=50), vec![last_chunk()]].concat())
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let calls = (0..6).map(|number| site.call("POST", "/stream/a", &format!("r-{number}")));
    let calls: Vec<_> = calls.collect();
    site.restart_sidecars().await;
    for call in calls {
        let reply = call.await??;
        expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(50).as_str())));
    }
    expect_that!(site.request_count(), eq(6));
    Ok(())
}

/// Passes that a group made before the last event of a stream say nothing about the stream.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn passes_before_the_last_event_do_not_make_a_stream_silent() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| {
            let events = events_at(1..=8, Duration::from_millis(400));
            [vec![stream_head(got)], events, vec![last_chunk()]].concat()
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let mut calls = Vec::new();
    for number in 0..6 {
        calls.push(site.call("POST", "/stream/a", &format!("r-{number}")));
        time::sleep(Duration::from_millis(70)).await;
    }
    site.restart_sidecars().await;
    for call in calls {
        let reply = call.await??;
        expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    }
    expect_that!(site.request_count(), eq(6));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_no_other_server_resumes_is_not_cut_for_a_pause() -> Result<()> {
    let site = Reporting::start(vec![Box::new(paused_stream)]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    site.silence_sidecar().await?;
    let reply = call.await??;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_goes_on_first_is_not_taken_from_its_server() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| match got.header("last-event-id") {
            Some(_) => vec![stream_head(got), Act::Hang],
            None => paused_stream(got),
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    let first = site.silence_sidecar().await?;
    let other = &site.fixture.servers[1 - first];
    let reply = call.await??;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    let got = other.got();
    let resumed: Vec<_> = got.iter().map(|got| got.header("last-event-id")).collect();
    expect_that!(resumed, eq(&vec![Some("4")]));
    wait_for(async || other.left() == 1).await?;
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_server_is_resumed_elsewhere() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| match got.header("last-event-id") {
            Some(_) => [vec![stream_head(got)], events(5..=8), vec![last_chunk()]].concat(),
            None => [vec![stream_head(got)], events(1..=4), vec![Act::Hang]].concat(),
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    let first = site.silence_sidecar().await?;
    let reply = call.await??;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    // The silent server is told that its caller has left.
    wait_for(async || site.fixture.servers[first].left() == 1).await?;
    expect_that!(site.request_count(), eq(2));
    Ok(())
}

/// A server may need longer for its answer than its sidecar for a restart.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_no_other_server_makes_is_awaited() -> Result<()> {
    let script: Script = Box::new(|got| vec![Act::Wait(PAUSE), answer(got, "200 OK", "slow")]);
    let site = Reporting::start(vec![script]).await?;
    let call = site.call("GET", "/safe/a", "r-1");
    site.silence_sidecar().await?;
    let reply = call.await??;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "slow")));
    expect_that!(site.request_count(), eq(1));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_comes_first_wins() -> Result<()> {
    let is_second = Arc::new(AtomicBool::new(false));
    let script = || -> Script {
        let is_second = is_second.clone();
        Box::new(move |got| match is_second.swap(true, Ordering::SeqCst) {
            true => vec![Act::Hang],
            false => vec![Act::Wait(PAUSE), answer(got, "200 OK", "first")],
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let call = site.call("GET", "/safe/a", "r-1");
    let first = site.silence_sidecar().await?;
    let reply = call.await??;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "first")));
    wait_for(async || site.fixture.servers[1 - first].left() == 1).await?;
    expect_that!(site.request_count(), eq(2));
    Ok(())
}

/// A server states that it did not run a request.
fn refusal(got: &Got) -> Act {
    let id = got.header("request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    );
    Act::Send(head.into_bytes())
}

/// Returns the script of a server that plays its part in the order in which servers get requests.
fn in_order(order: &Arc<AtomicUsize>, parts: fn(usize, &Got) -> Vec<Act>) -> Script {
    let order = order.clone();
    Box::new(move |got| match got.header("request-id") {
        Some("r-1") => parts(order.fetch_add(1, Ordering::SeqCst), got),
        _ => vec![answer(got, "200 OK", "other")],
    })
}

/// Sends requests that are answered, of which each adds to the budget of retries.
async fn earn_retries(site: &Reporting) -> Result<()> {
    for number in 0..60 {
        expect_that!(site.call("GET", "/safe/a", &format!("o-{number}")).await??.status, eq(200));
    }
    Ok(())
}

/// A server that was asked as well may refuse, which says nothing about the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn refused_backup_is_followed_by_another() -> Result<()> {
    let order = Arc::new(AtomicUsize::new(0));
    let parts = |number: usize, got: &Got| match number {
        0 => vec![Act::Hang],
        1 => vec![refusal(got)],
        _ => vec![answer(got, "200 OK", "third")],
    };
    let scripts = (0..3).map(|_| in_order(&order, parts)).collect();
    let site = Reporting::start(scripts).await?;
    earn_retries(&site).await?;
    let call = site.call("GET", "/safe/a", "r-1");
    site.silence_server_of("r-1").await?;
    let reply = time::timeout(Duration::from_secs(6), call).await???;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "third")));
    Ok(())
}

/// The failure of a server that was asked as well does not end an answer that another still makes.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn failed_backup_does_not_replace_the_first_answer() -> Result<()> {
    let order = Arc::new(AtomicUsize::new(0));
    let parts = |number: usize, got: &Got| match number {
        0 => vec![Act::Wait(PAUSE), answer(got, "200 OK", "first")],
        _ => vec![answer(got, "500 Internal Server Error", "failed")],
    };
    let scripts = (0..2).map(|_| in_order(&order, parts)).collect();
    let site = Reporting::start(scripts).await?;
    earn_retries(&site).await?;
    let call = site.call("GET", "/safe/a", "r-1");
    site.silence_server_of("r-1").await?;
    let reply = call.await??;
    expect_that!((reply.status, reply.body.as_str()), eq((200, "first")));
    Ok(())
}

/// That no server could resume a stream at first does not mean that none can later.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_silent_server_is_resumed_once_another_is_there() -> Result<()> {
    let parts = |got: &Got| match got.header("last-event-id") {
        Some(_) => [vec![stream_head(got)], events(5..=8), vec![last_chunk()]].concat(),
        None => [vec![stream_head(got)], events(1..=4), vec![Act::Hang]].concat(),
    };
    let site = Reporting::start(vec![Box::new(parts)]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    site.silence_sidecar().await?;
    time::sleep(Duration::from_millis(1_200)).await;
    let server = Scripted::start(parts).await?;
    site.fixture.site.list("i-1", &server, "ready");
    let reply = time::timeout(Duration::from_secs(6), call).await???;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    Ok(())
}

/// A server that was to resume a stream may fall silent as well.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_at_a_silent_server_is_resumed_elsewhere() -> Result<()> {
    let order = Arc::new(AtomicUsize::new(0));
    let parts = |number: usize, got: &Got| match number {
        0 => [vec![stream_head(got)], events(1..=4), vec![Act::Reset]].concat(),
        1 => vec![Act::Hang],
        _ => [vec![stream_head(got)], events(5..=8), vec![last_chunk()]].concat(),
    };
    let scripts = (0..3).map(|_| in_order(&order, parts)).collect();
    let site = Reporting::start(scripts).await?;
    let mut streams = route("/stream/", "streaming");
    streams["max_attempts"] = 3.into();
    site.fixture.site.configure(2, &[streams, route("/safe/", "safe")]);
    time::sleep(Duration::from_millis(1_000)).await;
    earn_retries(&site).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    let servers = &site.fixture.servers;
    let resumed =
        |server: &Scripted| server.got().iter().any(|got| got.header("last-event-id") == Some("4"));
    wait_for(async || servers.iter().any(resumed)).await?;
    let at = servers.iter().position(resumed).unwrap_or(0);
    site.is_reporting[at].store(false, Ordering::SeqCst);
    let reply = time::timeout(Duration::from_secs(6), call).await???;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    Ok(())
}

/// A server that crashes under a stream that it was to resume is suspected like any other.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn crash_of_a_resuming_server_is_noticed() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| match got.header("last-event-id") {
            Some(_) => vec![stream_head(got), Act::End],
            None => [vec![stream_head(got)], events(1..=4), vec![Act::Hang]].concat(),
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    site.silence_sidecar().await?;
    let _ = time::timeout(Duration::from_secs(6), call).await??;
    time::sleep(Duration::from_secs(2)).await;
    let gateway = &site.fixture.gateway;
    expect_that!(gateway.metric("mastweir_servers_ended_total").await?, eq(1));
    Ok(())
}

/// A server that closes an answer without a length before its first event has not ended a stream.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_of_a_resuming_server_does_not_end_a_stream() -> Result<()> {
    let script = || -> Script {
        Box::new(|got| match got.header("last-event-id") {
            Some(_) => {
                let id = got.header("request-id").unwrap_or_default();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
                     Content-Type: text/event-stream\r\n\r\n"
                );
                vec![Act::Send(head.into_bytes()), Act::Close]
            }
            None => paused_stream(got),
        })
    };
    let site = Reporting::start(vec![script(), script()]).await?;
    let call = site.call("POST", "/stream/a", "r-1");
    site.silence_sidecar().await?;
    let reply = call.await??;
    expect_that!((reply.whole, reply.body.as_str()), eq((true, whole(8).as_str())));
    Ok(())
}
