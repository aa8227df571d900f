//! `switch`: real agents and coordinators change the map of a rank group.

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
};
use argh::FromArgs;
use mastweir::objects::GroupSpec;
use mastweir_core::switch::MapVersion;
use mastweir_test_support::{
    fleet::{OPERATOR_KEY, customer, model},
    procs::Processes,
    ranks::RankGroup,
};
use reqwest::Client;
use serde_json::json;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time;

const RANKS: usize = 8;
const STEP: Duration = Duration::from_millis(5);
const SWITCHES: u64 = 12;
/// Time that a switch may take before the next one is asked for.
const PATIENCE: Duration = Duration::from_secs(15);
const METRICS: [Metric; 8] = [
    ("steps", "count"),
    ("steps_two_maps", "count"),
    ("begun", "count"),
    ("done", "count"),
    ("given_up", "count"),
    ("pause_p50_steps", "steps"),
    ("pause_p99_steps", "steps"),
    ("platform_calls", "1/switch"),
];
const FAULTS: [&str; 7] =
    ["none", "delay", "reset", "coordinator-killed", "agent-killed", "rank-replaced", "outage"];

/// Measure switches of expert maps.
#[derive(FromArgs)]
#[argh(subcommand, name = "switch")]
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

/// Runs the measure.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("switch", args.json);
    for fault in FAULTS.into_iter().filter(|fault| fault.contains(&args.case)) {
        report.progress(fault);
        let figures = run(fault).await?;
        report.add(fault, "current", &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
    }
    report.print();
    Ok(())
}

async fn run(fault: &str) -> eyre::Result<[f64; 8]> {
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.row("c0", &customer("c0", 1.0));
    fleet.row("assistant", &model());
    let group = RankGroup::start(RANKS, STEP);
    fleet.group = Some(group.clone());
    for i in 0..RANKS {
        let spec = GroupSpec { name: "g1".to_owned(), first: i as u16, ranks: 1, of: RANKS as u16 };
        fleet.add_server(&format!("s{i}"), "north", &["assistant"], Some(spec)).await?;
    }
    for name in ["e0", "e1"] {
        fleet.add_entry(name, "north").await?;
    }
    fleet.wait_ready().await?;
    let client = Client::new();
    let ready = Instant::now();
    while group.record().steps == 0 && ready.elapsed() < PATIENCE {
        time::sleep(STEP).await;
    }
    let calls = fleet.platform.calls();
    let mut done = 0;
    for i in 0..SWITCHES {
        let map = MapVersion(i + 2);
        if fault == "outage" {
            fleet.platform.set_down(i % 2 == 1);
        }
        want(&fleet, &client, map).await;
        time::sleep(Duration::from_millis(10 + 7 * i)).await;
        strike(&mut fleet, &group, fault, i as usize)?;
        let begun = Instant::now();
        while group.record().map < map && begun.elapsed() < PATIENCE {
            time::sleep(Duration::from_millis(20)).await;
            // A coordinator that has just taken over knows nothing of the wish.
            want(&fleet, &client, map).await;
        }
        done += u64::from(group.record().map >= map);
        heal(&fleet);
    }
    let record = group.record();
    let mut pauses = record.pauses.clone();
    pauses.sort_unstable();
    let pause = |percent: usize| pauses.get(pauses.len() * percent / 100).copied().unwrap_or(0);
    Ok([
        record.steps as f64,
        record.two_maps as f64,
        SWITCHES as f64,
        done as f64,
        (SWITCHES - done) as f64,
        pause(50) as f64,
        pause(99) as f64,
        (fleet.platform.calls() - calls) as f64 / SWITCHES as f64,
    ])
}

/// Tells all entries which map is wanted: the coordinator is one of them.
async fn want(fleet: &Processes, client: &Client, map: MapVersion) {
    for url in fleet.urls() {
        let request = client.post(format!("{url}/-/groups/g1")).bearer_auth(OPERATOR_KEY);
        // One that was killed does not answer.
        let _ = request.json(&json!({"map": map.0})).send().await;
    }
}

fn strike(fleet: &mut Processes, group: &RankGroup, fault: &str, i: usize) -> eyre::Result<()> {
    let faults = fleet.servers[i % RANKS].agent.proxy.faults.clone();
    match fault {
        "delay" => faults.delay_ms.store(25, Ordering::Relaxed),
        "reset" => faults.reset_after.store(120, Ordering::Relaxed),
        "coordinator-killed" if i.is_multiple_of(4) => fleet.restart_entry(i / 4 % 2)?,
        "agent-killed" if i.is_multiple_of(3) => fleet.restart_agent(i % RANKS)?,
        "rank-replaced" if i.is_multiple_of(3) => group.replace(i % RANKS),
        _ => (),
    }
    Ok(())
}

fn heal(fleet: &Processes) {
    for server in &fleet.servers {
        server.agent.proxy.faults.delay_ms.store(0, Ordering::Relaxed);
        server.agent.proxy.faults.reset_after.store(0, Ordering::Relaxed);
    }
}
