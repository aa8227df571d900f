//! Results as a table for people or as lines of JSON.

use serde::Serialize;
use std::io::{self, IsTerminal};

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    measure: &'static str,
    case: String,
    policy: String,
    metric: &'static str,
    value: f64,
    unit: &'static str,
}

/// The figures of one measure.
#[derive(Debug)]
pub struct Report {
    measure: &'static str,
    json: bool,
    figures: Vec<Figure>,
}

/// A metric's name and unit.
pub type Metric = (&'static str, &'static str);

impl Report {
    /// An empty report.
    pub fn new(measure: &'static str, json: bool) -> Self {
        Self { measure, json, figures: Vec::new() }
    }

    /// Adds the figures of one case under one policy.
    pub fn add(&mut self, case: &str, policy: &str, figures: &[(Metric, f64)]) {
        for ((metric, unit), value) in figures {
            self.figures.push(Figure {
                measure: self.measure,
                case: case.to_owned(),
                policy: policy.to_owned(),
                metric,
                value: *value,
                unit,
            });
        }
    }

    /// Says on a terminal what is being measured.
    pub fn progress(&self, what: &str) {
        if io::stderr().is_terminal() {
            eprint!("\r\x1b[K{}: {what}", self.measure);
        }
    }

    /// Prints all of it.
    pub fn print(&self) {
        if io::stderr().is_terminal() {
            eprint!("\r\x1b[K");
        }
        if self.json {
            for figure in &self.figures {
                println!("{}", serde_json::to_string(figure).unwrap_or_default());
            }
            return;
        }
        self.print_table();
    }

    fn print_table(&self) {
        let metrics = self.metrics();
        let width = self.figures.iter().map(|figure| figure.case.len()).max().unwrap_or(4).max(4);
        print!("{:width$} {:14}", "case", "policy");
        for metric in &metrics {
            print!(" {metric:>cell$}", cell = cell(metric));
        }
        println!();
        for rows in self.figures.chunk_by(|a, b| a.case == b.case && a.policy == b.policy) {
            print!("{:width$} {:14}", rows[0].case, rows[0].policy);
            for metric in &metrics {
                let cell = cell(metric);
                match rows.iter().find(|figure| figure.metric == *metric) {
                    Some(figure) => print!(" {:>cell$}", number(figure.value)),
                    None => print!(" {:>cell$}", "-"),
                }
            }
            println!();
        }
    }

    fn metrics(&self) -> Vec<&'static str> {
        let mut metrics = Vec::new();
        for figure in &self.figures {
            if !metrics.contains(&figure.metric) {
                metrics.push(figure.metric);
            }
        }
        metrics
    }
}

fn cell(metric: &str) -> usize {
    metric.len().max(9)
}

fn number(value: f64) -> String {
    match value.abs() {
        whole if whole.fract() == 0.0 && whole < 1e12 => format!("{value:.0}"),
        large if large >= 1_000.0 => format!("{value:.0}"),
        middle if middle >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// A list of figures of several seeds as their mean, metric by metric.
pub fn mean(runs: &[Vec<(Metric, f64)>]) -> Vec<(Metric, f64)> {
    let Some(first) = runs.first() else { return Vec::new() };
    let column = |i: usize| runs.iter().map(move |run| run[i].1).sum::<f64>() / runs.len() as f64;
    first.iter().enumerate().map(|(i, (metric, _))| (*metric, column(i))).collect()
}

/// Runs `job` for each seed on as many threads as there are cores.
pub fn over_seeds<T: Send>(seeds: &[u64], job: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let mut results = Vec::new();
    for batch in seeds.chunks(threads) {
        std::thread::scope(|scope| {
            let running: Vec<_> = batch.iter().map(|seed| scope.spawn(|| job(*seed))).collect();
            results.extend(running.into_iter().filter_map(|thread| thread.join().ok()));
        });
    }
    results
}

/// `count` seeds from `seed` on.
pub fn seeds(seed: u64, count: u64) -> Vec<u64> {
    (0..count).map(|i| seed + i).collect()
}
