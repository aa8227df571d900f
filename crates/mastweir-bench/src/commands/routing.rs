//! `routing`: first tokens under old reports and faults.

use crate::{
    report::{self, Metric, Report},
    sim::routing::{Case, Fault, Outcome, Policy, Sim, decision_ns},
};
use argh::FromArgs;

const SEEDS: u64 = 10;
const POLICIES: [(&str, Policy); 6] = [
    ("current", Policy::Current),
    ("random", Policy::Random),
    ("round-robin", Policy::RoundRobin),
    ("least-load", Policy::LeastLoad),
    ("two-choices", Policy::TwoChoices),
    ("bound", Policy::Bound),
];
const DECISION: Metric = ("decision_ns", "ns");

/// Measure the choice of servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct Args {
    /// first of the seeds
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
    let mut report = Report::new("routing", args.json);
    for (name, case) in cases() {
        if !name.contains(&args.case) {
            continue;
        }
        for (policy_name, policy) in POLICIES {
            report.progress(&format!("{name}, {policy_name}"));
            let runs = report::over_seeds(&report::seeds(args.seed, args.seeds), |seed| {
                figures(&Sim::new(case, policy, seed).run())
            });
            report.add(name, policy_name, &report::mean(&runs));
        }
    }
    for servers in [16, 3_100] {
        let name = format!("decision-servers={servers}");
        if name.contains(&args.case) {
            report.add(&name, "current", &[(DECISION, decision_ns(servers, args.seed))]);
        }
    }
    report.print();
}

fn figures(out: &Outcome) -> Vec<(Metric, f64)> {
    let requests = out.requests.max(1) as f64;
    vec![
        (("ttft_p50_ms", "ms"), 1e3 * out.ttft.at(50.0)),
        (("ttft_p95_ms", "ms"), 1e3 * out.ttft.at(95.0)),
        (("ttft_p99_ms", "ms"), 1e3 * out.ttft.at(99.0)),
        (("itl_p95_ms", "ms"), 1e3 * out.itl.at(95.0)),
        (("skew", "ratio"), out.skew),
        (("cache_hit_pct", "%"), 100.0 * out.hits as f64 / out.ttft.len().max(1) as f64),
        (("refused_pct", "%"), 100.0 * out.refused as f64 / requests),
        (("retries_per_request", "ratio"), out.retries as f64 / requests),
    ]
}

fn cases() -> Vec<(&'static str, Case)> {
    let base =
        Case { entries: 8, servers: 32, lag: 1.0, load: 0.8, prefixes: 2.0, fault: Fault::None };
    let large = Case { entries: 410, servers: 128, ..base };
    vec![
        ("lag-0.1", Case { lag: 0.1, ..base }),
        ("lag-1", base),
        ("lag-5", Case { lag: 5.0, ..base }),
        ("lag-1-entries-410", large),
        ("lag-5-entries-410", Case { lag: 5.0, ..large }),
        ("slow-rank", Case { fault: Fault::SlowRank, ..base }),
        ("stalled-rank", Case { fault: Fault::StalledRank, ..base }),
        ("prefix-mix", Case { prefixes: 1.0, load: 0.7, ..base }),
        ("rack-lost", Case { fault: Fault::RackLost, ..base }),
        ("return", Case { fault: Fault::Return, load: 0.7, ..base }),
    ]
}
