//! What a server that names a limit gets: the lenders among gateways that die, start again and
//! are cut off, and the choice of a server with tokens and without.

use crate::{
    fleet::{listed, server},
    peers::{ROUND, World, hall_name, ip},
};
use googletest::prelude::*;
use mastweir_core::{
    gateway::{
        Exclusion, Fleet, HANDOVER_DELAY, LimitReport, LoadReport, PermitGrant, PermitIssuer, Rate,
        Refusal, Requirements, ServerState, StreamRequest,
    },
    time::Uptime,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

/// A window over which a server counts, and what it allows there.
const COUNTED: Duration = Duration::from_secs(4);
const SERVERS: usize = 5;

const fn at(ms: u64) -> Uptime {
    Uptime::from_millis(ms)
}

fn allowed(per_s: f64) -> f64 {
    per_s * COUNTED.as_secs_f64() * 1.5 + 5.0
}

/// Gateways that lend all they may, at once.
struct Lending {
    world: World,
    lenders: Vec<PermitIssuer>,
    per_s: f64,
    /// What was lent for each server, in the time that is counted.
    lent: Vec<VecDeque<(Uptime, u32)>>,
    worst: f64,
}

impl Lending {
    fn new(world: World, per_s: f64) -> Self {
        let lenders = vec![PermitIssuer::default(); world.peers.len()];
        let lent = vec![VecDeque::new(); SERVERS];
        Self { world, lenders, per_s, lent, worst: 0.0 }
    }

    fn start_again(&mut self, number: usize) {
        self.world.start_again(number);
        self.lenders[number] = PermitIssuer::default();
    }

    fn step(&mut self) {
        self.world.step();
        let now = self.world.now;
        let hall = hall_name(0);
        let ids: Vec<String> = (0..SERVERS).map(|server| format!("i-{server}")).collect();
        for number in 0..self.lenders.len() {
            if !self.world.alive[number] {
                continue;
            }
            let peers = &self.world.peers[number];
            let own = ids.iter().filter(|id| peers.is_issuer(id, &hall, now));
            self.lenders[number].set_servers(own.map(String::as_str), now);
            let per_s = self.per_s * peers.limit_share(&hall, now);
            for (id, lent) in ids.iter().zip(&mut self.lent) {
                let PermitGrant { count, .. } =
                    self.lenders[number].grant(id, per_s, u32::MAX, now);
                lent.push_back((now, count));
            }
        }
        for lent in &mut self.lent {
            lent.retain(|(at, _)| now.since(*at) < COUNTED);
            let sum: u32 = lent.iter().map(|(_, count)| count).sum();
            self.worst = self.worst.max(f64::from(sum));
        }
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * 4).for_each(|_| self.step());
    }
}

/// Gateways die and start again, a hall is cut off and comes back, hellos are lost. Whoever
/// lends, and however many take themselves for the lender, servers get no more than allowed.
#[googletest::test]
fn lenders_together_lend_no_more_than_a_limit() {
    for (gateways, halls) in [(8, 3), (38, 3), (149, 5)] {
        for seed in 0..if gateways > 100 { 2 } else { 12 } {
            let mut rng = SmallRng::seed_from_u64(seed);
            let per_s = [1.0, 10.0, 100.0][rng.random_range(0..3)];
            let mut lending = Lending::new(World::new(gateways, halls, seed), per_s);
            lending.world.lost_pct = rng.random_range(0..10);
            lending.run(6);
            for _ in 0..24 {
                let number = rng.random_range(0..gateways);
                match rng.random_range(0..6) {
                    0 => lending.world.cut = Some(rng.random_range(0..halls)),
                    1 => lending.world.cut = None,
                    2 => lending.start_again(number),
                    _ if lending.world.alive[number] => lending.world.alive[number] = false,
                    _ => lending.start_again(number),
                }
                lending.run(rng.random_range(1..4));
            }
            let case = format!("{gateways} gateways, {per_s} a second, seed {seed}");
            expect_that!(lending.worst, le(allowed(per_s)), "{case}");
            expect_that!(lending.worst, ge(per_s * 2.0), "{case}: nothing was lent");
        }
    }
}

/// The gateways of a hall that is cut off lend their part, and the others theirs.
#[googletest::test]
fn a_cut_hall_lends_its_part() {
    let mut world = World::new(12, 3, 4);
    world.run(10);
    world.cut = Some(0);
    world.run(10);
    let (hall, now) = (hall_name(0), world.now);
    let parts: Vec<f64> = world.peers.iter().map(|peers| peers.limit_share(&hall, now)).collect();
    expect_that!(parts, each(approx_eq(1.0 / 3.0)));
    // The fourth of each hall follows, and lends nothing.
    for (number, peers) in world.peers.iter().enumerate().take(9) {
        let lenders = peers.issuers(&hall, now);
        let own = (0..12).filter(|other| other % 3 == number % 3).map(ip);
        expect_that!(lenders.iter().all(|ip| own.clone().any(|own| own == *ip)), eq(true));
    }
    world.cut = None;
    world.run(10);
    let (near, far) = (&world.peers[0], &world.peers[1]);
    expect_that!(near.limit_share(&hall, world.now), approx_eq(1.0));
    expect_that!(near.issuers(&hall, world.now), eq(&far.issuers(&hall, world.now)));
}

/// One that stands still, and goes on, has saved up no more than before.
#[googletest::test]
fn a_lender_that_stood_still_lends_what_it_had() {
    let mut lender = PermitIssuer::default();
    lender.set_servers(["a"].into_iter(), at(0));
    expect_that!(lender.grant("a", 10.0, 9, at(2_999)).count, eq(0));
    let begun = at(0) + HANDOVER_DELAY;
    expect_that!(lender.grant("a", 10.0, 9, begun).count, eq(0));
    expect_that!(lender.grant("a", 10.0, 9, begun + ROUND * 4).count, eq(3));
    expect_that!(lender.grant("a", 10.0, 99, begun + ROUND * 400).count, eq(3));
    // For one that it does not lend, whoever asks is sent on.
    let elsewhere = lender.grant("b", 10.0, 1, begun);
    expect_that!(elsewhere.count, eq(0));
    expect_that!(elsewhere.wait, gt(Duration::ZERO));
}

/// Whoever finds nothing is told to come back for a token of its own, not all for the next one.
#[googletest::test]
fn those_who_find_nothing_come_back_one_behind_the_other() {
    let mut lender = PermitIssuer::default();
    lender.set_servers(["a"].into_iter(), at(0));
    let wait = |lender: &mut PermitIssuer, ms| lender.grant("a", 2.0, 1, at(ms)).wait.as_millis();
    let waits: Vec<u128> = (0..4).map(|_| wait(&mut lender, 3_100)).collect();
    expect_that!(waits, elements_are![eq(&400), eq(&900), eq(&1_400), eq(&1_900)]);
    expect_that!(lender.grant("a", 2.0, 1, at(3_500)).count, eq(1));
    // A server that takes none is asked now and then all the same: an end is only answered.
    let least = (0..60).map(|s| lender.grant("a", 0.0, 1, at(60_000 + s * 1_000)).count);
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
    let word = LimitReport { rate, sent: at(ms - 10), received: at(ms) };
    fleet.record_limit(id, 0, word, at(ms));
}

fn choose(
    fleet: &Fleet,
    tried: &[&str],
    stream: Option<StreamRequest>,
    ms: u64,
) -> std::result::Result<String, Refusal> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let needs = Requirements { service: "s", tried: &tried, max_load: 1.06, gap_ms: 0.0, stream };
    fleet.choose(needs, at(ms), &mut SmallRng::seed_from_u64(3)).map(|found| found.id)
}

#[googletest::test]
fn a_limited_server_is_chosen_with_a_token_only() {
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
    // One that is not used lapses.
    fleet.add_permits("a", 1, at(1_000));
    expect_that!(choose(&fleet, &["b"], None, 1_000), err(anything()));
    limit(&mut fleet, "a", None, 1_200);
    expect_that!(choose(&fleet, &["b"], None, 1_300), ok(eq("a")));
    expect_that!(fleet.may_send("a", false, at(1_300)), eq(true));
}

/// It has the emptiest places, and hardly any may be used: where the others are full, callers
/// are refused as if it were not there.
#[googletest::test]
fn the_empty_places_of_a_limited_server_are_no_room() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_receiving(Some(at(0)));
    let told = |running, limit| LoadReport {
        running,
        group_open: true,
        pass_ms: 50,
        limit,
        ..LoadReport::default()
    };
    fleet.record_report("a", told(0, Rate::per_second(1.0)), at(3_000));
    fleet.record_report("b", told(13, None), at(3_000));
    let stream = Some(StreamRequest { draw: 0.5, is_retry: false });
    expect_that!(choose(&fleet, &[], stream, 3_050), err(eq(&Refusal::Full)));
    fleet.add_permits("a", 1, at(3_500));
    expect_that!(choose(&fleet, &[], stream, 3_060), ok(eq("a")));
}

/// A server that leaves, or asks for a pause, gets nothing with a token either.
#[googletest::test]
fn a_token_is_no_way_round_what_a_server_asks_for() {
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

/// Its sidecar sees the end of a limit where no request is sent; one whose reports never named
/// a limit says nothing of it.
#[googletest::test]
fn a_sidecar_tells_that_a_limit_has_ended() {
    let mut fleet = fleet(&["a", "b"]);
    let told = |limit| LoadReport { group_open: true, limit, ..LoadReport::default() };
    fleet.record_report("a", told(Rate::per_second(0.0)), at(1_000));
    limit(&mut fleet, "b", Some(0.0), 1_000);
    for ms in (1_100..3_000).step_by(100) {
        fleet.record_report("a", told(None), at(ms));
        fleet.record_report("b", told(None), at(ms));
    }
    expect_that!((fleet.limit("a"), fleet.limit("b").is_some()), eq((None, true)));
}

/// One that takes few turns a request away beside all its empty places; the others of its group
/// go on, and so does it with the next token.
#[googletest::test]
fn a_limited_server_that_refuses_speaks_for_itself_alone() {
    for limited in [true, false] {
        let mut fleet = fleet(&["a", "b"]);
        fleet.set_receiving(Some(at(0)));
        let group = Some("g".to_owned());
        let told = LoadReport { group, group_open: true, pass_ms: 50, ..LoadReport::default() };
        fleet.record_report("a", told.clone(), at(3_000));
        fleet.record_report("b", told, at(3_000));
        limit(&mut fleet, "a", Some(1.0).filter(|_| limited), 3_000);
        fleet.record_refused("a", 0, at(3_010));
        let chosen = choose(&fleet, &["a"], None, 3_020);
        expect_that!(chosen, eq(&if limited { Ok("b".to_owned()) } else { Err(Refusal::Stalled) }));
    }
}
