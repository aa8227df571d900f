//! `outcomes`: real processes under faults, against what really ran.

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
};
use argh::FromArgs;
use mastweir_core::table::{Drain, Row, RowKind};
use mastweir_test_support::{
    engine,
    fleet::{customer, model, once, put_row, remove_row},
    procs::Processes,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use reqwest::Client;
use serde_json::{Value, json};
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

struct Caller {
    client: Client,
    /// Where the entries serve; a restarted one is elsewhere.
    urls: Arc<Mutex<Vec<String>>>,
    told: Arc<Mutex<Told>>,
    stop: Arc<AtomicBool>,
    rng: SmallRng,
    name: String,
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

impl Caller {
    async fn run(mut self) {
        let mut i = 0;
        while !self.stop.load(Ordering::SeqCst) {
            i += 1;
            let marker = format!("{}-{i}", self.name);
            let outcome = match self.rng.random_range(0..5) {
                0 | 1 => self.stream(&marker).await,
                2 => self.once(&marker, Key::None).await,
                3 => self.once(&marker, Key::Plain).await,
                _ => self.once(&marker, Key::Ticket).await,
            };
            self.count(&outcome);
            time::sleep(Duration::from_millis(self.rng.random_range(1..20))).await;
        }
    }

    fn count(&self, outcome: &str) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = &mut told.counts;
        counts.requests += 1;
        match outcome {
            "done" => counts.done += 1,
            "not-run" => counts.not_run += 1,
            "wrong" => counts.wrong += 1,
            "never" => counts.never += 1,
            _ => counts.unknown += 1,
        }
    }

    fn any_url(&mut self) -> String {
        let urls = self.urls.lock().unwrap_or_else(PoisonError::into_inner);
        urls[self.rng.random_range(0..urls.len())].clone()
    }

    async fn stream(&mut self, marker: &str) -> String {
        let body = json!({
            "model": "assistant", "prompt": marker, "user": marker,
            "max_tokens": TOKENS, "stream": true,
        });
        let url = format!("{}/v1/completions", self.any_url());
        let request = self.client.post(url).bearer_auth("quaystep").json(&body);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return of_error(&error),
        };
        if !response.status().is_success() {
            return outcome_of(&response.json().await.unwrap_or_default());
        }
        let Ok(text) = response.text().await else { return "unknown".to_owned() };
        stream_outcome(&text, marker)
    }

    async fn once(&mut self, marker: &str, key: Key) -> String {
        let key = match key {
            Key::None => None,
            Key::Plain => Some(format!("key-{marker}")),
            Key::Ticket => match self.ticket().await {
                Some(ticket) => Some(ticket),
                None => return "not-run".to_owned(),
            },
        };
        let mut outcome = String::new();
        for _ in 0..SUBMISSIONS_MAX {
            outcome = self.submit(marker, key.as_deref()).await;
            // Only who has a key may ask again.
            if outcome != "unknown" || key.is_none() {
                break;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        told.once.insert(marker.to_owned(), outcome.clone());
        outcome
    }

    async fn ticket(&mut self) -> Option<String> {
        let url = format!("{}/v1/tickets", self.any_url());
        let request = self.client.post(url).bearer_auth("quaystep");
        let response = request.json(&json!({"service": "desk"})).send().await.ok()?;
        let answer: Value = response.json().await.ok()?;
        Some(answer["ticket"].as_str()?.to_owned())
    }

    async fn submit(&mut self, marker: &str, key: Option<&str>) -> String {
        let url = format!("{}/desk/rebook", self.any_url());
        let request = self.client.post(url).bearer_auth("quaystep").body(marker.to_owned());
        let request = match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return of_error(&error),
        };
        let done = response.status().is_success();
        let Ok(answer) = response.json::<Value>().await else { return "unknown".to_owned() };
        match (done, answer["receipt"].as_str()) {
            (true, Some(receipt)) if receipt == marker => "done".to_owned(),
            (true, _) => "wrong".to_owned(),
            (false, _) => outcome_of(&answer),
        }
    }
}

/// How a request names its operation.
enum Key {
    None,
    Plain,
    Ticket,
}

/// Without an answer from the entry, nothing is known, but that a connection
/// which did not open brought no request.
fn of_error(error: &reqwest::Error) -> String {
    let outcome = match () {
        () if error.is_timeout() => "never",
        () if error.is_connect() => "not-run",
        () => "unknown",
    };
    outcome.to_owned()
}

fn outcome_of(problem: &Value) -> String {
    let outcome = problem.get("outcome").and_then(Value::as_str);
    outcome.unwrap_or("unknown").to_owned()
}

/// A stream is done if it is whole, and unknown if its end says so.
fn stream_outcome(text: &str, marker: &str) -> String {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let mut got = String::new();
    for value in values {
        if let Some(outcome) = value["outcome"].as_str() {
            return outcome.to_owned();
        }
        got.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    let whole = engine::answer_text(marker, TOKENS);
    match (text.ends_with("data: [DONE]\n\n"), got == whole) {
        (true, true) => "done".to_owned(),
        // Cut off with its entry: the caller sees that no last event came.
        (false, _) if whole.starts_with(&got) => "unknown".to_owned(),
        _ => "wrong".to_owned(),
    }
}
