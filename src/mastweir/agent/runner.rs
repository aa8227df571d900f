//! Runs what waits in the engine beside, and asks that for its load.

use super::{Shared, answer::End, engine, jobs::Job};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// How often the engine is asked for its load.
const POLL: Duration = Duration::from_millis(500);
/// Time for it to answer that.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Asks the engine for its load, again and again.
pub async fn poll(shared: Arc<Shared>) {
    loop {
        time::sleep(POLL).await;
        shared.jobs.expire();
        if let Some(report) = shared.engine.report(POLL_TIME).await {
            shared.jobs.set_engine(report);
        }
    }
}

/// A request's answer. Where that broke off it tells whether the engine ended under it, so
/// that the entry sends it to no other behind two of them.
async fn answer(shared: &Shared, job: &Job) -> End {
    let backs_off = |wait: Duration| {
        slog::info!(shared.context.log, "engine wants no requests for a time";
            "request" => &job.start.request, "wait_ms" => wait.as_millis() as u64);
        shared.jobs.back_off(wait);
    };
    match engine::answer(&shared.engine, job, backs_off).await {
        End::Broken if shared.engine.has_ended().await => {
            slog::warn!(shared.context.log, "engine ended under a request";
                "request" => &job.start.request, "customer" => &job.start.customer);
            End::EngineEnded
        }
        end => end,
    }
}

/// Runs a request in the engine, then lets the next one begin.
async fn run(shared: Arc<Shared>, job: Arc<Job>) {
    let begun = shared.context.clock.now();
    let end = tokio::select! {
        end = shared.context.clock.timeout_at(job.deadline, answer(&shared, &job)) => {
            end.unwrap_or(End::Broken)
        }
        () = job.answer.cancelled() => End::Broken,
    };
    let took = shared.context.clock.now().since(begun);
    slog::debug!(shared.context.log, "request ended"; "request" => &job.start.request,
        "end" => ?end, "took_ms" => took.as_millis());
    shared.jobs.ended(&job, end, took);
    pump(&shared);
}

/// Begins as many requests as there are free slots.
pub fn pump(shared: &Arc<Shared>) {
    while let Some(job) = shared.jobs.take_next() {
        tokio::spawn(run(shared.clone(), job));
    }
}
