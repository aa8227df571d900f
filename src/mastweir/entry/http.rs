//! HTTP server for callers and operators, based on `rocket`.
//!
//! A single handler serves all paths. It authenticates the customer by its key, parses and admits
//! the request, and starts a task that runs it. Paths under `/-/` go to [`operator`].

use super::{
    Shared,
    admit::{self, Denied},
    calls, keys, lock, operator,
    parsed_request::ParsedRequest,
    problem::{Problem, ProblemKind},
    reply::{Reply, bearer, json},
};
use bytes::Bytes;
use futures_util::stream;
use mastweir_core::{
    outcome::Outcome,
    table::{Customer, Service, ServiceKind, hash_key},
    wire::BODY_MAX,
};
use rand::Rng;
use rocket::{
    Config, Data, Request, Rocket, Route, Shutdown,
    config::{LogLevel, Shutdown as ShutdownConfig},
    data::{ByteUnit, Limits},
    fairing::AdHoc,
    http::{ContentType, Header, Method, Status},
    response::{Responder, Response},
    route::{Handler, Outcome as RouteOutcome},
};
use serde::Deserialize;
use std::{
    io::{self, Cursor},
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
};
use subtle::ConstantTimeEq;
use tokio::sync::{mpsc, oneshot};
use tokio_util::io::StreamReader;

const METHODS: [Method; 6] =
    [Method::Get, Method::Post, Method::Put, Method::Delete, Method::Patch, Method::Head];
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
const TICKET_PATH: &str = "/v1/tickets";
/// Maximum requests in flight at an entry.
const ACTIVE_MAX: usize = 8_192;
/// Maximum bytes of an idempotency key.
const KEY_MAX: usize = 1_024;
/// Characters of a prompt that are hashed as its prefix.
const PREFIX_LEN: usize = 512;
/// Bytes of text per model token, to estimate the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed model tokens of an answer if the request has no `max_tokens`.
const MAX_TOKENS_DEFAULT: u64 = 256;
const PROBLEM_JSON: &str = "application/problem+json";

/// Starts the server. Returns its address and a handle that stops it.
pub async fn launch(shared: Arc<Shared>) -> eyre::Result<(SocketAddr, Shutdown)> {
    let (sender, receiver) = oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("report the address", move |rocket| {
        let config = rocket.config();
        let addr = SocketAddr::new(config.address, config.port);
        if let Some(sender) = lock(&sender).take() {
            let _ = sender.send(addr);
        }
        Box::pin(async {})
    });
    let rocket = build(&shared).attach(liftoff).ignite().await.map_err(|error| {
        let error = error.kind().to_string();
        eyre::eyre!("can't start the HTTP server: {error}; check --http")
    })?;
    let shutdown = rocket.shutdown();
    let log = shared.context.log.clone();
    let serving = tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            slog::error!(log, "HTTP server failed"; "error" => error.kind().to_string());
        }
    });
    match receiver.await {
        Ok(addr) => Ok((addr, shutdown)),
        Err(_) => {
            serving.abort();
            let addr = shared.options.http;
            Err(eyre::eyre!("can't listen for HTTP at {addr}; choose another address with --http"))
        }
    }
}

fn build(shared: &Arc<Shared>) -> Rocket<rocket::Build> {
    let config = Config {
        address: shared.options.http.ip(),
        port: shared.options.http.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 30,
        limits: Limits::new().limit("bytes", ByteUnit::from(BODY_MAX)),
        shutdown: ShutdownConfig {
            ctrlc: false,
            #[cfg(unix)]
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    };
    let handler = RootHandler { shared: shared.clone() };
    let routes: Vec<Route> =
        METHODS.iter().map(|method| Route::new(*method, "/<path..>", handler.clone())).collect();
    rocket::custom(config).mount("/", routes)
}

/// Handler of all paths.
#[derive(Clone)]
struct RootHandler {
    shared: Arc<Shared>,
}

#[rocket::async_trait]
impl Handler for RootHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> RouteOutcome<'r> {
        let path = request.uri().path().as_str();
        if path.starts_with("/-/") {
            let reply = operator::handle(&self.shared, request, data).await;
            return RouteOutcome::from(request, HttpReply { id: String::new(), reply });
        }
        let id = request_id(&self.shared);
        let reply = match self.serve(request, data, &id).await {
            Ok(reply) => reply,
            Err((kind, retry_after)) => {
                // Nothing was sent to a server yet.
                let problem = Problem::new(kind, Outcome::NotRun, &id, retry_after);
                Reply::Problem(problem)
            }
        };
        RouteOutcome::from(request, HttpReply { id, reply })
    }
}

/// Kind of problem, and seconds after which the caller may retry.
type Rejection = (ProblemKind, Option<u32>);

impl RootHandler {
    async fn serve(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
        id: &str,
    ) -> Result<Reply, Rejection> {
        if !self.shared.is_ready() {
            return Err((ProblemKind::NotReady, Some(1)));
        }
        if self.shared.active.load(Ordering::SeqCst) >= ACTIVE_MAX {
            return Err((ProblemKind::Overloaded, Some(1)));
        }
        let (customer, row) = self.authorize(request).ok_or((ProblemKind::Unauthorized, None))?;
        let body = data.open(ByteUnit::from(BODY_MAX)).into_bytes().await;
        let body = body.map_err(|_| (ProblemKind::BadRequest, None))?;
        if !body.is_complete() {
            return Err((ProblemKind::BadRequest, None));
        }
        let body = body.into_inner();
        if request.uri().path() == TICKET_PATH {
            return self.issue_ticket(&customer, &body);
        }
        let parsed = self.parse(request, body, customer, &row, id)?;
        let admission = admit::admit(&self.shared, &parsed.customer, &row, parsed.cost);
        let admission = admission.map_err(|Denied { kind, retry_after }| {
            self.shared.context.metrics.count("request.denied");
            (kind, retry_after)
        })?;
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(calls::run(self.shared.clone(), parsed, admission, sender));
        receiver.await.map_err(|_| (ProblemKind::NotReady, None))
    }

    fn authorize(&self, request: &Request<'_>) -> Option<(String, Customer)> {
        let key = bearer(request)?;
        let hash = hash_key(key);
        let rows = self.shared.active_rows.get();
        let (name, row) = rows.by_key.get(&hash)?;
        let equal = row.key_hash.as_bytes().ct_eq(hash.as_bytes());
        bool::from(equal).then(|| (name.clone(), row.clone()))
    }

    fn issue_ticket(&self, customer: &str, body: &[u8]) -> Result<Reply, Rejection> {
        #[derive(Deserialize)]
        struct TicketRequest {
            service: String,
        }
        let request: TicketRequest =
            serde_json::from_slice(body).map_err(|_| (ProblemKind::BadRequest, None))?;
        let ticket = keys::make_ticket(&self.shared, customer, &request.service);
        let ticket = ticket.map_err(|kind| (kind, Some(1)))?;
        let body = serde_json::json!({
            "ticket": ticket,
            "valid_s": keys::KEY_LIFETIME.as_secs(),
        });
        Ok(json(&body))
    }

    fn parse(
        &self,
        request: &Request<'_>,
        body: Vec<u8>,
        customer: String,
        row: &Customer,
        id: &str,
    ) -> Result<ParsedRequest, Rejection> {
        let path = request.uri().path().as_str();
        let rows = self.shared.active_rows.get();
        let info = RequestInfo::parse(path, &body).ok_or((ProblemKind::BadRequest, None))?;
        let service = rows.services.get(&info.service).filter(|row| row.kind == info.kind);
        let service = service.cloned().ok_or((ProblemKind::NoService, None))?;
        let key = request.headers().get_one("idempotency-key");
        if key.is_some_and(|key| key.is_empty() || key.len() > KEY_MAX) {
            return Err((ProblemKind::BadRequest, None));
        }
        let (prefill, cost) = info.units(&service);
        Ok(ParsedRequest {
            id: id.to_owned(),
            customer,
            weight: row.weight,
            method: request.method().to_string(),
            path: request.uri().to_string(),
            content_type: request.content_type().map(ToString::to_string),
            streamed: info.stream,
            key: key.map(str::to_owned).filter(|_| !service.repeatable),
            prefix_hash: info.prefix_hash,
            service_name: info.service,
            service,
            body,
            prefill,
            cost,
        })
    }
}

/// Properties of a request, by its path and body.
struct RequestInfo {
    kind: ServiceKind,
    service: String,
    stream: bool,
    prompt_tokens: u64,
    max_tokens: u64,
    prefix_hash: Option<u64>,
}

/// The fields of a model request that the entry reads.
#[derive(Debug, Deserialize)]
struct ModelBody {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    messages: Option<serde_json::Value>,
    prompt: Option<serde_json::Value>,
}

impl RequestInfo {
    /// Parses a model request by its body, or any other request by the first segment of its path.
    /// `None` if the body is invalid.
    fn parse(path: &str, body: &[u8]) -> Option<Self> {
        if !MODEL_PATHS.contains(&path) {
            let service = path.trim_start_matches('/').split('/').next()?.to_owned();
            let kind = ServiceKind::Plain;
            return Some(Self {
                kind,
                service,
                stream: false,
                prompt_tokens: 0,
                max_tokens: 0,
                prefix_hash: None,
            });
        }
        let body: ModelBody = serde_json::from_slice(body).ok()?;
        let text = body.messages.or(body.prompt)?.to_string();
        let prefix: String = text.chars().take(PREFIX_LEN).collect();
        let hash = blake3::hash(prefix.as_bytes());
        let hash = hash.as_bytes().first_chunk::<8>().map(|bytes| u64::from_le_bytes(*bytes));
        Some(Self {
            kind: ServiceKind::Model,
            service: body.model,
            stream: body.stream,
            prompt_tokens: (text.len() / BYTES_PER_TOKEN) as u64,
            max_tokens: body.max_tokens.unwrap_or(MAX_TOKENS_DEFAULT),
            prefix_hash: hash,
        })
    }

    /// Returns the estimated service units of the prompt, and of the whole request.
    fn units(&self, service: &Service) -> (u32, u32) {
        let cost = service.cost;
        (cost.units(self.prompt_tokens, 0), cost.units(self.prompt_tokens, self.max_tokens))
    }
}

fn request_id(shared: &Shared) -> String {
    format!("{}-{:016x}", shared.context.name, rand::rng().random::<u64>())
}

/// A reply, and the request's id if it has one.
struct HttpReply {
    id: String,
    reply: Reply,
}

impl<'r> Responder<'r, 'static> for HttpReply {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = match self.reply {
            Reply::Complete { status, content_type, body } => complete(status, content_type, body),
            Reply::Stream { status, content_type, chunks } => {
                streamed(status, content_type, chunks)
            }
            Reply::Problem(problem) => {
                let body = serde_json::to_vec(&problem).unwrap_or_default();
                let mut response = complete(problem.status, Some(PROBLEM_JSON.to_owned()), body);
                if let Some(seconds) = problem.retry_after {
                    response.set_header(Header::new("retry-after", seconds.to_string()));
                }
                response.set_header(Header::new("x-outcome", problem.outcome.to_string()));
                response
            }
        };
        if !self.id.is_empty() {
            response.set_header(Header::new("x-request-id", self.id));
        }
        Ok(response)
    }
}

fn complete(status: u16, content_type: Option<String>, body: Vec<u8>) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(status));
    set_content(&mut response, content_type);
    response.set_sized_body(body.len(), Cursor::new(body));
    response
}

fn streamed(
    status: u16,
    content_type: Option<String>,
    chunks: mpsc::Receiver<Bytes>,
) -> Response<'static> {
    let chunks = stream::unfold(chunks, async |mut chunks| {
        chunks.recv().await.map(|chunk| (Ok::<_, io::Error>(chunk), chunks))
    });
    let mut response = Response::new();
    response.set_status(Status::new(status));
    set_content(&mut response, content_type);
    response.set_header(Header::new("cache-control", "no-cache"));
    response.set_streamed_body(StreamReader::new(Box::pin(chunks)));
    response
}

fn set_content(response: &mut Response<'static>, content_type: Option<String>) {
    let Some(content_type) = content_type else { return };
    match ContentType::parse_flexible(&content_type) {
        Some(content_type) => response.set_header(content_type),
        None => response.set_header(Header::new("content-type", content_type)),
    };
}
