//! Soak: the real programs as processes, under faults that overlap, and the promises
//! checked while they run, from what callers and servers saw.
//!
//! A run is drawn from a seed ([`plan`]) and printed, so it can be had again, though
//! not to the millisecond: the processes are real. [`world`] starts processes and
//! stand-ins, [`callers`] send requests, [`servers`] answer, and both write down what
//! they see in the [`ledger`], which knows what is promised. [`faults`] strikes.

pub mod callers;
pub mod faults;
pub mod ledger;
pub mod lost;
pub mod plan;
pub mod servers;
pub mod tokens;
pub mod world;

use crate::{
    faults::Timeline,
    ledger::{Kind, Ledger, Outcome},
    plan::Entry,
    world::{RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW_S, SIZES, World},
};
use eyre::WrapErr;
use mastweir_test_support::site::{wait_for, wait_within};
use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Passes that a group has to begin once all is well again.
const PASSES_AFTER: u64 = 20;
/// A configuration has to be in force by then once all is well: half of what a gateway
/// takes that goes by the end of its watch alone.
const IN_FORCE_LASTS: Duration = Duration::from_secs(10);

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions<'a> {
    /// The daemon.
    pub program: &'a Path,
    /// Folder for what the processes write.
    pub folder: &'a Path,
    /// Seed of the plan and of the traffic.
    pub seed: u64,
    /// How long faults begin.
    pub lasts: Duration,
    /// What goes wrong, in place of what the seed would draw.
    pub plan: Option<&'a [Entry]>,
}

/// What came out.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// What went wrong.
    pub plan: Vec<Entry>,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Requests by kind and outcome.
    pub counts: Vec<((Kind, Outcome), usize)>,
    /// Changes of maps that took force.
    pub changes: u64,
    /// Servers that ended under the one request that ends them.
    pub ends: u32,
    /// Servers that ended under harmful prompts.
    pub prompt_ends: usize,
    /// Requests that a sound server worked on, and that a gateway ended with a failure or a
    /// refusal.
    pub replaced: usize,
    /// What the processes wrote.
    pub logs: PathBuf,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.broken.is_empty() { "kept" } else { "BROKEN" };
        write!(f, "seed {}: {verdict}, {} faults, ", self.seed, self.plan.len())?;
        for ((kind, outcome), count) in &self.counts {
            write!(f, "{kind:?} {outcome:?} {count}, ")?;
        }
        write!(f, "{} changes of maps, {} servers ended", self.changes, self.ends)?;
        write!(f, ", {} under prompts", self.prompt_ends)?;
        write!(f, ", {} answers of sound servers replaced", self.replaced)?;
        if self.broken.is_empty() {
            return Ok(());
        }
        writeln!(f, "\nlogs: {}", self.logs.display())?;
        self.plan.iter().try_for_each(|entry| writeln!(f, "  {entry}"))?;
        self.broken.iter().try_for_each(|what| writeln!(f, "broken: {what}"))
    }
}

/// Runs one seed.
///
/// # Errors
///
/// The world can't be started. A broken promise is no error but in the report.
pub async fn run(options: &SoakOptions<'_>) -> eyre::Result<Report> {
    let ledger = Arc::new(Ledger::default());
    let logs = options.folder.join(format!("seed-{}", options.seed));
    let mut world = World::start(options.program, &logs, &ledger).await?;
    let asking = tokio::spawn(world.balancer.clone().ask());
    let all = world.doors.clone();
    let all_ready = async || all_of(&all, |(_, ready)| callers::is_ready(ready)).await;
    wait_for(all_ready).await.wrap_err("waiting for gateways that are ready")?;
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = callers::run(world.balancer.clone(), ledger.clone(), stop.clone(), options.seed);
    let traffic = tokio::spawn(traffic);
    let drawn = || plan::draw(options.seed, options.lasts, SIZES);
    let plan = options.plan.map_or_else(drawn, <[Entry]>::to_vec);
    Timeline::of(&plan).play(&mut world, &ledger).await?;
    stop.store(true, Ordering::SeqCst);
    traffic.await?;
    check_after(&mut world, &ledger).await;
    asking.abort();
    ledger.check_all();
    let gateways: Vec<SocketAddr> = world.doors.iter().map(|(callers, _)| *callers).collect();
    let replaced = ledger.check_lost(&gateways, SIZES);
    ledger.check_ends();
    ledger.check_prompts();
    tokens::check(&logs, &ledger)?;
    ledger.check_retries(Duration::from_secs(RETRY_WINDOW_S), RETRY_RATIO, RETRY_EXTRA);
    let two_maps: u64 = world.groups.iter().map(|group| group.two_maps()).sum();
    if two_maps > 0 {
        ledger.broken(format!("{two_maps} passes began under two maps"));
    }
    let changes = world.groups.iter().map(|group| group.changes()).sum();
    let (broken, counts) = (ledger.all_broken(), ledger.counts());
    let (ends, prompt_ends) = (ledger.servers_ended(), ledger.ends_under_prompts());
    let seed = options.seed;
    Ok(Report { seed, plan, broken, counts, changes, ends, prompt_ends, replaced, logs })
}

async fn all_of<F: Future<Output = bool>>(
    doors: &[(SocketAddr, SocketAddr)],
    holds: impl Fn((SocketAddr, SocketAddr)) -> F,
) -> bool {
    for door in doors {
        if !holds(*door).await {
            return false;
        }
    }
    true
}

/// An id for a request outside the traffic.
fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!("after-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Once all faults are over, everything has to work again.
async fn check_after(world: &mut World, ledger: &Ledger) {
    let doors = world.doors.clone();
    let note = |what: &str, held: eyre::Result<()>| {
        if held.is_err() {
            ledger.broken(format!("after the faults: {what}"));
        }
    };
    let ready = wait_for(async || all_of(&doors, |(_, ready)| callers::is_ready(ready)).await);
    note("a gateway is not ready", ready.await);
    let version = world.configure();
    let in_force = async |(callers, _): (SocketAddr, SocketAddr)| {
        let path = format!("/version-{version}/a");
        callers::ask_at(callers, Kind::Probe, &path, &fresh_id(), None, ledger).await
            == Outcome::Served
    };
    let held = wait_within(IN_FORCE_LASTS, async || all_of(&doors, in_force).await);
    note("a gateway does not follow the configuration", held.await);
    for (number, (callers, _)) in doors.iter().enumerate() {
        for kind in [Kind::Stream, Kind::Once, Kind::Safe] {
            let served = wait_for(async || {
                callers::ask(*callers, kind, &fresh_id(), None, ledger).await == Outcome::Served
            });
            note(&format!("gateway {number} serves no {kind:?}"), served.await);
        }
    }
    for (number, group) in world.groups.iter().enumerate() {
        let from = group.pass();
        let goes_on = wait_for(async || group.pass() >= from + PASSES_AFTER);
        note(&format!("group {number} stands still"), goes_on.await);
    }
}
