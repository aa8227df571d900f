//! `shares`: who gets how much, against weighted max-min.

use crate::{
    report::{self, Metric, Report},
    sim::shares::{Case, Customer, Outcome, Policy, Sim},
};
use argh::FromArgs;

const SEEDS: u64 = 10;
const POLICIES: [(&str, Policy); 5] = [
    ("current", Policy::Current),
    ("ungated", Policy::Ungated),
    ("fifo", Policy::Fifo),
    ("local", Policy::Local),
    ("quota", Policy::Quota),
];
const ERROR: Metric = ("share_error_pct", "%");
const IDLE: Metric = ("idle_pct", "%");
const SETTLE: Metric = ("settle_s", "s");
const BYTES: Metric = ("control_bytes_s", "B/s");

/// Measure shares against weighted max-min.
#[derive(FromArgs)]
#[argh(subcommand, name = "shares")]
pub struct Args {
    /// first of the ten seeds
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default 10)
    #[argh(option, default = "SEEDS")]
    seeds: u64,
    /// only cases whose name contains this
    #[argh(option, default = "String::new()")]
    case: String,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs the measure.
pub fn exec(args: &Args) {
    let mut report = Report::new("shares", args.json);
    for (name, case) in cases() {
        if !name.contains(&args.case) {
            continue;
        }
        for (policy_name, policy) in POLICIES {
            report.progress(&format!("{name}, {policy_name}"));
            let seeds = report::seeds(args.seed, args.seeds);
            let runs = report::over_seeds(&seeds, |seed| {
                figures(policy, &Sim::new(&case, policy, seed).run())
            });
            report.add(name, policy_name, &report::mean(&runs));
        }
    }
    report.print();
}

fn figures(policy: Policy, outcome: &Outcome) -> Vec<(Metric, f64)> {
    let bytes = if policy == Policy::Current { outcome.bytes_s } else { 0.0 };
    vec![
        (ERROR, outcome.error_pct),
        (IDLE, outcome.idle_pct),
        (SETTLE, outcome.settle_s),
        (BYTES, bytes),
    ]
}

/// Capacity of the small cases: 16 servers with 8 slots of 100 units a second.
const SMALL: f64 = 16.0 * 8.0 * 100.0;

fn cases() -> Vec<(&'static str, Case)> {
    let steady = small(ten(|_| vec![(0.0, SMALL / 2.0)]));
    let burst = small(ten(|i| {
        let quiet = SMALL / 20.0;
        if i == 0 { vec![(0.0, quiet), (10.0, SMALL * 2.0)] } else { vec![(0.0, SMALL / 2.0)] }
    }));
    let wake = small(ten(|i| if i == 0 { vec![(10.0, SMALL)] } else { vec![(0.0, SMALL / 2.0)] }));
    let mut one_entry = steady.clone();
    one_entry.customers[0].entry = Some(2);
    let mut dies = steady.clone();
    dies.customers[1].entry = Some(0);
    let mut lengths = steady.clone();
    for (i, customer) in lengths.customers.iter_mut().enumerate() {
        customer.cost = if i % 2 == 0 { 30.0 } else { 600.0 };
    }
    vec![
        ("steady", steady.clone()),
        ("burst", Case { change: 10.0, ..burst }),
        ("wake", Case { change: 10.0, ..wake }),
        ("one-entry", one_entry),
        ("entry-dies", Case { change: 10.0, entry_dies: Some(10.0), ..dies }),
        ("hall-cut", Case { change: 14.0, hall_cut: Some((8.0, 14.0)), ..steady }),
        ("long-short", lengths),
        ("customers-1100", large()),
    ]
}

/// Ten customers, two of them large.
fn ten(demand: impl Fn(usize) -> Vec<(f64, f64)>) -> Vec<Customer> {
    let weight = |i| match i {
        0 => 5.0,
        1 => 3.0,
        _ => 1.0,
    };
    let customer = |i| Customer { weight: weight(i), demand: demand(i), cost: 150.0, entry: None };
    (0..10).map(customer).collect()
}

fn small(customers: Vec<Customer>) -> Case {
    Case {
        entries: 8,
        servers: 16,
        slots: 8,
        queue: 256,
        halls: 3,
        customers,
        seconds: 55.0,
        change: 0.0,
        entry_dies: None,
        hall_cut: None,
        period: 1.0,
        lag: 2,
    }
}

/// 1,100 customers of very different weights on 410 entries.
fn large() -> Case {
    let capacity = 3_100.0 * 8.0 * 100.0;
    let weight = |i: usize| 1.0 + 60.0 / (1.0 + i as f64 / 10.0);
    let total: f64 = (0..1_100).map(weight).sum();
    let ask = |i: usize| if i.is_multiple_of(5) { 4.0 } else { 0.8 };
    let customer = |i: usize| Customer {
        weight: weight(i),
        // Most ask for less than their share, a fifth for much more.
        demand: vec![(0.0, capacity * weight(i) / total * ask(i))],
        cost: 150.0,
        entry: None,
    };
    Case {
        entries: 410,
        servers: 3_100,
        halls: 7,
        customers: (0..1_100).map(customer).collect(),
        seconds: 90.0,
        change: 30.0,
        period: 8.0,
        lag: 1,
        ..small(Vec::new())
    }
}
