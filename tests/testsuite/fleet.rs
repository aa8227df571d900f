//! The choice among servers: load, pace, silence, refusals, and lives that ended.

use googletest::prelude::*;
use mastweir_core::{
    gateway::{Directory, Fleet, LoadReport, Refusal, Requirements, Server, ServerState},
    revision::Revision,
    time::Uptime,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};

pub fn server(id: &str, state: ServerState) -> (String, Server) {
    let server = Server {
        id: id.to_owned(),
        incarnation: 0,
        service: "s".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        hall: "here".to_owned(),
        slots: 10,
        state,
        changed: Revision::new(0, 1),
    };
    (id.to_owned(), server)
}

pub fn listed(number: u64, servers: BTreeMap<String, Server>) -> Directory {
    listed_in(0, number, servers)
}

/// A list of an era of the store.
pub fn listed_in(era: u64, number: u64, servers: BTreeMap<String, Server>) -> Directory {
    Directory { revision: Revision::new(era, number), servers, ..Directory::default() }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("here");
    let servers = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
    fleet.replace(listed(5, servers), false, Uptime::default());
    // Its sidecars report to it.
    fleet.set_receiving(Some(Uptime::default()));
    fleet
}

fn told(running: u32) -> LoadReport {
    LoadReport { running, group_open: true, pass_ms: 50, ..LoadReport::default() }
}

/// A stream that may pause for 120 ms.
const fn needs(tried: &[String]) -> Requirements<'_> {
    Requirements { service: "s", tried, max_load: 1.06, gap_ms: 120.0, stream: None }
}

fn choose(fleet: &Fleet, at: Uptime) -> std::result::Result<String, Refusal> {
    let mut rng = SmallRng::seed_from_u64(3);
    fleet.choose(needs(&[]), at, &mut rng).map(|server| server.id)
}

#[googletest::test]
fn an_older_list_changes_nothing() {
    let mut fleet = fleet(&["a", "b"]);
    let older = listed(4, BTreeMap::new());
    expect_that!(fleet.replace(older, false, Uptime::from_secs(1)), eq(false));
    expect_that!(fleet.directory().servers.len(), eq(2));
}

#[googletest::test]
fn a_server_that_left_the_list_is_a_last_resort_for_a_moment() {
    let mut fleet = fleet(&["a"]);
    let gone = listed(6, BTreeMap::new());
    fleet.replace(gone, false, Uptime::from_secs(1));
    expect_that!(choose(&fleet, Uptime::from_millis(1_500)), ok(eq("a")));
    expect_that!(choose(&fleet, Uptime::from_secs(3)), err(eq(&Refusal::NoServer)));
    // One that said it leaves is none.
    let mut fleet = Fleet::new("here");
    let servers = [server("a", ServerState::Leaving)].into();
    fleet.replace(listed(1, servers), false, Uptime::default());
    expect_that!(choose(&fleet, Uptime::default()), err(eq(&Refusal::NoServer)));
}

/// Entries lapse while the platform's list is away, and come back one by one. The first
/// few would get all requests.
#[googletest::test]
fn what_lapsed_in_an_outage_is_used_until_it_is_back_or_gone() {
    let both = ["a".to_owned(), "b".to_owned()];
    let found = |fleet: &Fleet, ms: u64, tried: &[String]| {
        let mut rng = SmallRng::seed_from_u64(3);
        fleet.choose(needs(tried), Uptime::from_millis(ms), &mut rng).map(|found| found.id)
    };
    let mut fleet = fleet(&["a", "b"]);
    fleet.replace(listed(6, BTreeMap::new()), true, Uptime::from_secs(1));
    expect_that!(found(&fleet, 2_000, &both[..1]), ok(eq("b")));
    // Lists that follow at once lack the same ones.
    let back = [server("a", ServerState::Ready)];
    fleet.replace(listed(7, back.into()), false, Uptime::from_millis(1_200));
    expect_that!(found(&fleet, 3_100, &both[..1]), ok(eq("b")));
    expect_that!(fleet.directory().expired.iter().collect::<Vec<_>>(), eq(&[&both[1]]));
    // Another gateway takes it over as lapsed.
    let mut other = self::fleet(&["a"]);
    other.replace(fleet.directory().clone(), false, Uptime::from_secs(2));
    expect_that!(found(&other, 4_100, &both[..1]), ok(eq("b")));
    expect_that!(found(&other, 4_200, &both[..1]), err(eq(&Refusal::NoServer)));

    expect_that!(found(&fleet, 3_200, &both[..1]), err(eq(&Refusal::NoServer)));
    expect_that!(fleet.drop_expired(Uptime::from_millis(3_100)), is_empty());
    expect_that!(fleet.drop_expired(Uptime::from_millis(3_200)), eq(&both[1..]));
    expect_that!(fleet.directory().servers.len(), eq(1));
}

/// A server that comes back is a server like the others; one that says that it leaves
/// gets nothing.
#[googletest::test]
fn a_server_that_is_back_no_longer_counts_as_lapsed() {
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

/// After all lost power the list names the lives before and the new ones.
#[googletest::test]
fn of_two_lives_at_one_address_only_the_newer_is_used() {
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
    // When the newer one leaves, the older is no server either.
    servers.get_mut("b").expect("listed").state = ServerState::Leaving;
    fleet.replace(listed(10, servers), false, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::NoServer)));
}

#[googletest::test]
fn a_refusal_with_room_speaks_for_the_whole_group() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    let of = |group: &str| LoadReport { group: Some(group.to_owned()), ..told(2) };
    fleet.record_report("a", of("one"), now);
    fleet.record_report("b", of("one"), now);
    fleet.record_report("c", LoadReport { running: 7, ..of("two") }, now);
    // One that is full says nothing of its group.
    fleet.record_refused("a", 950, now);
    expect_that!(choose(&fleet, now), not(ok(eq("c"))));
    fleet.record_refused("a", 200, now);
    expect_that!(choose(&fleet, now), ok(eq("c")));
    fleet.record_refused("c", 700, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Stalled)));
    // A report says when it goes on.
    fleet.record_report("b", of("one"), now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
}

#[googletest::test]
fn load_pace_and_silence_decide_among_servers() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    fleet.record_report("a", told(9), now);
    fleet.record_report("b", told(3), now);
    fleet.record_report("c", LoadReport { pass_ms: 400, ..told(0) }, now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
    // Requests sent since the report count on top of it.
    (0..7).for_each(|_| fleet.record_sent("b", now));
    expect_that!(choose(&fleet, now), ok(eq("a")));
    (0..2).for_each(|_| fleet.record_sent("a", now));
    fleet.record_sent("b", now);
    // Streams are late there in any case, which is better than none.
    expect_that!(choose(&fleet, now), ok(eq("c")));
    (0..11).for_each(|_| fleet.record_sent("c", now));
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
    // A sidecar that has fallen silent stands for a server that can't be reached.
    let later = now + Duration::from_millis(900);
    fleet.record_report("a", told(9), later);
    fleet.record_report("c", LoadReport { pass_ms: 60, ..told(10) }, later);
    expect_that!(choose(&fleet, later), ok(eq("a")));
    expect_that!(fleet.is_stuck("b", 0, later), eq(true));
    // Groups that stand still are told apart from full ones.
    for id in ["a", "b", "c"] {
        fleet.record_report(id, LoadReport { group_open: false, ..told(0) }, later);
    }
    expect_that!(choose(&fleet, later), err(eq(&Refusal::Stalled)));
}

#[googletest::test]
fn a_server_never_heard_is_left_only_where_the_others_report() {
    let start = Uptime::from_secs(10);
    let later = start + Duration::from_millis(900);
    let listed = |ids: &[&str]| {
        let mut fleet = Fleet::new("here");
        let servers = ids.iter().map(|id| server(id, ServerState::Ready)).collect();
        fleet.replace(listed(5, servers), false, start);
        fleet
    };
    let mut fleet = listed(&["a", "b", "c"]);
    fleet.record_report("a", told(9), later);
    expect_that!(fleet.is_stuck("c", 0, later), eq(false));
    fleet.record_report("b", told(8), later);
    // A gateway that has just started can't know that it ever reported.
    expect_that!(fleet.is_stuck("c", 0, later), eq(true));
    expect_that!(choose(&fleet, later), ok(eq("b")));
    // One without a sidecar is not left for ever.
    let much_later = start + Duration::from_secs(5);
    fleet.record_report("a", told(9), much_later);
    fleet.record_report("b", told(8), much_later);
    expect_that!(choose(&fleet, much_later), ok(eq("c")));
    // Servers of plain services have none at all.
    expect_that!(listed(&["a", "b"]).is_stuck("a", 0, later), eq(false));
}

#[googletest::test]
fn a_server_is_stuck_from_the_moment_told_before() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    expect_that!(fleet.time_to_stuck("a", now), none());
    fleet.record_report("a", told(1), now);
    let soon = fleet.time_to_stuck("a", now).unwrap_or_default();
    let just_before = now + soon - Duration::from_millis(1);
    expect_that!(fleet.is_stuck("a", 0, just_before), eq(false));
    expect_that!(fleet.is_stuck("a", 0, now + soon), eq(true));
    expect_that!(fleet.time_to_stuck("a", now + soon), none());
}

/// Before all streams of a group come late, the next go to another; where all groups
/// are full, to one whose streams are late anyway, rather than nowhere.
#[googletest::test]
fn a_group_is_spared_before_its_passes_are_too_long() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    fleet.record_report("a", LoadReport { pass_ms: 140, ..told(3) }, now);
    fleet.record_report("b", LoadReport { pass_ms: 60, ..told(7) }, now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
    fleet.record_report("b", LoadReport { pass_ms: 145, ..told(7) }, now);
    expect_that!(choose(&fleet, now), ok(eq("a")));
    // For a request that is no stream, load alone counts.
    let plain = |fleet: &Fleet| {
        let needs = Requirements { gap_ms: 0.0, ..needs(&[]) };
        fleet.choose(needs, now, &mut SmallRng::seed_from_u64(3)).map(|server| server.id)
    };
    fleet.record_report("b", LoadReport { pass_ms: 60, ..told(4) }, now);
    expect_that!(plain(&fleet), ok(eq("a")));
    fleet.record_report("b", LoadReport { pass_ms: 60, ..told(11) }, now);
    fleet.record_report("a", LoadReport { pass_ms: 300, ..told(3) }, now);
    expect_that!(choose(&fleet, now), ok(eq("a")));
    // It has room for so many, too.
    fleet.record_report("a", LoadReport { pass_ms: 300, ..told(11) }, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
    // All in a group wait for its slow server, so that gets little.
    fleet.record_report("a", LoadReport { slowdown_milli: 4_000, ..told(2) }, now);
    fleet.record_report("b", told(7), now);
    expect_that!(choose(&fleet, now), ok(eq("b")));
}

/// Passes grow the moment that demand shifts; sidecars see it some passes later.
#[googletest::test]
fn a_coordinators_word_on_passes_goes_before_what_sidecars_saw() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a"]);
    fleet.record_report("a", LoadReport { group: Some("one".to_owned()), ..told(3) }, now);
    let pass_ms = |fleet: &Fleet, now: Uptime| {
        let chosen = fleet.choose(needs(&[]), now, &mut SmallRng::seed_from_u64(3));
        chosen.map(|server| server.pass_ms)
    };
    expect_that!(pass_ms(&fleet, now), ok(approx_eq(50.0)));
    fleet.record_forecast("one", (1, 1), 170, now);
    fleet.record_forecast("another", (1, 1), 20, now);
    expect_that!(pass_ms(&fleet, now), ok(approx_eq(170.0)));
    // It says nothing more once the map is in force.
    expect_that!(pass_ms(&fleet, now + Duration::from_millis(400)), ok(approx_eq(50.0)));
}

/// A gateway whose hall is cut off hears the servers of its own hall, whose group stands
/// still: it says so at once, rather than try the others, one connection after another.
#[googletest::test]
fn servers_of_other_halls_are_not_tried_while_those_of_ones_own_are_heard() {
    let start = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c", "d"]);
    for id in ["a", "b", "c", "d"] {
        fleet.record_report(id, told(2), start);
    }
    let now = start + Duration::from_millis(900);
    fleet.record_report("a", LoadReport { group_open: false, ..told(2) }, now);
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Stalled)));
    // Where it is full instead, sidecars may be lost and their servers not.
    fleet.record_report("a", told(11), now);
    expect_that!(choose(&fleet, now), ok(not(eq("a"))));
    ["b", "c", "d"].iter().for_each(|id| fleet.record_unreachable(id, now));
    expect_that!(choose(&fleet, now), err(eq(&Refusal::Full)));
}

#[googletest::test]
fn a_server_that_does_not_open_is_tried_less_and_less_until_it_answers() {
    let mut fleet = fleet(&["a", "b"]);
    let mut tries = Vec::new();
    for ms in (10_000..20_000).step_by(100) {
        let now = Uptime::from_millis(ms);
        let tried = ["b".to_owned()];
        let other = fleet.choose(needs(&tried), now, &mut SmallRng::seed_from_u64(3));
        // It is the only one left then, and tried in any case.
        expect_that!(other.is_ok(), eq(true));
        fleet.record_sent("b", now);
        if choose(&fleet, now) == Ok("a".to_owned()) {
            tries.push(ms);
            fleet.record_unreachable("a", now);
        }
    }
    expect_that!(tries, eq(&vec![10_000, 11_000, 13_000, 17_000]));
    fleet.record_reached("a");
    expect_that!(choose(&fleet, Uptime::from_millis(18_000)), ok(eq("a")));
}

#[googletest::test]
fn most_servers_are_never_left_out() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b", "c"]);
    ["a", "b", "c"].iter().for_each(|id| fleet.record_unreachable(id, now));
    expect_that!(choose(&fleet, now), ok(anything()));
}

/// A gateway that hears of servers through others must not take all of them for silent when
/// those fall silent themselves; it leaves out those that they say are.
#[googletest::test]
fn servers_are_silent_as_far_as_those_who_hear_them_say_so() {
    let start = Uptime::from_secs(10);
    let after = |ms| start + Duration::from_millis(ms);
    let mut fleet = fleet(&["a", "b"]);
    fleet.set_receiving(None);
    for id in ["a", "b"] {
        fleet.record_forwarded(id, told(2), Duration::ZERO, start);
    }
    expect_that!(fleet.is_stuck("a", 0, after(5_000)), eq(false));
    fleet.record_forwarded("a", told(2), Duration::from_millis(900), after(900));
    fleet.record_forwarded("b", told(2), Duration::from_millis(100), after(900));
    expect_that!(fleet.is_stuck("a", 0, after(900)), eq(true));
    expect_that!(choose(&fleet, after(900)), ok(eq("b")));
    // One that has just begun to hear sidecars itself has to wait for their reports.
    fleet.set_receiving(Some(after(900)));
    expect_that!(fleet.is_stuck("b", 0, after(2_000)), eq(false));
    fleet.record_report("a", told(2), after(3_000));
    expect_that!(fleet.is_stuck("b", 0, after(3_000)), eq(true));
    expect_that!(fleet.is_stuck("a", 0, after(3_000)), eq(false));
}

/// What was told before a request was sent there can't count it, however late it is heard.
#[googletest::test]
fn requests_count_on_top_of_a_report_that_is_older() {
    let now = Uptime::from_secs(10);
    let mut fleet = fleet(&["a", "b"]);
    for id in ["a", "b"] {
        fleet.record_report(id, told(2), now);
    }
    let sent = now + Duration::from_millis(100);
    (0..4).for_each(|_| fleet.record_sent("a", sent));
    let heard = now + Duration::from_millis(300);
    fleet.record_forwarded("a", told(3), Duration::from_millis(250), heard);
    fleet.record_forwarded("b", told(6), Duration::from_millis(50), heard);
    // Three and the four of its own, against six.
    expect_that!(choose(&fleet, heard), ok(eq("b")));
    fleet.record_forwarded("a", told(5), Duration::from_millis(50), heard);
    expect_that!(choose(&fleet, heard), ok(eq("a")));
}

/// What one gateway fetches from another is what changed, and comes to the same list.
#[googletest::test]
fn a_change_of_the_list_is_as_good_as_the_list() {
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
    // One that knows nothing, or what is no longer remembered, gets all.
    expect_that!(ahead.changes_since(Revision::default()).is_complete, eq(true));
    expect_that!(ahead.changes_since(Revision::new(0, 3)).is_complete, eq(true));
}

/// A connection may go silent without a reset, while its server serves others.
#[googletest::test]
fn a_request_is_missed_that_gets_nothing_of_many_passes() {
    let mut fleet = fleet(&["a"]);
    let told = |running, waiting, pass| LoadReport { waiting, pass, ..told(running) };
    let at = |ms: u64| Uptime::from_millis(3_000 + ms);
    fleet.record_report("a", told(8, 0, 100), at(0));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(10)), eq(false));
    fleet.record_report("a", told(8, 0, 111), at(900));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(910)), eq(false));
    fleet.record_report("a", told(8, 3, 112), at(980));
    expect_that!(fleet.is_stream_silent("a", 100, true, at(990)), eq(true));
    // One that may wait there for its first event is not missed.
    expect_that!(fleet.is_stream_silent("a", 100, false, at(990)), eq(false));
    fleet.record_report("a", told(8, 0, 113), at(1_060));
    expect_that!(fleet.is_stream_silent("a", 100, false, at(1_070)), eq(true));
    // What was heard long ago tells nothing.
    expect_that!(fleet.is_stream_silent("a", 100, true, at(1_800)), eq(false));
}
