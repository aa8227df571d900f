//! `experts`: skew against what rebalancing costs.

use crate::{
    report::{self, Metric, Report},
    sim::experts::{POLICIES, TRACES, run},
};
use argh::FromArgs;

const SEEDS: u64 = 10;
const RANKS: [usize; 2] = [16, 32];
const METRICS: [Metric; 6] = [
    ("skew_mean", "ratio"),
    ("skew_p99", "ratio"),
    ("bytes_moved", "experts"),
    ("switches", "count"),
    ("wasted_loads", "experts"),
    ("decide_us", "us"),
];

/// Measure expert maps over seeded traces of demand.
#[derive(FromArgs)]
#[argh(subcommand, name = "experts")]
pub struct Args {
    /// first of the ten seeds
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs the measure.
pub fn exec(args: &Args) {
    let mut report = Report::new("experts", args.json);
    for ranks in RANKS {
        for (trace_name, trace) in TRACES {
            let case = format!("{trace_name}-{ranks}");
            for (policy_name, policy) in POLICIES {
                report.progress(&format!("{case}, {policy_name}"));
                let runs = report::over_seeds(&report::seeds(args.seed, SEEDS), |seed| {
                    let figures = run(trace, policy, ranks, seed);
                    METRICS.into_iter().zip(figures).collect()
                });
                report.add(&case, policy_name, &report::mean(&runs));
            }
        }
    }
    report.print();
}
