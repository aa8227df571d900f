//! Answering a coordinator's polls: as a rank, and as the head of a section.
//!
//! A rank reads its server's state, and what requests chose, when it is asked, so the
//! counts of all ranks end at nearly one moment: what was chosen since the poll before
//! tells a shift of demand from before it. A head asks the others of its section at the
//! same time and sends their states on, with the sum of their counts.

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

/// A head answers without those that have not by then: the reports of ten ranks on 16
/// sets of 192 experts take 40 ms of its link, and a coordinator's next poll comes after
/// 100 ms.
const AGGREGATION_TIMEOUT: Duration = Duration::from_millis(70);

/// Takes a poll in, and answers it.
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

/// Aggregator for this rank alone.
async fn answer_alone(sidecar: Rc<Sidecar>, poll: Poll, to: IpAddr) {
    for report in read_rank(&sidecar, &poll).await {
        if to == sidecar.ip {
            sidecar.record_answer(report, to);
        } else {
            sidecar.send(to, &Message::Rank(report));
        }
    }
}

/// Asks the others, and answers once they have, or have had their time.
pub async fn answer_for_subtree(sidecar: Rc<Sidecar>, poll: Poll) {
    let round = poll.round;
    let waiting: HashSet<IpAddr> = poll.subtree.iter().copied().chain([sidecar.ip]).collect();
    let mut forwarded = poll.clone();
    forwarded.subtree.clear();
    let message = Message::Poll(forwarded.clone());
    poll.subtree.iter().for_each(|ip| sidecar.send(*ip, &message));
    let before = sidecar.aggregator.borrow_mut().begin(poll, waiting);
    before.into_iter().for_each(|before| forward_answers(&sidecar, &before));
    let own = read_rank(&sidecar, &forwarded).await;
    own.into_iter().for_each(|report| sidecar.record_answer(report, sidecar.ip));
    time::sleep(AGGREGATION_TIMEOUT).await;
    let rest = sidecar.aggregator.borrow_mut().finish(round);
    rest.into_iter().for_each(|rest| forward_answers(&sidecar, &rest));
}

impl Sidecar {
    /// A rank's answer to a poll: as the head of its section, or as its coordinator.
    pub fn record_answer(&self, report: RankReport, from: IpAddr) {
        match self.aggregator.borrow_mut().add(from, report) {
            Ok(whole) => whole.into_iter().for_each(|whole| forward_answers(self, &whole)),
            Err(report) => {
                // A coordinator that is behind gets the next one.
                let _ = self.answer_tx.try_send(Message::Rank(report));
            }
        }
    }
}

/// Sends a section's answers to the coordinator.
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
    // States and sums have datagrams of their own: together they may not fit.
    let states = ranks.chunks(RANKS_PER_DATAGRAM).map(|ranks| report(ranks, Counts::default()));
    let sums = split_counts(sums).into_iter().map(|counts| report(&[], counts));
    for message in states.chain(sums) {
        if poll.coordinator == sidecar.ip {
            // A coordinator that is behind gets the next one.
            let _ = sidecar.answer_tx.try_send(message);
        } else {
            sidecar.send(poll.coordinator, &message);
        }
    }
}

/// Counts in split_counts that fit into datagrams; one without any where there are none.
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

/// Reads the server beside, for a poll.
async fn read_rank(sidecar: &Sidecar, poll: &Poll) -> Vec<RankReport> {
    let Ok(state) = sidecar.engine.state().await else { return Vec::new() };
    let read_at = sidecar.clock.now();
    let Some(rank) = rank_brief(sidecar, &state, &poll.group, read_at) else { return Vec::new() };
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

/// The rank beside, if it is of that group.
fn rank_brief(
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

/// A word to a coordinator that does not poll this rank: it may not know of it.
pub fn announce_rank(sidecar: &Sidecar, coordinator: IpAddr) {
    let state = sidecar.engine_state.borrow();
    let Some(state) = state.as_ref() else { return };
    let Some(group) = &state.group else { return };
    let rank = rank_brief(sidecar, state, group, sidecar.clock.now());
    let counts = Counts { is_last: true, ..Counts::default() };
    let report = RankReport { group: group.clone(), round: 0, rank, counts };
    sidecar.send(coordinator, &Message::Rank(report));
}
