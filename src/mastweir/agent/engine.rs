//! The engine or plain service beside the agent, over HTTP.

use super::{answer::End, engine_report::Report, jobs::Job};
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

/// Looks at an engine that broke an answer off, and the pause before each of them.
const ENDED_LOOKS: u32 = 2;
const ENDED_LOOK: Duration = Duration::from_millis(50);
/// Time for it to carry out a rank order.
const ORDER_TIME: Duration = Duration::from_secs(2);
const EVENT_STREAM: &str = "text/event-stream";
const EVENT_END: &[u8] = b"\n\n";
/// Last event of a stream in the protocol of chat completions.
const LAST_EVENT: &[u8] = b"data: [DONE]";

/// Usage in an unstreamed answer.
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

/// The engine's client.
#[derive(Debug)]
pub struct Engine {
    client: Client,
    base: String,
}

impl Engine {
    /// A client for the engine at `base`.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let client = Client::builder().connect_timeout(Duration::from_secs(1)).build()?;
        Ok(Self { client, base: base.trim_end_matches('/').to_owned() })
    }

    /// Passes a rank order on.
    pub async fn order(&self, order: &RankOrder) -> Result<RankReply, reqwest::Error> {
        let request = self.client.post(format!("{}/rank", self.base)).json(order);
        request.timeout(ORDER_TIME).send().await?.error_for_status()?.json().await
    }

    /// What it says of itself; none if it gave no answer in time.
    pub async fn report(&self, wait: Duration) -> Option<Report> {
        let request = self.client.get(format!("{}/load", self.base));
        let response = request.timeout(wait).send().await.ok()?;
        response.json().await.ok()
    }

    /// Whether nobody listens at its port, at two looks in a row: a process that ends closes
    /// its port behind its connections.
    pub async fn has_ended(&self) -> bool {
        for _ in 0..ENDED_LOOKS {
            time::sleep(ENDED_LOOK).await;
            let look = self.client.get(format!("{}/load", self.base)).timeout(ENDED_LOOK).send();
            if !look.await.is_err_and(|error| error.is_connect()) {
                return false;
            }
        }
        true
    }

    fn call(&self, job: &Job) -> Option<RequestBuilder> {
        let start = &job.start;
        let method = Method::from_bytes(start.method.as_bytes()).ok()?;
        let request = self.client.request(method, format!("{}{}", self.base, start.path));
        let request = request
            .header("x-request-id", &start.request)
            .header("x-operation-id", start.op.to_string())
            .header("x-priority", start.class.to_string());
        let request = match &start.content_type {
            Some(content) => request.header(header::CONTENT_TYPE, content),
            None => request,
        };
        let resumed = start.repeatable && start.from > 0;
        let request =
            if resumed { request.header("x-resume-from", start.from.to_string()) } else { request };
        Some(request.body(job.body.clone()))
    }
}

/// Runs a request to its end. `backs_off` is told at once how long the engine wants no
/// others, if it turns this one away and says so.
pub async fn answer(engine: &Engine, job: &Job, backs_off: impl FnOnce(Duration)) -> End {
    let Some(request) = engine.call(job) else { return End::Refused(Refusal::NotServed) };
    let response = match request.send().await {
        Ok(response) => response,
        // No connection: no byte left.
        Err(error) if error.is_connect() => return End::Refused(Refusal::EngineUnreachable),
        Err(_) => return End::Broken,
    };
    if let Some(wait) = http::retry_after(response.status(), response.headers()) {
        backs_off(wait);
    }
    let content = response.headers().get(header::CONTENT_TYPE);
    let content = content.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let streamed = content.as_deref().is_some_and(|content| content.starts_with(EVENT_STREAM));
    job.answer.head(response.status().as_u16(), content);
    if streamed { events(response, job).await } else { pieces(response, job).await }
}

/// Takes a stream apart into events, one a unit.
async fn events(response: Response, job: &Job) -> End {
    let mut stream = response.bytes_stream();
    let mut buffer = BytesMut::new();
    let mut tokens = 0;
    let mut complete = false;
    while let Some(piece) = stream.next().await {
        let Ok(piece) = piece else { return End::Broken };
        buffer.extend_from_slice(&piece);
        while let Some(event) = split_event(&mut buffer) {
            complete |= event.starts_with(LAST_EVENT);
            tokens += 1;
            if !job.answer.push(event).await {
                return End::Broken;
            }
        }
        if buffer.len() > CHUNK_MAX {
            return End::Broken;
        }
    }
    // A stream that stops without its last event is not whole.
    if complete { End::Whole(spent(job, tokens)) } else { End::Broken }
}

async fn pieces(response: Response, job: &Job) -> End {
    let length = response.content_length();
    let mut stream = response.bytes_stream();
    let mut whole = Vec::new();
    while let Some(piece) = stream.next().await {
        let Ok(mut piece) = piece else { return End::Broken };
        whole.extend_from_slice(&piece);
        while piece.has_remaining() {
            let part = piece.split_to(piece.len().min(CHUNK_MAX));
            if !job.answer.push(part).await {
                return End::Broken;
            }
        }
    }
    if length.is_some_and(|length| length != whole.len() as u64) {
        return End::Broken;
    }
    let completion: Completion = serde_json::from_slice(&whole).unwrap_or_default();
    End::Whole(spent(job, completion.usage.completion_tokens))
}

fn split_event(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
    Some(buffer.split_to(end + EVENT_END.len()).freeze())
}

/// What a request has cost, now that its length is known.
fn spent(job: &Job, generated: u64) -> RequestCost {
    RequestCost { units: job.start.units(generated) }
}
