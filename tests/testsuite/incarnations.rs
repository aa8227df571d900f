//! Guards against mixing up incarnations of a server that restarts under the same id: state of
//! the previous one is dropped, and late reports of it are ignored.

use super::{
    fleet::{listed, server},
    gateway::answer,
};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    gateway::message::{Poll, RankStatus},
    platform::engine::Selections,
    sidecar::{aggregation::SelectionHistory, rank_views::RankViews},
};
use mastweir_core::{
    gateway::{Fleet, Homes, LoadReport, Requirements, Server, ServerState},
    switch::map_change::RankState,
    time::Uptime,
};
use mastweir_test_support::{
    scripted::{Act, Scripted},
    site::{Site, exchange, request, route, wait_for},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use std::{collections::BTreeMap, net::IpAddr, time::Duration};

const FIRST: u64 = 1_790_000_000_000;
/// Smaller than the first, as if the clock was set back before the restart.
const SECOND: u64 = FIRST - 50_000;

fn servers(incarnations: &[(&str, u64)]) -> BTreeMap<String, Server> {
    let one = |(id, incarnation): &(&str, u64)| {
        let (id, server) = server(id, ServerState::Ready);
        (id, Server { incarnation: *incarnation, ..server })
    };
    incarnations.iter().map(one).collect()
}

fn fleet_of(servers: &[(&str, u64)]) -> Fleet {
    let mut fleet = Fleet::new("here");
    fleet.replace(listed(5, self::servers(servers)), false, Uptime::default());
    fleet.set_receiving(Some(Uptime::default()));
    fleet
}

fn report(running: u32, incarnation: u64) -> LoadReport {
    LoadReport { running, group_open: true, pass_ms: 50, incarnation, ..LoadReport::default() }
}

fn load_milli(fleet: &Fleet, at: Uptime) -> Option<u32> {
    let needs = Requirements {
        service: "s",
        tried: &[],
        max_load: 10.0,
        gap_ms: 0.0,
        stream: None,
        homes: Homes::default(),
    };
    let mut rng = SmallRng::seed_from_u64(3);
    fleet.choose(needs, at, &mut rng).ok().map(|found| found.load_milli)
}

#[googletest::test]
fn a_new_incarnation_starts_without_load_and_is_used_at_once() {
    let mut fleet = fleet_of(&[("a", FIRST)]);
    let at = Uptime::from_millis(3_000);
    fleet.record_report("a", report(9, FIRST), at);
    (0..4).for_each(|_| fleet.record_sent("a", at));
    (0..3).for_each(|_| fleet.record_ended("a", FIRST, true, at));
    expect_that!(load_milli(&fleet, at), some(ge(900)));
    // The list states a new incarnation, which has none of the old load and failures.
    fleet.replace(listed(6, servers(&[("a", SECOND)])), false, at);
    expect_that!(load_milli(&fleet, at), some(eq(0)));
    expect_that!(fleet.in_flight(), eq(0));
    // Requests to the previous incarnation that end now don't count.
    fleet.record_sent("a", at);
    fleet.record_ended("a", FIRST, true, at);
    expect_that!(fleet.in_flight(), eq(1));
}

#[googletest::test]
fn late_reports_of_the_previous_incarnation_are_ignored() {
    let mut fleet = fleet_of(&[("a", FIRST)]);
    let at = Uptime::from_millis(3_000);
    fleet.record_report("a", report(2, FIRST), at);
    // The sidecar reports the new incarnation before the list does.
    fleet.record_report("a", report(1, SECOND), at + Duration::from_millis(50));
    expect_that!(load_milli(&fleet, at + Duration::from_millis(60)), some(eq(100)));
    // A late report and a late list.
    fleet.record_report("a", report(9, FIRST), at + Duration::from_millis(70));
    fleet.replace(listed(6, servers(&[("a", FIRST)])), false, at + Duration::from_millis(80));
    expect_that!(load_milli(&fleet, at + Duration::from_millis(90)), some(eq(100)));
}

#[googletest::test]
fn requests_of_a_previous_incarnation_are_stuck_at_once() {
    let mut fleet = fleet_of(&[("a", FIRST), ("b", FIRST)]);
    let at = Uptime::from_millis(3_000);
    for id in ["a", "b"] {
        fleet.record_report(id, report(1, FIRST), at);
    }
    fleet.record_sent("a", at);
    expect_that!(fleet.is_stuck("a", FIRST, at), eq(false));
    fleet.record_report("a", report(0, SECOND), at);
    expect_that!(fleet.is_stuck("a", FIRST, at), eq(true));
    expect_that!(fleet.is_stuck("a", SECOND, at), eq(false));
}

#[googletest::test]
fn servers_without_an_incarnation_keep_their_state() {
    let mut fleet = fleet_of(&[("a", 0)]);
    let at = Uptime::from_millis(3_000);
    fleet.record_report("a", report(3, 0), at);
    fleet.record_sent("a", at + Duration::from_millis(1));
    fleet.replace(listed(6, servers(&[("a", 0)])), false, at);
    expect_that!(load_milli(&fleet, at), some(eq(400)));
    // Stating an incarnation later is not a restart.
    fleet.replace(listed(7, servers(&[("a", FIRST)])), false, at);
    expect_that!(load_milli(&fleet, at), some(eq(400)));
    fleet.record_ended("a", 0, false, at + Duration::from_millis(2));
    expect_that!(fleet.in_flight(), eq(0));
}

fn poll(round: u64, since: u64) -> Poll {
    let coordinator = IpAddr::from([10, 0, 0, 9]);
    let (group, subtree) = ("g".to_owned(), Vec::new());
    Poll { group, token: 1, coordinator, round, since, sets: Some((0, 1)), subtree }
}

#[googletest::test]
fn counts_of_two_incarnations_are_not_subtracted() {
    let read = |incarnation, counts: &[u64]| Selections {
        incarnation,
        epoch: 3,
        pass: 1,
        counts: counts.to_vec(),
    };
    let mut selections = SelectionHistory::default();
    selections.counts_since(&poll(1, 0), read(FIRST, &[100, 100]), 1);
    // The second incarnation has already counted past the first.
    expect_that!(
        selections.counts_since(&poll(2, 1), read(SECOND, &[400, 101]), 1),
        eq(&Vec::<u32>::new())
    );
    expect_that!(
        selections.counts_since(&poll(3, 2), read(SECOND, &[405, 103]), 1),
        eq(&vec![5, 2])
    );
}

#[googletest::test]
fn loads_of_the_previous_incarnation_are_not_awaited() {
    let at = Uptime::from_secs(5);
    let mut ranks = RankViews::new(Uptime::default());
    let status = |incarnation, read_at| RankStatus {
        server: ([10, 0, 0, 1], 80).into(),
        state: RankState { epoch: 2, size: 1, open: true, ..RankState::default() },
        load: 0,
        slowdown_milli: 1_000,
        incarnation,
        read_at,
    };
    let is_busy = |ranks: &RankViews| {
        ranks.states(Some(7), at).first().cloned().flatten().is_some_and(|state| state.busy)
    };
    ranks.record_answer(status(FIRST, at), at);
    ranks.record_load(0, 7, 2, at);
    expect_that!(is_busy(&ranks), eq(true));
    ranks.record_answer(status(SECOND, at), at);
    expect_that!(is_busy(&ranks), eq(false));
}

/// Guards against sending a request that may run once to the next incarnation of a server that
/// restarts before it answers, since the request may have run.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_does_not_reach_the_next_incarnation() -> Result<()> {
    let site = Site::new(1)?;
    let first =
        Scripted::start(|_| vec![Act::Wait(Duration::from_millis(400)), Act::Reset]).await?;
    let second = Scripted::start(|got| vec![answer(got, "200 OK", "second")]).await?;
    let list = |born: u64, server: &Scripted| {
        let spec = json!({ "service": "desk", "address": server.addr.to_string(),
            "zone": "hall-a", "slots": 8, "state": "ready", "born": born, "seq": 1 });
        site.platform.put("servers", "i-0", json!({ "spec": spec }));
    };
    list(FIRST, &first);
    site.configure(1, &[route("/once/", "unsafe"), route("/safe/", "safe")]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let callers = gateway.callers;
    let once =
        tokio::spawn(
            async move { exchange(callers, &request("POST", "/once/a", "r-1", "", "")).await },
        );
    wait_for(async || first.got().len() == 1).await?;
    list(SECOND, &second);
    expect_that!(once.await??.status, eq(502));
    expect_that!(second.got().len(), eq(0));
    let reply = exchange(callers, &request("GET", "/safe/a", "r-2", "", "")).await?;
    expect_that!(reply.body, eq("second"));
    Ok(())
}
