//! Guards against requests to servers that asked for a backoff or stated that they are
//! leaving. A server that refuses everything looks idle, so choosing by load alone would
//! prefer it.

use crate::gateway::{answer, chunk, last_chunk, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    Served,
    asked::Asked,
    fleet::{Fleet, ServerOptions, customer, model, wait_informed},
    scripted::{Act, Got, Scripted},
    site::{Answer, Running, Site, exchange, request, route},
};
use serde_json::json;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::time;

/// Backoff that busy servers ask for, in seconds.
const BACKOFF_S: u64 = 3;
/// Time after which a leaving server gets no more requests, as in the site's settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Pause between two requests of the callers.
const PAUSE: Duration = Duration::from_millis(40);
/// An objective that would let a request wait for longer than the backoff.
const PATIENT_MS: u64 = 60_000;

const KINDS: [&str; 3] = ["safe", "unsafe", "streaming"];

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Healthy,
    /// Refuses everything and asks for a backoff.
    Busy,
    /// Serves, and states that it is leaving.
    Leaving,
}

/// State of the servers and callers.
#[derive(Debug, Default)]
struct State {
    /// When callers sent requests, and through which gateway.
    sent: HashMap<String, (usize, Instant)>,
    /// What each server asked for.
    asked: HashMap<usize, Asked<usize>>,
    broken: Vec<String>,
}

#[derive(Clone, Debug, Default)]
struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request at a server, which answers by its behavior.
    fn arrived(&self, server: usize, behavior: Behavior, got: &Got) {
        let now = Instant::now();
        let mut state = self.lock();
        let id = got.header("request-id").unwrap_or_default();
        let Some((gateway, sent)) = state.sent.get(id).copied() else { return };
        let asked = state.asked.entry(server).or_default();
        let broken = asked.arrived(gateway, sent, DRAIN, now);
        match behavior {
            Behavior::Healthy => (),
            Behavior::Busy => asked.told_pause(gateway, Duration::from_secs(BACKOFF_S), now),
            Behavior::Leaving => asked.told_leaving(gateway, now),
        }
        state.broken.extend(broken.map(|what| format!("server {server}: {what}")));
    }
}

fn script(got: &Got, behavior: Behavior, kind: &str) -> Vec<Act> {
    let id = got.header("request-id").unwrap_or_default();
    match behavior {
        Behavior::Busy => vec![Act::Send(
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Retry-After: {BACKOFF_S}\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes(),
        )],
        Behavior::Leaving => vec![Act::Send(
            format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
                 Server-Leaving: 1\r\nContent-Length: 5\r\n\r\nwhole"
            )
            .into_bytes(),
        )],
        Behavior::Healthy if kind == "streaming" => {
            vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), last_chunk()]
        }
        Behavior::Healthy => vec![answer(got, "200 OK", "whole")],
    }
}

struct World {
    _site: Site,
    store: Served,
    gateways: Vec<Running>,
    servers: Vec<Scripted>,
    state: SharedState,
    sent: usize,
}

impl World {
    async fn new(kind: &'static str, objective_ms: u64, behaviors: &[Behavior]) -> Result<Self> {
        let site = Site::new(2)?;
        let state = SharedState::default();
        let mut servers = Vec::new();
        for (number, behavior) in behaviors.iter().copied().enumerate() {
            let shared = state.clone();
            let server = Scripted::start(move |got| {
                shared.arrived(number, behavior, got);
                script(got, behavior, kind)
            });
            let server = server.await?;
            site.list(&format!("i-{number}"), &server, "ready");
            servers.push(server);
        }
        let mut route = route("/draft/", kind);
        route["target_latency_ms"] = objective_ms.into();
        site.configure(1, &[route]);
        let (_, store) = site.door().await?;
        let gateways = (0..2).map(|number| site.gateway(number, store.addr));
        let gateways: Vec<Running> = gateways.collect::<Result<_>>()?;
        for gateway in &gateways {
            gateway.wait_ready().await?;
        }
        Ok(Self { _site: site, store, gateways, servers, state, sent: 0 })
    }

    /// Sends a request, through the gateways in turn.
    async fn call(&mut self) -> Result<Answer> {
        let gateway = self.sent % self.gateways.len();
        let id = format!("r-{}", self.sent);
        self.sent += 1;
        self.state.lock().sent.insert(id.clone(), (gateway, Instant::now()));
        let bytes = request("POST", "/draft/a", &id, "Request-Deadline: 4000\r\n", "body");
        exchange(self.gateways[gateway].callers, &bytes).await
    }

    /// Sends requests one after the other for a time. Returns the statuses of the answers.
    async fn calls(&mut self, duration: Duration) -> Result<Vec<u16>> {
        let end = Instant::now() + duration;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(self.call().await?.status);
            time::sleep(PAUSE).await;
        }
        Ok(statuses)
    }

    fn broken(&self) -> Vec<String> {
        self.state.lock().broken.clone()
    }

    fn got(&self, server: usize) -> usize {
        self.servers[server].got().len()
    }
}

/// One of four servers asks for a backoff. The others serve every caller meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_no_requests_during_backoff() -> Result<()> {
    for kind in KINDS {
        let behaviors = [Behavior::Busy, Behavior::Healthy, Behavior::Healthy, Behavior::Healthy];
        let mut world = World::new(kind, 400, &behaviors).await?;
        // Each gateway is told again after the end of the first backoff.
        let statuses = world.calls(Duration::from_secs(BACKOFF_S * 2)).await?;
        expect_that!(statuses, each(eq(&200)), "{kind}");
        expect_that!(world.broken(), is_empty(), "{kind}");
        expect_that!(world.got(0), ge(2), "{kind}: got no request");
    }
    Ok(())
}

/// All servers ask for a backoff: callers are refused at once with the time of its end,
/// although the objective would let them wait for longer.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_refused_when_all_back_off() -> Result<()> {
    for kind in KINDS {
        let mut world = World::new(kind, PATIENT_MS, &[Behavior::Busy, Behavior::Busy]).await?;
        let statuses = world.calls(Duration::from_millis(600)).await?;
        expect_that!(statuses, each(eq(&503)), "{kind}");
        let before = (world.got(0), world.got(1));
        let last = world.call().await?;
        expect_that!(last.status, eq(503), "{kind}");
        expect_that!((world.got(0), world.got(1)), eq(before), "{kind}");
        let back: f64 = last.header("retry-after").unwrap_or("none").parse()?;
        expect_that!(back, all!(gt(0.0), le(BACKOFF_S as f64 + 1.0)), "{kind}");
        // Callers that come back at that time find a server.
        time::sleep(Duration::from_secs_f64(back)).await;
        for _ in 0..world.gateways.len() {
            world.call().await?;
        }
        expect_that!(world.got(0) + world.got(1), gt(before.0 + before.1), "{kind}");
        expect_that!(world.broken(), is_empty(), "{kind}");
    }
    Ok(())
}

/// The store is down, and its last list shows the server as ready. The server states in its
/// answers that it is leaving.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_requests_without_the_store() -> Result<()> {
    let mut world = World::new("safe", 400, &[Behavior::Leaving, Behavior::Healthy]).await?;
    world.store.shutdown.clone().notify();
    let statuses = world.calls(DRAIN * 2).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.broken(), is_empty());
    expect_that!(world.got(0), ge(1), "got no request");
    Ok(())
}

/// The same with entries and agents: an engine that asks its agent for a backoff gets no
/// requests meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn engine_gets_no_requests_during_backoff() -> Result<()> {
    let mut fleet = Fleet::new(31).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    let asked = |got: &Got| got.head.starts_with("POST");
    let mut engines = Vec::new();
    for (name, behavior) in [("s1", Behavior::Busy), ("s2", Behavior::Healthy)] {
        let engine = Scripted::start(move |got| match behavior {
            Behavior::Busy if asked(got) => script(got, behavior, "safe"),
            _ => vec![answer(got, "404 Not Found", "")],
        })
        .await?;
        let options = ServerOptions::assistant(name);
        fleet.add_agent(&options, &format!("http://{}", engine.addr)).await?;
        engines.push(engine);
    }
    fleet.add_entry("e1", "north").await?;
    let client = reqwest::Client::new();
    wait_informed(&client, fleet.entries[0].http, engines.len()).await?;
    let body = json!({"model": "assistant", "prompt": "hello", "stream": true});
    let end = Instant::now() + Duration::from_secs(BACKOFF_S) - PAUSE * 2;
    let (mut refused, mut last) = (0, Instant::now());
    while last < end {
        let request = client.post(format!("{}/v1/completions", fleet.url(0))).json(&body);
        let reply = request.bearer_auth("quaystep").send().await?;
        refused += u32::from(reply.status().as_u16() == 503);
        time::sleep(PAUSE).await;
        last = Instant::now();
    }
    let reached = engines[0].got().iter().filter(|got| asked(got)).count();
    // The first request is refused; the other engine answers the others.
    expect_that!(reached, all!(ge(1), le(2)));
    expect_that!(refused, le(2));
    Ok(())
}
