//! What answers a poll: the counts since an earlier one, and a section's ranks together.

use crate::{
    gateway::message::{Counts, Poll, RankBrief, RankReport},
    platform::engine::Choices,
};
use std::{
    collections::{HashSet, VecDeque},
    net::IpAddr,
};

/// Readings that are kept: a poll refers to the one before.
const READINGS: usize = 4;

/// What requests had chosen at earlier polls.
#[derive(Debug, Default)]
pub struct Readings {
    token: u64,
    readings: VecDeque<(u64, Choices)>,
}

impl Readings {
    /// What was chosen since a poll, of so many sets from `first` on; nothing if that
    /// poll did not come here. Keeps what was read now.
    pub fn since(&mut self, poll: &Poll, now: Choices, sets: usize) -> Vec<u32> {
        if std::mem::replace(&mut self.token, poll.token) != poll.token {
            self.readings.clear();
        }
        let before = self.readings.iter().find(|(round, _)| *round == poll.since);
        let same = |(_, before): &&(u64, Choices)| {
            before.epoch == now.epoch && before.counts.len() == now.counts.len()
        };
        let counts = before.filter(same).map(|(_, before)| chosen(poll, before, &now, sets));
        self.readings.push_back((poll.round, now));
        while self.readings.len() > READINGS {
            self.readings.pop_front();
        }
        counts.unwrap_or_default()
    }
}

fn chosen(poll: &Poll, before: &Choices, now: &Choices, sets: usize) -> Vec<u32> {
    let (first, count) = poll.sets.unwrap_or_default();
    let experts = now.counts.len() / sets.max(1);
    let more = |at: usize| {
        // A server that restarted counts from zero.
        let (now, before) = (now.counts[at], before.counts[at]);
        let since = if now >= before { now - before } else { now };
        u32::try_from(since).unwrap_or(u32::MAX)
    };
    let asked = (0..usize::from(count)).map(|set| (usize::from(first) + set) % sets.max(1));
    asked.flat_map(|set| (set * experts..(set + 1) * experts).map(more)).collect()
}

/// A section's answers to one poll, while they come in.
#[derive(Debug)]
pub struct Gathering {
    /// The poll.
    pub poll: Poll,
    waiting: HashSet<IpAddr>,
    /// The ranks that have answered.
    pub ranks: Vec<RankBrief>,
    /// The sum of what they counted.
    pub sums: Vec<u32>,
}

impl Gathering {
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
        let Counts { from: place, counts, last } = report.counts;
        let end = place as usize + counts.len();
        if self.sums.len() < end {
            self.sums.resize(end, 0);
        }
        let sums = self.sums[place as usize..end].iter_mut();
        sums.zip(counts).for_each(|(sum, count)| *sum = sum.saturating_add(count));
        self.ranks.extend(report.rank);
        if last {
            self.waiting.remove(&from);
        }
    }
}
