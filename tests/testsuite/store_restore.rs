//! Tests of gateways after the store was restored from an older copy: later writes are lost, and
//! revisions are used again.
//!
//! They guard against a gateway that keeps its old list because its revision is higher, and
//! against a watch that skips changes because it waits from a reused revision.

use crate::gateway::answer;
use eyre::Result;
use futures_util::future::join_all;
use googletest::prelude::*;
use mastweir_test_support::{
    Served,
    doors::Door,
    platform::Copy,
    scripted::{Act, Scripted},
    site::{Running, Site, exchange, request, route, wait_for},
};
use serde_json::json;
use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time;

/// Time that a server takes to answer.
const ANSWER: Duration = Duration::from_millis(30);
/// Time for the servers' heartbeats to write their entries again.
const HEARTBEATS: Duration = Duration::from_millis(300);

/// Two gateways, each with its own access to the store.
struct World {
    site: Site,
    gateways: Vec<Running>,
    servers: Vec<Scripted>,
    /// Servers that got a request since the set was last cleared.
    reached: Arc<Mutex<HashSet<usize>>>,
    doors: Vec<(Arc<Door>, Served)>,
}

impl World {
    async fn new(servers: usize) -> Result<Self> {
        let site = Site::new(2)?;
        let reached = Arc::new(Mutex::new(HashSet::new()));
        let mut all = Vec::new();
        for number in 0..servers {
            let reached = reached.clone();
            let server = Scripted::start(move |got| {
                reached.lock().unwrap_or_else(PoisonError::into_inner).insert(number);
                vec![Act::Wait(ANSWER), answer(got, "200 OK", "")]
            });
            all.push(server.await?);
        }
        site.configure(1, &[route("/safe/", "safe")]);
        let doors = vec![site.door().await?, site.door().await?];
        Ok(Self { site, gateways: Vec::new(), servers: all, reached, doors })
    }

    async fn start(&mut self) -> Result<()> {
        for (number, (_, served)) in self.doors.iter().enumerate() {
            self.gateways.push(self.site.gateway(number, served.addr)?);
        }
        for gateway in &self.gateways {
            gateway.wait_ready().await?;
        }
        Ok(())
    }

    fn list(&self, number: usize, state: &str) {
        self.site.list(&format!("i-{number}"), &self.servers[number], state);
    }

    /// Returns the servers that a gateway sends requests to.
    async fn reached_by(&self, gateway: usize) -> HashSet<usize> {
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).clear();
        // At the same time, since sequential requests would all go to one idle server.
        let requests = (0..self.servers.len() * 4).map(async |number| {
            let bytes = request("GET", "/safe/a", &format!("r-{number}"), "", "");
            // The servers record the requests that reach them.
            let _ = exchange(self.gateways[gateway].callers, &bytes).await;
        });
        join_all(requests).await;
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the servers that either gateway sends requests to over six times [`HEARTBEATS`].
    async fn reached_in_heartbeats(&self) -> HashSet<usize> {
        let mut all = HashSet::new();
        for _ in 0..6 {
            for gateway in [0, 1] {
                all.extend(self.reached_by(gateway).await);
            }
            time::sleep(HEARTBEATS).await;
        }
        all
    }

    async fn wait_reached(&self, gateway: usize, servers: &[usize]) -> Result<()> {
        let wanted: HashSet<usize> = servers.iter().copied().collect();
        wait_for(async || self.reached_by(gateway).await == wanted).await
    }

    /// Restores the store from a copy during a short outage.
    async fn restore(&self, copy: Copy) {
        self.site.platform.set_down(true);
        time::sleep(Duration::from_millis(200)).await;
        self.site.platform.restore(copy);
        self.site.platform.set_down(false);
    }

    /// Raises the revision by changes that gateways ignore.
    fn fill(&self, count: usize) {
        (0..count).for_each(|at| {
            self.site.platform.put("others", "filler", json!({ "spec": at }));
        });
    }
}

/// The new server's entry has a lower revision than the previous list.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_started_after_the_restore_is_used() -> Result<()> {
    let mut world = World::new(2).await?;
    world.list(0, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.fill(500);
    world.site.configure(2, &[route("/safe/", "safe"), route("/more/", "safe")]);
    world.list(0, "ready");
    world.wait_reached(0, &[0]).await?;
    world.restore(copy).await;
    world.list(1, "ready");
    for gateway in [0, 1] {
        world.wait_reached(gateway, &[0, 1]).await?;
    }
    Ok(())
}

/// The copy has the server as ready until its next heartbeat.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_entry_does_not_revive_a_leaving_server() -> Result<()> {
    let mut world = World::new(2).await?;
    world.list(0, "ready");
    world.list(1, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.list(1, "draining");
    for gateway in [0, 1] {
        world.wait_reached(gateway, &[0]).await?;
    }
    world.restore(copy).await;
    world.list(0, "ready");
    expect_that!(world.reached_in_heartbeats().await, eq(&HashSet::from([0])));
    Ok(())
}

/// The copy has the entry of a server that is gone; it expires later.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_entry_does_not_revive_a_removed_server() -> Result<()> {
    let mut world = World::new(2).await?;
    world.list(0, "ready");
    world.list(1, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.site.platform.remove("servers", "i-1");
    for gateway in [0, 1] {
        world.wait_reached(gateway, &[0]).await?;
    }
    // For a moment a gateway may still use the server as a last resort.
    time::sleep(Duration::from_millis(1_600)).await;
    world.restore(copy).await;
    expect_that!(world.reached_in_heartbeats().await, eq(&HashSet::from([0])));
    Ok(())
}

/// Servers that the copy lacks write their entries again later.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_missing_from_the_copy_stay_in_use() -> Result<()> {
    let mut world = World::new(2).await?;
    world.list(0, "ready");
    let copy = world.site.platform.copy();
    world.list(1, "ready");
    world.start().await?;
    world.restore(copy).await;
    time::sleep(HEARTBEATS).await;
    for gateway in [0, 1] {
        expect_that!(world.reached_by(gateway).await, eq(&HashSet::from([0, 1])));
    }
    world.list(1, "ready");
    time::sleep(Duration::from_millis(2_500)).await;
    for gateway in [0, 1] {
        expect_that!(world.reached_by(gateway).await, eq(&HashSet::from([0, 1])));
    }
    Ok(())
}

/// The gateway gets the restored list from its peer, although the revision is lower.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_refused_by_the_store_learns_of_the_restore() -> Result<()> {
    let mut world = World::new(3).await?;
    world.list(0, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.fill(500);
    world.list(2, "ready");
    world.wait_reached(1, &[0, 2]).await?;
    world.doors[1].0.shut.store(true, Ordering::SeqCst);
    world.restore(copy).await;
    world.list(1, "ready");
    // The third server does not write its entry again.
    world.wait_reached(1, &[0, 1]).await
}

/// Guards against a gateway that serves with the older configuration of a restored store while
/// its peers have a newer one.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_gateway_waits_for_the_newer_configuration() -> Result<()> {
    let mut world = World::new(1).await?;
    world.list(0, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.site.configure_with_keys(2, &[route("/second/", "safe")], &["another"]);
    let status = async |gateway: &Running, path: &str| {
        let bytes = request("GET", path, "r-1", "", "");
        exchange(gateway.callers, &bytes).await.map_or(0, |answer| answer.status)
    };
    for gateway in &world.gateways {
        wait_for(async || status(gateway, "/safe/a").await == 404).await?;
    }
    world.restore(copy).await;
    world.gateways[1].ask_to_stop();
    world.gateways[1].ended().await?;
    let started = world.site.gateway(1, world.doors[1].1.addr)?;
    started.wait_ready().await?;
    // The newer configuration has neither the route nor the key.
    expect_that!(status(&started, "/safe/a").await, eq(404));
    expect_that!(status(&started, "/second/a").await, eq(401));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_missing_from_the_copy_is_written_again() -> Result<()> {
    const KIND: &str = "mastweir-quarantine";
    let mut world = World::new(1).await?;
    world.list(0, "ready");
    let copy = world.site.platform.copy();
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let spec = json!({ "spec": { "ends": ["1", "2"], "finished": false, "written_s": now } });
    world.site.platform.put(KIND, "00000000000000ff", spec);
    world.start().await?;
    world.restore(copy).await;
    expect_that!(world.site.platform.has(KIND, "00000000000000ff"), eq(false));
    wait_for(async || world.site.platform.has(KIND, "00000000000000ff")).await
}

/// Another write has the revision that the watch waits from, so the store reports no gap.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_under_a_reused_revision_is_in_force() -> Result<()> {
    let mut world = World::new(1).await?;
    world.list(0, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.fill(20);
    world.site.configure(2, &[route("/safe/", "safe"), route("/second/", "safe")]);
    let serves = async |gateway: usize, path: &str| {
        let bytes = request("GET", path, "r-1", "", "");
        let answer = exchange(world.gateways[gateway].callers, &bytes).await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    wait_for(async || serves(0, "/second/a").await && serves(1, "/second/a").await).await?;
    // The restore falls between two calls, so no outage shows.
    world.site.platform.restore(copy);
    world.site.configure(3, &[route("/safe/", "safe"), route("/third/", "safe")]);
    world.fill(60);
    wait_for(async || serves(0, "/third/a").await && serves(1, "/third/a").await).await?;
    Ok(())
}
