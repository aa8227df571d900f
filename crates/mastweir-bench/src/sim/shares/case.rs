//! What is simulated, and what comes out.

/// How shares are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Fair queues at the servers, and entries that refuse what is over a share.
    Current,
    /// First come, first served.
    Fifo,
    /// Fair queues at the entries, each with its part of the slots.
    Local,
    /// A fixed part of the slots for each customer.
    Quota,
    /// Fair queues at the servers alone.
    Ungated,
}

/// What a customer asks for.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its weight.
    pub weight: f64,
    /// Units a second that it asks for, by the time from which on it does.
    pub demand: Vec<(f64, f64)>,
    /// Mean units of a request.
    pub cost: f64,
    /// The only entry that it uses, if so.
    pub entry: Option<usize>,
}

/// A case.
#[derive(Clone, Debug)]
pub struct Case {
    /// Entries.
    pub entries: usize,
    /// Servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: usize,
    /// Requests that wait at each.
    pub queue: usize,
    /// Halls; entries and servers are dealt to them in turn.
    pub halls: usize,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Simulated seconds.
    pub seconds: f64,
    /// When what is asked changes; settling counts from here.
    pub change: f64,
    /// When an entry dies.
    pub entry_dies: Option<f64>,
    /// When a hall is cut off, and when it returns.
    pub hall_cut: Option<(f64, f64)>,
    /// Time between exchanges.
    pub period: f64,
    /// Exchanges until a sum is known everywhere.
    pub lag: usize,
}

/// What came out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Largest deviation from the weighted max-min share, in percent of it.
    pub error_pct: f64,
    /// Slots idle while a request waits, in percent.
    pub idle_pct: f64,
    /// Seconds from the change until the error stays small.
    pub settle_s: f64,
    /// Bytes a second of the exchange, of the busiest entry.
    pub bytes_s: f64,
}

/// Weighted max-min shares of `capacity`.
pub fn max_min(capacity: f64, asked: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; asked.len()];
    let mut open: Vec<usize> = (0..asked.len()).collect();
    let mut left = capacity;
    while !open.is_empty() && left > 1e-9 {
        let total: f64 = open.iter().map(|i| weights[*i]).sum();
        let level = left / total;
        let fits = |i: &usize| asked[*i] <= level * weights[*i];
        let (full, rest): (Vec<usize>, Vec<usize>) = open.iter().partition(|i| fits(i));
        if full.is_empty() {
            rest.iter().for_each(|i| shares[*i] = level * weights[*i]);
            return shares;
        }
        for i in full {
            shares[i] = asked[i];
            left -= asked[i];
        }
        open = rest;
    }
    shares
}
