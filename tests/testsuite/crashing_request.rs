//! Guards against a request that crashes every server it is sent to, across attempts, gateways
//! and entries.

use crate::{
    crash_world::{Behavior, CrashWorld},
    gateway::{answer, chunk, last_chunk, stream_head},
};
use eyre::Result;
use googletest::prelude::*;
use mastweir_core::gateway::{Fingerprint, RequestParts};
use mastweir_test_support::{
    fleet::{Fleet, ServerOptions, customer, model, wait_informed},
    scripted::{Act, Got, Scripted},
    site::{Answer, HOST, exchange, request, wait_for},
};
use serde_json::json;
use std::{pin::pin, time::Duration};
use tokio::time;

/// Crashes that a request may cause, and further sends of it that are allowed.
const MAX_CRASHES: usize = 3;
const MORE_SENDS: usize = 3;
/// Time between two attempts of the caller, in which a server restarts and gateways exchange
/// reports.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Kind of the store's objects for quarantined requests.
const KIND: &str = "mastweir-quarantine";
const CRASHES: &[u8] = b"crashes";

/// Returns what a server does: it crashes under the request, in a stream after the answer's
/// head.
fn script(got: &Got, kind: &str) -> Vec<Act> {
    let crashes = got.body == CRASHES;
    match kind {
        "streaming" if crashes => vec![stream_head(got), Act::End],
        "streaming" => vec![stream_head(got), chunk("id: 1\ndata: a\n\n"), last_chunk()],
        // An error of one server predicts nothing about the next one.
        "unsafe" if crashes && got.header("request-id") == Some("c-0") => {
            vec![answer(got, "500 Internal Server Error", "")]
        }
        _ if crashes => vec![Act::End],
        _ if got.body == b"breaks" => vec![Act::Reset],
        _ => vec![answer(got, "200 OK", "whole")],
    }
}

/// Returns an installation whose servers crash under one request.
async fn start(gateways: u8, kind: &'static str) -> Result<CrashWorld> {
    start_with_objective(gateways, kind, 400).await
}

async fn start_with_objective(
    gateways: u8,
    kind: &'static str,
    objective_ms: u64,
) -> Result<CrashWorld> {
    let crashes = |got: &Got| got.body == CRASHES;
    CrashWorld::start(gateways, Behavior { kind, objective_ms, script, crashes }).await
}

/// Sends an attempt through a gateway. The query differs with each attempt.
async fn call(world: &CrashWorld, gateway: usize, id: &str, body: &str) -> Result<Answer> {
    let path = format!("/draft/a?try={id}");
    let bytes = request("POST", &path, id, "Request-Deadline: 4000\r\n", body);
    exchange(world.gateways[gateway].callers, &bytes).await
}

/// The caller sends ten attempts through three gateways in turn. Other callers are served
/// meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_quarantined_by_all_gateways_after_crashes() -> Result<()> {
    for kind in ["safe", "streaming", "unsafe"] {
        let mut world = start(3, kind).await?;
        let mut last = Answer::default();
        for attempt in 0..10 {
            last = call(&world, attempt % 3, &format!("c-{attempt}"), "crashes").await?;
            world.restart_crashed().await?;
            time::sleep(RETRY_DELAY).await;
            let other = call(&world, attempt % 3, &format!("o-{attempt}"), "harmless").await?;
            expect_that!((other.status, other.whole), eq((200, true)), "{kind} {attempt}");
        }
        expect_that!(world.crashes, all!(ge(1), le(MAX_CRASHES)), "{kind}");
        expect_that!(world.sends, le(MAX_CRASHES + MORE_SENDS), "{kind}");
        // The request has not run, and its caller is told when to come back.
        expect_that!(last.status, eq(503), "{kind}");
        expect_that!(last.header("retry-after"), some(anything()), "{kind}");
    }
    Ok(())
}

/// A gateway that starts later learns of the quarantine from the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_quarantined_by_a_gateway_started_later() -> Result<()> {
    let mut world = start(2, "safe").await?;
    for attempt in 0..2 {
        call(&world, 0, &format!("c-{attempt}"), "crashes").await?;
        world.restart_crashed().await?;
        time::sleep(RETRY_DELAY).await;
    }
    let crashes = world.crashes;
    world.gateways[1].ask_to_stop();
    world.gateways[1].ended().await?;
    let (_, served) = world.site.door().await?;
    world.gateways[1] = world.site.gateway(1, served.addr)?;
    world.gateways[1].wait_ready().await?;
    wait_for(async || call(&world, 1, "c-9", "crashes").await.is_ok_and(|last| last.status == 503))
        .await?;
    world.restart_crashed().await?;
    expect_that!(world.crashes, le(MAX_CRASHES));
    expect_that!(world.crashes, eq(crashes));
    Ok(())
}

/// The same with entries and agents: the agent reports that its engine crashed.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_quarantined_by_all_entries_after_crashes() -> Result<()> {
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
    let mut problems = Vec::new();
    let mut retry_after = None;
    for attempt in 0..6 {
        let request = client.post(format!("{}/v1/completions", fleet.url(attempt % 2))).json(&body);
        let reply: serde_json::Value =
            request.bearer_auth("quaystep").send().await?.json().await.unwrap_or_default();
        problems.push(reply["type"].as_str().unwrap_or_default().to_owned());
        retry_after = reply["retry_after"].as_u64();
        // Entries exchange heartbeats meanwhile.
        time::sleep(Duration::from_millis(1_300)).await;
    }
    let crashed = engines.iter().filter(|engine| engine.has_ended()).count();
    expect_that!(crashed, all!(ge(1), le(MAX_CRASHES)));
    expect_that!(problems.last().map(String::as_str), some(eq("urn:mastweir:problem:quarantined")));
    expect_that!(retry_after, some(eq(3_600)));
    Ok(())
}

/// A quarantined request does not wait for a free server: it is answered while an earlier
/// request still waits.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_refused_at_once_without_free_servers() -> Result<()> {
    let mut world = start_with_objective(1, "safe", 60_000).await?;
    for attempt in 0..3 {
        call(&world, 0, &format!("c-{attempt}"), "crashes").await?;
        world.restart_crashed().await?;
        time::sleep(RETRY_DELAY).await;
    }
    for (id, _) in &world.servers {
        world.site.platform.remove("servers", id);
    }
    // Servers that left the list are a last resort for a short time.
    time::sleep(RETRY_DELAY * 3).await;
    let mut waiting = pin!(call(&world, 0, "o-1", "harmless"));
    let refused = tokio::select! {
        biased;
        waited = &mut waiting => waited,
        refused = async {
            time::sleep(RETRY_DELAY).await;
            call(&world, 0, "c-9", "crashes").await
        } => refused,
    };
    let refused = refused?;
    expect_that!(refused.header("retry-after"), some(starts_with("3600")));
    expect_that!(waiting.await?.status, eq(503));
    Ok(())
}

/// Two gateways confirm one crash each at the same time, so neither has confirmed both; the
/// request is still written to the store.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_stored_when_no_gateway_confirmed_it_alone() -> Result<()> {
    let world = start(2, "unsafe").await?;
    let name = Fingerprint::of(RequestParts {
        customer: "north",
        host: HOST,
        path: "/draft/a",
        body: CRASHES,
    });
    expect_that!(call(&world, 0, "d-0", "crashes").await?.status, eq(502));
    // The first server's port is closed, and its crash is not confirmed yet.
    time::sleep(Duration::from_millis(60)).await;
    expect_that!(call(&world, 1, "d-1", "crashes").await?.status, eq(502));
    expect_that!(world.servers.iter().filter(|(_, server)| server.has_ended()).count(), eq(2));
    wait_for(async || world.site.platform.has(KIND, &name.to_string())).await?;
    Ok(())
}

/// Servers that break off answers and stay alive prove nothing: a group that lost a rank
/// breaks off all its streams.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_not_quarantined_while_servers_live() -> Result<()> {
    let mut world = start(1, "safe").await?;
    for attempt in 0..6 {
        let last = call(&world, 0, &format!("b-{attempt}"), "breaks").await?;
        expect_that!(last.status, eq(502), "{attempt}");
        // Two probes find the server alive.
        time::sleep(RETRY_DELAY).await;
    }
    world.restart_crashed().await?;
    expect_that!(world.crashes, eq(0));
    Ok(())
}

/// All gateways lose their state and read it from the store. Entries that expired are removed.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn is_quarantined_after_all_gateways_restart() -> Result<()> {
    let mut world = start(2, "unsafe").await?;
    let expired = json!({ "spec": { "ends": ["1", "2"], "finished": false, "written_s": 9 } });
    world.site.platform.put(KIND, "00000000000000ff", expired);
    for attempt in 0..3 {
        call(&world, attempt % 2, &format!("c-{attempt}"), "crashes").await?;
        world.restart_crashed().await?;
        time::sleep(RETRY_DELAY).await;
    }
    let crashes = world.crashes;
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
        expect_that!(call(&world, number, "c-9", "crashes").await?.status, eq(503));
    }
    world.restart_crashed().await?;
    expect_that!(world.crashes, all!(eq(crashes), le(MAX_CRASHES)));
    wait_for(async || !world.site.platform.has(KIND, "00000000000000ff")).await?;
    Ok(())
}
