//! Runs the soak, seed after seed, and reports what was kept and what was not.

use argh::FromArgs;
use eyre::{WrapErr, ensure};
use mastweir_soak::{SoakOptions, run};
use std::{
    env,
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

/// the real programs under faults; promises are checked from what callers and servers saw
#[derive(FromArgs)]
struct Args {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds to run, one after the other (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// run fresh seeds for so many minutes instead
    #[argh(option)]
    minutes: Option<u64>,
    /// seconds in which faults begin, a seed (default 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// the daemon (default: mastweird beside this program)
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for what the processes write (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let beside = env::current_exe().wrap_err("finding this program")?.with_file_name("mastweird");
    let program = args.program.clone().unwrap_or(beside);
    ensure!(program.is_file(), "{} is not there; build it first", program.display());
    let runtime = tokio::runtime::Runtime::new()?;
    let began = Instant::now();
    let fresh = args.minutes.map(|minutes| Duration::from_secs(60 * minutes));
    let first = if fresh.is_some() { fresh_seed() } else { args.seed };
    let (mut runs, mut failed) = (0, Vec::new());
    while fresh.map_or(runs < args.seeds, |minutes| began.elapsed() < minutes) {
        let seed = first + runs;
        let options = SoakOptions {
            program: &program,
            folder: &args.logs,
            seed,
            lasts: Duration::from_secs(args.seconds),
            plan: None,
        };
        let report = runtime.block_on(run(&options))?;
        println!("{report}");
        if !report.broken.is_empty() {
            failed.push(seed);
        }
        runs += 1;
    }
    println!("{runs} seeds in {} s, broken: {failed:?}", began.elapsed().as_secs());
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Seconds since 1970: the report names it, so that it can be had again.
fn fresh_seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |since| since.as_secs())
}
