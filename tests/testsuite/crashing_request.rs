//! A request that ends each server that runs it is sent to one server after the other.
//!
//! A caller sent a request that no server survived. The gateway that had it took it up at
//! another server, which ended as well; the caller got no answer, came back with another id
//! through another gateway, and the same happened again. Nine servers ended in 17 seconds,
//! and with each of them its whole group stood still for four.
//!
//! Whatever a gateway knew of a request was kept with the one attempt, under that attempt's
//! id, and was gone with its end: which servers had been lost under it, and that it was the
//! same one again, nobody kept and nobody told the others.
//!
//! Two lines of one gateway settled it, the ninth end, `sends` 1 as for a request never seen:
//!
//! ```text
//! {"msg":"request","sends":1,"outcome":"streaming","status":200,"took_ms":163}
//! {"msg":"stream left its server","last_event":null,"reason":"broken"}
//! ```
//!
//! and beside the server, 75 ms later, `model server lost`, `Connection refused`. Three other
//! requests that waited there broke within the same millisecond, so a broken attempt alone
//! proves nothing.

use crate::gateway::{answer, chunk, last_chunk, stream_head};
use eyre::Result;
use googletest::prelude::*;
use mastweir_core::gateway::{Fingerprint, RequestParts};
use mastweir_test_support::{
    fleet::{Fleet, ServerOptions, customer, model, wait_informed},
    scripted::{Act, Got, Scripted},
    site::{Answer, HOST, Running, Site, exchange, request, route, wait_for},
};
use serde_json::json;
use std::{pin::pin, time::Duration};
use tokio::time;

/// Servers at a time.
const SERVERS: usize = 6;
/// Ends of servers that a request is given, and sends of it on top once it has had them.
const ENDS: usize = 3;
const SENDS_MORE: usize = 3;
/// Time between two attempts of the caller: a server is back by then, and gateways have told
/// each other.
const COMES_AGAIN: Duration = Duration::from_millis(700);

/// Kind of the store's objects that keep what is held back.
const KIND: &str = "mastweir-quarantine";
const CRASHES: &[u8] = b"crashes";

/// What a server does: it ends under that request, of a stream behind the head of its answer.
fn script(got: &Got, kind: &str) -> Vec<Act> {
    let ends = got.body == CRASHES;
    match kind {
        "streaming" if ends => vec![stream_head(got), Act::End],
        "streaming" => vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), last_chunk()],
        // That a server failed it tells nothing of the next one.
        "unsafe" if ends && got.header("request-id") == Some("c-0") => {
            vec![answer(got, "500 Internal Server Error", "")]
        }
        _ if ends => vec![Act::End],
        _ if got.body == b"breaks" => vec![Act::Reset],
        _ => vec![answer(got, "200 OK", "whole")],
    }
}

/// An installation whose servers end under one request, and come back as others.
struct World {
    site: Site,
    kind: &'static str,
    gateways: Vec<Running>,
    servers: Vec<(String, Scripted)>,
    /// Servers that were started.
    started: usize,
    /// Servers that ended.
    ends: usize,
    /// Times that a server got the request.
    sends: usize,
}

impl World {
    async fn new(gateways: u8, kind: &'static str) -> Result<Self> {
        Self::with_objective(gateways, kind, 400).await
    }

    async fn with_objective(gateways: u8, kind: &'static str, objective_ms: u64) -> Result<Self> {
        let mut world = Self {
            site: Site::new(gateways)?,
            kind,
            gateways: Vec::new(),
            servers: Vec::new(),
            started: 0,
            ends: 0,
            sends: 0,
        };
        for _ in 0..SERVERS {
            world.start_server().await?;
        }
        let mut route = route("/draft/", kind);
        route["target_latency_ms"] = objective_ms.into();
        world.site.configure(1, &[route]);
        let (_, served) = world.site.door().await?;
        for number in 0..usize::from(gateways) {
            world.gateways.push(world.site.gateway(number, served.addr)?);
        }
        for gateway in &world.gateways {
            gateway.wait_ready().await?;
        }
        Ok(world)
    }

    /// Starts a server under an id that stands nowhere else.
    async fn start_server(&mut self) -> Result<()> {
        let id = format!("i-{}", self.started);
        self.started += 1;
        let kind = self.kind;
        let server = Scripted::start(move |got| script(got, kind)).await?;
        self.site.list(&id, &server, "ready");
        self.servers.push((id, server));
        Ok(())
    }

    /// Replaces those that ended, as the platform does.
    async fn restart_ended(&mut self) -> Result<()> {
        let (ended, left): (Vec<_>, Vec<_>) =
            self.servers.drain(..).partition(|(_, server)| server.has_ended());
        self.servers = left;
        for (id, server) in ended {
            self.sends += server.got().iter().filter(|got| got.body == CRASHES).count();
            self.ends += 1;
            self.site.platform.remove("servers", &id);
            self.start_server().await?;
        }
        Ok(())
    }

    async fn call(&self, gateway: usize, id: &str, body: &str) -> Result<Answer> {
        // The query is each attempt's own.
        let path = format!("/draft/a?try={id}");
        let bytes = request("POST", &path, id, "Request-Deadline: 4000\r\n", body);
        exchange(self.gateways[gateway].callers, &bytes).await
    }
}

/// The caller comes ten times, in turn through three gateways, and each time as another
/// attempt. Others are served meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_held_back_by_all_gateways_once_servers_have_ended_under_it() -> Result<()> {
    for kind in ["safe", "streaming", "unsafe"] {
        let mut world = World::new(3, kind).await?;
        let mut last = Answer::default();
        for attempt in 0..10 {
            last = world.call(attempt % 3, &format!("c-{attempt}"), "crashes").await?;
            world.restart_ended().await?;
            time::sleep(COMES_AGAIN).await;
            let other = world.call(attempt % 3, &format!("o-{attempt}"), "harmless").await?;
            expect_that!((other.status, other.whole), eq((200, true)), "{kind} {attempt}");
        }
        expect_that!(world.ends, all!(ge(1), le(ENDS)), "{kind}");
        expect_that!(world.sends, le(ENDS + SENDS_MORE), "{kind}");
        // It has not run, and its caller is told when to come back.
        expect_that!(last.status, eq(503), "{kind}");
        expect_that!(last.header("retry-after"), some(anything()), "{kind}");
    }
    Ok(())
}

/// A gateway that starts later hears of it from the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_held_back_by_a_gateway_that_starts_later() -> Result<()> {
    let mut world = World::new(2, "safe").await?;
    for attempt in 0..2 {
        world.call(0, &format!("c-{attempt}"), "crashes").await?;
        world.restart_ended().await?;
        time::sleep(COMES_AGAIN).await;
    }
    let ends = world.ends;
    world.gateways[1].ask_to_stop();
    world.gateways[1].ended().await?;
    let (_, served) = world.site.door().await?;
    world.gateways[1] = world.site.gateway(1, served.addr)?;
    world.gateways[1].wait_ready().await?;
    wait_for(async || world.call(1, "c-9", "crashes").await.is_ok_and(|last| last.status == 503))
        .await?;
    world.restart_ended().await?;
    expect_that!(world.ends, le(ENDS));
    expect_that!(world.ends, eq(ends));
    Ok(())
}

/// The same at entries, whose servers have agents: an engine that ends is told by its agent.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_held_back_by_all_entries_once_engines_have_ended_under_it() -> Result<()> {
    let mut fleet = Fleet::new(31).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    let mut engines = Vec::new();
    for name in ["s1", "s2", "s3", "s4", "s5"] {
        let engine = Scripted::start(|got| match String::from_utf8_lossy(&got.body) {
            body if body.contains("crashes") => vec![Act::End],
            _ => vec![answer(got, "404 Not Found", "")],
        })
        .await?;
        let options = ServerOptions::assistant(name);
        fleet.add_agent(&options, &format!("http://{}", engine.addr)).await?;
        engines.push(engine);
    }
    fleet.add_entry("e1", "north").await?;
    fleet.add_entry("e2", "north").await?;
    for entry in &fleet.entries {
        wait_informed(&reqwest::Client::new(), entry.http, engines.len()).await?;
    }
    let client = reqwest::Client::new();
    let body = json!({"model": "assistant", "prompt": "crashes", "stream": true});
    let mut told = Vec::new();
    let mut back = None;
    for attempt in 0..6 {
        let request = client.post(format!("{}/v1/completions", fleet.url(attempt % 2))).json(&body);
        let reply: serde_json::Value =
            request.bearer_auth("quaystep").send().await?.json().await.unwrap_or_default();
        told.push(reply["type"].as_str().unwrap_or_default().to_owned());
        back = reply["retry_after"].as_u64();
        // A heartbeat goes from entry to entry.
        time::sleep(Duration::from_millis(1_300)).await;
    }
    let ended = engines.iter().filter(|engine| engine.has_ended()).count();
    expect_that!(ended, all!(ge(1), le(ENDS)));
    expect_that!(told.last().map(String::as_str), some(eq("urn:mastweir:problem:quarantined")));
    expect_that!(back, some(eq(3_600)));
    Ok(())
}

/// Where no server could take it, it does not wait for one: it is answered while a request
/// that came before it still waits, by an objective that lets both wait to their end.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_refused_at_once_where_no_server_has_room() -> Result<()> {
    let mut world = World::with_objective(1, "safe", 60_000).await?;
    for attempt in 0..3 {
        world.call(0, &format!("c-{attempt}"), "crashes").await?;
        world.restart_ended().await?;
        time::sleep(COMES_AGAIN).await;
    }
    for (id, _) in &world.servers {
        world.site.platform.remove("servers", id);
    }
    // Those that left the list are a last resort for a moment.
    time::sleep(COMES_AGAIN * 3).await;
    let mut waits = pin!(world.call(0, "o-1", "harmless"));
    let refused = tokio::select! {
        biased;
        waited = &mut waits => waited,
        refused = async {
            time::sleep(COMES_AGAIN).await;
            world.call(0, "c-9", "crashes").await
        } => refused,
    };
    let refused = refused?;
    expect_that!(refused.header("retry-after"), some(starts_with("3600")));
    expect_that!(waits.await?.status, eq(503));
    Ok(())
}

/// Two gateways prove one end each at the same time, so neither has proved both; it lies in
/// the store all the same.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_kept_where_no_gateway_proved_it_alone() -> Result<()> {
    let world = World::new(2, "unsafe").await?;
    let name = Fingerprint::of(RequestParts {
        customer: "north",
        host: HOST,
        path: "/draft/a",
        body: CRASHES,
    });
    expect_that!(world.call(0, "d-0", "crashes").await?.status, eq(502));
    // The first server's port is closed, and its end not proved.
    time::sleep(Duration::from_millis(60)).await;
    expect_that!(world.call(1, "d-1", "crashes").await?.status, eq(502));
    expect_that!(world.servers.iter().filter(|(_, server)| server.has_ended()).count(), eq(2));
    wait_for(async || world.site.platform.has(KIND, &name.to_string())).await?;
    Ok(())
}

/// Servers that break answers off and live on prove nothing: a group that lost a rank does so
/// with all its streams.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_not_held_back_where_servers_live_on() -> Result<()> {
    let mut world = World::new(1, "safe").await?;
    for attempt in 0..6 {
        let last = world.call(0, &format!("b-{attempt}"), "breaks").await?;
        expect_that!(last.status, eq(502), "{attempt}");
        // Two looks find the server alive.
        time::sleep(COMES_AGAIN).await;
    }
    world.restart_ended().await?;
    expect_that!(world.ends, eq(0));
    Ok(())
}

/// All gateways lose what they know, and find it in the store; what nobody has asked for
/// during an hour they clear away.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_held_back_when_all_gateways_start_anew() -> Result<()> {
    let mut world = World::new(2, "unsafe").await?;
    let lapsed = json!({ "spec": { "ends": ["1", "2"], "finished": false, "written_s": 9 } });
    world.site.platform.put(KIND, "00000000000000ff", lapsed);
    for attempt in 0..3 {
        world.call(attempt % 2, &format!("c-{attempt}"), "crashes").await?;
        world.restart_ended().await?;
        time::sleep(COMES_AGAIN).await;
    }
    let ends = world.ends;
    for gateway in &mut world.gateways {
        gateway.ask_to_stop();
        gateway.ended().await?;
    }
    let (_, served) = world.site.door().await?;
    for number in 0..2 {
        world.gateways[number] = world.site.gateway(number, served.addr)?;
    }
    for gateway in &world.gateways {
        gateway.wait_ready().await?;
    }
    for number in 0..2 {
        expect_that!(world.call(number, "c-9", "crashes").await?.status, eq(503));
    }
    world.restart_ended().await?;
    expect_that!(world.ends, all!(eq(ends), le(ENDS)));
    wait_for(async || !world.site.platform.has(KIND, "00000000000000ff")).await?;
    Ok(())
}
