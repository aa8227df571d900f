//! Tests of requests that are confined to regions, in a fleet of three regions.

use crate::fleet::{listed, server};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{Fleet, Homes, Refusal, Requirements, ServerState},
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Returns a fleet with a server in a hall of each region, which bear the same names.
fn fleet() -> Fleet {
    let regions = REGIONS.iter().map(|region| ((*region).to_owned(), (*region).to_owned()));
    let mut fleet = Fleet::new("north").with_regions(regions.collect());
    let servers = REGIONS.iter().chain(&["lost"]).map(|hall| {
        let (id, mut server) = server(hall, ServerState::Ready);
        server.hall = (*hall).to_owned();
        server.addr.set_port(80 + hall.len() as u16 + u16::from(hall.as_bytes()[0]));
        (id, server)
    });
    fleet.replace(listed(5, servers.collect()), false, Uptime::default());
    fleet
}

/// Returns the halls in which requests with these homes are served.
fn halls(fleet: &Fleet, route: &[&str], customer: &[&str]) -> String {
    let owned = |names: &[&str]| -> Vec<String> { names.iter().map(|n| (*n).to_owned()).collect() };
    let (route, customer) = (owned(route), owned(customer));
    let homes = Homes { route: &route, customer: &customer };
    let mut rng = SmallRng::seed_from_u64(7);
    let mut found: HashMap<String, u32> = HashMap::new();
    for _ in 0..100 {
        let needs = Requirements {
            service: "s",
            tried: &[],
            max_load: 9.0,
            gap_ms: 0.0,
            stream: None,
            homes,
        };
        let chosen = fleet.choose(needs, Uptime::default(), &mut rng);
        let name = chosen.map_or_else(|refusal| format!("{refusal:?}"), |server| server.id);
        *found.entry(name).or_default() += 1;
    }
    let mut names: Vec<String> = found.into_keys().collect();
    names.sort();
    names.join(" ")
}

#[googletest::test]
fn requests_stay_in_the_homes_of_route_and_customer() {
    let fleet = fleet();
    expect_that!(halls(&fleet, &["south"], &[]), eq("south"));
    expect_that!(halls(&fleet, &[], &["south"]), eq("south"));
    expect_that!(halls(&fleet, &["south", "west"], &["west", "north"]), eq("west"));
    // A hall whose region is unknown is no home.
    expect_that!(
        halls(&fleet, &["north", "south", "west", "lost"], &[]),
        not(contains_substring("lost"))
    );
    expect_that!(halls(&fleet, &["south"], &["north"]), eq(&format!("{:?}", Refusal::NoHall)));
}
