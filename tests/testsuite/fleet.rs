//! Tests of the choice among servers by load, slowdown, silence and refusals, and of changes of
//! the list of servers.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{Directory, Fleet, Homes, LoadReport, Refusal, Requirements, Server, ServerState},
    revision::Revision,
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};

/// After this time, a server that left may get no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

pub fn server(id: &str, state: ServerState) -> (String, Server) {
    let server = Server {
        id: id.to_owned(),
        incarnation: 0,
        service: "s".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        hall: "here".to_owned(),
        slots: 10,
        state,
        warmup_ms: 0,
        changed: Revision::new(0, 1),
    };
    (id.to_owned(), server)
}

pub fn listed(number: u64, servers: BTreeMap<String, Server>) -> Directory {
    listed_in(0, number, servers)
}

/// Returns a list of a generation of the store.
pub fn listed_in(generation: u64, number: u64, servers: BTreeMap<String, Server>) -> Directory {
    Directory { revision: Revision::new(generation, number), servers, ..Directory::default() }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("here");
    fleet.set_drain_time(DRAIN_TIME);
    let servers = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
    fleet.replace(listed(5, servers), false, Uptime::default());
    // Sidecars report to this gateway.
    fleet.set_receiving(Some(Uptime::default()));
    fleet
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, group_open: true, pass_ms: 50, ..LoadReport::default() }
}

/// Requirements of a stream with a gap objective of 120 ms.
fn needs(tried: &[String]) -> Requirements<'_> {
    Requirements {
        service: "s",
        tried,
        max_load: 1.06,
        gap_ms: 120.0,
        stream: None,
        homes: Homes::default(),
    }
}

fn choose(fleet: &Fleet, at: Uptime) -> std::result::Result<String, Refusal> {
    let mut rng = SmallRng::seed_from_u64(3);
    fleet.choose(needs(&[]), at, &mut rng).map(|server| server.id)
}

#[googletest::test]
fn an_older_list_is_ignored() {
    let mut fleet = fleet(&["a", "b"]);
    let older = listed(4, BTreeMap::new());
    expect_that!(fleet.replace(older, false, Uptime::from_secs(1)), eq(false));
    expect_that!(fleet.directory().servers.len(), eq(2));
}

#[googletest::test]
fn a_server_missing_from_the_list_is_a_last_resort_for_a_moment() {
    let mut fleet = fleet(&["a"]);
    let gone = listed(6, BTreeMap::new());
    fleet.confirm_list(Uptime::from_secs(1));
    fleet.replace(gone, false, Uptime::from_secs(1));
    expect_that!(choose(&fleet, Uptime::from_millis(1_500)), ok(eq("a")));
    expect_that!(choose(&fleet, Uptime::from_secs(3)), err(eq(&Refusal::NoServer)));
    // A leaving server is not used as a last resort.
    let mut fleet = Fleet::new("here");
    let servers = [server("a", ServerState::Leaving)].into();
    fleet.replace(listed(1, servers), false, Uptime::default());
    expect_that!(choose(&fleet, Uptime::default()), err(eq(&Refusal::NoServer)));
}

/// Guards against requests that reach a server after its drain time, when the gateways that watch
/// the store were killed as its entry went, so that the others hear of it late.
#[googletest::test]
fn last_resort_ends_in_the_drain_time_when_news_is_late() {
    let confirmed = Uptime::from_secs(1);
    let gone = || listed(6, BTreeMap::new());
    for delay_ms in [0, 300, 1_300, 1_900, 5_000] {
        let mut fleet = fleet(&["a"]);
        fleet.confirm_list(confirmed);
        let arrival = confirmed + Duration::from_millis(delay_ms);
        fleet.replace(gone(), false, arrival);
        // Older news does not make the list more recent.
        fleet.confirm_list(Uptime::from_millis(500));
        let last = confirmed + DRAIN_TIME;
        for ms in (0..3_000).step_by(100) {
            let at = arrival + Duration::from_millis(ms);
            let is_used = choose(&fleet, at).is_ok();
            expect_that!(is_used && at >= last, eq(false), "news after {delay_ms} ms, at {at:?}");
        }
    }
    // Prompt news leaves most of the drain time.
    let mut fleet = fleet(&["a"]);
    fleet.confirm_list(confirmed);
    fleet.replace(gone(), false, confirmed + Duration::from_millis(200));
    expect_that!(choose(&fleet, confirmed + Duration::from_millis(1_400)), ok(eq("a")));
}

/// Guards against overloading the first servers whose expired entries reappear after an outage.
#[googletest::test]
fn servers_that_expire_in_an_outage_are_used_until_they_reappear_or_time_out() {
    let both = ["a".to_owned(), "b".to_owned()];
    let found = |fleet: &Fleet, ms: u64, tried: &[String]| {
        let mut rng = SmallRng::seed_from_u64(3);
        fleet.choose(needs(tried), Uptime::from_millis(ms), &mut rng).map(|found| found.id)
    };
    let mut fleet = fleet(&["a", "b"]);
    fleet.replace(listed(6, BTreeMap::new()), true, Uptime::from_secs(1));
    expect_that!(found(&fleet, 2_000, &both[..1]), ok(eq("b")));
    // The next lists lack the same servers.
    let back = [server("a", ServerState::Ready)];
    fleet.replace(listed(7, back.into()), false, Uptime::from_millis(1_200));
    expect_that!(found(&fleet, 3_100, &both[..1]), ok(eq("b")));
    expect_that!(fleet.directory().expired.iter().collect::<Vec<_>>(), eq(&[&both[1]]));
    // Another gateway takes the server over as expired.
    let mut other = self::fleet(&["a"]);
    other.replace(fleet.directory().clone(), false, Uptime::from_secs(2));
    expect_that!(found(&other, 4_100, &both[..1]), ok(eq("b")));
    expect_that!(found(&other, 4_200, &both[..1]), err(eq(&Refusal::NoServer)));

    expect_that!(found(&fleet, 3_200, &both[..1]), err(eq(&Refusal::NoServer)));
    expect_that!(fleet.drop_expired(Uptime::from_millis(3_100)), is_empty());
    expect_that!(fleet.drop_expired(Uptime::from_millis(3_200)), eq(&both[1..]));
    expect_that!(fleet.directory().servers.len(), eq(1));
}

/// A server whose entry reappears is used as before; a leaving one gets no requests.
#[googletest::test]
fn a_server_that_reappears_no_longer_counts_as_expired() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.replace(listed(6, BTreeMap::new()), true, Uptime::from_secs(1));
    let back = [server("a", ServerState::Ready), server("b", ServerState::Leaving)];
    fleet.replace(listed(7, back.into()), false, Uptime::from_secs(2));
    expect_that!(fleet.directory().expired, is_empty());
    expect_that!(fleet.drop_expired(Uptime::from_secs(60)), is_empty());
    expect_that!(choose(&fleet, Uptime::from_secs(60)), ok(eq("a")));
    let mut rng = SmallRng::seed_from_u64(3);
    let other = fleet.choose(needs(&["a".to_owned()]), Uptime::from_secs(60), &mut rng);
    expect_that!(other, err(eq(&Refusal::NoServer)));
}

/// After a power failure the list has entries of the servers before and after it.
#[googletest::test]
fn only_the_newest_server_at_an_address_is_used() {
    let mut fleet = Fleet::new("here");
    let mut servers: BTreeMap<String, Server> =
        [server("a", ServerState::Ready), server("b", ServerState::Ready)].into();
    servers.get_mut("b").expect("listed").changed = Revision::new(0, 9);
    fleet.replace(listed(9, servers.clone()), false, Uptime::default());
    let now = Uptime::from_secs(1);
    expect_that!(choose(&fleet, now), ok(eq("b")));
    let tried = ["b".to_owned()];
    let other = fleet.choose(needs(&tried), now, &mut SmallRng::seed_from_u64(3));
    expect_that!(other, err(eq(&Refusal::NoServer)));
    // When the newer server leaves, the older entry is not used either.
    servers.get_mut("b").expect("listed").state = ServerState::Leaving;
    fleet.replace(listed(10, servers), false, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::NoServer)));
}

#[googletest::test]
fn a_refusal_below_capacity_stalls_the_whole_group() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    let of = |group: &str| LoadReport { group: Some(group.to_owned()), ..report(2) };
    fleet.record_report("a", of("one"), now);
    fleet.record_report("b", of("one"), now);
    fleet.record_report("c", LoadReport { running: 7, ..of("two") }, now);
    // A refusal of a full server says nothing about its group.
    fleet.record_refused("a", 950, now);
    expect_that!(choose(&fleet, now), not(ok(eq("c"))));
    fleet.record_refused("a", 200, now);
    expect_that!(choose(&fleet, now), ok(eq("c")));
    fleet.record_refused("c", 700, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Stalled)));
    // A report ends the stall.
    fleet.record_report("b", of("one"), now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
}

#[googletest::test]
fn load_pass_time_and_silence_decide_among_servers() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    fleet.record_report("a", report(9), now);
    fleet.record_report("b", report(3), now);
    fleet.record_report("c", LoadReport { pass_ms: 400, ..report(0) }, now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
    // Requests sent since the report are added to it.
    (0..7).for_each(|_| fleet.record_sent("b", now));
    expect_that!(choose(&fleet, now), ok(eq("a")));
    (0..2).for_each(|_| fleet.record_sent("a", now));
    fleet.record_sent("b", now);
    // A server with slow passes is better than a refusal.
    expect_that!(choose(&fleet, now), ok(eq("c")));
    (0..11).for_each(|_| fleet.record_sent("c", now));
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
    // A silent sidecar means that its server is unreachable.
    let later = now + Duration::from_millis(900);
    fleet.record_report("a", report(9), later);
    fleet.record_report("c", LoadReport { pass_ms: 60, ..report(10) }, later);
    expect_that!(choose(&fleet, later), ok(eq("a")));
    expect_that!(fleet.is_stuck("b", 0, later), eq(true));
    // Stalled groups are distinguished from full ones.
    for id in ["a", "b", "c"] {
        fleet.record_report(id, LoadReport { group_open: false, ..report(0) }, later);
    }
    expect_that!(choose(&fleet, later), err(eq(&Refusal::Stalled)));
}

#[googletest::test]
fn a_server_that_never_reported_is_avoided_only_if_most_others_report() {
    let start = Uptime::from_secs(10);
    let later = start + Duration::from_millis(900);
    let listed = |ids: &[&str]| {
        let mut fleet = Fleet::new("here");
        let servers = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
        fleet.replace(listed(5, servers), false, start);
        fleet
    };
    let mut fleet = listed(&["a", "b", "c"]);
    fleet.record_report("a", report(9), later);
    expect_that!(fleet.is_stuck("c", 0, later), eq(false));
    fleet.record_report("b", report(8), later);
    // A gateway that has just started can't know whether the sidecar ever reported.
    expect_that!(fleet.is_stuck("c", 0, later), eq(true));
    expect_that!(choose(&fleet, later), ok(eq("b")));
    // A server without a sidecar is used again later.
    let much_later = start + Duration::from_secs(5);
    fleet.record_report("a", report(9), much_later);
    fleet.record_report("b", report(8), much_later);
    expect_that!(choose(&fleet, much_later), ok(eq("c")));
    // Servers of plain services have no sidecars.
    expect_that!(listed(&["a", "b"]).is_stuck("a", 0, later), eq(false));
}

/// The sidecar beside a server may restart while the server goes on.
#[googletest::test]
fn server_that_answers_is_not_stuck_while_its_sidecar_is_silent() {
    let start = Uptime::from_secs(10);
    let after = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(&["a", "b"]);
    for id in ["a", "b"] {
        fleet.record_report(id, report(2), start);
    }
    fleet.record_answered("a", 0, after(600));
    expect_that!(fleet.is_stuck("a", 0, after(1_200)), eq(false));
    expect_that!(fleet.is_stuck("b", 0, after(1_200)), eq(true));
    expect_that!(fleet.time_to_stuck("a", after(1_200)), some(eq(Duration::from_millis(100))));
    // It has sent nothing since, either.
    expect_that!(fleet.is_stuck("a", 0, after(1_300)), eq(true));
    // A later incarnation proves that the earlier one has ended.
    fleet.record_answered("a", 0, after(1_400));
    fleet.record_report("a", LoadReport { incarnation: 2, ..report(0) }, after(1_500));
    fleet.record_report("a", LoadReport { incarnation: 3, ..report(0) }, after(1_500));
    expect_that!(fleet.is_stuck("a", 2, after(1_500)), eq(true));
}

#[googletest::test]
fn a_server_is_stuck_from_the_predicted_moment() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    expect_that!(fleet.time_to_stuck("a", now), none());
    fleet.record_report("a", report(1), now);
    let soon = fleet.time_to_stuck("a", now).unwrap_or_default();
    let just_before = now + soon - Duration::from_millis(1);
    expect_that!(fleet.is_stuck("a", 0, just_before), eq(false));
    expect_that!(fleet.is_stuck("a", 0, now + soon), eq(true));
    expect_that!(fleet.time_to_stuck("a", now + soon), none());
}

/// New streams avoid a group before its passes exceed the gap objective; if all groups are full,
/// a slow one is preferred to a refusal.
#[googletest::test]
fn a_group_is_avoided_before_its_passes_are_too_long() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    fleet.record_report("a", LoadReport { pass_ms: 140, ..report(3) }, now);
    fleet.record_report("b", LoadReport { pass_ms: 60, ..report(7) }, now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
    fleet.record_report("b", LoadReport { pass_ms: 145, ..report(7) }, now);
    expect_that!(choose(&fleet, now), ok(eq("a")));
    // Only load counts for a request without a gap objective.
    let plain = |fleet: &Fleet| {
        let needs = Requirements { gap_ms: 0.0, ..needs(&[]) };
        fleet.choose(needs, now, &mut SmallRng::seed_from_u64(3)).map(|server| server.id)
    };
    fleet.record_report("b", LoadReport { pass_ms: 60, ..report(4) }, now);
    expect_that!(plain(&fleet), ok(eq("a")));
    fleet.record_report("b", LoadReport { pass_ms: 60, ..report(11) }, now);
    fleet.record_report("a", LoadReport { pass_ms: 300, ..report(3) }, now);
    expect_that!(choose(&fleet, now), ok(eq("a")));
    // A slow server still has a load limit.
    fleet.record_report("a", LoadReport { pass_ms: 300, ..report(11) }, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
    // A group waits for its slowest server, which gets fewer requests.
    fleet.record_report("a", LoadReport { slowdown_milli: 4_000, ..report(2) }, now);
    fleet.record_report("b", report(7), now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
}

/// Forecasts reflect a shift of demand before sidecars can measure it.
#[googletest::test]
fn pass_forecasts_take_precedence_over_measured_passes() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a"]);
    fleet.record_report("a", LoadReport { group: Some("one".to_owned()), ..report(3) }, now);
    let pass_ms = |fleet: &Fleet, now: Uptime| {
        let chosen = fleet.choose(needs(&[]), now, &mut SmallRng::seed_from_u64(3));
        chosen.map(|server| server.pass_ms)
    };
    expect_that!(pass_ms(&fleet, now), ok(approx_eq(50.0)));
    fleet.record_forecast("one", (1, 1), 170, now);
    fleet.record_forecast("another", (1, 1), 20, now);
    expect_that!(pass_ms(&fleet, now), ok(approx_eq(170.0)));
    // Forecasts end when the map is active.
    expect_that!(pass_ms(&fleet, now + Duration::from_millis(400)), ok(approx_eq(50.0)));
}

/// A gateway in a partitioned hall must refuse at once while its hall's group is stalled, instead
/// of trying unreachable servers of other halls one by one.
#[googletest::test]
fn silent_servers_are_not_tried_while_reporting_ones_are_stalled() {
    let start = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c", "d"]);
    for id in ["a", "b", "c", "d"] {
        fleet.record_report(id, report(2), start);
    }
    let now = start + Duration::from_millis(900);
    fleet.record_report("a", LoadReport { group_open: false, ..report(2) }, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Stalled)));
    // If the reachable server is full, servers with silent sidecars may still work.
    fleet.record_report("a", report(11), now);
    expect_that!(choose(&fleet, now), ok(not(eq("a"))));
    ["b", "c", "d"].iter().for_each(|id| fleet.record_unreachable(id, now));
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
}

#[googletest::test]
fn failed_connections_back_off_until_the_server_answers() {
    let mut fleet = fleet(&["a", "b"]);
    let mut tries = Vec::new();
    for ms in (10_000..20_000).step_by(100) {
        let now = Uptime::from_millis(ms);
        let tried = ["b".to_owned()];
        let other = fleet.choose(needs(&tried), now, &mut SmallRng::seed_from_u64(3));
        // The only remaining server is tried in any case.
        expect_that!(other.is_ok(), eq(true));
        fleet.record_sent("b", now);
        if choose(&fleet, now) == Ok("a".to_owned()) {
            tries.push(ms);
            fleet.record_unreachable("a", now);
        }
    }
    expect_that!(tries, eq(&vec![10_000, 11_000, 13_000, 17_000]));
    fleet.record_answered("a", 0, Uptime::from_millis(17_900));
    expect_that!(choose(&fleet, Uptime::from_millis(18_000)), ok(eq("a")));
}

#[googletest::test]
fn servers_are_used_if_all_are_unreachable() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    ["a", "b", "c"].iter().for_each(|id| fleet.record_unreachable(id, now));
    expect_that!(choose(&fleet, now), ok(anything()));
}

/// A gateway that gets forwarded reports must not take all servers for silent when forwarding
/// stops; it avoids those that are silent in the forwarded reports.
#[googletest::test]
fn silence_counts_up_to_the_last_forwarded_report() {
    let start = Uptime::from_secs(10);
    let after = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_receiving(None);
    for id in ["a", "b"] {
        fleet.record_forwarded(id, report(2), Duration::ZERO, start);
    }
    expect_that!(fleet.is_stuck("a", 0, after(5_000)), eq(false));
    fleet.record_forwarded("a", report(2), Duration::from_millis(900), after(900));
    fleet.record_forwarded("b", report(2), Duration::from_millis(100), after(900));
    expect_that!(fleet.is_stuck("a", 0, after(900)), eq(true));
    expect_that!(choose(&fleet, after(900)), ok(eq("b")));
    // A gateway that has just begun to receive reports waits for them.
    fleet.set_receiving(Some(after(900)));
    expect_that!(fleet.is_stuck("b", 0, after(2_000)), eq(false));
    fleet.record_report("a", report(2), after(3_000));
    expect_that!(fleet.is_stuck("b", 0, after(3_000)), eq(true));
    expect_that!(fleet.is_stuck("a", 0, after(3_000)), eq(false));
}

/// A report made before a request was sent does not include it, however late it arrives.
#[googletest::test]
fn requests_sent_after_a_report_are_added_to_it() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    for id in ["a", "b"] {
        fleet.record_report(id, report(2), now);
    }
    let sent = now + Duration::from_millis(100);
    (0..4).for_each(|_| fleet.record_sent("a", sent));
    let received = now + Duration::from_millis(300);
    fleet.record_forwarded("a", report(3), Duration::from_millis(250), received);
    fleet.record_forwarded("b", report(6), Duration::from_millis(50), received);
    // Three reported and four own requests, against six.
    expect_that!(choose(&fleet, received), ok(eq("b")));
    fleet.record_forwarded("a", report(5), Duration::from_millis(50), received);
    expect_that!(choose(&fleet, received), ok(eq("a")));
}

/// Changes fetched from another gateway yield the same list.
#[googletest::test]
fn changes_of_the_list_yield_the_list() {
    let at = Uptime::from_secs(10);
    let mut ahead = fleet(&["a", "b", "c"]);
    let mut behind = ahead.clone();
    let mut servers = ahead.directory().servers.clone();
    servers.remove("b");
    let (id, mut new) = server("d", ServerState::Ready);
    new.changed = Revision::new(0, 7);
    servers.insert(id, new);
    ahead.replace(listed(7, servers), false, at);
    let change = ahead.changes_since(behind.directory().revision);
    expect_that!(change.is_complete, eq(false));
    expect_that!(change.servers.len(), eq(1));
    expect_that!(change.removed, eq(&vec!["b".to_owned()]));
    let next = behind.directory().changed(change);
    behind.replace(next, false, at);
    expect_that!(behind.directory(), eq(ahead.directory()));
    // The list is complete for a gateway without a list or with one too old.
    expect_that!(ahead.changes_since(Revision::default()).is_complete, eq(true));
    expect_that!(ahead.changes_since(Revision::new(0, 3)).is_complete, eq(true));
}

/// Detects a connection that went silent without a reset while the server serves others.
#[googletest::test]
fn a_stream_without_events_for_many_passes_is_silent() {
    let mut fleet = fleet(&["a"]);
    let report = |running, waiting, pass| LoadReport { waiting, pass, ..report(running) };
    let at = |ms: u64| Uptime::from_millis(3_000 + ms);
    fleet.record_report("a", report(8, 0, 100), at(0));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(10)), eq(false));
    fleet.record_report("a", report(8, 0, 111), at(900));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(910)), eq(false));
    fleet.record_report("a", report(8, 3, 112), at(980));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(990)), eq(true));
    // A request that may still wait for its first event is not considered silent.
    expect_that!(fleet.is_stream_silent("a", 100, false, at(990)), eq(false));
    fleet.record_report("a", report(8, 0, 113), at(1_060));
    expect_that!(fleet.is_stream_silent("a", 100, false, at(1_070)), eq(true));
    // An old report proves nothing.
    expect_that!(fleet.is_stream_silent("a", 100, true, at(1_800)), eq(false));
}
