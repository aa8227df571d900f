//! HTTP client for the server's engine or plain service.
//!
//! Sends requests and rank orders to the engine, and copies the response of a request to its
//! [`Answer`](super::answer::Answer), with one chunk for each event of a stream.

use super::{answer::AnswerEnd, engine_report::EngineReport, jobs::Job};
use crate::net::http;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use mastweir_core::{
    outcome::Refusal,
    switch::{RankOrder, RankReply},
    wire::{CHUNK_MAX, RequestCost},
};
use reqwest::{Client, Method, RequestBuilder, Response, header};
use serde::Deserialize;
use std::time::Duration;
use tokio::time;

/// Number of probes of an engine that broke off an answer, and the delay before each probe and
/// its timeout.
const CRASH_PROBES: u32 = 2;
const CRASH_PROBE_TIME: Duration = Duration::from_millis(50);
/// Time for the engine to carry out a rank order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const EVENT_STREAM: &str = "text/event-stream";
/// Largest answer that is kept to read its usage.
const COMPLETION_BYTES_MAX: u64 = 1 << 20;
const EVENT_END: &[u8] = b"\n\n";
/// Start of the last event of a stream of completions.
const LAST_EVENT: &[u8] = b"data: [DONE]";

/// Usage in an answer that is not streamed.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Completion {
    usage: Usage,
}

/// Client for one engine.
#[derive(Debug)]
pub struct Engine {
    client: Client,
    base: String,
}

impl Engine {
    /// Creates a client for the engine at the URL `base`.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let client = Client::builder().connect_timeout(Duration::from_secs(1)).build()?;
        Ok(Self { client, base: base.trim_end_matches('/').to_owned() })
    }

    /// Sends a rank order.
    pub async fn send_order(&self, order: &RankOrder) -> Result<RankReply, reqwest::Error> {
        let request = self.client.post(format!("{}/rank", self.base)).json(order);
        request.timeout(ORDER_TIMEOUT).send().await?.error_for_status()?.json().await
    }

    /// Reads the engine's load report; `None` if that fails or takes longer than `wait`.
    pub async fn load(&self, wait: Duration) -> Option<EngineReport> {
        let request = self.client.get(format!("{}/load", self.base));
        let response = request.timeout(wait).send().await.ok()?;
        response.json().await.ok()
    }

    /// Returns whether the engine's port refuses connections at several probes in a row. The first
    /// probe is delayed, as a crashing process may close its port after its connections.
    pub async fn has_crashed(&self) -> bool {
        for _ in 0..CRASH_PROBES {
            time::sleep(CRASH_PROBE_TIME).await;
            let probe =
                self.client.get(format!("{}/load", self.base)).timeout(CRASH_PROBE_TIME).send();
            if !probe.await.is_err_and(|error| error.is_connect()) {
                return false;
            }
        }
        true
    }

    fn request(&self, job: &Job) -> Option<RequestBuilder> {
        let start = &job.start;
        let method = Method::from_bytes(start.method.as_bytes()).ok()?;
        let request = self.client.request(method, format!("{}{}", self.base, start.path));
        let request = request
            .header("x-request-id", &start.request)
            .header("x-operation-id", start.op.to_string())
            .header("x-priority", start.class.to_string());
        let request = match &start.content_type {
            Some(content_type) => request.header(header::CONTENT_TYPE, content_type),
            None => request,
        };
        let resumed = start.repeatable && start.from > 0;
        let request =
            if resumed { request.header("x-resume-from", start.from.to_string()) } else { request };
        Some(request.body(job.body.clone()))
    }
}

/// Runs a request in the engine. Calls `on_backoff` if the response asks for a backoff.
pub async fn run(engine: &Engine, job: &Job, on_backoff: impl FnOnce(Duration)) -> AnswerEnd {
    let Some(request) = engine.request(job) else {
        return AnswerEnd::Refused(Refusal::NotServed);
    };
    let response = match request.send().await {
        Ok(response) => response,
        // Nothing was sent.
        Err(error) if error.is_connect() => return AnswerEnd::Refused(Refusal::EngineUnreachable),
        Err(_) => return AnswerEnd::Broken,
    };
    if !http::is_final(response.status()) {
        return AnswerEnd::Broken;
    }
    if let Some(wait) = http::retry_after(response.status(), response.headers()) {
        on_backoff(wait);
    }
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let streamed =
        content_type.as_deref().is_some_and(|content_type| content_type.starts_with(EVENT_STREAM));
    job.answer.set_head(response.status().as_u16(), content_type);
    if streamed { read_events(response, job).await } else { read_chunks(response, job).await }
}

/// Copies a stream to the answer, one chunk for each event.
async fn read_events(response: Response, job: &Job) -> AnswerEnd {
    let mut stream = response.bytes_stream();
    let mut buffer = BytesMut::new();
    let mut tokens = 0;
    let mut complete = false;
    while let Some(bytes) = stream.next().await {
        let Ok(bytes) = bytes else { return AnswerEnd::Broken };
        buffer.extend_from_slice(&bytes);
        while let Some(event) = split_event(&mut buffer) {
            complete |= event.starts_with(LAST_EVENT);
            tokens += 1;
            if !job.answer.push(event).await {
                return AnswerEnd::Broken;
            }
        }
        if buffer.len() > CHUNK_MAX {
            return AnswerEnd::Broken;
        }
    }
    // Without its last event, a stream is incomplete even if the connection closed normally.
    if complete { AnswerEnd::Complete(cost_of(job, tokens)) } else { AnswerEnd::Broken }
}

/// Copies a response that is not a stream to the answer, in chunks.
async fn read_chunks(response: Response, job: &Job) -> AnswerEnd {
    let length = response.content_length();
    let mut stream = response.bytes_stream();
    let mut body = Vec::new();
    let mut received = 0;
    while let Some(bytes) = stream.next().await {
        let Ok(mut bytes) = bytes else { return AnswerEnd::Broken };
        received += bytes.len() as u64;
        // Larger answers have no usage that could be charged.
        if received <= COMPLETION_BYTES_MAX {
            body.extend_from_slice(&bytes);
        }
        while bytes.has_remaining() {
            let chunk = bytes.split_to(bytes.len().min(CHUNK_MAX));
            if !job.answer.push(chunk).await {
                return AnswerEnd::Broken;
            }
        }
    }
    if length.is_some_and(|length| length != received) {
        return AnswerEnd::Broken;
    }
    let completion: Completion = serde_json::from_slice(&body).unwrap_or_default();
    AnswerEnd::Complete(cost_of(job, completion.usage.completion_tokens))
}

/// Splits the first complete event from the buffer.
fn split_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
    Some(buffer.split_to(end + EVENT_END.len()).freeze())
}

/// Returns the cost of a request by the model tokens generated.
fn cost_of(job: &Job, generated: u64) -> RequestCost {
    RequestCost { units: job.start.units(generated) }
}
