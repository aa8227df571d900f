//! Tests of cold servers: how long they are cold, and that all gateways together send them no more
//! requests a second than they take.

use crate::{
    fleet::{listed, server},
    peers::{World, hall_name},
};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Exclusion, Fleet, Homes, PERMIT_LIFETIME, PermitGrant, PermitIssuer, Requirements, Server,
        ServerState,
    },
    revision::Revision,
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// What a cold server takes in a second, and what it gets at most.
const PER_S: f64 = 26.0;
const MOST: usize = 39;
const SECOND: Duration = Duration::from_secs(1);

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn cold(id: &str, warmup_ms: u32, changed: u64) -> (String, Server) {
    let (id, server) = server(id, ServerState::Ready);
    (id, Server { warmup_ms, changed: Revision::new(0, changed), ..server })
}

fn fleet(servers: Vec<(String, Server)>) -> Fleet {
    let mut fleet = Fleet::new("here");
    fleet.set_warmup_rates(HashMap::from([("s".to_owned(), PER_S)]));
    fleet.replace(listed(5, servers.into_iter().collect()), false, at(0));
    fleet
}

fn choose(fleet: &Fleet, now: Uptime) -> Option<String> {
    let homes = Homes::default();
    let needs =
        Requirements { service: "s", tried: &[], max_load: 9.0, gap_ms: 0.0, stream: None, homes };
    fleet.choose(needs, now, &mut SmallRng::seed_from_u64(3)).ok().map(|server| server.id)
}

#[googletest::test]
fn cold_server_gets_requests_only_with_a_permit() {
    let mut fleet = fleet(vec![cold("a", 3_000, 5)]);
    let limited = Exclusion::Limited(Duration::ZERO);
    expect_that!(fleet.exclusion("a", at(2_999)), some(eq(limited)));
    expect_that!(choose(&fleet, at(100)), none());
    fleet.add_permits("a", 1, at(600));
    expect_that!(choose(&fleet, at(100)), some(eq("a")));
    expect_that!(fleet.take_permit("a", at(100)), eq(true));
    expect_that!(choose(&fleet, at(100)), none());
    expect_that!(choose(&fleet, at(3_000)), some(eq("a")));
}

/// A server states anew for how long it is cold whenever that has changed. An entry that is only
/// listed again does not make it cold for longer.
#[googletest::test]
fn warm_up_ends_once_and_may_begin_at_any_time() {
    let mut fleet = fleet(vec![cold("a", 1_000, 5)]);
    fleet.replace(listed(6, [cold("a", 1_000, 5)].into()), false, at(900));
    expect_that!(fleet.exclusion("a", at(1_000)), none());
    fleet.replace(listed(7, [cold("a", 2_000, 7)].into()), false, at(1_500));
    expect_that!(fleet.exclusion("a", at(3_400)), some(anything()));
    fleet.replace(listed(8, [cold("a", 0, 8)].into()), false, at(2_000));
    expect_that!(fleet.exclusion("a", at(2_000)), none());
}

#[googletest::test]
fn server_of_a_service_without_a_rate_is_not_bounded() {
    let (id, mut server) = cold("a", 9_000, 5);
    server.service = "other".to_owned();
    let fleet = fleet(vec![(id, server)]);
    expect_that!(fleet.exclusion("a", at(100)), none());
    expect_that!(fleet.permit_rate("a", at(100)), none());
}

/// Gateways of three halls that all want as many permits as they can get, and use each at a
/// moment of its lifetime that suits the server least. Some are cut off, fail and restart.
#[googletest::test]
fn gateways_together_stay_below_what_a_cold_server_takes() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (gateways, halls) = (38, 3);
        let mut world = World::new(gateways, halls, seed);
        let mut issuers = vec![PermitIssuer::default(); gateways];
        let mut used: VecDeque<Uptime> = VecDeque::new();
        let mut most = 0;
        for step in 0..160_u64 {
            world.step();
            let number = rng.random_range(0..gateways);
            match (step > 20).then(|| rng.random_range(0..40)) {
                Some(0) => world.cut = Some(rng.random_range(0..halls)),
                Some(1) => world.cut = None,
                Some(2) => world.alive[number] = false,
                Some(3) => {
                    world.restart(number);
                    issuers[number] = PermitIssuer::default();
                }
                _ => (),
            }
            let (now, hall) = (world.now, hall_name(0));
            // The server is cold for three seconds out of five.
            let is_cold = step % 20 < 12;
            for (number, issuer) in
                issuers.iter_mut().enumerate().filter(|(at, _)| world.alive[*at])
            {
                let peers = &mut world.peers[number];
                peers.update_relays(now);
                let own = ["a"].into_iter().filter(|id| is_cold && peers.is_issuer(id, &hall, now));
                let since = peers.issuer_since(&hall, now);
                issuer.set_servers_since(own.map(|id| (id, since)), now);
                let per_s = PER_S * 6.0 / 7.0 * peers.limit_share(&hall, now);
                let PermitGrant { count, .. } = issuer.grant("a", per_s, u32::MAX, now);
                used.extend((0..count).map(|_| now + PERMIT_LIFETIME.mul_f64(rng.random())));
            }
            used.retain(|at| *at + SECOND > now);
            let in_last_second = used.iter().filter(|at| **at <= now).count();
            most = most.max(in_last_second);
        }
        expect_that!(most, le(MOST), "seed {seed}");
        expect_that!(most, ge(12), "seed {seed}: cold servers were not used");
    }
}
