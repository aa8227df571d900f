//! HTTP headers that the platform defines for requests and answers.
//!
//! Gateways read the headers of callers' requests and of servers' answers, and choose which
//! headers to forward in both directions. Sidecars and the store's client read a few of them.

use crate::net::http;
use hyper::{
    StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use mastweir_core::gateway::{Fingerprint, Rate};
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds until the deadline. The value is a duration despite the header's name.
const DEADLINE: HeaderName = HeaderName::from_static("request-deadline");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the server that the request is meant for. The header's name says instance for server.
const EXPECT_SERVER: HeaderName = HeaderName::from_static("expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("request-priority");
const CUSTOMER: HeaderName = HeaderName::from_static("tenant");
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// "1" in all answers of a leaving server, even if its entry in the store says otherwise.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that a server accepts from all gateways together.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// Generation of the store; rises when the store is restored from an older copy.
const STORE_GENERATION: HeaderName = HeaderName::from_static("store-era");
/// Prompt tokens and the limit of answer tokens, separated by a comma.
const TOKENS: HeaderName = HeaderName::from_static("token-usage");

/// The parts of the prompt in order, as `ID:TOKENS` separated by commas. The last one belongs to the
/// request alone.
const PROMPT: HeaderName = HeaderName::from_static("prompt-prefix");

/// Bounds the work for a request; prompts have a handful of parts. Further ones are ignored.
const PROMPT_PARTS_MAX: usize = 64;

const KEY_SCHEME: &str = "Bearer ";

/// Request headers that concern one connection, or that the gateway consumes or sets itself.
const NOT_FORWARDED: [HeaderName; 13] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::CONTENT_LENGTH,
    header::AUTHORIZATION,
    CUSTOMER,
    EXPECT_SERVER,
    PRIORITY,
];
/// Answer headers that concern one connection, or that are meant for the gateway.
const NOT_RETURNED: [HeaderName; 11] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::TRANSFER_ENCODING,
    header::TRAILER,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    NOT_RUN,
    LOAD,
    LEAVING,
    LIMIT,
    EXPECT_SERVER,
];

/// The headers of a caller's request that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the caller's attempt; empty if missing.
    pub id: String,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// API key of a customer.
    pub key: Option<String>,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: Option<String>,
    /// 0 if unknown.
    pub prompt_tokens: u32,
    /// Limit of the answer's tokens; 0 if unknown.
    pub answer_tokens: u32,
    pub prompt: PromptParts,
}

/// The parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Those that other prompts may share, without repetitions.
    pub shared: Vec<Fingerprint>,
    /// Whether some parts have no id or no number of tokens, or are too many.
    pub is_malformed: bool,
}

/// Reads the headers of a caller's request. Ignores malformed values.
pub fn read_request(headers: &HeaderMap) -> RequestHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let tokens = text(&TOKENS).and_then(|text| text.split_once(','));
    let number = |text: &str| text.trim().parse().unwrap_or_default();
    RequestHead {
        id: text(&REQUEST_ID).unwrap_or_default().to_owned(),
        timeout: text(&DEADLINE).and_then(|ms| ms.parse().ok()).map(Duration::from_millis),
        key: text(&header::AUTHORIZATION)
            .and_then(|value| value.strip_prefix(KEY_SCHEME))
            .map(|key| key.trim().to_owned()),
        last_event: text(&LAST_EVENT).map(str::to_owned),
        prompt_tokens: tokens.map_or(0, |(prompt, _)| number(prompt)),
        answer_tokens: tokens.map_or(0, |(_, answer)| number(answer)),
        prompt: read_prompt(headers),
    }
}

/// Reads the parts of a prompt. Ids need not be hexadecimal.
fn read_prompt(headers: &HeaderMap) -> PromptParts {
    let mut prompt = PromptParts::default();
    let values = headers.get_all(PROMPT).iter().filter_map(|value| value.to_str().ok());
    let mut parts = values.flat_map(|value| value.split(',')).peekable();
    let mut count = 0;
    while let Some(part) = parts.next() {
        count += 1;
        if count > PROMPT_PARTS_MAX {
            prompt.is_malformed = true;
            break;
        }
        let (id, tokens) = part.split_once(':').unwrap_or((part, ""));
        prompt.is_malformed |= id.trim().is_empty() || tokens.trim().parse::<u32>().is_err();
        let is_last = parts.peek().is_none();
        let part = Fingerprint::of_prompt_part(id.trim());
        if !is_last && !id.trim().is_empty() && !prompt.shared.contains(&part) {
            prompt.shared.push(part);
        }
    }
    prompt
}

/// Values that a gateway adds to the headers of a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Id of the server that the request is meant for.
    pub server_id: &'a str,
    /// The customer whose key the request carried.
    pub customer: Option<&'a str>,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: Option<&'a str>,
    pub priority: QueuePriority,
}

/// Priority of a request in its server's queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueuePriority {
    /// Before all others.
    First,
    /// By urgency: from 0 for the most urgent level of the service to 1 for the least urgent one.
    Level {
        fraction: f64,
        is_retry: bool,
    },
    Normal,
    /// After all others.
    Last,
}

impl QueuePriority {
    /// Returns the header's value. Servers run lower numbers first and use 5 if it is missing.
    fn priority(self) -> Option<u16> {
        match self {
            Self::First => Some(1),
            Self::Level { fraction, is_retry } => {
                // 2 to 5 for first attempts; a retry is late already, and goes one further back.
                Some(2 + (fraction.clamp(0.0, 1.0) * 3.0).round() as u16 + u16::from(is_retry))
            }
            Self::Normal => None,
            Self::Last => Some(7),
        }
    }
}

/// Returns the headers of a forwarded request.
pub fn for_server(caller: &HeaderMap, added: AddedHeaders<'_>) -> HeaderMap {
    let mut headers = forwarded(caller, &NOT_FORWARDED);
    let remaining = u64::try_from(added.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, remaining.into());
    set(&mut headers, EXPECT_SERVER, Some(added.server_id));
    set(&mut headers, CUSTOMER, added.customer);
    set(&mut headers, LAST_EVENT, added.last_event);
    if let Some(priority) = added.priority.priority() {
        headers.insert(PRIORITY, priority.into());
    }
    headers
}

/// Returns the headers of a server's answer as they are sent to the caller.
pub fn for_caller(server: &HeaderMap) -> HeaderMap {
    forwarded(server, &NOT_RETURNED)
}

/// Copies all headers but the excluded ones and those that the `Connection` header names.
fn forwarded(from: &HeaderMap, excluded: &[HeaderName]) -> HeaderMap {
    let connection = from.get_all(header::CONNECTION);
    let hop_by_hop: Vec<String> = connection
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(from.len() + 4);
    for (name, value) in from {
        if !excluded.contains(name) && !hop_by_hop.iter().any(|other| other == name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Sets a header, if there is a value and the value is valid.
fn set(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

/// The headers of a server's answer that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that the answer belongs to; empty if missing.
    pub id: String,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer carries a signature. The signature isn't verified.
    pub signed: bool,
    /// Running and queued requests of the server.
    pub load: Option<(u32, u32)>,
    /// Time for which the server keeps the idle connection open; zero if the server closes the
    /// connection after the answer.
    pub keep_alive: Option<Duration>,
    pub leaving: bool,
    /// Time for which this process should send the server no requests, if the server refused
    /// this one.
    pub retry_after: Option<Duration>,
    pub limit: LimitHeader,
}

/// Rate limit of a server as an answer states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// The answer has no such header.
    #[default]
    Absent,
    Valid(Rate),
    /// The value is not a rate, or the header occurs more than once.
    Malformed,
}

impl LimitHeader {
    /// Returns the limit, or `None` if it is absent or malformed.
    pub const fn rate(self) -> Option<Rate> {
        match self {
            Self::Valid(rate) => Some(rate),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// Reads the headers of a server's answer. Ignores malformed values.
pub fn read_answer(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(&header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let keep_alive = text(&KEEP_ALIVE).and_then(parse_keep_alive).map(Duration::from_secs);
    AnswerHead {
        id: text(&REQUEST_ID).unwrap_or_default().to_owned(),
        not_run: headers.contains_key(NOT_RUN),
        signed: headers.contains_key(SIGNATURE),
        load: text(&LOAD).and_then(parse_load),
        keep_alive: if closes { Some(Duration::ZERO) } else { keep_alive },
        leaving: text(&LEAVING).is_some_and(|value| value.trim() == "1"),
        retry_after: http::retry_after(status, headers),
        limit: read_limit(headers),
    }
}

fn read_limit(headers: &HeaderMap) -> LimitHeader {
    let mut values = headers.get_all(LIMIT).iter();
    let Some(value) = values.next() else { return LimitHeader::Absent };
    let rate = value.to_str().ok().and_then(|text| Rate::per_second(text.trim().parse().ok()?));
    rate.filter(|_| values.next().is_none()).map_or(LimitHeader::Malformed, LimitHeader::Valid)
}

fn parse_keep_alive(value: &str) -> Option<u64> {
    let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    part.unwrap_or(value).trim().parse().ok()
}

fn parse_load(value: &str) -> Option<(u32, u32)> {
    let mut parts = value.split(',').map(|part| part.trim().parse().ok());
    Some((parts.next()??, parts.next()??))
}

/// Reads the store's generation from an answer of the store.
pub fn read_generation(headers: &HeaderMap) -> Option<u64> {
    headers.get(STORE_GENERATION)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the headers of an answer that the gateway generates itself.
pub fn gateway_answer(id: &str, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    set(&mut headers, REQUEST_ID, Some(id));
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    set(&mut headers, header::RETRY_AFTER, seconds.as_deref());
    headers
}
