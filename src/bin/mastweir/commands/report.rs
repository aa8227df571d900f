//! `mastweir report`: summarizes logs as tables, JSON or an SVG chart.

use super::{EXIT_DONE, print_json};
use argh::FromArgs;
use comfy_table::{Table, presets::NOTHING};
use eyre::WrapErr;
use mastweir::ops::logs::{PlotOptions, Report, ReportOptions, plot, report};
use std::{
    collections::BTreeMap,
    fs,
    io::{self, IsTerminal},
    path::PathBuf,
};

/// Most rows printed of each table, the largest first.
const MAX_ROWS: usize = 12;
/// File name of the chart.
const PLOT_FILE: &str = "report.svg";

/// Sum up logs: how requests ended, and what the losses were for.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "report",
    example = "mastweir report logs/*.jsonl --out pictures\ncat logs/* | mastweir report --json"
)]
pub struct Args {
    /// log files; none, or '-', for standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// folder for the picture
    #[argh(option)]
    out: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs `mastweir report`, and returns its exit code.
pub fn exec(args: &Args) -> eyre::Result<i32> {
    let is_interactive = io::stderr().is_terminal();
    let progress: Option<fn(u64)> = is_interactive.then_some(|lines| eprint!("\r{lines} lines"));
    let report = report(ReportOptions { files: &args.files, progress })?;
    if let Some(folder) = &args.out {
        fs::create_dir_all(folder).wrap_err_with(|| format!("making {}", folder.display()))?;
        plot(&report, PlotOptions { file: &folder.join(PLOT_FILE) })?;
    }
    if args.json {
        print_json(&report)?;
    } else {
        print(&report);
    }
    Ok(EXIT_DONE)
}

fn print(report: &Report) {
    let total = &report.total;
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header([
        "served",
        "late",
        "refused",
        "failed",
        "maps",
        "coordinators",
        "orders lost",
    ]);
    table.add_row([
        total.served,
        total.late,
        total.refused,
        total.failed,
        total.maps,
        total.leads,
        total.orders_lost,
    ]);
    println!("{table}");
    let tables = [
        ("lost for", &report.causes),
        ("lost on route", &report.routes),
        ("lost at instance", &report.instances),
        ("events", &report.events),
    ];
    for (title, rows) in tables {
        print_rows(title, rows);
    }
    println!("\n{} lines read, {} of them malformed", report.lines, report.malformed);
}

fn print_rows(title: &str, rows: &BTreeMap<String, u32>) {
    let mut rows: Vec<(&String, &u32)> = rows.iter().collect();
    rows.sort_by_key(|(name, count)| (u32::MAX - **count, *name));
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header([title, "count"]);
    let rest = rows.len().saturating_sub(MAX_ROWS);
    rows.iter().take(MAX_ROWS).for_each(|(name, count)| {
        table.add_row([(*name).clone(), count.to_string()]);
    });
    println!("\n{table}");
    if rest > 0 {
        println!("and {rest} more; --json gives all");
    }
}
