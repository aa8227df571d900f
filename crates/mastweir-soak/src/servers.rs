//! Servers of the users' kind, one life after the other at an address.

use crate::{
    ledger::{Arrival, Ledger, body_of, events_after},
    plan::Grey,
};
use mastweir_test_support::{
    asked::Asked,
    limited::Limit,
    lockstep::LockStep,
    scripted::{Act, Got, Scripted},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{sync::Notify, time};

/// Requests that a server runs at once, and as many wait.
pub const SLOTS: u32 = 8;
/// Between two events of a stream: the longest last a second, so that what comes late
/// meets them.
const EVENT_EVERY: Duration = Duration::from_millis(80);
/// One answer in so many has neither a length nor chunks, and ends with its connection.
const UNFRAMED: usize = 3;
/// A plain answer takes this long.
const PLAIN_LASTS: Duration = Duration::from_millis(30);
/// Part of a prompt under which each server ends that begins an answer, and how soon it does.
pub const HARMFUL_PART: &str = "e4402b7d:250";
const ENDS_AFTER: Duration = Duration::from_millis(80);
/// Path of a request under which each server ends that runs it.
pub const ENDS_SERVERS: &str = "/safe/ends-servers";
/// Time without requests that a busy server asks for, in seconds.
const BACKOFF_S: f64 = 1.5;
/// Time after which a leaving server gets nothing more, as the settings of the processes say.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Of a misbehaving server's requests, one in this many is spoilt.
const SPOILS: u64 = 3;

/// The life of a server.
#[derive(Debug)]
struct Life {
    id: String,
    number: u32,
    /// When it said that it leaves.
    leaving: Option<Instant>,
    /// Ends of the requests that run.
    running: Vec<Instant>,
    grey: Option<Grey>,
    /// Whether it wants no requests.
    busy: bool,
    /// Whether its answers may be lost on their way.
    unheard: bool,
    /// Since when it writes nothing.
    silent: Option<Instant>,
    /// What it asked of gateways.
    asked: Asked<SocketAddr>,
    /// What it named as its limit, and what it got since.
    limit: Limit<SocketAddr>,
}

/// A server at one address.
#[derive(Debug)]
pub struct Server {
    /// Its number among all servers.
    pub number: usize,
    /// Its group and its rank there, if it is a model's.
    pub seat: Option<(Arc<LockStep>, usize)>,
    /// Says that it has ended.
    pub ends: Notify,
    life: Mutex<Life>,
    served: AtomicU64,
    ledger: Arc<Ledger>,
}

impl Server {
    /// Starts one.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(
        number: usize,
        seat: Option<(Arc<LockStep>, usize)>,
        ledger: Arc<Ledger>,
    ) -> eyre::Result<(Arc<Self>, Scripted)> {
        let life = Life {
            id: name(number, 0),
            number: 0,
            leaving: None,
            running: Vec::new(),
            grey: None,
            busy: false,
            unheard: false,
            silent: None,
            asked: Asked::default(),
            limit: Limit::default(),
        };
        let server = Arc::new(Self {
            number,
            seat,
            ends: Notify::new(),
            life: Mutex::new(life),
            served: AtomicU64::new(0),
            ledger,
        });
        let answering = server.clone();
        let scripted = Scripted::start(move |got| answering.answer(got)).await?;
        Ok((server, scripted))
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Name of its life.
    pub fn id(&self) -> String {
        self.life().id.clone()
    }

    /// What its entry says of its life.
    pub fn state(&self) -> &'static str {
        if self.life().leaving.is_some() { "draining" } else { "ready" }
    }

    /// It says that it leaves, and goes on.
    pub fn leave(&self) {
        self.life().leaving = Some(Instant::now());
    }

    /// It ends, and another life begins at its address.
    pub fn begin_anew(&self) {
        let mut life = self.life();
        life.number += 1;
        life.id = name(self.number, life.number);
        life.leaving = None;
        life.asked = Asked::default();
        life.limit = Limit::default();
        life.running.clear();
    }

    /// It wants no requests from now on, or takes them again.
    pub fn set_busy(&self, busy: bool) {
        self.life().busy = busy;
    }

    /// Its answers may be lost from now on, or arrive again: what it asks for meanwhile
    /// binds nobody.
    pub fn set_unheard(&self, unheard: bool) {
        let mut life = self.life();
        life.unheard = unheard;
        life.asked = Asked::default();
    }

    /// It writes nothing from now on, or goes on: what it runs takes longer by this time.
    pub fn set_silent(&self, silent: bool) {
        let mut life = self.life();
        let now = Instant::now();
        if let Some(since) = life.silent.take() {
            life.running.iter_mut().filter(|end| **end > since).for_each(|end| *end += now - since);
        }
        life.silent = silent.then_some(now);
    }

    /// It names a limit from now on, or none.
    pub fn set_limit(&self, per_s: Option<f64>) {
        self.life().limit.name(per_s, Instant::now());
    }

    /// A gateway may have forgotten what it was asked for.
    pub fn excuse(&self, gateway: SocketAddr) {
        let mut life = self.life();
        life.asked.excuse(gateway);
        life.limit.excuse(gateway);
    }

    /// It misbehaves from now on, or no more.
    pub fn set_grey(&self, grey: Option<Grey>) {
        self.life().grey = grey;
    }

    /// A server that leaves, or has a limit, says so in all its answers.
    fn answer(self: &Arc<Self>, got: &Got) -> Vec<Act> {
        let acts = self.respond(got);
        let (leaving, limit) = {
            let life = self.life();
            (life.leaving.is_some(), life.limit.named())
        };
        let mut more = String::new();
        if leaving {
            more += "\r\nServer-Leaving: 1";
        }
        more += &limit.map_or_else(String::new, |limit| format!("\r\nServer-Limit: {limit}"));
        if more.is_empty() {
            return acts;
        }
        acts.into_iter().map(|act| says(act, &more)).collect()
    }

    fn respond(self: &Arc<Self>, got: &Got) -> Vec<Act> {
        let running = {
            let mut life = self.life();
            let now = life.silent.unwrap_or_else(Instant::now);
            life.running.retain(|end| *end > now);
            u32::try_from(life.running.len()).unwrap_or(u32::MAX)
        };
        if let Some((group, rank)) = &self.seat
            && let Some(acts) = group.control(*rank, got, running)
        {
            return acts;
        }
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        let (id, expected) = (text(got, "request-id"), text(got, "expect-instance"));
        let (own, grey, busy, leaving) = {
            let life = self.life();
            let grey = life.grey.filter(|_| served.is_multiple_of(SPOILS));
            (life.id.clone(), grey, life.busy, life.leaving)
        };
        let closed = self.seat.as_ref().is_some_and(|(group, _)| !group.is_open());
        let turned_away = running >= 2 * SLOTS || closed || busy || grey == Some(Grey::Shed);
        let (right, runs) = (expected == own, expected == own && !turned_away);
        self.arrived(got, &id, runs);
        let is_harmful = text(got, "prompt-prefix").contains(HARMFUL_PART);
        if is_harmful {
            self.ledger.harmful_arrived(&id);
        }
        if let Some(since) = leaving.filter(|_| right) {
            self.check_leaving(&id, since);
        }
        if !right {
            return vec![short("421 Misdirected Request", "", &id, "")];
        }
        self.note_asked(&id, busy, grey);
        if busy {
            let more = format!("Not-Executed: 1\r\nRetry-After: {BACKOFF_S}\r\n");
            return vec![short("503 Service Unavailable", &more, &id, "")];
        }
        if turned_away {
            return vec![short("503 Service Unavailable", "Not-Executed: 1\r\n", &id, "")];
        }
        if got.head.split(' ').nth(1) == Some(ENDS_SERVERS) {
            self.ledger.server_ended();
            self.ends.notify_one();
            return vec![Act::Hang];
        }
        if is_harmful {
            return self.end_soon(&id, &own);
        }
        self.run(got, &id, &own, grey)
    }

    /// Begins an answer and ends.
    fn end_soon(self: &Arc<Self>, id: &str, own: &str) -> Vec<Act> {
        let server = self.clone();
        tokio::spawn(async move {
            time::sleep(PLAIN_LASTS + ENDS_AFTER).await;
            server.ledger.ended_under_prompt();
            server.ends.notify_one();
        });
        let signed = signed(own);
        vec![Act::Wait(PLAIN_LASTS), stream_head(&signed, id, false), Act::Hang]
    }

    /// Checks that the request may come, and keeps what its answer will say. Answers that
    /// break off, that are held, or whose callers leave, may not be read.
    fn note_asked(&self, id: &str, busy: bool, grey: Option<Grey>) {
        let Some((gateway, sent, stays)) = self.ledger.origin(id) else { return };
        let now = Instant::now();
        let mut life = self.life();
        if let Some(what) = life.asked.arrived(gateway, sent, DRAIN, now) {
            self.ledger.broken(format!("{id} at {}: {what}", life.id));
        }
        let exceeded = life.limit.arrived(gateway, now);
        if let Some(exceeded) = exceeded.filter(|exceeded| exceeded.told as f64 > exceeded.allowed)
        {
            self.ledger.broken(format!("{id} at {}: over its limit, {exceeded:?}", life.id));
        }
        if life.unheard || life.silent.is_some() || !stays || grey.is_some() {
            return;
        }
        if busy {
            life.asked.told_pause(gateway, Duration::from_secs_f64(BACKOFF_S), now);
        }
        if life.leaving.is_some() {
            life.asked.told_leaving(gateway, now);
        }
        life.limit.told(gateway, now);
    }

    fn arrived(&self, got: &Got, id: &str, runs: bool) {
        let path = got.head.split(' ').nth(1).unwrap_or_default();
        let wait_ms = text(got, "request-deadline").parse().unwrap_or(u64::MAX);
        let customer = &text(got, "tenant");
        let (body, server) = (got.body.as_slice(), self.number);
        self.ledger.arrived(&Arrival { id, path, body, customer, wait_ms, runs, server });
    }

    /// Far beyond the bound, since gateways stand still and are cut off here.
    fn check_leaving(&self, id: &str, since: Instant) {
        if since.elapsed() > Duration::from_secs(12) {
            self.ledger.broken(format!("{id}: reaches a server 12 s after it said that it leaves"));
        }
    }

    fn run(&self, got: &Got, id: &str, own: &str, grey: Option<Grey>) -> Vec<Act> {
        let is_stream = text(got, "accept") == "text/event-stream";
        let last = text(got, "last-event-id").parse().unwrap_or(0);
        let events = if is_stream { events_after(id, last) } else { Vec::new() };
        let count = u32::try_from(events.len()).unwrap_or(0);
        let lasts = PLAIN_LASTS + EVENT_EVERY * count;
        let mut life = self.life();
        let begins = life.silent.unwrap_or_else(Instant::now);
        life.running.push(begins + lasts);
        drop(life);
        let signature = format!("sig-{own}");
        let mut acts = vec![Act::Wait(PLAIN_LASTS)];
        let signed = signed(own);
        let is_framed = grey == Some(Grey::Extra) || !ends_with_connection(id);
        match grey {
            Some(Grey::Mute) => return vec![Act::Hang],
            Some(Grey::Endless) => return endless(&signed, id, is_stream),
            Some(Grey::Errors) => {
                acts.push(short("500 Internal Server Error", &signed, id, "failed"));
                return acts;
            }
            Some(Grey::OtherId) => {
                acts.push(short("200 OK", &signed, "another", &body_of("another", &signature)));
                return acts;
            }
            _ => (),
        }
        if is_stream {
            acts.extend(stream(&events, &signed, id, grey == Some(Grey::Cut), is_framed));
        } else if grey == Some(Grey::Cut) {
            acts.push(Act::Send(cut(short("200 OK", &signed, id, &body_of(id, &signature)))));
            acts.push(Act::Reset);
        } else if is_framed {
            acts.push(short("200 OK", &signed, id, &body_of(id, &signature)));
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{signed}\r\n");
            acts.push(Act::Send((head + &body_of(id, &signature)).into_bytes()));
            acts.push(Act::Close);
        }
        if grey == Some(Grey::Extra) {
            acts.push(short("200 OK", &signed, "another", &body_of("another", &signature)));
        }
        acts
    }
}

fn name(number: usize, life: u32) -> String {
    format!("i-{number}-{life}")
}

fn text(got: &Got, name: &str) -> String {
    got.header(name).unwrap_or_default().to_owned()
}

fn short(status: &str, more: &str, id: &str, body: &str) -> Act {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}Content-Length: {length}\r\n\r\n");
    Act::Send((head + body).into_bytes())
}

/// The same answer with more headers.
fn says(act: Act, more: &str) -> Act {
    let Act::Send(bytes) = &act else { return act };
    let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else { return act };
    if !bytes.starts_with(b"HTTP/1.1 ") {
        return act;
    }
    let (line, rest) = bytes.split_at(end);
    Act::Send([line, more.as_bytes(), rest].concat())
}

fn cut(act: Act) -> Vec<u8> {
    let Act::Send(mut bytes) = act else { return Vec::new() };
    bytes.truncate(bytes.len().saturating_sub(3));
    bytes
}

/// Interim answers without end, or in a stream a chunk whose size has no end.
fn endless(signed: &str, id: &str, is_stream: bool) -> Vec<Act> {
    if is_stream {
        return vec![stream_head(signed, id, true), Act::Repeat(vec![b'0'; 4_096])];
    }
    vec![Act::Repeat("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(64).into_bytes())]
}

/// Whether the answer to a request has neither a length nor chunks.
fn ends_with_connection(id: &str) -> bool {
    id.bytes().map(usize::from).sum::<usize>().is_multiple_of(UNFRAMED)
}

fn signed(own: &str) -> String {
    format!("Response-Signature: sig-{own}\r\nServer-Load: 1,0,{SLOTS}\r\n")
}

fn stream_head(signed: &str, id: &str, is_framed: bool) -> Act {
    let chunked = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{signed}Content-Type: text/event-stream\r\n\
         {chunked}\r\n"
    );
    Act::Send(head.into_bytes())
}

fn stream(events: &[String], signed: &str, id: &str, cut: bool, is_framed: bool) -> Vec<Act> {
    let mut acts = vec![stream_head(signed, id, is_framed)];
    for event in events.iter().take(if cut { events.len() / 2 } else { events.len() }) {
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        acts.push(Act::Send(if is_framed { chunk } else { event.clone() }.into_bytes()));
        acts.push(Act::Wait(EVENT_EVERY));
    }
    if !is_framed {
        // In the middle of an event, if it breaks off.
        acts.extend(cut.then(|| Act::Send(b"id: ".to_vec())));
        acts.push(Act::Close);
        return acts;
    }
    if cut {
        // In the middle of an event.
        acts.push(Act::Send(b"4\r\nid: \r\n".to_vec()));
        acts.push(Act::Reset);
    } else {
        acts.push(Act::Send(b"0\r\n\r\n".to_vec()));
    }
    acts
}
