//! Runs queued requests in the engine, and polls the engine for its load.

use super::{Shared, answer::AnswerEnd, engine, jobs::Job};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Time between polls of the engine's load.
const POLL_PERIOD: Duration = Duration::from_millis(500);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the engine's load, and expires queued requests, periodically.
pub async fn poll_engine(shared: Arc<Shared>) {
    loop {
        time::sleep(POLL_PERIOD).await;
        shared.jobs.expire();
        if let Some(report) = shared.engine.load(POLL_TIMEOUT).await {
            shared.jobs.set_engine_report(report);
        }
    }
}

/// Runs a request in the engine. If the answer breaks off, probes whether the engine crashed, as
/// entries quarantine requests under which engines crash.
async fn run_in_engine(shared: &Shared, job: &Job) -> AnswerEnd {
    let on_backoff = |wait: Duration| {
        slog::info!(shared.context.log, "engine requested a backoff; rejecting requests until it ends";
            "request" => &job.start.request, "wait_ms" => wait.as_millis() as u64);
        shared.jobs.back_off(wait);
    };
    match engine::run(&shared.engine, job, on_backoff).await {
        AnswerEnd::Broken if shared.engine.has_crashed().await => {
            slog::warn!(shared.context.log, "engine crashed while running a request";
                "request" => &job.start.request, "customer" => &job.start.customer);
            AnswerEnd::EngineCrashed
        }
        end => end,
    }
}

/// Runs a request until its answer ends, its deadline passes or it is cancelled, then starts the
/// next one.
async fn run_job(shared: Arc<Shared>, job: Arc<Job>) {
    let started = shared.context.clock.now();
    let end = tokio::select! {
        end = shared.context.clock.timeout_at(job.deadline, run_in_engine(&shared, &job)) => {
            end.unwrap_or(AnswerEnd::Broken)
        }
        () = job.answer.cancelled() => AnswerEnd::Broken,
    };
    let duration = shared.context.clock.now().since(started);
    slog::debug!(shared.context.log, "request ended"; "request" => &job.start.request,
        "end" => ?end, "took_ms" => duration.as_millis());
    shared.jobs.record_end(&job, end, duration);
    start_queued(&shared);
}

/// Starts queued requests while slots are free.
pub fn start_queued(shared: &Arc<Shared>) {
    while let Some(job) = shared.jobs.take_next() {
        tokio::spawn(run_job(shared.clone(), job));
    }
}
