//! What answers a poll: the counts since an earlier one, and a section's ranks together.

use crate::{
    gateway::message::{Counts, Poll, RankReport, RankStatus},
    platform::engine::Selections,
};
use std::{
    collections::{HashSet, VecDeque},
    net::IpAddr,
};

/// SelectionHistory that are kept: a poll refers to the one before.
const HISTORY_LEN: usize = 4;
/// Counts that are taken in: 128 sets of 1,024 experts. What comes from elsewhere must not
/// take increase memory than that.
const COUNTS_MAX: usize = 1 << 17;

/// What requests had chosen at earlier polls.
#[derive(Debug, Default)]
pub struct SelectionHistory {
    token: u64,
    entries: VecDeque<(u64, Selections)>,
}

impl SelectionHistory {
    /// What was chosen since a poll, of so many sets from `first` on; nothing if that
    /// poll did not come here. Keeps what was read now.
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
        // A server that restarted counts from zero.
        let (now, before) = (now.counts[at], before.counts[at]);
        let since = if now >= before { now - before } else { now };
        u32::try_from(since).unwrap_or(u32::MAX)
    };
    let asked = (0..usize::from(count)).map(|set| (usize::from(first) + set) % sets.max(1));
    asked.flat_map(|set| (set * experts..(set + 1) * experts).map(increase)).collect()
}

/// A section's answers to one poll, while they come in.
#[derive(Debug)]
pub struct Aggregation {
    /// The poll.
    pub poll: Poll,
    waiting: HashSet<IpAddr>,
    /// The ranks that have answered.
    pub ranks: Vec<RankStatus>,
    /// The sum of what they counted.
    pub sums: Vec<u32>,
}

impl Aggregation {
    /// None has answered yet.
    pub fn new(poll: Poll, waiting: HashSet<IpAddr>) -> Self {
        Self { poll, waiting, ranks: Vec::new(), sums: Vec::new() }
    }

    /// Whether it is for the poll of that number.
    pub const fn is_for(&self, round: u64) -> bool {
        self.poll.round == round
    }

    /// Whether all have answered.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes an answer in.
    pub fn add(&mut self, from: IpAddr, report: RankReport) {
        add_counts(&mut self.sums, &report.counts);
        self.ranks.extend(report.rank);
        if report.counts.is_last {
            self.waiting.remove(&from);
        }
    }
}

/// The answers of a section that its head has not sent on.
#[derive(Debug, Default)]
pub struct Aggregator(Option<Aggregation>);

impl Aggregator {
    /// Begins to gather for another poll. What had come for the one before is given back,
    /// to be sent on: while a change is under way polls follow each other sooner than a
    /// silent rank is given up, and nothing of its section was heard.
    pub fn begin(&mut self, poll: Poll, waiting: HashSet<IpAddr>) -> Option<Aggregation> {
        self.0.replace(Aggregation::new(poll, waiting))
    }

    /// Takes an answer in; the whole, if it was the last. Gives it back if it is for
    /// nothing that is gathered.
    ///
    /// # Errors
    ///
    /// The report, if no poll that is being gathered has its number and group.
    pub fn add(
        &mut self,
        from: IpAddr,
        report: RankReport,
    ) -> Result<Option<Aggregation>, RankReport> {
        let fits =
            |open: &&mut Aggregation| open.is_for(report.round) && open.poll.group == report.group;
        let Some(open) = self.0.as_mut().filter(fits) else { return Err(report) };
        open.add(from, report);
        let is_complete = open.is_complete();
        Ok(if is_complete { self.0.take() } else { None })
    }

    /// What has come for a poll, complete or not; none if it was sent on.
    pub fn finish(&mut self, round: u64) -> Option<Aggregation> {
        self.0.take_if(|open| open.is_for(round))
    }
}

/// Adds counts to sums, at their slots.
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
