//! `path`: what the way through an entry and an agent adds to a direct call.

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
    stats::Times,
};
use argh::FromArgs;
use mastweir_test_support::{
    fleet::{customer, model, once},
    procs::Processes,
};
use reqwest::Client;
use serde_json::json;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

const CALLERS: [usize; 3] = [1, 64, 512];
const TOKENS: u64 = 8;
const METRICS: [Metric; 5] = [
    ("added_p50_us", "us"),
    ("added_p99_us", "us"),
    ("ratio_p50", "ratio"),
    ("calls_s", "1/s"),
    ("direct_calls_s", "1/s"),
];

/// Measure the latency that is added to a direct call.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
pub struct Args {
    /// taken for uniformity; the times are real
    #[argh(option, default = "1")]
    #[expect(dead_code, reason = "every measure takes a seed")]
    seed: u64,
    /// seconds for each case and way (default 3)
    #[argh(option, default = "3")]
    seconds: u64,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// Runs the measure.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("path", args.json);
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.row("c0", &customer("c0", 1.0));
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    for i in 0..4 {
        fleet.add_server(&format!("s{i}"), "north", &["assistant", "desk"], None).await?;
        fleet.servers[i].engine.step_us.store(1_000, Ordering::Relaxed);
    }
    fleet.add_entry("e0", "north").await?;
    fleet.wait_ready().await?;
    let through = fleet.urls();
    let direct: Vec<String> = fleet.servers.iter().map(|server| server.served.url()).collect();
    let time = Duration::from_secs(args.seconds);
    for streamed in [false, true] {
        for callers in CALLERS {
            let kind = if streamed { "stream" } else { "short" };
            let case = format!("{kind}-callers={callers}");
            report.progress(&case);
            let (slow, calls) = load(&through, callers, streamed, time).await?;
            let (fast, direct_calls) = load(&direct, callers, streamed, time).await?;
            let added = |percent| 1e6 * (slow.at(percent) - fast.at(percent));
            let figures = [
                added(50.0),
                added(99.0),
                slow.at(50.0) / fast.at(50.0),
                calls / time.as_secs_f64(),
                direct_calls / time.as_secs_f64(),
            ];
            report.add(&case, "current", &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
        }
    }
    report.print();
    Ok(())
}

/// Calls from so many callers for a while: their times, and how many ended well.
async fn load(
    urls: &[String],
    callers: usize,
    streamed: bool,
    time: Duration,
) -> eyre::Result<(Times, f64)> {
    let client = Client::new();
    let mut running = JoinSet::new();
    for i in 0..callers {
        let client = client.clone();
        let url = urls[i % urls.len()].clone();
        running.spawn(async move {
            let mut times = Vec::new();
            let until = Instant::now() + time;
            while Instant::now() < until {
                let begun = Instant::now();
                if call(&client, &url, streamed).await {
                    times.push(begun.elapsed().as_secs_f64());
                }
            }
            times
        });
    }
    let mut times = Times::new();
    while let Some(part) = running.join_next().await {
        part?.into_iter().for_each(|seconds| times.add(seconds));
    }
    let count = times.len() as f64;
    Ok((times, count))
}

async fn call(client: &Client, url: &str, streamed: bool) -> bool {
    let request = if streamed {
        let body = json!({
            "model": "assistant", "prompt": "p", "user": "m", "max_tokens": TOKENS, "stream": true,
        });
        client.post(format!("{url}/v1/completions")).json(&body)
    } else {
        client.post(format!("{url}/desk/rules")).body("m")
    };
    let Ok(response) = request.bearer_auth("c0").send().await else { return false };
    let ok = response.status().is_success();
    response.bytes().await.is_ok() && ok
}
