//! Tests of evacuated halls, in the core and with gateways that the store turns away, that start
//! anew, and that learn of evacuations from other gateways.

use super::gateway::answer;
use crate::fleet::{listed, server};
use eyre::Result;
use googletest::prelude::*;
use mastweir_core::{
    gateway::{EvacuationList, Exclusion, Fleet, Homes, Refusal, Requirements, ServerState},
    revision::Revision,
    time::Uptime,
};
use mastweir_test_support::{
    scripted::Scripted,
    site::{Running, Site, exchange, request, route, wait_for, wait_within},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{sync::atomic::Ordering, time::Duration};

/// Time in which a change is in force at all gateways.
const IN_FORCE: Duration = Duration::from_secs(5);
const KIND: &str = "evacuations";

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn list(number: u64, halls: &[&str]) -> EvacuationList {
    let halls = halls.iter().map(|hall| (*hall).to_owned()).collect();
    EvacuationList { revision: Revision::new(0, number), halls }
}

fn choose(fleet: &Fleet, now: Uptime) -> std::result::Result<String, Refusal> {
    let homes = Homes::default();
    let needs =
        Requirements { service: "s", tried: &[], max_load: 9.0, gap_ms: 0.0, stream: None, homes };
    fleet.choose(needs, now, &mut SmallRng::seed_from_u64(3)).map(|server| server.id)
}

/// Returns a fleet with a server in each hall, whose id is the hall's name.
fn fleet(halls: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("north");
    let servers = halls.iter().zip(1..).map(|(hall, port)| {
        let (id, mut server) = server(hall, ServerState::Ready);
        server.hall = (*hall).to_owned();
        server.addr.set_port(port);
        (id, server)
    });
    fleet.replace(listed(5, servers.collect()), false, at(0));
    fleet
}

#[googletest::test]
fn evacuated_hall_gets_nothing_until_a_while_after_its_end() {
    let mut fleet = fleet(&["north", "south"]);
    expect_that!(fleet.replace_evacuations(list(9, &["north", "nowhere"]), at(0)), eq(true));
    expect_that!(choose(&fleet, at(1)), ok(eq("south")));
    // A request that was chosen before, and whose connection has just opened.
    expect_that!(fleet.may_send("north", false, at(1)), eq(false));
    expect_that!(fleet.exclusion("north", at(1)), some(eq(Exclusion::Evacuated)));
    // A second evacuation beside it, and both taken back.
    fleet.replace_evacuations(list(10, &["north", "south"]), at(100));
    expect_that!(choose(&fleet, at(101)), err(eq(&Refusal::NoHall)));
    fleet.replace_evacuations(list(11, &["south"]), at(200));
    expect_that!(choose(&fleet, at(201)), err(eq(&Refusal::NoHall)));
    expect_that!(choose(&fleet, at(1_200)), ok(eq("north")));
}

/// Lists arrive from several gateways and in any order; an older one takes nothing back.
#[googletest::test]
fn older_list_of_evacuations_changes_nothing() {
    let mut fleet = fleet(&["north", "south"]);
    fleet.replace_evacuations(list(9, &["north"]), at(0));
    expect_that!(fleet.replace_evacuations(list(8, &[]), at(10)), eq(false));
    expect_that!(fleet.replace_evacuations(list(9, &[]), at(10)), eq(false));
    expect_that!(choose(&fleet, at(5_000)), ok(eq("south")));
    // Taken back and set again: the delay before reopening does not end the new one.
    fleet.replace_evacuations(list(12, &[]), at(5_000));
    fleet.replace_evacuations(list(13, &["north"]), at(5_100));
    expect_that!(choose(&fleet, at(9_000)), ok(eq("south")));
}

/// A server whose entry has just gone is a last resort, but not in an evacuated hall.
#[googletest::test]
fn unlisted_server_of_an_evacuated_hall_is_no_last_resort() {
    let mut fleet = fleet(&["north"]);
    fleet.set_drain_time(Duration::from_secs(2));
    fleet.confirm_list(at(100));
    fleet.replace(listed(6, [].into()), false, at(100));
    expect_that!(choose(&fleet, at(200)), ok(eq("north")));
    fleet.replace_evacuations(list(9, &["north"]), at(200));
    expect_that!(choose(&fleet, at(200)), err(anything()));
}

struct Halls {
    site: Site,
    north: Scripted,
    south: Scripted,
}

impl Halls {
    async fn start(gateways: u8) -> Result<Self> {
        let mut site = Site::new(gateways)?;
        site.has_evacuations = true;
        let north = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
        let south = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
        for (id, server) in [("north", &north), ("south", &south)] {
            let spec = json!({ "service": "desk", "address": server.addr.to_string(), "zone": id,
                "slots": 8, "state": "ready", "warmup_left_ms": 0, "seq": 1 });
            site.platform.put("servers", id, json!({ "spec": spec }));
        }
        site.configure(1, &[route("/safe/", "safe")]);
        Ok(Self { site, north, south })
    }

    fn evacuate(&self, hall: &str) {
        self.site.platform.put(KIND, hall, json!({ "spec": {} }));
    }

    /// Returns how many of some requests through a gateway each hall got, and how many were
    /// refused.
    async fn split(&self, gateway: &Running) -> (usize, usize, usize) {
        let before = (self.north.got().len(), self.south.got().len());
        let mut refused = 0;
        for _ in 0..12 {
            let sent = exchange(gateway.callers, &request("GET", "/safe/a", "r-1", "", "")).await;
            refused += usize::from(sent.is_ok_and(|reply| reply.status == 503));
        }
        (self.north.got().len() - before.0, self.south.got().len() - before.1, refused)
    }
}

/// The store turns one gateway away, and an unreadable object lies beside the evacuation.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateway_refused_by_the_store_follows_evacuations() -> Result<()> {
    let halls = Halls::start(2).await?;
    let (_, first) = halls.site.door().await?;
    let (door, second) = halls.site.door().await?;
    let peer = halls.site.gateway(0, first.addr)?;
    let refused = halls.site.gateway(1, second.addr)?;
    peer.wait_ready().await?;
    refused.wait_ready().await?;
    door.shut.store(true, Ordering::SeqCst);
    halls.site.platform.put(KIND, "broken", json!({ "metadata": 7 }));
    halls.evacuate("north");
    let is_empty = async || halls.split(&refused).await.0 == 0 && halls.split(&peer).await.0 == 0;
    wait_within(IN_FORCE, is_empty).await?;
    halls.evacuate("south");
    wait_within(IN_FORCE, async || halls.split(&refused).await == (0, 0, 12)).await?;
    halls.site.platform.remove(KIND, "north");
    wait_within(IN_FORCE, async || halls.split(&refused).await == (12, 0, 0)).await
}

/// A gateway that starts while the store is away knows the evacuations before it is ready.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateway_knows_evacuations_before_it_is_ready() -> Result<()> {
    let halls = Halls::start(2).await?;
    halls.evacuate("north");
    let (_, first) = halls.site.door().await?;
    let (door, second) = halls.site.door().await?;
    let mut peer = halls.site.gateway(0, first.addr)?;
    peer.wait_ready().await?;
    expect_that!(halls.split(&peer).await, eq((0, 12, 0)));
    door.shut.store(true, Ordering::SeqCst);
    let mut started = halls.site.gateway(1, second.addr)?;
    started.wait_ready().await?;
    expect_that!(halls.split(&started).await, eq((0, 12, 0)));
    // Alone, and without the store, a gateway does not know and is not ready.
    started.kill().await?;
    peer.kill().await?;
    let alone = halls.site.gateway(1, second.addr)?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    expect_that!(alone.is_ready().await, eq(false));
    door.shut.store(false, Ordering::SeqCst);
    wait_for(async || alone.is_ready().await).await?;
    expect_that!(halls.split(&alone).await, eq((0, 12, 0)));
    Ok(())
}
