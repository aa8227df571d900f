//! Summarizes logs: how many requests were served, late, refused or failed in each second, and
//! the causes, routes and instances of those that were not served in time.

use super::{
    line::{Line, ParsedLine},
    read_lines,
};
use serde::Serialize;
use std::{collections::BTreeMap, path::PathBuf};

/// Most seconds with counts of their own: a day. Later seconds are added to the last one.
const SECONDS_MAX: usize = 86_400;
/// Most names in each table; further names are counted as "other".
const NAMES_MAX: usize = 200;

#[derive(Clone, Copy, Debug)]
pub struct ReportOptions<'a> {
    /// Log files; standard input if empty.
    pub files: &'a [PathBuf],
    /// Called with the number of lines read, at regular intervals.
    pub progress: Option<fn(u64)>,
}

/// Counts of one second, or of the whole report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests served in time, as far as the logs show.
    pub served: u32,
    /// Requests served late: the first event, a gap in the stream, or a plain answer.
    pub late: u32,
    /// Requests refused before they ran.
    pub refused: u32,
    /// Requests that failed, or whose stream was cut.
    pub failed: u32,
    /// Duration of the longest pass during a stream, in milliseconds.
    pub pass_ms: u64,
    /// Highest skew of expert load that a map was planned for, in thousandths.
    pub skew_milli: u64,
    /// Expert maps that came into force.
    pub maps: u32,
    /// Elections of a coordinator.
    pub leads: u32,
    /// Orders of coordinators that got no answer.
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

/// Summary of logs. A loss is a request that was not served in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Sum of all seconds.
    pub total: Second,
    /// Losses by cause.
    pub causes: BTreeMap<String, u32>,
    /// Losses by route.
    pub routes: BTreeMap<String, u32>,
    /// Losses by the instance that logged them.
    pub instances: BTreeMap<String, u32>,
    /// Events of the fleet, such as lost dependencies and elections, by log message.
    pub events: BTreeMap<String, u32>,
    /// Counts by second, on the time scale of the logs.
    pub seconds: BTreeMap<i64, Second>,
    /// Number of lines read.
    pub lines: u64,
    /// Number of lines with JSON that could not be parsed.
    pub malformed: u64,
}

/// Summarizes logs.
///
/// # Errors
///
/// A file can't be read.
pub fn report(options: ReportOptions<'_>) -> eyre::Result<Report> {
    const PROGRESS_INTERVAL: u64 = 200_000;
    let mut report = Report::default();
    read_lines(options.files, |text| {
        report.lines += 1;
        if report.lines.is_multiple_of(PROGRESS_INTERVAL) {
            options.progress.into_iter().for_each(|notify| notify(report.lines));
        }
        match Line::parse(text) {
            ParsedLine::Valid(line) => report.record(&line),
            ParsedLine::Malformed => report.malformed += 1,
            ParsedLine::Other => (),
        }
    })?;
    Ok(report)
}

/// Log messages that are counted as events of the fleet.
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
    fn record(&mut self, line: &Line) {
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
                    self.count_loss(cause, line);
                }
            }
            "request" if line.text("outcome") == "ended" => {
                if line.number("status") == Some(503) {
                    second.refused = 1;
                } else {
                    second.failed = 1;
                    self.count_loss("no answer of a server", line);
                }
            }
            "no server found" => {
                self.count_loss(&format!("refused: {}", line.text("reason")), line);
            }
            "request refused" if line.number("status") == Some(503) => {
                second.refused = 1;
                self.count_loss(&format!("refused: {}", line.text("reason")), line);
            }
            "stream timing" => {
                second.pass_ms = line.number("pass_ms").unwrap_or_default();
                if !["no", ""].contains(&line.text("late")) {
                    self.count_loss(&format!("late stream: {}", line.text("late")), line);
                }
                // A stream that was cut is counted by its "stream cut" line.
                let is_complete = line.text("end") == "complete";
                match line.text("late") {
                    "no" if is_complete => second.served = 1,
                    _ if is_complete => second.late = 1,
                    _ => (),
                }
            }
            "stream cut" => {
                second.failed = 1;
                self.count_loss(&format!("stream cut: {}", line.text("reason")), line);
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

    fn count_loss(&mut self, cause: &str, line: &Line) {
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
