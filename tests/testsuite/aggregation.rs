//! What a head gathers from its section, and what becomes of it when polls overtake it.

use googletest::prelude::*;
use mastweir::{
    gateway::message::{Counts, Poll, RankReport, RankStatus},
    sidecar::aggregation::{Aggregator, add_counts},
};
use mastweir_core::{switch::map_change::RankState, time::Uptime};
use std::net::{IpAddr, SocketAddr};

fn ip(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn poll(round: u64) -> Poll {
    Poll {
        group: "g".to_owned(),
        token: 1,
        coordinator: ip(99),
        round,
        since: 0,
        sets: Some((0, 1)),
        subtree: vec![ip(2), ip(3)],
    }
}

fn report(number: u8, round: u64, counts: Vec<u32>) -> RankReport {
    let state = RankState { rank: u32::from(number), ..RankState::default() };
    let rank = RankStatus {
        server: SocketAddr::new(ip(number), 80),
        state,
        load: 1,
        incarnation: 0,
        slowdown_milli: 1_000,
        read_at: Uptime::default(),
    };
    let counts = Counts { offset: 0, counts, is_last: true };
    RankReport { group: "g".to_owned(), round, rank: Some(rank), counts }
}

#[googletest::test]
fn the_sum_is_sent_once_all_have_answered() {
    let mut aggregator = Aggregator::default();
    expect_that!(aggregator.begin(poll(1), (1..=3).map(ip).collect()).is_none(), eq(true));
    for number in 1..=2 {
        let open = aggregator.add(ip(number), report(number, 1, vec![5, 0, 1]));
        expect_that!(open.is_ok_and(|whole| whole.is_none()), eq(true));
    }
    let whole = aggregator.add(ip(3), report(3, 1, vec![1, 2, 3])).ok().flatten();
    let whole = whole.expect("all have answered");
    expect_that!(whole.sums, eq(&vec![11, 2, 5]));
    expect_that!(whole.ranks.len(), eq(3));
    // Nothing is left to be sent later, and what comes late is for the coordinator itself.
    expect_that!(aggregator.finish(1).is_none(), eq(true));
    expect_that!(aggregator.add(ip(3), report(3, 1, Vec::new())).is_err(), eq(true));
}

/// A rank of the section is silent, and polls come sooner than it is given up: what the
/// others say is heard all the same.
#[googletest::test]
fn polls_that_overtake_a_silent_rank_lose_nothing_of_the_others() {
    let mut aggregator = Aggregator::default();
    let mut heard = 0;
    for round in 1..=10 {
        let before = aggregator.begin(poll(round), (1..=3).map(ip).collect());
        heard += before.map_or(0, |before| before.ranks.len());
        for number in 1..=2 {
            let open = aggregator.add(ip(number), report(number, round, Vec::new()));
            expect_that!(open.is_ok_and(|whole| whole.is_none()), eq(true));
        }
    }
    heard += aggregator.finish(10).map_or(0, |rest| rest.ranks.len());
    expect_that!(heard, eq(20));
}

/// Counts whose place is nowhere take no memory.
#[googletest::test]
fn foreign_counts_are_bounded() {
    let mut sums = Vec::new();
    add_counts(&mut sums, &Counts { offset: u32::MAX, counts: vec![1; 400], is_last: true });
    expect_that!(sums.len(), eq(0));
    add_counts(&mut sums, &Counts { offset: 2, counts: vec![u32::MAX], is_last: true });
    add_counts(&mut sums, &Counts { offset: 2, counts: vec![7], is_last: true });
    expect_that!(sums, eq(&vec![0, 0, u32::MAX]));
}
