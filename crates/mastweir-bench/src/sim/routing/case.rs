//! What is simulated, and what comes out.

use crate::stats::Times;

/// How a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Current,
    Random,
    RoundRobin,
    LeastLoad,
    TwoChoices,
    Bound,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    SlowRank,
    StalledRank,
    RackLost,
    Return,
}

/// A case.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub entries: usize,
    pub servers: usize,
    pub lag: f64,
    pub load: f64,
    /// Prefixes in use for each place in a cache.
    pub prefixes: f64,
    pub fault: Fault,
}

/// What came out.
pub struct Outcome {
    pub ttft: Times,
    pub itl: Times,
    pub skew: f64,
    pub hits: u64,
    pub refused: u64,
    pub requests: u64,
    pub retries: u64,
}
