//! Guards against messages that exceed a datagram in large groups and fleets, and against a
//! coordinator that exchanges messages with every rank of a large group.

use googletest::prelude::*;
use mastweir::gateway::message::{
    COUNTS_PER_DATAGRAM, CoordinatorSeen, Counts, DATAGRAM_MAX, GrantPermits, Hello,
    LIMITS_PER_DATAGRAM, LOADS_PER_DATAGRAM, Loads, Message, Poll, RANKS_PER_DATAGRAM, RankReport,
    RankStatus, RequestPermits, ServerGrant, ServerLoad, SubtreeReport,
};
use mastweir_core::{
    gateway::{EvacuationList, LimitUpdate, LoadReport, PeerInfo, Rate, WatchState},
    revision::Revision,
    switch::{
        map_change::RankState,
        maps::MapDelta,
        subtrees::{GroupMember, GroupMembers, subtrees},
    },
    time::Uptime,
};
use std::net::{IpAddr, SocketAddr};

fn ip(number: usize) -> IpAddr {
    IpAddr::from([10, 120, (number / 250) as u8, (number % 250) as u8 + 1])
}

fn server(number: usize) -> SocketAddr {
    SocketAddr::new(ip(number), 18_286)
}

/// Status of a rank with numbers as large as after a month.
fn status(number: usize) -> RankStatus {
    let state = RankState {
        epoch: 1_000,
        rank: number as u32,
        size: 512,
        open: true,
        busy: true,
        pass: 40_000_000,
        order_seq: 1_000_000,
        map: 900 << 20,
        loaded: Some((901 << 20) + 7),
        scheduled: Some(((901 << 20) + 7, 40_000_002)),
        paused: Some(40_000_002),
    };
    let read_at = Uptime::from_secs(2_600_000);
    RankStatus {
        server: server(number),
        state,
        load: 100,
        slowdown_milli: 20_000,
        incarnation: 1_790_000_000_000,
        read_at,
    }
}

fn size(message: &Message) -> usize {
    postcard::to_stdvec(message).map_or(usize::MAX, |bytes| bytes.len())
}

fn group() -> String {
    "assistant-group-0001".to_owned()
}

fn counts(count: u32, of: usize) -> Counts {
    Counts { offset: 100_000, counts: vec![count; of], is_last: true }
}

#[googletest::test]
fn datagrams_fit_at_512_ranks() {
    let members: GroupMembers = (0..512)
        .map(|number| {
            (
                server(number),
                GroupMember { hall: format!("hall-{}", number % 7), ..GroupMember::default() },
            )
        })
        .collect();
    let all = subtrees(&members, Uptime::default());
    let longest = all.iter().map(Vec::len).max().unwrap_or(0);
    let poll = Message::Poll(Poll {
        group: group(),
        token: 900,
        coordinator: ip(1),
        round: 20_000_000,
        since: 19_999_999,
        sets: Some((12, 16)),
        subtree: (0..longest).map(ip).collect(),
    });
    let rank = Message::Rank(RankReport {
        group: group(),
        round: 20_000_000,
        rank: Some(status(500)),
        counts: counts(10_000, COUNTS_PER_DATAGRAM),
    });
    let states = Message::Subtree(SubtreeReport {
        group: group(),
        round: 20_000_000,
        ranks: (0..RANKS_PER_DATAGRAM).map(status).collect(),
        counts: Counts::default(),
    });
    let sums = Message::Subtree(SubtreeReport {
        group: group(),
        round: 20_000_000,
        ranks: Vec::new(),
        counts: counts(1_000_000, COUNTS_PER_DATAGRAM),
    });
    let report = LoadReport {
        running: 20,
        waiting: 300,
        memory_milli: 1_000,
        group: None,
        group_open: true,
        pass: 40_000_000,
        pass_ms: 300,
        slowdown_milli: 20_000,
        incarnation: 1_790_000_000_000,
        leaving: true,
        limit: Rate::per_second(1e9),
    };
    let load =
        |at| ServerLoad { server: server(at), age_ms: 9_000, group: Some(3), load: report.clone() };
    let coordinator = |at| CoordinatorSeen {
        group: group(),
        token: 900,
        round: 20_000_000,
        ip: ip(at),
        age_ms: 4_000,
    };
    let loads = Message::Loads(Loads {
        groups: (0..4).map(|_| group()).collect(),
        loads: (0..LOADS_PER_DATAGRAM).map(load).collect(),
        coordinators: Vec::new(),
        followers: 4_000,
    });
    let coordinators = Message::Loads(Loads {
        coordinators: (0..16).map(coordinator).collect(),
        ..Loads::default()
    });
    let named = |at| PeerInfo { ip: ip(at), hall: "region-1-hall-a".to_owned(), power: 16_000 };
    let hello = Message::Hello(Hello {
        hall: "region-1-hall-a".to_owned(),
        power: 16_000,
        config: 1_000_000,
        directory: Revision::new(1 << 20, 1 << 40),
        evacuations: EvacuationList {
            revision: Revision::new(1 << 20, 1 << 40),
            halls: (1..=7).map(|at| format!("region-{at}-hall-a")).collect(),
        },
        leaving: false,
        wants_reply: true,
        is_follower: true,
        hall_size: 59,
        fleet_size: 410,
        known_peers: (0..42).map(named).collect(),
        watch: WatchState { answer_age_ms: Some(u32::MAX), watchers: vec![ip(1), ip(2)] },
        directory_age_ms: u32::MAX,
    });
    let id = |at: usize| format!("i-{:020}", u64::MAX - at as u64);
    let limits = Message::Limits(
        (0..LIMITS_PER_DATAGRAM)
            .map(|at| LimitUpdate {
                server: id(at),
                incarnation: 1_790_000_000_000,
                rate: Rate::per_second(1e9),
                sent_ms: 4_000_000,
                received_ms: 4_000_000,
            })
            .collect(),
    );
    // All services of a table with four of their servers each.
    let servers = 28;
    let permit_request = Message::RequestPermits(RequestPermits {
        number: u64::MAX,
        wanted: (0..servers).map(|at| (id(at), 64)).collect(),
    });
    let grant = |at| ServerGrant { server: id(at), count: 0, wait_ms: 4_000 };
    let permit_grant = Message::GrantPermits(GrantPermits {
        number: u64::MAX,
        grants: (0..servers).map(grant).collect(),
    });
    for message in [
        &poll,
        &rank,
        &states,
        &sums,
        &loads,
        &coordinators,
        &hello,
        &limits,
        &permit_request,
        &permit_grant,
    ] {
        expect_that!(size(message), le(DATAGRAM_MAX), "{message:?}");
    }
}

/// The number of a coordinator's messages must grow with the square root of its ranks.
#[googletest::test]
fn coordinators_reach_large_groups_through_few_aggregators() {
    let mut sizes = Vec::new();
    for (ranks, halls) in [(2, 2), (12, 3), (32, 3), (96, 5), (512, 7)] {
        let member = |number: usize| {
            let hall = format!("hall-{}", number % halls);
            (server(number), GroupMember { hall, ..GroupMember::default() })
        };
        let members: GroupMembers = (0..ranks).map(member).collect();
        let parts = subtrees(&members, Uptime::default());
        let total: usize = parts.iter().map(Vec::len).sum();
        expect_that!(total, eq(ranks));
        for part in &parts {
            let hall = &members[&part[0]].hall;
            expect_that!(part.iter().all(|addr| members[addr].hall == *hall), eq(true));
        }
        let longest = parts.iter().map(Vec::len).max().unwrap_or(0);
        sizes.push((ranks, parts.len(), longest));
    }
    let expected = vec![(2, 2, 1), (12, 12, 1), (32, 6, 6), (96, 10, 10), (512, 28, 19)];
    expect_that!(sizes, eq(&expected));
}

/// A rank that is silent or failed to answer is not chosen as aggregator while another answers.
#[googletest::test]
fn silent_ranks_are_not_chosen_as_aggregators() {
    let now = Uptime::from_secs(10);
    let mut members: GroupMembers = (0..32)
        .map(|number| {
            let last_seen = Some(now);
            (
                server(number),
                GroupMember { hall: "a".to_owned(), last_seen, ..GroupMember::default() },
            )
        })
        .collect();
    expect_that!(subtrees(&members, now)[0][0], eq(server(0)));
    members.entry(server(0)).and_modify(|member| member.last_failure = Some(now));
    expect_that!(subtrees(&members, now)[0][0], eq(server(1)));
    members.entry(server(1)).and_modify(|member| member.last_seen = None);
    expect_that!(subtrees(&members, now)[0][0], eq(server(2)));
    let later = now + std::time::Duration::from_secs(3);
    let all_silent = subtrees(&members, later);
    expect_that!(all_silent[0][0], eq(server(0)));
}

/// A map change must be sent as a delta: the full map of 512 ranks takes 40 KB per subtree.
#[googletest::test]
fn map_deltas_are_much_smaller_than_full_maps() {
    let full = vec![vec![vec![190_u16; 3]; 512]; 16];
    let changes = (0..500).map(|at: u16| (at % 16, at, vec![190_u16, 180, 170])).collect();
    let delta = |full, changes| MapDelta {
        version: (900 << 20) + 2,
        base: (900 << 20) + 1,
        digest: u64::MAX,
        changes,
        full,
    };
    let bytes = |delta: &MapDelta| postcard::to_stdvec(delta).map_or(0, |bytes| bytes.len());
    expect_that!(bytes(&delta(Some(full), Vec::new())), gt(40_000));
    expect_that!(bytes(&delta(None, changes)), lt(6_000));
}
