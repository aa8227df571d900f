//! `plans`: what a plan for a whole group costs its coordinator, and what it is worth.

use crate::report::{Metric, Report};
use argh::FromArgs;
use mastweir_core::{
    experts::{
        Workload,
        layer_planner::{LayerPlanner, Planning},
    },
    switch::maps::round_robin_map,
};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::time::Instant;

const METRICS: [Metric; 5] = [
    ("plan_ms", "ms"),
    ("part_ms", "ms"),
    ("skew_before", "ratio"),
    ("skew_after", "ratio"),
    ("moved", "experts"),
];
/// Steps between two looks at what else a coordinator has to do.
const PART_STEPS: usize = 150;

/// Ranks, experts, sets, places and fresh places of the groups that are planned for.
const GROUPS: [(usize, usize, usize, usize, usize); 4] =
    [(8, 64, 6, 11, 4), (32, 128, 12, 6, 2), (96, 192, 16, 3, 2), (512, 1_024, 16, 3, 2)];

/// Measure plans for groups of 8 to 512 ranks.
#[derive(FromArgs)]
#[argh(subcommand, name = "plans")]
pub struct Args {
    /// seed of what is popular
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs the measure: the first plan of a group's life, and the one behind a shift.
pub fn exec(args: &Args) {
    let mut report = Report::new("plans", args.json);
    for (ranks, experts, sets, places, fresh) in GROUPS {
        let planner = LayerPlanner {
            slots: places,
            max_new: fresh,
            load_s: 0.018,
            horizon_s: 2.5,
            load_cost: 0.000_9,
            change_cost: 0.06,
            load_slowdown: 0.15,
        };
        let mut rng = SmallRng::seed_from_u64(args.seed);
        let mut map = round_robin_map(sets, experts, ranks);
        for moment in ["start", "shift"] {
            let demand: Vec<Vec<f64>> = (0..sets).map(|_| steep(experts, &mut rng)).collect();
            let case = format!("{ranks}x{experts}x{sets}-{moment}");
            report.progress(&case);
            let work = Workload { demand: &demand, slowdown: &[] };
            let began = Instant::now();
            let mut planning = Planning::new(planner, &map, work, 1.0);
            let mut longest = began.elapsed();
            loop {
                let part = Instant::now();
                let done = planning.advance(PART_STEPS);
                longest = longest.max(part.elapsed());
                if done {
                    break;
                }
            }
            let Some(plan) = planning.finish() else { continue };
            let ms = |took: std::time::Duration| took.as_secs_f64() * 1_000.0;
            let figures = [
                ms(began.elapsed()),
                ms(longest),
                plan.skew_before,
                plan.skew_after,
                plan.total_loads as f64,
            ];
            report.add(&case, "current", &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
            map = plan.map;
        }
    }
    report.print();
}

/// Demand with the most popular of 192 experts at 3.5 times the mean of 96 ranks.
fn steep(experts: usize, rng: &mut SmallRng) -> Vec<f64> {
    let mut demand: Vec<f64> =
        (0..experts).map(|at| 1_000.0 / (at as f64 + 2.0).powf(0.75)).collect();
    demand.shuffle(rng);
    demand
}
