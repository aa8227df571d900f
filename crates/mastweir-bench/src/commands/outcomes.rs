//! `outcomes`: real processes under faults, against what really ran.

mod caller;

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
};
use argh::FromArgs;
use caller::Caller;
use mastweir_core::table::{Drain, Row, RowKind};
use mastweir_test_support::{
    fleet::{customer, model, once, put_row, remove_row},
    procs::Processes,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use reqwest::Client;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};

const CALLERS: usize = 24;
const TOKENS: u64 = 20;
const SUBMISSIONS_MAX: u32 = 4;
/// Longer than any deadline: past it a request counts as never ended.
const PATIENCE: Duration = Duration::from_secs(40);
const METRICS: [Metric; 8] = [
    ("requests", "count"),
    ("done", "count"),
    ("not_run", "count"),
    ("unknown", "count"),
    ("run_twice", "count"),
    ("false_not_run", "count"),
    ("wrong_answer", "count"),
    ("never_ended", "count"),
];

/// Measure outcomes of requests to real processes under faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "outcomes")]
pub struct Args {
    /// seed of the callers and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds for each kind of fault (default 6)
    #[argh(option, default = "6")]
    seconds: u64,
    /// only faults whose name contains this
    #[argh(option, default = "String::new()")]
    case: String,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Delay,
    Datagrams,
    Reset,
    Cut,
    CutBack,
    AgentKilled,
    EntryKilled,
    AgentPaused,
    EntryPaused,
    Drain,
    PlatformDown,
    RepliesLost,
}

const FAULTS: [(&str, Fault); 13] = [
    ("none", Fault::None),
    ("delay", Fault::Delay),
    ("datagrams", Fault::Datagrams),
    ("reset", Fault::Reset),
    ("half-open", Fault::Cut),
    ("one-way", Fault::CutBack),
    ("agent-killed", Fault::AgentKilled),
    ("entry-killed", Fault::EntryKilled),
    ("agent-paused", Fault::AgentPaused),
    ("entry-paused", Fault::EntryPaused),
    ("drain", Fault::Drain),
    ("platform-down", Fault::PlatformDown),
    ("replies-lost", Fault::RepliesLost),
];

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: u64,
    done: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    never: u64,
}

/// What callers were told, and by what the oracle judges it.
#[derive(Debug, Default)]
struct Told {
    counts: Counts,
    /// Markers of requests that may not be repeated, and the last word on them.
    once: HashMap<String, String>,
}

/// Runs the measure.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("outcomes", args.json);
    let mut bad = 0.0;
    for (name, fault) in FAULTS {
        if !name.contains(&args.case) {
            continue;
        }
        report.progress(name);
        let figures = run(fault, args).await?;
        bad += figures[4..].iter().sum::<f64>();
        report.add(name, "current", &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
    }
    report.print();
    eyre::ensure!(bad == 0.0, "a promise was broken; the last four columns say which");
    Ok(())
}

async fn run(fault: Fault, args: &Args) -> eyre::Result<[f64; 8]> {
    let mut fleet = bring_up().await?;
    let told = Arc::new(Mutex::new(Told::default()));
    let stop = Arc::new(AtomicBool::new(false));
    let urls = Arc::new(Mutex::new(fleet.urls()));
    let mut callers = JoinSet::new();
    for i in 0..CALLERS {
        let caller = Caller {
            client: Client::builder().timeout(PATIENCE).build()?,
            urls: urls.clone(),
            told: told.clone(),
            stop: stop.clone(),
            rng: SmallRng::seed_from_u64(args.seed * 1_000 + i as u64),
            name: format!("{fault:?}-{i}"),
        };
        callers.spawn(caller.run());
    }
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let mut rng = SmallRng::seed_from_u64(args.seed);
    while Instant::now() < until {
        strike(&mut fleet, fault, &mut rng).await?;
        *urls.lock().unwrap_or_else(PoisonError::into_inner) = fleet.urls();
        time::sleep(Duration::from_millis(400)).await;
        heal(&mut fleet, fault)?;
        time::sleep(Duration::from_millis(600)).await;
    }
    stop.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    let told = told.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(judge(&fleet, &told))
}

async fn bring_up() -> eyre::Result<Processes> {
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    for i in 0..4 {
        let hall = if i < 2 { "north" } else { "south" };
        fleet.add_server(&format!("s{i}"), hall, &["assistant", "desk"], None).await?;
    }
    for (name, hall) in [("e0", "north"), ("e1", "north"), ("e2", "south")] {
        fleet.add_entry(name, hall).await?;
    }
    fleet.wait_ready().await?;
    Ok(fleet)
}

async fn strike(fleet: &mut Processes, fault: Fault, rng: &mut SmallRng) -> eyre::Result<()> {
    let server = rng.random_range(0..fleet.servers.len());
    let entry = rng.random_range(0..fleet.entries.len());
    let faults = fleet.servers[server].agent.proxy.faults.clone();
    match fault {
        Fault::None => (),
        Fault::Delay => faults.delay_ms.store(30, Ordering::Relaxed),
        Fault::Datagrams => {
            faults.loss_pct.store(40, Ordering::Relaxed);
            faults.double_pct.store(30, Ordering::Relaxed);
        }
        Fault::Reset => faults.reset_after.store(rng.random_range(200..3_000), Ordering::Relaxed),
        Fault::Cut => faults.cut.store(true, Ordering::SeqCst),
        Fault::CutBack => faults.cut_back.store(true, Ordering::SeqCst),
        Fault::AgentKilled => fleet.restart_agent(server)?,
        Fault::EntryKilled => fleet.restart_entry(entry)?,
        Fault::AgentPaused => fleet.servers[server].agent.daemon.pause(),
        Fault::EntryPaused => fleet.entries[entry].daemon.pause(),
        Fault::Drain => {
            let row = Row::Drain(Drain { reason: "measure".to_owned() });
            put_row(&fleet.platform, &format!("s{server}"), &row);
        }
        Fault::PlatformDown => fleet.platform.set_down(true),
        Fault::RepliesLost => fleet.platform.faults.lose_replies.store(true, Ordering::SeqCst),
    }
    Ok(())
}

fn heal(fleet: &mut Processes, fault: Fault) -> eyre::Result<()> {
    for (i, server) in fleet.servers.iter().enumerate() {
        let faults = &server.agent.proxy.faults;
        faults.delay_ms.store(0, Ordering::Relaxed);
        faults.loss_pct.store(0, Ordering::Relaxed);
        faults.double_pct.store(0, Ordering::Relaxed);
        faults.reset_after.store(0, Ordering::Relaxed);
        faults.cut.store(false, Ordering::SeqCst);
        faults.cut_back.store(false, Ordering::SeqCst);
        server.agent.daemon.resume();
        if fault == Fault::Drain {
            remove_row(&fleet.platform, RowKind::Drain, &format!("s{i}"));
        }
    }
    fleet.entries.iter().for_each(|entry| entry.daemon.resume());
    fleet.platform.set_down(false);
    fleet.platform.faults.lose_replies.store(false, Ordering::SeqCst);
    Ok(())
}

/// The oracle: what callers were told against what the servers ran.
fn judge(fleet: &Processes, told: &Told) -> [f64; 8] {
    let twice = told.once.keys().filter(|marker| fleet.runs.of(marker) > 1).count();
    let not_run = told.once.iter().filter(|(_, outcome)| *outcome == "not-run");
    let false_not_run = not_run.filter(|(marker, _)| fleet.runs.of(marker) > 0).count();
    let counts = &told.counts;
    [
        counts.requests as f64,
        counts.done as f64,
        counts.not_run as f64,
        counts.unknown as f64,
        twice as f64,
        false_not_run as f64,
        counts.wrong as f64,
        counts.never as f64,
    ]
}
