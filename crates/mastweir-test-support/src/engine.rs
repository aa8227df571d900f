//! A server: a model engine or a plain service, which writes down what it ran.

use crate::{Served, lock, ranks::RankGroup, serve};
use mastweir_core::switch::{RankOrder, RankReply};
use rocket::{
    Build, Data, Request, Rocket, State,
    data::ToByteUnit,
    http::{ContentType, Status},
    response::{
        Responder,
        stream::{ByteStream, stream},
    },
    route::{Handler, Outcome, Route},
    serde::json::Json,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{sync::Semaphore, time};

/// What ran, over all servers that share it: the oracle's view of the truth.
#[derive(Debug, Default)]
pub struct Runs {
    by_marker: Mutex<HashMap<String, u32>>,
}

impl Runs {
    /// How often the request with this marker was run.
    pub fn of(&self, marker: &str) -> u32 {
        lock(&self.by_marker).get(marker).copied().unwrap_or(0)
    }

    /// Markers that were run more than once.
    pub fn twice(&self) -> Vec<String> {
        let runs = lock(&self.by_marker);
        runs.iter().filter(|(_, count)| **count > 1).map(|(marker, _)| marker.clone()).collect()
    }

    fn add(&self, marker: &str) {
        *lock(&self.by_marker).entry(marker.to_owned()).or_default() += 1;
    }
}

/// How a server behaves.
#[derive(Debug)]
pub struct Engine {
    /// Time of a step, in microseconds.
    pub step_us: AtomicU32,
    /// Time that a plain call takes, in microseconds.
    pub plain_us: AtomicU32,
    /// Whether tokens stop to come.
    pub stalled: AtomicBool,
    /// Streams that callers left before their end.
    pub left: AtomicU64,
    /// Tokens generated.
    pub tokens: AtomicU64,
    runs: Arc<Runs>,
    slots: Semaphore,
    group: Option<Arc<RankGroup>>,
}

/// Body of a model request, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Prompt {
    #[serde(default)]
    user: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// What `/load` says.
#[derive(Debug, Serialize)]
struct Load {
    step_us: u32,
    skew: u16,
    kv_free: u16,
    map: u64,
    lives: u64,
}

impl Engine {
    /// A server with `slots` places for requests.
    pub fn new(runs: Arc<Runs>, slots: usize, group: Option<Arc<RankGroup>>) -> Arc<Self> {
        Arc::new(Self {
            step_us: AtomicU32::new(5_000),
            plain_us: AtomicU32::new(2_000),
            stalled: AtomicBool::new(false),
            left: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            runs,
            slots: Semaphore::new(slots),
            group,
        })
    }

    /// Serves it on loopback.
    ///
    /// # Errors
    ///
    /// The port is taken.
    pub async fn serve(self: &Arc<Self>, port: u16) -> eyre::Result<Served> {
        let engine = self.clone();
        serve(port, move |rocket| mount(rocket, engine)).await
    }

    async fn step(&self) {
        loop {
            let step = u64::from(self.step_us.load(Ordering::Relaxed));
            time::sleep(Duration::from_micros(step)).await;
            if !self.stalled.load(Ordering::Relaxed) {
                self.tokens.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
    }
}

/// Counts a stream that is dropped before its end.
struct Leaver {
    engine: Arc<Engine>,
    whole: bool,
}

impl Drop for Leaver {
    fn drop(&mut self) {
        if !self.whole {
            self.engine.left.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn mount(rocket: Rocket<Build>, engine: Arc<Engine>) -> Rocket<Build> {
    let plain = Plain { engine: engine.clone() };
    let methods = [
        rocket::http::Method::Get,
        rocket::http::Method::Post,
        rocket::http::Method::Put,
        rocket::http::Method::Delete,
    ];
    let plain: Vec<Route> = methods
        .into_iter()
        .map(|method| Route::ranked(20, method, "/<path..>", plain.clone()))
        .collect();
    rocket
        .mount("/", rocket::routes![chat, completions, load, rank])
        .mount("/", plain)
        .manage(engine)
}

/// A token of the answer to a marker: whoever reads it can tell whose it is.
fn token(marker: &str, i: u64) -> String {
    format!("{marker}/{i} ")
}

/// The whole text of an answer, to check one against.
pub fn answer_text(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|i| token(marker, i)).collect()
}

type Streamed = ByteStream<rocket::futures::stream::BoxStream<'static, Vec<u8>>>;

enum Answer {
    Whole(Json<Value>),
    Stream(Streamed),
}

impl<'r> Responder<'r, 'r> for Answer {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        match self {
            Self::Whole(json) => Ok(json.respond_to(request)?),
            Self::Stream(stream) => {
                let mut response = stream.respond_to(request)?;
                response.set_header(ContentType::EventStream);
                Ok(response)
            }
        }
    }
}

/// Headers that the agent sends along.
struct From(u64);

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for From {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> rocket::request::Outcome<Self, Self::Error> {
        let header = request.headers().get_one("x-resume-from");
        let from = header.and_then(|text| text.parse().ok()).unwrap_or(0);
        rocket::request::Outcome::Success(Self(from))
    }
}

#[rocket::post("/v1/chat/completions", data = "<prompt>")]
async fn chat(engine: &State<Arc<Engine>>, from: From, prompt: Json<Prompt>) -> Answer {
    generate(engine, &from, prompt.into_inner()).await
}

#[rocket::post("/v1/completions", data = "<prompt>")]
async fn completions(engine: &State<Arc<Engine>>, from: From, prompt: Json<Prompt>) -> Answer {
    generate(engine, &from, prompt.into_inner()).await
}

async fn generate(engine: &Arc<Engine>, from: &From, prompt: Prompt) -> Answer {
    engine.runs.add(&prompt.user);
    let tokens = prompt.max_tokens.unwrap_or(16);
    if prompt.stream {
        let stream = tokens_from(engine.clone(), prompt.user, from.0, tokens);
        return Answer::Stream(ByteStream(Box::pin(stream)));
    }
    let _slot = engine.slots.acquire().await;
    for _ in 0..tokens {
        engine.step().await;
    }
    let content = answer_text(&prompt.user, tokens);
    Answer::Whole(Json(json!({
        "choices": [{"message": {"role": "assistant", "content": content}}],
        "usage": {"prompt_tokens": 1, "completion_tokens": tokens},
    })))
}

fn tokens_from(
    engine: Arc<Engine>,
    marker: String,
    from: u64,
    tokens: u64,
) -> impl rocket::futures::Stream<Item = Vec<u8>> {
    stream! {
        let mut leaver = Leaver { engine: engine.clone(), whole: false };
        let _slot = engine.slots.acquire().await;
        for i in from..tokens {
            engine.step().await;
            let delta = json!({"choices": [{"delta": {"content": token(&marker, i)}}]});
            yield format!("data: {delta}\n\n").into_bytes();
        }
        leaver.whole = true;
        yield b"data: [DONE]\n\n".to_vec();
    }
}

#[rocket::get("/load")]
fn load(engine: &State<Arc<Engine>>) -> Json<Value> {
    let load = Load {
        step_us: engine.step_us.load(Ordering::Relaxed),
        skew: 1_000,
        kv_free: 900,
        map: engine.group.as_ref().map_or(0, |group| group.record().map.0),
        lives: engine.group.as_ref().map_or(0, |group| group.lives()),
    };
    Json(json!(load))
}

#[rocket::post("/rank", data = "<order>")]
fn rank(engine: &State<Arc<Engine>>, order: Json<RankOrder>) -> Json<RankReply> {
    let order = order.into_inner();
    let group = engine.group.as_ref();
    Json(group.map_or(RankReply::NotReady, |group| group.order(&order)))
}

/// The plain service: any path and method, the body is the marker.
#[derive(Clone)]
struct Plain {
    engine: Arc<Engine>,
}

#[rocket::async_trait]
impl Handler for Plain {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let body = data.open(2.mebibytes()).into_string().await;
        let marker = body.map(rocket::data::Capped::into_inner).unwrap_or_default();
        self.engine.runs.add(&marker);
        let took = u64::from(self.engine.plain_us.load(Ordering::Relaxed));
        time::sleep(Duration::from_micros(took)).await;
        let path = request.uri().path().to_string();
        let reply = json!({"receipt": marker, "path": path}).to_string();
        Outcome::from(request, (Status::Ok, (ContentType::JSON, reply)))
    }
}
