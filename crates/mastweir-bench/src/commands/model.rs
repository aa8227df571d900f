//! `model`: fleets in virtual time, from a file or drawn from seeds.

use argh::FromArgs;
use eyre::{Context, ensure};
use mastweir_model::{Outcome, Scenario, draw, run, shrink};
use std::{
    fs,
    io::{self, IsTerminal},
    num::NonZero,
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Instant,
};

/// Play fleets in virtual time, and look for promises that are broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "model")]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Hunt(Hunt),
    Shrink(Shrink),
}

/// Play one scenario.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// file of the scenario; without it one is drawn from the seed
    #[argh(option)]
    file: Option<PathBuf>,
    /// seed of the scenario and of all that is drawn in it
    #[argh(option, default = "1")]
    seed: u64,
}

/// Play scenarios that are drawn from seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
struct Hunt {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds
    #[argh(option, default = "200")]
    seeds: u64,
    /// threads; all cores without it
    #[argh(option)]
    jobs: Option<usize>,
}

/// Find the least scenario that still breaks a promise.
#[derive(FromArgs)]
#[argh(subcommand, name = "shrink")]
struct Shrink {
    /// file of the scenario; without it one is drawn from the seed
    #[argh(option)]
    file: Option<PathBuf>,
    /// seed of the scenario and of all that is drawn in it
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the command.
///
/// # Errors
///
/// A scenario can't be read, or a promise was broken.
pub fn exec(args: &Args) -> eyre::Result<()> {
    match &args.command {
        Command::Run(Run { file, seed }) => {
            let outcome = run(&scenario(file.as_ref(), *seed)?, *seed);
            print_outcome(*seed, &outcome);
            ensure!(
                outcome.broken.is_empty(),
                "promises were broken; 'model shrink' tells by what"
            );
        }
        Command::Hunt(hunt) => exec_hunt(hunt)?,
        Command::Shrink(Shrink { file, seed }) => {
            println!("{:#?}", shrink(&scenario(file.as_ref(), *seed)?, *seed));
        }
    }
    Ok(())
}

fn scenario(file: Option<&PathBuf>, seed: u64) -> eyre::Result<Scenario> {
    let Some(file) = file else { return Ok(draw(seed)) };
    let text = fs::read_to_string(file)
        .wrap_err_with(|| format!("reading {}; check that it is there", file.display()))?;
    Scenario::read(&text).wrap_err_with(|| file.display().to_string())
}

fn print_outcome(seed: u64, outcome: &Outcome) {
    let Outcome { served, refused, words, broken } = outcome;
    println!("seed {seed}: {served} served, {refused} refused, {words} words between gateways");
    broken.iter().for_each(|what| println!("broken: {what}"));
}

fn exec_hunt(hunt: &Hunt) -> eyre::Result<()> {
    let Hunt { seed, seeds, jobs } = hunt;
    let cores = || thread::available_parallelism().map_or(1, NonZero::get);
    let jobs = jobs.unwrap_or_else(cores);
    let next = AtomicU64::new(*seed);
    let end = seed + seeds;
    let (began, broken) = (Instant::now(), AtomicU64::new(0));
    let play = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let outcome = run(&draw(seed), seed);
            if !outcome.broken.is_empty() {
                broken.fetch_add(1, Ordering::Relaxed);
                print_outcome(seed, &outcome);
            }
            if io::stderr().is_terminal() {
                eprint!("\r\x1b[Kmodel: seed {seed}");
            }
        }
    };
    thread::scope(|scope| (0..jobs).for_each(|_| drop(scope.spawn(play))));
    let broken = broken.into_inner();
    println!("{seeds} seeds from {seed}, {broken} broken, {:.1} s", began.elapsed().as_secs_f64());
    ensure!(broken == 0, "promises were broken; 'model shrink --seed N' tells by what");
    Ok(())
}
