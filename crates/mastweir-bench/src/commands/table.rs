//! `table`: from accepted to in force everywhere, with real entries and faults.

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
    stats::Times,
};
use argh::FromArgs;
use mastweir::entry::EntryStatus;
use mastweir_test_support::{
    fleet::{OPERATOR_KEY, customer, put_row},
    procs::Processes,
};
use reqwest::Client;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

const METRICS: [Metric; 6] = [
    ("in_force_p50_s", "s"),
    ("in_force_p99_s", "s"),
    ("in_force_max_s", "s"),
    ("reverts", "count"),
    ("lost", "count"),
    ("platform_calls", "1/change"),
];
const ENTRIES: usize = 8;
const HALLS: [&str; 3] = ["north", "middle", "south"];
const CHANGES: usize = 25;
/// Changes of one burst.
const BURST: usize = 200;
/// Time after which a change counts as lost.
const LOST: Duration = Duration::from_secs(15);
const FAULTS: [&str; 7] =
    ["none", "burst", "slow", "stale-lists", "mute-watches", "restart", "outage"];

/// Measure how fast changes of the table are in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Args {
    /// taken for uniformity; the times are real
    #[argh(option, default = "1")]
    #[expect(dead_code, reason = "every measure takes a seed")]
    seed: u64,
    /// only faults whose name contains this
    #[argh(option, default = "String::new()")]
    case: String,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// What was seen of the entries' versions.
struct Watch {
    client: Client,
    highest: Vec<u64>,
    reverts: u64,
}

/// Runs the measure.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("table", args.json);
    for fault in FAULTS.into_iter().filter(|fault| fault.contains(&args.case)) {
        report.progress(fault);
        let figures = run(fault).await?;
        report.add(fault, "current", &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
    }
    report.print();
    Ok(())
}

async fn run(fault: &str) -> eyre::Result<[f64; 6]> {
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.row("c0", &customer("c0", 1.0));
    for i in 0..ENTRIES {
        fleet.add_entry(&format!("e{i}"), HALLS[i % HALLS.len()]).await?;
    }
    fleet.wait_ready().await?;
    time::sleep(Duration::from_secs(3)).await;
    let mut watch = Watch { client: Client::new(), highest: vec![0; ENTRIES], reverts: 0 };
    let mut times = Times::new();
    let mut lost = 0;
    let calls = fleet.platform.calls();
    for i in 0..CHANGES {
        strike(&mut fleet, fault, i)?;
        let rows = if fault == "burst" { BURST } else { 1 };
        let accepted = Instant::now();
        let mut version = 0;
        for row in 0..rows {
            let name = format!("c{}", row % 50);
            let object = serde_json::json!({"spec": customer(&name, 1.0 + i as f64)});
            version = fleet.platform.put("rows", &format!("customer.{name}"), object);
        }
        if fault == "outage" {
            // Accepted, and then the platform is away: who watched tells the others.
            time::sleep(Duration::from_millis(60)).await;
            fleet.platform.set_down(true);
        }
        match watch.wait(&fleet, version, accepted).await {
            Some(took) => times.add(took.as_secs_f64()),
            None => lost += 1,
        }
        heal(&fleet);
        time::sleep(Duration::from_millis(200)).await;
    }
    put_row(&fleet.platform, "end", &customer("end", 1.0));
    let calls = (fleet.platform.calls() - calls) as f64 / CHANGES as f64;
    Ok([
        times.at(50.0),
        times.at(99.0),
        times.at(100.0),
        watch.reverts as f64,
        f64::from(lost),
        calls,
    ])
}

fn strike(fleet: &mut Processes, fault: &str, i: usize) -> eyre::Result<()> {
    match fault {
        "slow" => fleet.platform.faults.slow_ms.store(300, Ordering::Relaxed),
        "stale-lists" => {
            fleet.platform.set_stale(true);
            if i.is_multiple_of(5) {
                // An entry that starts anew lists, and gets what was before.
                fleet.restart_entry(i % ENTRIES)?;
            }
        }
        "mute-watches" if i % 8 == 7 => {
            fleet.platform.faults.mute_watches.store(true, Ordering::SeqCst);
        }
        "restart" => fleet.restart_entry(i % ENTRIES)?,
        _ => (),
    }
    Ok(())
}

fn heal(fleet: &Processes) {
    fleet.platform.faults.slow_ms.store(0, Ordering::Relaxed);
    fleet.platform.faults.mute_watches.store(false, Ordering::SeqCst);
    fleet.platform.set_stale(false);
    fleet.platform.set_down(false);
}

impl Watch {
    /// Waits until a version is in force at all entries.
    async fn wait(&mut self, fleet: &Processes, version: u64, since: Instant) -> Option<Duration> {
        // A mute watch is let speak again after a second.
        let mute_until = since + Duration::from_secs(1);
        while since.elapsed() < LOST {
            if Instant::now() > mute_until {
                fleet.platform.faults.mute_watches.store(false, Ordering::SeqCst);
                fleet.platform.set_stale(false);
            }
            if self.look(fleet, version).await {
                return Some(since.elapsed());
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Whether all entries have come that far. A ready entry that was further
    /// before has reverted; one that has just started is not ready.
    async fn look(&mut self, fleet: &Processes, version: u64) -> bool {
        let mut all = true;
        for (i, url) in fleet.urls().iter().enumerate() {
            let request = self.client.get(format!("{url}/-/status")).bearer_auth(OPERATOR_KEY);
            let Ok(response) = request.send().await else { return false };
            let Ok(status) = response.json::<EntryStatus>().await else { return false };
            if status.ready && status.table < self.highest[i] {
                self.reverts += 1;
            }
            if status.ready {
                self.highest[i] = self.highest[i].max(status.table);
            }
            all &= status.ready && status.table >= version;
        }
        all
    }
}
