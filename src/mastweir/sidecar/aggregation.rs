//! Data from which a sidecar answers polls: the counts of expert selections at earlier polls, and
//! the answers of the subtree that it aggregates.
//!
//! A rank answers with its expert selections since an earlier poll ([`SelectionHistory`]). An
//! aggregator collects the answers of its subtree ([`Aggregator`]). Their sum is sent to the
//! coordinator when all ranks have answered, after a timeout, or when the next poll begins. Counts
//! are grouped by sets of layers; the layers of a set share one expert placement.

use crate::{
    gateway::message::{Counts, Poll, RankReport, RankStatus},
    platform::engine::Selections,
};
use std::{
    collections::{HashSet, VecDeque},
    net::IpAddr,
};

/// Number of polls whose counts are kept. A poll requests the selections since one of them.
const HISTORY_LEN: usize = 4;
/// Maximum counts that are accepted from other processes, to bound memory: 128 sets of 1,024
/// experts.
const COUNTS_MAX: usize = 1 << 17;

/// Counts of expert selections at earlier polls of one coordinator.
#[derive(Debug, Default)]
pub struct SelectionHistory {
    token: u64,
    entries: VecDeque<(u64, Selections)>,
}

impl SelectionHistory {
    /// Records the counts `now`, and returns the selections since the earlier poll that `poll`
    /// names, in the sets that `poll` requests, of all `sets`. Empty if the earlier poll was not
    /// received here, or was before a restart of the server or the group.
    pub fn counts_since(&mut self, poll: &Poll, now: Selections, sets: usize) -> Vec<u32> {
        if std::mem::replace(&mut self.token, poll.token) != poll.token {
            self.entries.clear();
        }
        let before = self.entries.iter().find(|(round, _)| *round == poll.since);
        let same = |(_, before): &&(u64, Selections)| {
            let (a, b) = (before, &now);
            (a.incarnation, a.epoch, a.counts.len()) == (b.incarnation, b.epoch, b.counts.len())
        };
        let counts =
            before.filter(same).map(|(_, before)| selections_since(poll, before, &now, sets));
        self.entries.push_back((poll.round, now));
        while self.entries.len() > HISTORY_LEN {
            self.entries.pop_front();
        }
        counts.unwrap_or_default()
    }
}

fn selections_since(poll: &Poll, before: &Selections, now: &Selections, sets: usize) -> Vec<u32> {
    let (first, count) = poll.sets.unwrap_or_default();
    let experts = now.counts.len() / sets.max(1);
    let increase = |at: usize| {
        // The counts may have been reset to zero.
        let (now, before) = (now.counts[at], before.counts[at]);
        let since = if now >= before { now - before } else { now };
        u32::try_from(since).unwrap_or(u32::MAX)
    };
    let requested = (0..usize::from(count)).map(|set| (usize::from(first) + set) % sets.max(1));
    requested.flat_map(|set| (set * experts..(set + 1) * experts).map(increase)).collect()
}

/// Answers of a subtree to one poll.
#[derive(Debug)]
pub struct Aggregation {
    pub poll: Poll,
    waiting: HashSet<IpAddr>,
    /// The ranks that have answered.
    pub ranks: Vec<RankStatus>,
    /// Sums of the ranks' counts.
    pub sums: Vec<u32>,
}

impl Aggregation {
    /// Creates an aggregation that waits for answers from the given addresses.
    pub fn new(poll: Poll, waiting: HashSet<IpAddr>) -> Self {
        Self { poll, waiting, ranks: Vec::new(), sums: Vec::new() }
    }

    /// Returns whether these answers are for the poll with the given number.
    pub const fn is_for(&self, round: u64) -> bool {
        self.poll.round == round
    }

    /// Returns whether all ranks have answered.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a rank's answer.
    pub fn add(&mut self, from: IpAddr, report: RankReport) {
        add_counts(&mut self.sums, &report.counts);
        self.ranks.extend(report.rank);
        if report.counts.is_last {
            self.waiting.remove(&from);
        }
    }
}

/// Answers of a subtree that its aggregator has not sent yet.
#[derive(Debug, Default)]
pub struct Aggregator(Option<Aggregation>);

impl Aggregator {
    /// Begins the aggregation for a new poll. Returns the unfinished aggregation of the previous
    /// poll, which the caller sends: during a map change, the next poll arrives before a silent
    /// rank times out.
    pub fn begin(&mut self, poll: Poll, waiting: HashSet<IpAddr>) -> Option<Aggregation> {
        self.0.replace(Aggregation::new(poll, waiting))
    }

    /// Adds a rank's answer. Returns the aggregation if this completes it.
    ///
    /// # Errors
    ///
    /// The report, if no aggregation in progress has its poll number and group.
    pub fn add(
        &mut self,
        from: IpAddr,
        report: RankReport,
    ) -> Result<Option<Aggregation>, RankReport> {
        let matches =
            |open: &&mut Aggregation| open.is_for(report.round) && open.poll.group == report.group;
        let Some(open) = self.0.as_mut().filter(matches) else { return Err(report) };
        open.add(from, report);
        let is_complete = open.is_complete();
        Ok(if is_complete { self.0.take() } else { None })
    }

    /// Ends the aggregation for a poll, complete or not, and returns it. `None` if it has ended
    /// before.
    pub fn finish(&mut self, round: u64) -> Option<Aggregation> {
        self.0.take_if(|open| open.is_for(round))
    }
}

/// Adds counts to sums, starting at their offset. Ignores counts beyond the accepted maximum.
pub fn add_counts(sums: &mut Vec<u32>, counts: &Counts) {
    let offset = counts.offset as usize;
    let end = offset + counts.counts.len();
    if end > COUNTS_MAX {
        return;
    }
    if sums.len() < end {
        sums.resize(end, 0);
    }
    let slots = sums[offset..end].iter_mut();
    slots.zip(&counts.counts).for_each(|(sum, count)| *sum = sum.saturating_add(*count));
}
