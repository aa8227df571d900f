//! Tests that a watch of the store that was lost in an outage is replaced at once.
//!
//! They guard against a watch that was lost without an error and looks like one that waits: the
//! gateway or entry would not see changes until the watch times out.

use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    fleet::{Fleet, customer, model},
    scripted::{Act, Scripted},
    site::{Site, exchange, request, route, wait_for},
};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

/// A change after the outage is in force before the lost watch would have timed out.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_lost_in_an_outage_is_replaced() -> Result<()> {
    let site = Site::new(1)?;
    let server = Scripted::start(|_| {
        let bytes = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\
                     Content-Length: 0\r\n\r\n";
        vec![Act::Send(bytes.into())]
    })
    .await?;
    site.list("i-0", &server, "ready");
    site.configure(1, &[route("/first/", "safe")]);
    let (door, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let serves = async |path: &str| {
        let bytes = request("GET", path, "r-1", "", "");
        exchange(gateway.callers, &bytes).await.is_ok_and(|reply| reply.status == 200)
    };
    let lost_watch = || {
        let lost = door.lost();
        lost.iter().filter(|lost| lost.kind == "config").filter_map(|lost| lost.wait).max()
    };

    // The waiting watch returns the second version; the next one is lost.
    let silent = &site.platform.faults.silent;
    silent.store(true, Ordering::SeqCst);
    site.configure(2, &[route("/second/", "safe")]);
    wait_for(async || serves("/second/a").await && lost_watch().is_some()).await?;
    let lost_for = lost_watch().unwrap_or_default();
    silent.store(false, Ordering::SeqCst);

    let ended = Instant::now();
    site.configure(3, &[route("/third/", "safe")]);
    wait_for(async || serves("/third/a").await).await?;
    // The lost watch would have waited for this long.
    expect_that!(ended.elapsed(), lt(lost_for));
    Ok(())
}

/// The same at entries, whose watches stay open for minutes. All entries lose theirs in one
/// outage, so none gets the change from another.
#[googletest::test]
#[tokio::test]
async fn a_table_watch_lost_in_an_outage_is_reopened() -> Result<()> {
    let mut fleet = Fleet::new(21).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.add_entry("e0", "north").await?;
    fleet.add_entry("e1", "south").await?;
    let faults = &fleet.platform.faults;
    let oldest =
        || fleet.entries.iter().map(|entry| entry.table_version()).min().unwrap_or_default();
    wait_for(async || oldest() > 0).await?;

    faults.lost_watches.fetch_add(1, Ordering::SeqCst);
    faults.silent.store(true, Ordering::SeqCst);
    time::sleep(Duration::from_secs(4)).await;
    faults.silent.store(false, Ordering::SeqCst);
    fleet.row("caroni", &customer("caroni", 1.0));
    let newest = oldest() + 1;
    wait_for(async || oldest() >= newest).await?;
    Ok(())
}
