//! Guards against lasting refusals of sound requests during which servers crashed for other
//! reasons.

use crate::{
    crash_world::{Behavior, CrashWorld},
    gateway::answer,
};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    ops::quarantine::{QuarantineOptions, lift, list},
    platform::quarantine::{self, QuarantineReport, Subject},
};
use mastweir_core::{
    gateway::{Fingerprint, RequestParts, SuspectReport},
    revision::Revision,
};
use mastweir_test_support::{
    scripted::{Act, Got},
    site::{Answer, HOST, exchange, request, wait_for, wait_within},
};
use serde_json::json;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time;

/// Kind of the store's objects for quarantines.
const KIND: &str = "mastweir-quarantine";
/// Time in which gateways confirm a crash and report it.
const REPORT_DELAY: Duration = Duration::from_millis(900);

/// Generous bound of the 20 s in which gateways learn that a quarantine was lifted.
const LIFT_MAX: Duration = Duration::from_secs(60);
/// Time in which gateways learn of a server that has started.
const LIST_DELAY: Duration = Duration::from_millis(100);

/// Headers are no part of a request's identity, so they decide whether a server crashes under it.
fn crashes(got: &Got) -> bool {
    got.header("crash").is_some()
}

fn script(got: &Got, _kind: &str) -> Vec<Act> {
    if crashes(got) { vec![Act::End] } else { vec![answer(got, "200 OK", "whole")] }
}

async fn start(gateways: u8) -> Result<CrashWorld> {
    let behavior = Behavior { kind: "unsafe", objective_ms: 400, script, crashes };
    CrashWorld::start(gateways, behavior).await
}

/// A request of a caller.
struct Sent<'a> {
    method: &'a str,
    query: &'a str,
    body: &'a str,
}

async fn call(
    world: &CrashWorld,
    gateway: usize,
    sent: &Sent<'_>,
    crashes: bool,
) -> Result<Answer> {
    let path = format!("/draft/status{}", sent.query);
    let more = if crashes { "Request-Deadline: 4000\r\nCrash: 1\r\n" } else { "" };
    let bytes = request(sent.method, &path, "c-1", more, sent.body);
    exchange(world.gateways[gateway].callers, &bytes).await
}

/// Sends a request during which a server crashes, and replaces the server.
async fn crash(world: &mut CrashWorld, gateway: usize, sent: &Sent<'_>) -> Result<()> {
    call(world, gateway, sent, true).await?;
    world.restart_crashed().await?;
    time::sleep(REPORT_DELAY).await;
    Ok(())
}

/// Servers crashed during requests for other things, with the same path and no body.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_another_method_or_query_are_served() -> Result<()> {
    let mut world = start(2).await?;
    for (gateway, query) in ["?thing=1", "?thing=2"].into_iter().enumerate() {
        crash(&mut world, gateway, &Sent { method: "GET", query, body: "" }).await?;
    }
    for method in ["PUT", "POST"] {
        crash(&mut world, 0, &Sent { method, query: "?thing=3", body: "" }).await?;
    }
    expect_that!(world.crashes, eq(4));
    for gateway in 0..2 {
        for query in ["?thing=1", "?thing=2", "?thing=3", ""] {
            let sent = Sent { method: "GET", query, body: "" };
            expect_that!(call(&world, gateway, &sent, false).await?.status, eq(200), "{query}");
        }
        let sent = Sent { method: "PUT", query: "?thing=3", body: "" };
        expect_that!(call(&world, gateway, &sent, false).await?.status, eq(200), "{gateway}");
    }
    Ok(())
}

/// All servers crash during a request that many callers send, for another reason. All gateways lose
/// their state, and read the quarantine from the store.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_again_by_servers_that_complete_it() -> Result<()> {
    let mut world = start(2).await?;
    let sent = Sent { method: "POST", query: "", body: "popular" };
    expect_that!(call(&world, 0, &sent, false).await?.status, eq(200));
    let (path, body) = ("/draft/status", sent.body.as_bytes());
    let name = Fingerprint::of(RequestParts { customer: "north", host: HOST, path, body });
    while world.crashes < 8 {
        call(&world, 0, &sent, true).await?;
        world.restart_crashed().await?;
        time::sleep(LIST_DELAY).await;
    }
    wait_for(async || world.site.platform.has(KIND, &name.to_string())).await?;
    for gateway in &mut world.gateways {
        gateway.kill().await?;
    }
    let (_, served) = world.site.door().await?;
    for number in 0..world.gateways.len() {
        world.gateways[number] = world.site.gateway(number, served.addr)?;
    }
    for gateway in &world.gateways {
        gateway.wait_ready().await?;
    }
    let is_served = async |gateway| {
        call(&world, gateway, &sent, false).await.is_ok_and(|answer| answer.status == 200)
    };
    for gateway in 0..2 {
        wait_for(async || is_served(gateway).await).await?;
    }
    // Not only as a trial.
    for gateway in 0..2 {
        for _ in 0..5 {
            expect_that!(is_served(gateway).await, eq(true));
        }
    }
    Ok(())
}

/// An operator lifts the quarantine of a request that was never answered. Gateways go on.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn operator_lifts_the_quarantine_of_a_request() -> Result<()> {
    let mut world = start(2).await?;
    let sent = Sent { method: "POST", query: "", body: "order" };
    for gateway in 0..2 {
        crash(&mut world, gateway, &sent).await?;
    }
    expect_that!(call(&world, 0, &sent, false).await?.status, eq(503));
    let (path, body) = ("/draft/status", sent.body.as_bytes());
    let name = Fingerprint::of(RequestParts { customer: "north", host: HOST, path, body });
    wait_for(async || world.site.platform.has(KIND, &name.to_string())).await?;
    let (_, served) = world.site.door().await?;
    let options = QuarantineOptions { store: served.addr };
    let is_listed = async || {
        let listed = list(&options).await.unwrap_or_default();
        listed.iter().any(|known| known.subject == Subject::Request(name))
    };
    expect_that!(is_listed().await, eq(true));
    lift(&options, &name.to_string()).await?;
    expect_that!(is_listed().await, eq(false));
    for gateway in 0..2 {
        wait_within(LIFT_MAX, async || {
            call(&world, gateway, &sent, false).await.is_ok_and(|answer| answer.status == 200)
        })
        .await?;
    }
    // A watcher that has not heard of it may write the quarantine again.
    let spec = json!({ "ends": ["1", "2"], "finished": false, "written_s": now_s()? });
    world.site.platform.put(KIND, &name.to_string(), json!({ "spec": spec }));
    wait_within(LIFT_MAX, async || !world.site.platform.has(KIND, &name.to_string())).await?;
    expect_that!(call(&world, 0, &sent, false).await?.status, eq(200));
    Ok(())
}

fn now_s() -> Result<u64> {
    Ok(SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs())
}

/// Gateways write a quarantine again that the store lacks.
#[googletest::test]
fn stored_quarantine_keeps_the_age_of_its_last_crash() -> Result<()> {
    let crashes = vec![Fingerprint(1), Fingerprint(2)];
    let age_ms = 1_800_000;
    let report = SuspectReport { request: Fingerprint(3), crashes, completed: false, age_ms };
    let spec = quarantine::body(&QuarantineReport::Request(report))?.to_string();
    let name = Fingerprint(3).to_string();
    let read = quarantine::read(&name, Revision::default(), &spec)?.report;
    let read_ms = match read {
        QuarantineReport::Request(report) => Some(report.age_ms),
        QuarantineReport::Part(_) => None,
    };
    expect_that!(read_ms, some(ge(age_ms - 1_000)));
    Ok(())
}
