//! What a coordinator knows of its group: its members, their states, and what their
//! requests chose.

use super::{answers::add_counts, ranks::Ranks};
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

/// Time between two polls for counts; a pass of a group with places in use lasts as long.
pub const POLL_EVERY: Duration = Duration::from_millis(100);
/// Counts that one poll asks for in large groups, in turn over the sets: as a sum of ten
/// ranks they take 2 KB. Behind a shift of demand, which shows in any set, all are asked
/// for until a plan can be made.
const COUNTS_ASKED: usize = 800;
/// A member that neither answers nor is named by the gateways for this long has left.
const MEMBER_LASTS: Duration = Duration::from_secs(5);

/// The counts that answer one poll.
#[derive(Debug)]
struct Sums {
    first: usize,
    counts: Vec<u32>,
    /// Sections that have not answered.
    open: usize,
}

/// A group, as its coordinator knows it.
#[derive(Debug)]
pub struct Known {
    /// The ranks' states.
    pub ranks: Ranks,
    /// The members.
    pub members: GroupMembers,
    /// What requests choose.
    pub demand: Option<RecentDemand>,
    /// Number of the last poll, and of the last that asked for counts.
    pub round: u64,
    pub counted: u64,
    polled: Uptime,
    sections: Vec<Subtree>,
    sums: Option<Sums>,
    /// The set that is asked for next.
    next: usize,
    experts: usize,
}

impl Known {
    /// Nothing known yet, at a coordinator's start.
    pub fn new(began: Uptime) -> Self {
        Self {
            ranks: Ranks::new(began),
            members: GroupMembers::new(),
            demand: None,
            round: 0,
            counted: 0,
            polled: Uptime::default(),
            sections: Vec::new(),
            sums: None,
            next: 0,
            experts: 0,
        }
    }

    /// Takes in what gateways know of the group.
    pub fn listed(&mut self, view: &GroupView, now: Uptime) {
        for (server, hall) in &view.servers {
            let member = self.members.entry(*server).or_default();
            member.hall.clone_from(hall);
            member.last_listed = now;
        }
        self.forget_gone(now);
    }

    fn forget_gone(&mut self, now: Uptime) {
        let is_here = |member: &GroupMember| {
            let heard = member.last_seen.unwrap_or_default().max(member.last_listed);
            now.since(heard) < MEMBER_LASTS
        };
        self.members.retain(|_, member| is_here(member));
    }

    /// Begins a poll: its number and the sections that are asked. Heads that have not
    /// answered the one before are passed over for a while.
    pub fn begin_round(&mut self, now: Uptime) -> &[Subtree] {
        for head in self.sections.iter().filter_map(|section| section.first()) {
            let Some(member) = self.members.get_mut(head) else { continue };
            let answered = member.last_seen.is_some_and(|at| at >= self.polled);
            if !answered && now.since(self.polled) >= POLL_EVERY / 2 {
                member.last_failure = Some(now);
            }
        }
        self.round += 1;
        self.polled = now;
        self.sections = subtrees(&self.members, now);
        &self.sections
    }

    /// Which sets a poll asks for: the first, and how many. What the poll before brought
    /// is taken in, complete or not.
    pub fn ask_counts(&mut self, model: &Model, now: Uptime) -> (u16, u16) {
        self.take_sums(now);
        let new = || RecentDemand::new(model.sets, model.experts, POLL_EVERY);
        let demand = self.demand.get_or_insert_with(new);
        self.experts = model.experts;
        let all = !demand.is_ready(now) || model.sets * model.experts <= COUNTS_ASKED;
        let some = (COUNTS_ASKED / model.experts.max(1)).max(1);
        let first = if all || self.next >= model.sets { 0 } else { self.next };
        let count = if all { model.sets } else { some.min(model.sets - first) };
        self.next = first + count;
        self.sums = Some(Sums { first, counts: Vec::new(), open: self.sections.len() });
        self.counted = self.round;
        (short(first), short(count))
    }

    /// Takes an answer in.
    pub fn take_in(&mut self, message: Message, group: &str, now: Uptime) {
        match message {
            Message::Rank(report) if report.group == group => {
                let joins = report.round == 0;
                report.rank.into_iter().for_each(|rank| self.seen(rank, joins, now));
                self.add(report.round, &report.counts, now);
            }
            Message::Subtree(report) if report.group == group => {
                report.ranks.into_iter().for_each(|rank| self.seen(rank, false, now));
                self.add(report.round, &report.counts, now);
            }
            _ => (),
        }
    }

    fn seen(&mut self, rank: RankStatus, joins: bool, now: Uptime) {
        let member = self.members.entry(rank.server).or_default();
        member.last_seen = Some(now);
        if joins {
            member.last_listed = now;
        } else {
            member.last_failure = None;
        }
        self.ranks.report(rank, now);
    }

    fn add(&mut self, round: u64, counts: &Counts, now: Uptime) {
        let Some(sums) = self.sums.as_mut().filter(|_| round == self.counted) else { return };
        add_counts(&mut sums.counts, counts);
        if counts.is_last {
            sums.open = sums.open.saturating_sub(1);
        }
        if sums.open == 0 {
            self.take_sums(now);
        }
    }

    fn take_sums(&mut self, now: Uptime) {
        let Some(sums) = self.sums.take().filter(|sums| !sums.counts.is_empty()) else { return };
        let Some(demand) = self.demand.as_mut() else { return };
        demand.add(sums.first * self.experts, &sums.counts, now);
    }

    /// Sections as they are now.
    pub fn sections(&self, now: Uptime) -> Vec<Subtree> {
        subtrees(&self.members, now)
    }

    /// A head did not answer.
    pub fn failed(&mut self, head: SocketAddr, now: Uptime) {
        if let Some(member) = self.members.get_mut(&head) {
            member.last_failure = Some(now);
        }
    }

    /// Addresses of the sidecars of a section but its head.
    pub fn rest(section: &Subtree) -> Vec<IpAddr> {
        section.iter().skip(1).map(SocketAddr::ip).collect()
    }
}

fn short(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
