//! Tests that a watch which no longer hears of changes is replaced while reads that may be stale go on.
//!
//! They guard against evidence of the wrong kind: a stale read proves that the store answers, but
//! can't show a change that the watch missed until its replica has the change.

use super::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    scripted::Scripted,
    site::{Running, Site, exchange, request, route, wait_for},
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// How old stale reads are: far longer than a change may take, also on a busy machine.
const LAG: Duration = Duration::from_secs(15);
/// Until the gateways know each other, each may consider itself a watcher.
const SETTLE: Duration = Duration::from_secs(3);

async fn serves(gateway: &Running, path: &str) -> bool {
    let bytes = request("GET", path, "r-1", "", "");
    exchange(gateway.callers, &bytes).await.is_ok_and(|reply| reply.status == 200)
}

/// Loses all watches of gateways, in this order in halls, and returns how long a change then takes
/// until all of them use it.
async fn time_to_change(halls: &[&str]) -> Result<Duration> {
    let site = Site::new(u8::try_from(halls.len())?)?;
    let old = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    let new = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-0", &old, "ready");
    site.configure(1, &[route("/first/", "safe")]);
    let (_, served) = site.door().await?;
    let mut gateways = Vec::new();
    for (number, hall) in halls.iter().enumerate() {
        gateways.push(site.gateway_in(number, served.addr, hall)?);
    }
    for gateway in &gateways {
        gateway.wait_ready().await?;
    }
    time::sleep(SETTLE).await;

    let faults = &site.platform.faults;
    faults.replica_lag_ms.store(u64::try_from(LAG.as_millis())?, Ordering::SeqCst);
    faults.lost_watches.fetch_add(1, Ordering::SeqCst);
    let changed = Instant::now();
    site.list("i-0", &old, "draining");
    site.list("i-1", &new, "ready");
    site.configure(2, &[route("/second/", "safe")]);
    for gateway in &gateways {
        wait_for(async || {
            let before = new.got().len();
            serves(gateway, "/second/a").await && new.got().len() > before
        })
        .await?;
    }
    Ok(changed.elapsed())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn silent_watch_is_replaced_before_stale_reads_show_the_change() -> Result<()> {
    expect_that!(time_to_change(&["hall-a"]).await?, lt(LAG));
    Ok(())
}

/// One gateway of the fleet reads what is not stale, and tells the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn change_that_all_watches_missed_reaches_all_halls() -> Result<()> {
    let halls = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b"];
    expect_that!(time_to_change(&halls).await?, lt(LAG));
    Ok(())
}
