//! `limits`: what a server that names a limit gets of many gateways, by who keeps count.

use crate::{
    report::{self, Metric, Report},
    sim::limits::{Case, Event, Outcome, Sim, Way},
};
use argh::FromArgs;

/// Gateways and halls.
const SIZES: [(usize, usize); 4] = [(8, 3), (38, 3), (149, 5), (410, 7)];
/// Requests a second that the server takes.
const LIMITS: [f64; 3] = [1.0, 10.0, 100.0];
const WAYS: [(&str, Way); 5] = [
    ("each alone", Way::Alone),
    ("split", Way::Split),
    ("split, lapses", Way::SplitLapses),
    ("one sends", Way::OneSends),
    ("lent", Way::Lent),
];
const EVENTS: [(&str, Event); 6] = [
    ("even", Event::Even),
    ("one gateway", Event::OneGateway),
    ("wakes", Event::Wakes),
    ("in turn", Event::InTurn),
    ("all again", Event::AllAgain),
    ("cut", Event::Cut),
];
const WORST: Metric = ("worst_of_allowed", "ratio");
const USED: Metric = ("used", "ratio");
const MESSAGES: Metric = ("messages_s", "1/s");

/// Measure what a server that names a limit gets, by who keeps count.
#[derive(FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct Args {
    /// seed of the first run
    #[argh(option, default = "1")]
    seed: u64,
    /// runs of each case
    #[argh(option, default = "3")]
    seeds: u64,
    /// only cases whose name holds this
    #[argh(option, default = "String::new()")]
    case: String,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs the measure.
pub fn exec(args: &Args) {
    let mut report = Report::new("limits", args.json);
    for (event_name, event) in EVENTS {
        for (gateways, halls) in SIZES {
            for per_s in LIMITS {
                let name = format!("{event_name}, {gateways} gateways, {per_s} a second");
                if !name.contains(&args.case) {
                    continue;
                }
                let case = Case { gateways, halls, per_s, event };
                for (way_name, way) in WAYS {
                    report.progress(&format!("{name}, {way_name}"));
                    let seeds = report::seeds(args.seed, args.seeds);
                    let runs: Vec<Outcome> =
                        seeds.into_iter().map(|seed| Sim::new(case, way, seed).run()).collect();
                    report.add(&name, way_name, &figures(&runs));
                }
            }
        }
    }
    report.print();
}

/// The worst of all runs, and the mean of what was used.
fn figures(runs: &[Outcome]) -> [(Metric, f64); 3] {
    let most = |of: fn(&Outcome) -> f64| runs.iter().map(of).fold(0.0, f64::max);
    let used: f64 = runs.iter().map(|run| run.used).sum();
    [
        (WORST, most(|run| run.worst)),
        (USED, used / runs.len().max(1) as f64),
        (MESSAGES, most(|run| run.messages)),
    ]
}
