//! Tests of what gateways get from the platform's store, and from each other without it.

use super::gateway::{answer, start_fixture};
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::Scripted,
    site::{Site, exchange, request, route, wait_for},
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_refused_by_the_store_fetches_from_a_peer() -> Result<()> {
    let site = Site::new(2)?;
    let server = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-0", &server, "ready");
    site.configure(1, &[route("/old/", "safe")]);
    let (_, first) = site.door().await?;
    let (door, second) = site.door().await?;
    let peer = site.gateway(0, first.addr)?;
    let refused = site.gateway(1, second.addr)?;
    peer.wait_ready().await?;
    refused.wait_ready().await?;
    door.shut.store(true, Ordering::SeqCst);
    site.configure_with_keys(2, &[route("/new/", "safe")], &["another"]);
    let status = async |path: &str| {
        let bytes = request("GET", path, "r-1", "", "");
        exchange(refused.callers, &bytes).await.map_or(0, |reply| reply.status)
    };
    // The new configuration has another route and no longer has the key.
    wait_for(async || status("/new/a").await == 401).await?;
    expect_that!(status("/old/a").await, eq(404));
    drop(refused);
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_without_the_store_from_a_peer() -> Result<()> {
    let site = Site::new(2)?;
    let server = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-0", &server, "ready");
    site.configure(1, &[route("/safe/", "safe")]);
    let (_, first) = site.door().await?;
    let (door, second) = site.door().await?;
    door.shut.store(true, Ordering::SeqCst);
    let peer = site.gateway(0, first.addr)?;
    peer.wait_ready().await?;
    let started = site.gateway(1, second.addr)?;
    started.wait_ready().await?;
    let reply = exchange(started.callers, &request("GET", "/safe/a", "r-1", "", "")).await?;
    expect_that!(reply.status, eq(200));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_store_without_history_is_listed_again() -> Result<()> {
    let world = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    world.site.platform.set_down(true);
    world.site.configure(2, &[route("/second/", "safe")]);
    world.site.platform.forget_history();
    world.site.platform.set_down(false);
    let bytes = request("GET", "/second/a", "r-1", "", "");
    wait_for(async || exchange(world.gateway.callers, &bytes).await.is_ok_and(|r| r.status == 200))
        .await
}

/// The platform bills each call of each gateway.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_start_together_cost_few_calls() -> Result<()> {
    const STARTED: u64 = 40;
    let world = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let (before, began) = (world.site.platform.calls(), Instant::now());
    for number in 0..STARTED {
        world.site.list(&format!("j-{number}"), &world.servers[0], "ready");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    world.site.configure(2, &[route("/second/", "safe")]);
    let bytes = request("GET", "/second/a", "r-1", "", "");
    let served =
        async || exchange(world.gateway.callers, &bytes).await.is_ok_and(|r| r.status == 200);
    wait_for(served).await?;
    let calls = u128::from(world.site.platform.calls() - before);
    // One call per pause between watches, and the calls for the configuration.
    expect_that!(calls, le(5 + began.elapsed().as_millis() / 200));
    Ok(())
}
