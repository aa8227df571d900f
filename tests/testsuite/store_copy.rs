//! The store comes back from an older copy: what was written since is gone, and revisions
//! are given out again.
//!
//! A gateway compares what it hears by the store's revision, and takes it to rise for ever.
//! Behind such a return it would believe its old list until revisions have caught up: a new
//! server gets nothing, and one that left is sent to. A watch from a revision that was given
//! out again skips what changed meanwhile, without a sign.

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

/// Time that a server takes for a request.
const ANSWER: Duration = Duration::from_millis(30);
/// Time in which a server's heartbeats bring its entry back.
const HEARTBEATS: Duration = Duration::from_millis(300);

/// Two gateways, of which the second may be turned away by the store.
struct World {
    site: Site,
    gateways: Vec<Running>,
    servers: Vec<Scripted>,
    /// Servers that got a request since this was last emptied.
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

    /// Servers that a gateway's requests reach.
    async fn reached_by(&self, gateway: usize) -> HashSet<usize> {
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).clear();
        // At the same time: one behind the other would all go to one idle server.
        let asked = (0..self.servers.len() * 4).map(async |number| {
            let bytes = request("GET", "/safe/a", &format!("r-{number}"), "", "");
            // Whether it is served is told by who was reached.
            let _ = exchange(self.gateways[gateway].callers, &bytes).await;
        });
        join_all(asked).await;
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Servers that requests reach through either gateway in the time in which heartbeats
    /// come back.
    async fn reached_meanwhile(&self) -> HashSet<usize> {
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

    /// The store is away for a moment, and comes back as it was when the copy was made.
    async fn restore(&self, copy: Copy) {
        self.site.platform.set_down(true);
        time::sleep(Duration::from_millis(200)).await;
        self.site.platform.restore(copy);
        self.site.platform.set_down(false);
    }

    /// Raises the revision without a change that matters.
    fn fill(&self, count: usize) {
        (0..count).for_each(|at| {
            self.site.platform.put("others", "filler", json!({ "spec": at }));
        });
    }
}

/// The new server's entry has a lower revision than the list before.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_came_behind_it_is_used() -> Result<()> {
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

/// The copy still has it as ready, until its next heartbeat writes its state again.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_said_it_leaves_gets_nothing_by_an_entry_from_before() -> Result<()> {
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
    expect_that!(world.reached_meanwhile().await, eq(&HashSet::from([0])));
    Ok(())
}

/// Its entry is in the copy again, and nobody writes it: it lapses by itself.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_is_gone_gets_nothing_by_an_entry_from_before() -> Result<()> {
    let mut world = World::new(2).await?;
    world.list(0, "ready");
    world.list(1, "ready");
    world.start().await?;
    let copy = world.site.platform.copy();
    world.site.platform.remove("servers", "i-1");
    for gateway in [0, 1] {
        world.wait_reached(gateway, &[0]).await?;
    }
    // As a last resort it would still be tried for a moment.
    time::sleep(Duration::from_millis(1_600)).await;
    world.restore(copy).await;
    expect_that!(world.reached_meanwhile().await, eq(&HashSet::from([0])));
    Ok(())
}

/// Servers that the copy lacks write themselves again; meanwhile they are used on.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_the_copy_lacks_are_used_on() -> Result<()> {
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

/// One that the store turns away hears of it from the other, whose revisions are lower now.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_turned_away_hears_of_it() -> Result<()> {
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
    // The third server writes itself no more.
    world.wait_reached(1, &[0, 1]).await
}

/// The store has an older configuration for a while; a gateway that starts meanwhile hears of
/// the newer one from another before it takes callers.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_meanwhile_is_not_ready_by_what_is_old() -> Result<()> {
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
    // The route is gone, and the key was taken away.
    expect_that!(status(&started, "/safe/a").await, eq(404));
    expect_that!(status(&started, "/second/a").await, eq(401));
    Ok(())
}

/// A quarantine that the copy lacks is written again, by one of the gateways that know it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn what_only_gateways_write_is_written_again() -> Result<()> {
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

/// Another write has the revision from which the watch waits, so nothing tells that what
/// came before it was lost.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_under_a_revision_that_was_given_out_again_is_in_force() -> Result<()> {
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
    // No outage is seen: the copy is back between two calls.
    world.site.platform.restore(copy);
    world.site.configure(3, &[route("/safe/", "safe"), route("/third/", "safe")]);
    world.fill(60);
    wait_for(async || serves(0, "/third/a").await && serves(1, "/third/a").await).await?;
    Ok(())
}
