//! A caller, what it asks for, and what it makes of the answers.

use super::{SUBMISSIONS_MAX, TOKENS, Told};
use mastweir_test_support::engine;
use rand::{Rng, rngs::SmallRng};
use reqwest::Client;
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// A caller.
pub(super) struct Caller {
    pub(super) client: Client,
    /// Where the entries serve; a restarted one is elsewhere.
    pub(super) urls: Arc<Mutex<Vec<String>>>,
    pub(super) told: Arc<Mutex<Told>>,
    pub(super) stop: Arc<AtomicBool>,
    pub(super) rng: SmallRng,
    pub(super) name: String,
}

impl Caller {
    /// Asks until it is told to stop.
    pub(super) async fn run(mut self) {
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
