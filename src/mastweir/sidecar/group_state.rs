//! State of a group as its coordinator knows it: members, states of the ranks, and expert demand.
//!
//! Used in the sidecar that coordinates the group. `poller` sends the polls whose answers are
//! recorded here; `coordinator` reads the state.

use super::{aggregation::add_counts, rank_views::RankViews};
use crate::gateway::message::{Counts, GroupView, Message, RankStatus};
use mastweir_core::{
    experts::recent_demand::RecentDemand,
    gateway::Model,
    switch::subtrees::{GroupMember, GroupMembers, Subtree, subtrees},
    time::Uptime,
};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Time between two polls for counts: about one pass of a busy group.
pub const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Counts that one poll requests in a large group, in turn over the sets, to bound the size of
/// answers. After a shift of demand, which shows in any set, all of them are requested until a plan
/// can be made. The sum of ten ranks then takes 2 KB.
const COUNTS_PER_POLL: usize = 800;
/// A member that neither answers nor is listed by gateways for this time has left.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sums of the counts that answer one poll.
#[derive(Debug)]
struct CountSums {
    /// First set that was requested.
    first: usize,
    counts: Vec<u32>,
    /// Subtrees that have not answered.
    pending: usize,
}

/// A group as its coordinator knows it.
#[derive(Debug)]
pub struct GroupState {
    pub ranks: RankViews,
    pub members: GroupMembers,
    /// Demand for experts. `None` until counts are requested.
    pub demand: Option<RecentDemand>,
    /// Number of the last poll.
    pub round: u64,
    /// Number of the last poll that requested counts.
    pub counted_round: u64,
    last_poll: Uptime,
    subtrees: Vec<Subtree>,
    sums: Option<CountSums>,
    /// First set of the next request for counts.
    next_set: usize,
    experts: usize,
}

impl GroupState {
    /// Creates the state of a group at the start of its coordinator.
    pub fn new(started: Uptime) -> Self {
        Self {
            ranks: RankViews::new(started),
            members: GroupMembers::new(),
            demand: None,
            round: 0,
            counted_round: 0,
            last_poll: Uptime::default(),
            subtrees: Vec::new(),
            sums: None,
            next_set: 0,
            experts: 0,
        }
    }

    /// Records the members that a gateway lists.
    pub fn record_view(&mut self, view: &GroupView, now: Uptime) {
        for (server, hall) in &view.servers {
            let member = self.members.entry(*server).or_default();
            member.hall.clone_from(hall);
            member.last_listed = now;
        }
        self.expire_members(now);
    }

    fn expire_members(&mut self, now: Uptime) {
        let is_current = |member: &GroupMember| {
            let last = member.last_seen.unwrap_or_default().max(member.last_listed);
            now.since(last) < MEMBER_TIMEOUT
        };
        self.members.retain(|_, member| is_current(member));
    }

    /// Begins a poll and returns the subtrees to send it to. Aggregators that have not answered
    /// the previous poll within half a poll period are marked as failed.
    pub fn begin_poll(&mut self, now: Uptime) -> &[Subtree] {
        for aggregator in self.subtrees.iter().filter_map(|subtree| subtree.first()) {
            let Some(member) = self.members.get_mut(aggregator) else { continue };
            let has_answered = member.last_seen.is_some_and(|at| at >= self.last_poll);
            if !has_answered && now.since(self.last_poll) >= POLL_PERIOD / 2 {
                member.last_failure = Some(now);
            }
        }
        self.round += 1;
        self.last_poll = now;
        self.subtrees = subtrees(&self.members, now);
        &self.subtrees
    }

    /// Chooses the sets that a poll requests: the first, and how many. Counts that the previous
    /// poll brought are added to the demand, complete or not.
    pub fn request_counts(&mut self, model: &Model, now: Uptime) -> (u16, u16) {
        self.flush_sums(now);
        let new = || RecentDemand::new(model.sets, model.experts, POLL_PERIOD);
        let demand = self.demand.get_or_insert_with(new);
        self.experts = model.experts;
        let ask_all = !demand.is_ready(now) || model.sets * model.experts <= COUNTS_PER_POLL;
        let some_sets = (COUNTS_PER_POLL / model.experts.max(1)).max(1);
        let first = if ask_all || self.next_set >= model.sets { 0 } else { self.next_set };
        let count = if ask_all { model.sets } else { some_sets.min(model.sets - first) };
        self.next_set = first + count;
        self.sums = Some(CountSums { first, counts: Vec::new(), pending: self.subtrees.len() });
        self.counted_round = self.round;
        (to_u16(first), to_u16(count))
    }

    /// Records an answer to a poll.
    pub fn record_answer(&mut self, message: Message, group: &str, now: Uptime) {
        match message {
            Message::Rank(report) if report.group == group => {
                let is_announced = report.round == 0;
                report.rank.into_iter().for_each(|rank| self.record_rank(rank, is_announced, now));
                self.add_poll_counts(report.round, &report.counts, now);
            }
            Message::Subtree(report) if report.group == group => {
                report.ranks.into_iter().for_each(|rank| self.record_rank(rank, false, now));
                self.add_poll_counts(report.round, &report.counts, now);
            }
            _ => (),
        }
    }

    fn record_rank(&mut self, rank: RankStatus, is_announced: bool, now: Uptime) {
        let member = self.members.entry(rank.server).or_default();
        member.last_seen = Some(now);
        if is_announced {
            member.last_listed = now;
        } else {
            member.last_failure = None;
        }
        self.ranks.record_answer(rank, now);
    }

    fn add_poll_counts(&mut self, round: u64, counts: &Counts, now: Uptime) {
        let Some(sums) = self.sums.as_mut().filter(|_| round == self.counted_round) else { return };
        add_counts(&mut sums.counts, counts);
        if counts.is_last {
            sums.pending = sums.pending.saturating_sub(1);
        }
        if sums.pending == 0 {
            self.flush_sums(now);
        }
    }

    fn flush_sums(&mut self, now: Uptime) {
        let Some(sums) = self.sums.take().filter(|sums| !sums.counts.is_empty()) else { return };
        let Some(demand) = self.demand.as_mut() else { return };
        demand.add(sums.first * self.experts, &sums.counts, now);
    }

    /// Returns the current subtrees of the group.
    pub fn subtrees(&self, now: Uptime) -> Vec<Subtree> {
        subtrees(&self.members, now)
    }

    /// Records that an aggregator did not answer.
    pub fn record_failure(&mut self, aggregator: SocketAddr, now: Uptime) {
        if let Some(member) = self.members.get_mut(&aggregator) {
            member.last_failure = Some(now);
        }
    }

    /// Returns the addresses of the sidecars of a subtree except its aggregator.
    pub fn other_members(subtree: &Subtree) -> Vec<IpAddr> {
        subtree.iter().skip(1).map(SocketAddr::ip).collect()
    }
}

fn to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
