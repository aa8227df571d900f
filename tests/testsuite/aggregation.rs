//! Guards against loss of answers in the aggregator of a subtree, also while polls follow each
//! other faster than a silent rank times out.

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
fn sums_are_returned_once_when_all_ranks_have_answered() {
    let mut aggregator = Aggregator::default();
    expect_that!(aggregator.begin(poll(1), (1..=3).map(ip).collect()).is_none(), eq(true));
    for number in 1..=2 {
        let open = aggregator.add(ip(number), report(number, 1, vec![5, 0, 1]));
        expect_that!(open.is_ok_and(|complete| complete.is_none()), eq(true));
    }
    let complete = aggregator.add(ip(3), report(3, 1, vec![1, 2, 3])).ok().flatten();
    let complete = complete.expect("all have answered");
    expect_that!(complete.sums, eq(&vec![11, 2, 5]));
    expect_that!(complete.ranks.len(), eq(3));
    // Nothing is left, and late answers are returned.
    expect_that!(aggregator.finish(1).is_none(), eq(true));
    expect_that!(aggregator.add(ip(3), report(3, 1, Vec::new())).is_err(), eq(true));
}

/// One rank is silent. The answers of the others to each poll must be returned all the same.
#[googletest::test]
fn answers_survive_a_new_poll_while_a_rank_is_silent() {
    let mut aggregator = Aggregator::default();
    let mut received = 0;
    for round in 1..=10 {
        let previous = aggregator.begin(poll(round), (1..=3).map(ip).collect());
        received += previous.map_or(0, |previous| previous.ranks.len());
        for number in 1..=2 {
            let open = aggregator.add(ip(number), report(number, round, Vec::new()));
            expect_that!(open.is_ok_and(|complete| complete.is_none()), eq(true));
        }
    }
    received += aggregator.finish(10).map_or(0, |rest| rest.ranks.len());
    expect_that!(received, eq(20));
}

/// Counts of other processes with a huge offset must take no memory.
#[googletest::test]
fn counts_beyond_the_maximum_are_ignored() {
    let mut sums = Vec::new();
    add_counts(&mut sums, &Counts { offset: u32::MAX, counts: vec![1; 400], is_last: true });
    expect_that!(sums.len(), eq(0));
    add_counts(&mut sums, &Counts { offset: 2, counts: vec![u32::MAX], is_last: true });
    add_counts(&mut sums, &Counts { offset: 2, counts: vec![7], is_last: true });
    expect_that!(sums, eq(&vec![0, 0, u32::MAX]));
}
