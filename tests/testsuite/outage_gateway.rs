//! Guards against gateways that hold first attempts during an outage, refuse retries that could wait
//! for its end, or change anything where all requests are equally urgent.

use crate::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Message, ServerReport};
use mastweir_core::gateway::LoadReport;
use mastweir_test_support::{
    Served,
    scripted::{Act, Scripted},
    site::{Answer, Running, Site, exchange, request, route, wait_for},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{net::UdpSocket, time};

/// What the sidecar reports, and whether the gateway is cut off.
#[derive(Default)]
struct State {
    is_open: AtomicBool,
    is_full: AtomicBool,
    is_cut: AtomicBool,
}

/// A gateway, a server, and reports on whether its group is stalled.
struct World {
    site: Site,
    _store: Served,
    gateway: Running,
    server: Scripted,
    state: Arc<State>,
    sent: AtomicU32,
}

/// Objective of the routes; a fifth of it is the usual wait, which exceeds that of a busy machine.
const OBJECTIVE_MS: u64 = 3_000;
const USUAL_WAIT: Duration = Duration::from_millis(OBJECTIVE_MS / 5);
const FIRST_MS: u64 = 4_800;
const RETRY_MS: u64 = 3_900;
/// Longer than the usual wait.
const OPEN_AFTER: Duration = Duration::from_millis(1_000);

impl World {
    /// Starts a gateway with two routes of these priorities, whose only group is then closed.
    async fn new(priorities: [u8; 2]) -> Result<Self> {
        let site = Site::new(1)?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        let server = Scripted::start(move |got| match shared.is_cut.load(Ordering::SeqCst) {
            true => vec![Act::Hang],
            false => vec![answer(got, "200 OK", "whole")],
        })
        .await?;
        site.list("i-1", &server, "ready");
        let routes = [("/a/", priorities[0]), ("/b/", priorities[1])].map(|(prefix, priority)| {
            let mut route = route(prefix, "safe");
            route["target_latency_ms"] = OBJECTIVE_MS.into();
            route["timeout_ms"] = 30_000.into();
            route["priority"] = priority.into();
            route
        });
        site.configure(1, &routes);
        let (_, store) = site.door().await?;
        let gateway = site.gateway(0, store.addr)?;
        gateway.wait_ready().await?;
        state.is_open.store(true, Ordering::SeqCst);
        let world = Self { site, _store: store, gateway, server, state, sent: AtomicU32::new(0) };
        world.report().await?;
        for prefix in ["/a/", "/b/"] {
            // From this, the gateway learns how much time first attempts have.
            expect_that!(world.call(prefix, FIRST_MS).await?.0.status, eq(200));
        }
        world.state.is_open.store(false, Ordering::SeqCst);
        wait_for(async || {
            world.call("/b/", FIRST_MS).await.is_ok_and(|(answer, _)| answer.status == 503)
        })
        .await?;
        Ok(world)
    }

    /// Reports every 50 ms from now on.
    async fn report(&self) -> Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (server, to) = (self.server.addr, self.site.internal(0));
        let state = self.state.clone();
        tokio::spawn(async move {
            loop {
                let group_open = state.is_open.load(Ordering::SeqCst);
                let running = if state.is_full.load(Ordering::SeqCst) { 100 } else { 0 };
                let load = LoadReport { group_open, running, ..LoadReport::default() };
                let report = Message::Report(ServerReport { server, load, coordinator: None });
                let bytes = postcard::to_stdvec(&report).expect("reports can be encoded");
                if !state.is_cut.load(Ordering::SeqCst) {
                    // The gateway may have ended.
                    let _ = socket.send_to(&bytes, to).await;
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        });
        Ok(())
    }

    /// Sends a request, and returns the answer and how long it took.
    async fn call(&self, prefix: &str, timeout_ms: u64) -> Result<(Answer, Duration)> {
        let id = format!("r-{}", self.sent.fetch_add(1, Ordering::SeqCst));
        let more = format!("Request-Deadline: {timeout_ms}\r\n");
        let begun = Instant::now();
        let bytes = request("POST", &format!("{prefix}x"), &id, &more, "body");
        let answer = exchange(self.gateway.callers, &bytes).await?;
        Ok((answer, begun.elapsed()))
    }

    /// Sends a request, and opens the group after a time.
    async fn call_and_open(&self, timeout_ms: u64, after: Duration) -> Result<(Answer, Duration)> {
        let open = async {
            time::sleep(after).await;
            self.state.is_open.store(true, Ordering::SeqCst);
        };
        tokio::join!(self.call("/a/", timeout_ms), open).0
    }
}

fn retry_after_s(answer: &Answer) -> Result<f64> {
    Ok(answer.header("retry-after").unwrap_or("none").parse()?)
}

/// With ranked levels, a first attempt would be held although its caller can return, and a caller
/// that returned would be lost although it could wait.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn retry_waits_out_an_outage_and_a_first_attempt_returns() -> Result<()> {
    let world = World::new([0, 2]).await?;
    let mut last = 0.6;
    for prefix in ["/a/", "/b/"] {
        let (refused, took) = world.call(prefix, FIRST_MS).await?;
        expect_that!((refused.status, took), (eq(503), lt(USUAL_WAIT)));
        let retry_after = retry_after_s(&refused)?;
        // The less urgent caller returns later.
        expect_that!(retry_after, all!(ge(last), le(FIRST_MS as f64 / 3_000.0)), "{prefix}");
        last = retry_after;
    }
    let (served, took) = world.call_and_open(RETRY_MS, OPEN_AFTER).await?;
    expect_that!((served.status, took), (eq(200), ge(OPEN_AFTER)));
    Ok(())
}

/// Where all are equally urgent, nothing changes.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn equally_urgent_callers_wait_and_return_as_before() -> Result<()> {
    let world = World::new([1, 1]).await?;
    for timeout_ms in [FIRST_MS, RETRY_MS] {
        let (refused, took) = world.call("/a/", timeout_ms).await?;
        expect_that!((refused.status, took), (eq(503), ge(USUAL_WAIT - Duration::from_millis(20))));
        expect_that!(retry_after_s(&refused)?, eq(2.5));
    }
    let (refused, _) = world.call_and_open(RETRY_MS, OPEN_AFTER).await?;
    expect_that!(refused.status, eq(503));
    Ok(())
}

/// A group that has just formed may be full for a moment, and callers that waited for it would be
/// refused because their usual wait is over.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn retry_waits_for_a_slot_after_an_outage() -> Result<()> {
    let world = World::new([0, 2]).await?;
    let state = &world.state;
    state.is_full.store(true, Ordering::SeqCst);
    let make_room = async {
        time::sleep(OPEN_AFTER + USUAL_WAIT / 2).await;
        state.is_full.store(false, Ordering::SeqCst);
    };
    let ((served, took), ()) =
        tokio::try_join!(world.call_and_open(RETRY_MS, OPEN_AFTER), async {
            make_room.await;
            Ok(())
        })?;
    expect_that!((served.status, took), (eq(200), ge(OPEN_AFTER + USUAL_WAIT / 2)));
    Ok(())
}

/// A gateway that is itself cut off hears no sidecar, and sends requests to servers by guess. It
/// would take the outage for ended, and tell callers to return too early.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn outage_lasts_while_the_gateway_is_cut_off() -> Result<()> {
    const CUT: Duration = Duration::from_millis(3_600);
    let world = World::new([0, 2]).await?;
    world.state.is_cut.store(true, Ordering::SeqCst);
    let end = Instant::now() + CUT;
    while Instant::now() < end {
        expect_that!(world.call("/a/", 200).await?.0.status, not(eq(200)));
    }
    world.state.is_cut.store(false, Ordering::SeqCst);
    // The return of its sidecars promises the end of the outage for less than this.
    time::sleep(Duration::from_millis(200)).await;
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        expect_that!(world.call("/a/", 200).await?.0.status, eq(503));
        time::sleep(Duration::from_millis(100)).await;
    }
    let (refused, _) = world.call("/a/", 24_000).await?;
    expect_that!(refused.status, eq(503));
    expect_that!(retry_after_s(&refused)?, ge(CUT.as_secs_f64() + 1.0));
    Ok(())
}
