//! A gateway goes on with an old configuration behind an outage of the store.
//!
//! Symptom: a change that the store had acknowledged was not in force 2 s later. All
//! eight gateways handled requests by version 15 until 14.7 s; the store had
//! acknowledged versions 18 to 28 from 11.66 to 12.12 s.
//!
//! Sequence: version 15 came at 4.92 s, and each gateway placed its next watch 0.2 s
//! later, all within 3 ms. The store had just fallen silent. It was back before
//! 11.66 s, but those watches were lost, and the gateways waited for them to the end.
//!
//! Cause: that the store can be reached was judged by the watch alone, and a watch that
//! is lost looks like one that waits. Its own end, 8 s and 1.5 s for the answer, was the
//! only sign. The other gateways could not tell either: the change before had made
//! them all place their watches at one moment.
//!
//! Settled by `configuration adopted` at 4.922 s and `store lost`, `no answer in time`,
//! at 14.624 s: 0.2 s and 9.5 s lie between. No line of any gateway says that the store
//! answered or failed in between, and the store counted one call a gateway without an
//! answer.

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

/// What the store acknowledges behind an outage is in force long before the watch that
/// the outage took would have ended by itself.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_that_an_outage_took_is_placed_anew() -> Result<()> {
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

    // The watch that waits brings the second version; the next one is lost.
    let silent = &site.platform.faults.silent;
    silent.store(true, Ordering::SeqCst);
    site.configure(2, &[route("/second/", "safe")]);
    wait_for(async || serves("/second/a").await && lost_watch().is_some()).await?;
    let lost_for = lost_watch().unwrap_or_default();
    silent.store(false, Ordering::SeqCst);

    let back = Instant::now();
    site.configure(3, &[route("/third/", "safe")]);
    wait_for(async || serves("/third/a").await).await?;
    // A waiting watch asks for seconds; one that is placed anew takes none.
    expect_that!(back.elapsed(), lt(lost_for));
    Ok(())
}

/// The same cause at an entry, whose watches stay open for five minutes: all entries that
/// watch lose theirs in one outage, so no other entry tells either.
#[googletest::test]
#[tokio::test]
async fn a_table_watch_that_an_outage_took_is_opened_anew() -> Result<()> {
    let mut fleet = Fleet::new(21).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.add_entry("e0", "north").await?;
    fleet.add_entry("e1", "south").await?;
    let faults = &fleet.platform.faults;
    let behind =
        || fleet.entries.iter().map(|entry| entry.table_version()).min().unwrap_or_default();
    wait_for(async || behind() > 0).await?;

    faults.lost_watches.fetch_add(1, Ordering::SeqCst);
    faults.silent.store(true, Ordering::SeqCst);
    time::sleep(Duration::from_secs(4)).await;
    faults.silent.store(false, Ordering::SeqCst);
    fleet.row("caroni", &customer("caroni", 1.0));
    let newest = behind() + 1;
    wait_for(async || behind() >= newest).await?;
    Ok(())
}
