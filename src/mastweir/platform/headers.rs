//! Headers of requests and answers.

use crate::net::http;
use hyper::{
    StatusCode,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use mastweir_core::gateway::Rate;
use std::time::Duration;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that are left, not a point in time.
const DEADLINE: HeaderName = HeaderName::from_static("request-deadline");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Names the server's life, not an instance of ours.
const EXPECT_SERVER: HeaderName = HeaderName::from_static("expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("request-priority");
const CUSTOMER: HeaderName = HeaderName::from_static("tenant");
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// In all answers of a server that leaves, whatever else its list says.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that a server takes from all gateways together.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// In all answers of the store; rises when it comes back from an older copy.
const STORE_GENERATION: HeaderName = HeaderName::from_static("store-era");
/// Tokens of the prompt, and the most tokens of the answer.
const TOKENS: HeaderName = HeaderName::from_static("token-usage");

const KEY_SCHEME: &str = "Bearer ";

/// Headers that concern one connection only, and those that a gateway sets or
/// uses itself.
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

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Key of a customer.
    pub key: Option<String>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub answer_tokens: u32,
}

/// Reads a request's head.
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
    }
}

/// What a gateway adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct AddedHeaders<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// The life of the server that is meant.
    pub server_id: &'a str,
    /// The customer whose key it carried.
    pub customer: Option<&'a str>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<&'a str>,
    /// When it goes, where requests wait at the server.
    pub priority: QueuePriority,
}

/// When a request goes, where others wait at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuePriority {
    /// Before all others.
    First,
    /// As they come.
    Normal,
    /// Behind the others.
    Last,
}

impl QueuePriority {
    /// 0 goes first; without it a request counts as 5.
    const fn priority(self) -> Option<&'static str> {
        match self {
            Self::First => Some("1"),
            Self::Normal => None,
            Self::Last => Some("7"),
        }
    }
}

/// Headers for a server: the caller's, and what the gateway adds.
pub fn for_server(caller: &HeaderMap, added: AddedHeaders<'_>) -> HeaderMap {
    let mut headers = forwarded(caller, &NOT_FORWARDED);
    let remaining = u64::try_from(added.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, remaining.into());
    set(&mut headers, EXPECT_SERVER, Some(added.server_id));
    set(&mut headers, CUSTOMER, added.customer);
    set(&mut headers, LAST_EVENT, added.last_event);
    set(&mut headers, PRIORITY, added.priority.priority());
    headers
}

/// Headers for the caller, of a server's answer.
pub fn for_caller(server: &HeaderMap) -> HeaderMap {
    forwarded(server, &NOT_RETURNED)
}

fn forwarded(from: &HeaderMap, without: &[HeaderName]) -> HeaderMap {
    let named = from.get_all(header::CONNECTION);
    let named: Vec<String> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(from.len() + 4);
    for (name, value) in from {
        if !without.contains(name) && !named.iter().any(|other| other == name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
        headers.insert(name, value);
    }
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that it belongs to.
    pub id: String,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether it carries a server's signature.
    pub signed: bool,
    /// Requests that run and that wait there.
    pub load: Option<(u32, u32)>,
    /// How long the server keeps the connection; zero if it closes it.
    pub keep_alive: Option<Duration>,
    /// Whether the server says that it leaves.
    pub leaving: bool,
    /// How long the server, which turned the request away, wants no others of this process.
    pub retry_after: Option<Duration>,
    /// The limit that the server names.
    pub limit: LimitHeader,
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitHeader {
    /// It names none.
    #[default]
    Absent,
    /// So much.
    Valid(Rate),
    /// Something that is no rate, or several.
    Malformed,
}

impl LimitHeader {
    /// The limit, if there is one.
    pub const fn rate(self) -> Option<Rate> {
        match self {
            Self::Valid(rate) => Some(rate),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// Reads the head of a server's answer.
pub fn read_answer(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(&header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let keep_alive = text(&KEEP_ALIVE).and_then(timeout).map(Duration::from_secs);
    AnswerHead {
        id: text(&REQUEST_ID).unwrap_or_default().to_owned(),
        not_run: headers.contains_key(NOT_RUN),
        signed: headers.contains_key(SIGNATURE),
        load: text(&LOAD).and_then(load),
        keep_alive: if closes { Some(Duration::ZERO) } else { keep_alive },
        leaving: text(&LEAVING).is_some_and(|value| value.trim() == "1"),
        retry_after: http::retry_after(status, headers),
        limit: limit(headers),
    }
}

fn limit(headers: &HeaderMap) -> LimitHeader {
    let mut values = headers.get_all(LIMIT).iter();
    let Some(value) = values.next() else { return LimitHeader::Absent };
    let rate = value.to_str().ok().and_then(|text| Rate::per_second(text.trim().parse().ok()?));
    rate.filter(|_| values.next().is_none()).map_or(LimitHeader::Malformed, LimitHeader::Valid)
}

fn timeout(value: &str) -> Option<u64> {
    let part = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    part.unwrap_or(value).trim().parse().ok()
}

fn load(value: &str) -> Option<(u32, u32)> {
    let mut parts = value.split(',').map(|part| part.trim().parse().ok());
    Some((parts.next()??, parts.next()??))
}

/// Reads the era of the store from an answer of it.
pub fn read_generation(headers: &HeaderMap) -> Option<u64> {
    headers.get(STORE_GENERATION)?.to_str().ok()?.trim().parse().ok()
}

/// Headers of an answer of the gateway's own.
pub fn gateway_answer(id: &str, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    set(&mut headers, REQUEST_ID, Some(id));
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    set(&mut headers, header::RETRY_AFTER, seconds.as_deref());
    headers
}
