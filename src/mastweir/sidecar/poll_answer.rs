//! Answers the polls of a group's coordinator, in the sidecar of each rank.
//!
//! A rank reads the state of its server and its counts of expert selections when the poll
//! arrives. The counts of all ranks thus end at nearly the same time, so a shift of demand shows
//! between two polls. The aggregator of a subtree forwards the poll to the other ranks, and sends
//! their states and the sum of their counts to the coordinator.

use super::{
    aggregation::Aggregation,
    state::{KnownCoordinator, Sidecar},
};
use crate::{
    gateway::message::{
        COUNTS_PER_DATAGRAM, Counts, Message, Poll, RANKS_PER_DATAGRAM, RankReport, RankStatus,
        SubtreeReport,
    },
    platform::engine::EngineState,
};
use mastweir_core::time::Uptime;
use std::{
    collections::{HashSet, VecDeque},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{task, time};

/// Time after which an aggregator answers without the ranks that are missing. Long enough to
/// receive the answers of ten ranks, and shorter than the coordinator's poll period. The reports of
/// ten ranks on 16 sets of 192 experts take 40 ms of the aggregator's link.
const AGGREGATION_TIMEOUT: Duration = Duration::from_millis(70);

/// Records a poll and answers it in the background.
pub fn handle_poll(sidecar: &Rc<Sidecar>, poll: Poll, from: IpAddr) {
    if !sidecar.accepts_poll(&poll) {
        return;
    }
    let now = sidecar.clock.now();
    let Poll { coordinator, token, round, .. } = poll;
    let known =
        KnownCoordinator { ip: coordinator, group: poll.group.clone(), token, round, seen_at: now };
    *sidecar.coordinator.borrow_mut() = Some(known);
    sidecar.last_polled.set(now);
    if poll.subtree.is_empty() {
        task::spawn_local(answer_alone(sidecar.clone(), poll, from));
    } else {
        task::spawn_local(answer_for_subtree(sidecar.clone(), poll));
    }
}

/// Answers for this rank only.
async fn answer_alone(sidecar: Rc<Sidecar>, poll: Poll, to: IpAddr) {
    for report in read_rank(&sidecar, &poll).await {
        if to == sidecar.ip {
            sidecar.record_answer(report, to);
        } else {
            sidecar.send(to, &Message::Rank(report));
        }
    }
}

/// Forwards the poll to the other ranks of the subtree, and answers when all of them have
/// answered or the timeout has passed.
pub async fn answer_for_subtree(sidecar: Rc<Sidecar>, poll: Poll) {
    let round = poll.round;
    let waiting: HashSet<IpAddr> = poll.subtree.iter().copied().chain([sidecar.ip]).collect();
    let mut forwarded = poll.clone();
    forwarded.subtree.clear();
    let message = Message::Poll(forwarded.clone());
    poll.subtree.iter().for_each(|ip| sidecar.send(*ip, &message));
    let previous = sidecar.aggregator.borrow_mut().begin(poll, waiting);
    previous.into_iter().for_each(|answers| forward_answers(&sidecar, &answers));
    let own = read_rank(&sidecar, &forwarded).await;
    own.into_iter().for_each(|report| sidecar.record_answer(report, sidecar.ip));
    time::sleep(AGGREGATION_TIMEOUT).await;
    let rest = sidecar.aggregator.borrow_mut().finish(round);
    rest.into_iter().for_each(|answers| forward_answers(&sidecar, &answers));
}

impl Sidecar {
    /// Records a rank's answer to a poll, as the aggregator of its subtree or as its coordinator.
    pub fn record_answer(&self, report: RankReport, from: IpAddr) {
        match self.aggregator.borrow_mut().add(from, report) {
            Ok(done) => done.into_iter().for_each(|answers| forward_answers(self, &answers)),
            Err(report) => {
                // If the queue is full the answer is dropped; the next poll brings another.
                let _ = self.answer_tx.try_send(Message::Rank(report));
            }
        }
    }
}

/// Sends the answers of a subtree to the coordinator.
fn forward_answers(sidecar: &Sidecar, answers: &Aggregation) {
    let Aggregation { poll, ranks, sums, .. } = answers;
    let report = |ranks: &[RankStatus], counts: Counts| {
        Message::Subtree(SubtreeReport {
            group: poll.group.clone(),
            round: poll.round,
            ranks: ranks.to_vec(),
            counts,
        })
    };
    // States and sums go in separate datagrams: together they may not fit into one.
    let states = ranks.chunks(RANKS_PER_DATAGRAM).map(|ranks| report(ranks, Counts::default()));
    let sums = split_counts(sums).into_iter().map(|counts| report(&[], counts));
    for message in states.chain(sums) {
        if poll.coordinator == sidecar.ip {
            // If the queue is full the answer is dropped; the next poll brings another.
            let _ = sidecar.answer_tx.try_send(message);
        } else {
            sidecar.send(poll.coordinator, &message);
        }
    }
}

/// Splits counts into parts that fit into datagrams. Returns one empty part if there are no
/// counts.
fn split_counts(counts: &[u32]) -> VecDeque<Counts> {
    let all = counts.chunks(COUNTS_PER_DATAGRAM).enumerate();
    let part = |(number, part): (usize, &[u32])| Counts {
        offset: u32::try_from(number * COUNTS_PER_DATAGRAM).unwrap_or(u32::MAX),
        counts: part.to_vec(),
        is_last: (number + 1) * COUNTS_PER_DATAGRAM >= counts.len(),
    };
    let parts: VecDeque<Counts> = all.map(part).collect();
    if parts.is_empty() { [Counts { is_last: true, ..Counts::default() }].into() } else { parts }
}

/// Reads the state and counts of the local server for a poll.
async fn read_rank(sidecar: &Sidecar, poll: &Poll) -> Vec<RankReport> {
    let Ok(state) = sidecar.engine.state().await else { return Vec::new() };
    let read_at = sidecar.clock.now();
    let Some(rank) = rank_status(sidecar, &state, &poll.group, read_at) else { return Vec::new() };
    let mut counts = Vec::new();
    if poll.sets.is_some() {
        let sets = sidecar.model.borrow().as_ref().map_or(1, |model| model.sets);
        if let Ok(selections) = sidecar.engine.selections().await {
            counts = sidecar.selections.borrow_mut().counts_since(poll, selections, sets);
        }
    }
    let mut rank = Some(rank);
    let report = |counts| RankReport {
        group: poll.group.clone(),
        round: poll.round,
        rank: rank.take(),
        counts,
    };
    split_counts(&counts).into_iter().map(report).collect()
}

/// Returns the status of the local rank, if it belongs to `group`.
fn rank_status(
    sidecar: &Sidecar,
    state: &EngineState,
    group: &str,
    read_at: Uptime,
) -> Option<RankStatus> {
    let rank = state.rank.clone().filter(|_| state.group.as_deref() == Some(group))?;
    Some(RankStatus {
        server: sidecar.server,
        state: rank,
        load: state.running + state.waiting,
        slowdown_milli: state.slowdown_milli,
        incarnation: state.incarnation,
        read_at,
    })
}

/// Announces this rank to a coordinator that does not poll it and may not know it.
pub fn announce_rank(sidecar: &Sidecar, coordinator: IpAddr) {
    let state = sidecar.engine_state.borrow();
    let Some(state) = state.as_ref() else { return };
    let Some(group) = &state.group else { return };
    let rank = rank_status(sidecar, state, group, sidecar.clock.now());
    let counts = Counts { is_last: true, ..Counts::default() };
    let report = RankReport { group: group.clone(), round: 0, rank, counts };
    sidecar.send(coordinator, &Message::Rank(report));
}
