//! Permits for rate-limited servers: issuers among gateways that fail, restart and are cut
//! off, and the choice of servers with and without permits.

use crate::{
    fleet::{listed, server},
    peers::{ROUND, World, hall_name, ip},
};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Exclusion, Fleet, HANDOVER_DELAY, Homes, LimitReport, LoadReport, PermitGrant,
        PermitIssuer, Rate, Refusal, Requirements, ServerState, StreamRequest,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

/// Window over which grants are counted.
const WINDOW: Duration = Duration::from_secs(4);
const SERVERS: usize = 5;

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn allowed(per_s: f64) -> f64 {
    per_s * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// Simulated gateways that grant as many permits as they may.
struct Issuing {
    world: World,
    issuers: Vec<PermitIssuer>,
    per_s: f64,
    /// Grants for each server in the last `WINDOW`.
    granted: Vec<VecDeque<(Uptime, u32)>>,
    worst: f64,
}

impl Issuing {
    fn new(world: World, per_s: f64) -> Self {
        let issuers = vec![PermitIssuer::default(); world.peers.len()];
        let granted = vec![VecDeque::new(); SERVERS];
        Self { world, issuers, per_s, granted, worst: 0.0 }
    }

    fn restart(&mut self, number: usize) {
        self.world.restart(number);
        self.issuers[number] = PermitIssuer::default();
    }

    fn step(&mut self) {
        self.world.step();
        let now = self.world.now;
        let hall = hall_name(0);
        let ids: Vec<String> = (0..SERVERS).map(|server| format!("i-{server}")).collect();
        for number in 0..self.issuers.len() {
            if !self.world.alive[number] {
                continue;
            }
            let peers = &self.world.peers[number];
            let own = ids.iter().filter(|id| peers.is_issuer(id, &hall, now));
            self.issuers[number].set_servers(own.map(String::as_str), now);
            let per_s = self.per_s * peers.limit_share(&hall, now);
            for (id, granted) in ids.iter().zip(&mut self.granted) {
                let PermitGrant { count, .. } =
                    self.issuers[number].grant(id, per_s, u32::MAX, now);
                granted.push_back((now, count));
            }
        }
        for granted in &mut self.granted {
            granted.retain(|(at, _)| now.since(*at) < WINDOW);
            let sum: u32 = granted.iter().map(|(_, count)| count).sum();
            self.worst = self.worst.max(f64::from(sum));
        }
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * 4).for_each(|_| self.step());
    }
}

/// Gateways fail and restart, a hall is cut off and returns, and hellos are lost. However many
/// gateways consider themselves the issuer, the sum of their grants stays within the allowed
/// number.
#[googletest::test]
fn issuers_together_grant_no_more_than_a_limit() {
    for (gateways, halls) in [(8, 3), (38, 3), (149, 5)] {
        for seed in 0..if gateways > 100 { 2 } else { 12 } {
            let mut rng = SmallRng::seed_from_u64(seed);
            let per_s = [1.0, 10.0, 100.0][rng.random_range(0..3)];
            let mut issuing = Issuing::new(World::new(gateways, halls, seed), per_s);
            issuing.world.lost_pct = rng.random_range(0..10);
            issuing.run(6);
            for _ in 0..24 {
                let number = rng.random_range(0..gateways);
                match rng.random_range(0..6) {
                    0 => issuing.world.cut = Some(rng.random_range(0..halls)),
                    1 => issuing.world.cut = None,
                    2 => issuing.restart(number),
                    _ if issuing.world.alive[number] => issuing.world.alive[number] = false,
                    _ => issuing.restart(number),
                }
                issuing.run(rng.random_range(1..4));
            }
            let case = format!("{gateways} gateways, {per_s} a second, seed {seed}");
            expect_that!(issuing.worst, le(allowed(per_s)), "{case}");
            expect_that!(issuing.worst, ge(per_s * 2.0), "{case}: no permits were granted");
        }
    }
}

/// The gateways of a hall that is cut off grant their share, and the others theirs.
#[googletest::test]
fn partitioned_hall_grants_its_share() {
    let mut world = World::new(12, 3, 4);
    world.run(10);
    world.cut = Some(0);
    world.run(10);
    let (hall, now) = (hall_name(0), world.now);
    let shares: Vec<f64> = world.peers.iter().map(|peers| peers.limit_share(&hall, now)).collect();
    expect_that!(shares, each(approx_eq(1.0 / 3.0)));
    // The fourth gateway of each hall is a follower and issues no permits.
    for (number, peers) in world.peers.iter().enumerate().take(9) {
        let issuers = peers.issuers(&hall, now);
        let own = (0..12).filter(|other| other % 3 == number % 3).map(ip);
        expect_that!(issuers.iter().all(|ip| own.clone().any(|own| own == *ip)), eq(true));
    }
    world.cut = None;
    world.run(10);
    let (near, far) = (&world.peers[0], &world.peers[1]);
    expect_that!(near.limit_share(&hall, world.now), approx_eq(1.0));
    expect_that!(near.issuers(&hall, world.now), eq(&far.issuers(&hall, world.now)));
}

/// An issuer that was suspended must not have accumulated more permits than its bucket holds.
#[googletest::test]
fn suspended_issuer_accumulates_no_permits() {
    let mut issuer = PermitIssuer::default();
    issuer.set_servers(["a"].into_iter(), at(0));
    expect_that!(issuer.grant("a", 10.0, 9, at(2_999)).count, eq(0));
    let started = at(0) + HANDOVER_DELAY;
    expect_that!(issuer.grant("a", 10.0, 9, started).count, eq(0));
    expect_that!(issuer.grant("a", 10.0, 9, started + ROUND * 4).count, eq(3));
    expect_that!(issuer.grant("a", 10.0, 99, started + ROUND * 400).count, eq(3));
    // Requests to a gateway that is not the issuer get a wait.
    let elsewhere = issuer.grant("b", 10.0, 1, started);
    expect_that!(elsewhere.count, eq(0));
    expect_that!(elsewhere.wait, gt(Duration::ZERO));
}

/// Requesters without a permit get different waits, so that they do not all return for the
/// next permit.
#[googletest::test]
fn requesters_without_permits_return_in_turn() {
    let mut issuer = PermitIssuer::default();
    issuer.set_servers(["a"].into_iter(), at(0));
    let wait = |issuer: &mut PermitIssuer, ms| issuer.grant("a", 2.0, 1, at(ms)).wait.as_millis();
    let waits: Vec<u128> = (0..4).map(|_| wait(&mut issuer, 3_100)).collect();
    expect_that!(waits, elements_are![eq(&400), eq(&900), eq(&1_400), eq(&1_900)]);
    expect_that!(issuer.grant("a", 2.0, 1, at(3_500)).count, eq(1));
    // A limit of zero still gets a few requests, since its end is stated only in answers.
    let least = (0..60).map(|s| issuer.grant("a", 0.0, 1, at(60_000 + s * 1_000)).count);
    expect_that!(least.sum::<u32>(), eq(3));
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("here");
    let servers = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
    fleet.replace(listed(5, servers), false, at(0));
    fleet
}

fn limit(fleet: &mut Fleet, id: &str, per_s: Option<f64>, ms: u64) {
    let rate = per_s.and_then(Rate::per_second);
    let report = LimitReport { rate, sent: at(ms - 10), received: at(ms) };
    fleet.record_limit(id, 0, report, at(ms));
}

fn choose(
    fleet: &Fleet,
    tried: &[&str],
    stream: Option<StreamRequest>,
    ms: u64,
) -> std::result::Result<String, Refusal> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let needs = Requirements {
        service: "s",
        tried: &tried,
        max_load: 1.06,
        gap_ms: 0.0,
        stream,
        homes: Homes::default(),
    };
    fleet.choose(needs, at(ms), &mut SmallRng::seed_from_u64(3)).map(|found| found.id)
}

#[googletest::test]
fn limited_server_is_chosen_only_with_a_permit() {
    let mut fleet = fleet(&["a", "b"]);
    limit(&mut fleet, "a", Some(2.0), 100);
    expect_that!(choose(&fleet, &[], None, 200), ok(eq("b")));
    expect_that!(choose(&fleet, &["b"], None, 200), err(eq(&Refusal::Limited(Duration::ZERO))));
    fleet.deny_permits_before("a", at(700));
    let wait = Duration::from_millis(500);
    expect_that!(choose(&fleet, &["b"], None, 200), err(eq(&Refusal::Limited(wait))));
    expect_that!(fleet.permits_missing("s", at(200)), is_empty());
    expect_that!(fleet.permits_missing("s", at(700)), len(eq(1)));
    fleet.add_permits("a", 1, at(1_000));
    expect_that!(choose(&fleet, &["b"], None, 800), ok(eq("a")));
    expect_that!(fleet.take_permit("a", at(800)), eq(true));
    expect_that!(fleet.take_permit("a", at(800)), eq(false));
    expect_that!(choose(&fleet, &["b"], None, 800), err(anything()));
    // Unused permits expire.
    fleet.add_permits("a", 1, at(1_000));
    expect_that!(choose(&fleet, &["b"], None, 1_000), err(anything()));
    limit(&mut fleet, "a", None, 1_200);
    expect_that!(choose(&fleet, &["b"], None, 1_300), ok(eq("a")));
    expect_that!(fleet.may_send("a", false, at(1_300)), eq(true));
}

/// The limited server looks idle, but may hardly be used: if the others are full, requests are
/// refused as if it did not exist.
#[googletest::test]
fn free_slots_of_a_limited_server_are_no_capacity() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_receiving(Some(at(0)));
    let report = |running, limit| LoadReport {
        running,
        group_open: true,
        pass_ms: 50,
        limit,
        ..LoadReport::default()
    };
    fleet.record_report("a", report(0, Rate::per_second(1.0)), at(3_000));
    fleet.record_report("b", report(13, None), at(3_000));
    let stream = Some(StreamRequest { draw: 0.5, is_retry: false, position: 0.0 });
    expect_that!(choose(&fleet, &[], stream, 3_050), err(eq(&Refusal::Full)));
    fleet.add_permits("a", 1, at(3_500));
    expect_that!(choose(&fleet, &[], stream, 3_060), ok(eq("a")));
}

/// A server that is leaving or backs off gets no requests, even with a permit.
#[googletest::test]
fn permit_does_not_override_backoff() {
    let mut fleet = fleet(&["a"]);
    limit(&mut fleet, "a", Some(2.0), 100);
    fleet.add_permits("a", 2, at(1_000));
    fleet.set_backoff("a", 0, Duration::from_secs(3), at(200));
    expect_that!(
        choose(&fleet, &[], None, 300),
        err(eq(&Refusal::Backoff(Duration::from_millis(2_900))))
    );
    expect_that!(fleet.may_send("a", true, at(300)), eq(false));
    expect_that!(
        fleet.exclusion("a", at(300)),
        some(eq(Exclusion::Backoff(Duration::from_millis(2_900))))
    );
}

/// The sidecar sees the end of a limit while no requests are sent. A sidecar that never
/// reported a limit does not end one.
#[googletest::test]
fn sidecar_reports_the_end_of_a_limit() {
    let mut fleet = fleet(&["a", "b"]);
    let report = |limit| LoadReport { group_open: true, limit, ..LoadReport::default() };
    fleet.record_report("a", report(Rate::per_second(0.0)), at(1_000));
    limit(&mut fleet, "b", Some(0.0), 1_000);
    for ms in (1_100..3_000).step_by(100) {
        fleet.record_report("a", report(None), at(ms));
        fleet.record_report("b", report(None), at(ms));
    }
    expect_that!((fleet.limit("a"), fleet.limit("b").is_some()), eq((None, true)));
}

/// A limited server refuses a request despite its free slots: neither its group nor the server
/// itself counts as stalled.
#[googletest::test]
fn refusal_of_a_limited_server_does_not_stall_its_group() {
    for limited in [true, false] {
        let mut fleet = fleet(&["a", "b"]);
        fleet.set_receiving(Some(at(0)));
        let group = Some("g".to_owned());
        let report = LoadReport { group, group_open: true, pass_ms: 50, ..LoadReport::default() };
        fleet.record_report("a", report.clone(), at(3_000));
        fleet.record_report("b", report, at(3_000));
        limit(&mut fleet, "a", Some(1.0).filter(|_| limited), 3_000);
        fleet.record_refused("a", 0, at(3_010));
        let chosen = choose(&fleet, &["a"], None, 3_020);
        expect_that!(chosen, eq(&if limited { Ok("b".to_owned()) } else { Err(Refusal::Stalled) }));
    }
}
