//! Tests of the part of all load reports that a follower gets: that it is the same on both sides,
//! even over servers, and that what a relay sends does not grow with the fleet.

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{Fleet, Homes, LoadReport, Requirements, Server, ServerState, ViewKey, ViewSize},
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeSet, HashMap},
    fmt::Write as _,
    net::IpAddr,
};

/// Halls of each fleet.
const HALLS: usize = 5;
const RELAYS: usize = 3;

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 1, (number / 250) as u8, (number % 250) as u8])
}

fn id(number: usize) -> String {
    format!("i-{number:010x}")
}

fn servers(count: usize) -> Vec<(String, Server)> {
    let servers = (0..count).map(|number| {
        let (id, mut server) = server(&id(number), ServerState::Ready);
        server.addr = ([10, 2, (number / 250) as u8, (number % 250) as u8], 80).into();
        (id, server)
    });
    servers.collect()
}

/// Returns a follower that got a report on each server of its view.
fn follower(number: usize, count: usize, followers: usize) -> (Fleet, BTreeSet<String>) {
    let mut fleet = Fleet::new("here").with_ip(ip(number));
    fleet.replace(listed(5, servers(count).into_iter().collect()), false, at(0));
    let size = ViewSize::new(count, followers);
    let gateway = ViewKey::of_gateway(ip(number));
    let ids = (0..count).map(id);
    let seen: BTreeSet<String> =
        ids.filter(|id| size.contains(gateway, ViewKey::of_server(id))).collect();
    report(&mut fleet, &seen, at(10));
    fleet.set_followers(followers);
    (fleet, seen)
}

fn report(fleet: &mut Fleet, ids: &BTreeSet<String>, now: Uptime) {
    let report = LoadReport { running: 3, group_open: true, pass_ms: 50, ..LoadReport::default() };
    for id in ids {
        fleet.record_report(id, report.clone(), now);
    }
}

fn chosen(fleet: &Fleet, tried: &[String], now: Uptime, rng: &mut SmallRng) -> Option<String> {
    let homes = Homes::default();
    let needs =
        Requirements { service: "s", tried, max_load: 1.06, gap_ms: 0.0, stream: None, homes };
    fleet.choose(needs, now, rng).ok().map(|server| server.id)
}

/// What the busiest relay sends in a round, and a follower receives, at one to seventy times
/// thirty processes.
#[test]
fn busiest_relay_sends_as_much_at_twice_the_size() {
    let mut table = String::from("processes followers servers view relay\n");
    let mut sent: HashMap<usize, usize> = HashMap::new();
    for processes in [30_usize, 100, 300, 1_000, 2_000] {
        let gateways = processes * 43 / 100;
        let servers = processes - gateways;
        let followers = gateways.div_ceil(HALLS).saturating_sub(RELAYS);
        let size = ViewSize::new(servers, followers);
        let seen = |number: usize| {
            let key = ViewKey::of_gateway(ip(number));
            (0..servers).filter(|at| size.contains(key, ViewKey::of_server(&id(*at)))).count()
        };
        let relay: usize = (0..followers).map(seen).sum();
        let view = relay.checked_div(followers).unwrap_or(0);
        sent.insert(processes, relay);
        writeln!(table, "{processes:9} {followers:9} {servers:7} {view:4} {relay:5}").unwrap_or(());
    }
    assert!(sent[&2_000] as f64 <= sent[&1_000] as f64 * 1.2);
    insta::assert_snapshot!(table);
}

/// Each server is in about as many views as any other.
#[googletest::test]
fn views_cover_all_servers_evenly() {
    let (count, followers) = (576, 84);
    let size = ViewSize::new(count, followers);
    let seen = |server: &usize| {
        let key = ViewKey::of_server(&id(*server));
        (0..432).filter(|at| size.contains(ViewKey::of_gateway(ip(*at)), key)).count()
    };
    let counts: Vec<usize> = (0..count).map(|server| seen(&server)).collect();
    let mean = counts.iter().sum::<usize>() as f64 / count as f64;
    expect_that!(mean, near(27.0, 1.0));
    expect_that!(counts.iter().min(), some(ge(&10)));
    expect_that!(counts.iter().max(), some(le(&48)));
}

/// A server whose loads are not forwarded looks idle, so it must not be chosen.
#[googletest::test]
fn only_servers_of_the_view_are_chosen() {
    let (fleet, seen) = follower(7, 576, 84);
    let mut rng = SmallRng::seed_from_u64(1);
    let found: BTreeSet<String> =
        (0..2_000).filter_map(|_| chosen(&fleet, &[], at(20), &mut rng)).collect();
    expect_that!(found, eq(&seen));
    // A small fleet is seen whole.
    let (fleet, seen) = follower(7, 72, 20);
    expect_that!(seen.len(), eq(72));
    expect_that!(chosen(&fleet, &[], at(20), &mut rng), some(anything()));
}

/// Servers without a sidecar are used as well where most of a service have none.
#[googletest::test]
fn servers_without_sidecars_are_chosen_if_most_have_none() {
    let (mut fleet, seen) = follower(7, 576, 84);
    let few: BTreeSet<String> = seen.iter().take(4).cloned().collect();
    // The reports of the others are too old.
    report(&mut fleet, &few, at(20_000));
    let mut rng = SmallRng::seed_from_u64(1);
    let found: BTreeSet<String> =
        (0..2_000).filter_map(|_| chosen(&fleet, &[], at(20_010), &mut rng)).collect();
    expect_that!(found.len(), gt(few.len() * 2));
}

/// If no server of the view can serve a request, the others are tried.
#[googletest::test]
fn other_servers_are_a_fallback() {
    let (fleet, seen) = follower(7, 576, 84);
    let tried: Vec<String> = seen.iter().cloned().collect();
    let found = chosen(&fleet, &tried, at(20), &mut SmallRng::seed_from_u64(1));
    expect_that!(found.map(|id| seen.contains(&id)), some(eq(false)));
}

/// A stream runs at a server that leaves the view, since the gateway has become a follower. The
/// end of its reports does not make it silent; a server of the view that falls silent is.
#[googletest::test]
fn server_that_leaves_the_view_is_not_silent() {
    let (mut fleet, seen) = follower(7, 576, 84);
    let all: BTreeSet<String> = (0..576).map(id).collect();
    let unseen = all.iter().find(|id| !seen.contains(*id)).expect("a view is a part");
    let silent = seen.iter().next().expect("a view is not empty");
    fleet.set_followers(0);
    report(&mut fleet, &all, at(100));
    fleet.set_followers(84);
    let others: BTreeSet<String> = seen.iter().filter(|id| *id != silent).cloned().collect();
    for ms in [300, 600, 900, 1_200] {
        report(&mut fleet, &others, at(ms));
    }
    fleet.set_receiving(Some(Uptime::default()));
    expect_that!(fleet.is_stuck(unseen, 0, at(2_100)), eq(false));
    expect_that!(fleet.is_stuck(silent, 0, at(2_100)), eq(true));
}

/// The view follows the list: a server that is added may be in it, and changes no other's place.
#[googletest::test]
fn view_changes_only_by_servers_that_come_and_go() {
    let (mut fleet, seen) = follower(7, 560, 84);
    let (mut rng, mut grown) = (SmallRng::seed_from_u64(1), servers(570));
    grown.retain(|(id, _)| seen.iter().next() != Some(id));
    fleet.replace(listed(6, grown.into_iter().collect()), false, at(20));
    let found: BTreeSet<String> =
        (0..3_000).filter_map(|_| chosen(&fleet, &[], at(30), &mut rng)).collect();
    let kept: BTreeSet<String> = seen.iter().skip(1).cloned().collect();
    expect_that!(found.is_superset(&kept), eq(true));
    expect_that!(found.difference(&kept).all(|id| *id >= self::id(560)), eq(true));
}
