//! What a time's losses were for.

use super::{
    line::{Line, Read},
    read_lines,
};
use serde::Serialize;
use std::{collections::BTreeMap, path::PathBuf};

/// Seconds that are kept apart: a day of a fleet. Later ones are added to the last.
const SECONDS_MAX: usize = 86_400;
/// Names that are kept apart in each table; the rest is "other".
const NAMES_MAX: usize = 200;

/// Which logs.
#[derive(Clone, Copy, Debug)]
pub struct ReportOptions<'a> {
    /// Log files; none for standard input.
    pub files: &'a [PathBuf],
    /// Told of every so many lines read.
    pub progress: Option<fn(u64)>,
}

/// How requests ended in one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Served, as far as can be told in time.
    pub served: u32,
    /// Served late: a first event, or a pause, or a plain answer.
    pub late: u32,
    /// Refused, not run.
    pub refused: u32,
    /// Cut, or ended with a failure.
    pub failed: u32,
    /// Milliseconds of the longest pass that a stream saw.
    pub pass_ms: u64,
    /// Skew of the experts that a plan found, in thousandths.
    pub skew_milli: u64,
    /// Maps that took force.
    pub maps: u32,
    /// Coordinators that began.
    pub leads: u32,
    /// Orders that got no answer.
    pub orders_lost: u32,
}

impl Second {
    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.pass_ms = self.pass_ms.max(other.pass_ms);
        self.skew_milli = self.skew_milli.max(other.skew_milli);
        self.maps += other.maps;
        self.leads += other.leads;
        self.orders_lost += other.orders_lost;
    }
}

/// Losses of a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// All of it.
    pub total: Second,
    /// Requests that were not served in time, by cause.
    pub causes: BTreeMap<String, u32>,
    /// The same by route.
    pub routes: BTreeMap<String, u32>,
    /// The same by instance.
    pub instances: BTreeMap<String, u32>,
    /// Dependencies lost and regained, elections, and the like, by what was said.
    pub events: BTreeMap<String, u32>,
    /// By second, as the log counts them.
    pub seconds: BTreeMap<i64, Second>,
    /// Lines read.
    pub lines: u64,
    /// Those among them that begin like ours and can't be read.
    pub malformed: u64,
}

/// Sums logs up.
///
/// # Errors
///
/// A file can't be read.
pub fn report(options: ReportOptions<'_>) -> eyre::Result<Report> {
    const TELL_EVERY: u64 = 200_000;
    let mut report = Report::default();
    read_lines(options.files, |text| {
        report.lines += 1;
        if report.lines.is_multiple_of(TELL_EVERY) {
            options.progress.into_iter().for_each(|tell| tell(report.lines));
        }
        match Line::read(text) {
            Read::Line(line) => report.take(&line),
            Read::Malformed => report.malformed += 1,
            Read::Other => (),
        }
    })?;
    Ok(report)
}

/// What is counted as an event of the fleet.
const EVENTS: [&str; 14] = [
    "gateway started",
    "gateway stopping",
    "sidecar started",
    "sidecar stopped",
    "store lost",
    "store regained",
    "model server lost",
    "model server regained",
    "model server restarted",
    "became coordinator",
    "map change dropped",
    "object not read",
    "configuration adopted",
    "silent rank's server changed state",
];

impl Report {
    fn take(&mut self, line: &Line) {
        let mut second = Second::default();
        match line.message() {
            "request" if line.text("outcome") == "answered" => {
                let failed = line.number("status").is_some_and(|status| status >= 500);
                let late = line.text("late") == "yes";
                match (failed, late) {
                    (true, _) => second.failed = 1,
                    (false, true) => second.late = 1,
                    (false, false) => second.served = 1,
                }
                if failed || late {
                    let cause = if failed { "a server's failure" } else { "a late answer" };
                    self.lose(cause, line);
                }
            }
            "request" if line.text("outcome") == "ended" => {
                if line.number("status") == Some(503) {
                    second.refused = 1;
                } else {
                    second.failed = 1;
                    self.lose("no answer of a server", line);
                }
            }
            "no server found" => self.lose(&format!("refused: {}", line.text("reason")), line),
            "request refused" if line.number("status") == Some(503) => {
                second.refused = 1;
                self.lose(&format!("refused: {}", line.text("reason")), line);
            }
            "stream timing" => {
                second.pass_ms = line.number("pass_ms").unwrap_or_default();
                if !["no", ""].contains(&line.text("late")) {
                    self.lose(&format!("late stream: {}", line.text("late")), line);
                }
                // One that was cut has a line of its own.
                let is_whole = line.text("end") == "complete";
                match line.text("late") {
                    "no" if is_whole => second.served = 1,
                    _ if is_whole => second.late = 1,
                    _ => (),
                }
            }
            "stream cut" => {
                second.failed = 1;
                self.lose(&format!("stream cut: {}", line.text("reason")), line);
            }
            "map in force" => second.maps = 1,
            "map planned" => {
                let skew = line.text("skew_now").parse().unwrap_or(0.0_f64);
                second.skew_milli = (skew * 1_000.0) as u64;
            }
            "order not answered" => second.orders_lost = 1,
            _ => (),
        }
        if line.message() == "became coordinator" {
            second.leads = 1;
        }
        if EVENTS.contains(&line.message()) {
            count(&mut self.events, line.message());
        }
        if second != Second::default() {
            self.total.add(&second);
            let at = line.at_s.floor() as i64;
            let last = self.seconds.keys().next_back().copied().unwrap_or(at);
            let at = if self.seconds.len() < SECONDS_MAX { at } else { last };
            self.seconds.entry(at).or_default().add(&second);
        }
    }

    fn lose(&mut self, cause: &str, line: &Line) {
        count(&mut self.causes, cause);
        let route = line.text("route");
        if !route.is_empty() {
            count(&mut self.routes, route);
        }
        count(&mut self.instances, &line.instance);
    }
}

fn count(table: &mut BTreeMap<String, u32>, name: &str) {
    let is_known = table.contains_key(name);
    let name = if is_known || table.len() < NAMES_MAX { name } else { "other" };
    *table.entry(name.to_owned()).or_default() += 1;
}
