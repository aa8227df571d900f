//! Faulty servers break off streams, and send more bytes after whole answers.

use crate::{
    http::{self, header, Request},
    world::{self, desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// How long the servers are faulty.
const LASTS: Duration = Duration::from_secs(5);
/// Servers, of which the first two are faulty,
const SERVERS: [&str; 4] = ["i-02d9e6b4", "i-1c55a0f7", "i-5b90e3d8", "i-7f3a91c2"];
const FAULTY: usize = 2;
/// in so many of a hundred answers at most.
const SPOILED_PCT: usize = 3;
/// Callers at a time, and requests of each of them, between two streams.
const CALLERS: usize = 4;
const REQUESTS: usize = 10;
const EVENTS: usize = 6;
/// Events of a stream that is broken off.
const BEGUN: usize = 3;
/// What a caller of another request could take for its own.
const FOREIGN: &str = "of another stream";

fn route(name: &'static str, prefix: &'static str, kind: &'static str) -> Route {
    Route { name, prefix, kind, timeout_ms: 8_000, max_attempts: 2 }
}

/// Events in chunks, without the end of the body.
fn events(from: usize, to: usize, data: &str) -> String {
    let event = |number| {
        let event = format!("id: {number}\ndata: {data}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    (from..=to).map(event).collect()
}

fn head(request: &Request) -> String {
    let id = header(&request.headers, "request-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// What arrives with a later request of a connection, before the answer to it: it stands behind a
/// whole answer, has no id, and belongs to no request.
fn more(status: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{body}").into_bytes()
}

/// What a faulty server has answered, and how much of that it has spoiled.
#[derive(Default)]
struct Faults {
    is_on: AtomicBool,
    answered: AtomicUsize,
    spoiled: AtomicUsize,
    /// Of the spoiled ones, those with more bytes behind a whole answer to a plain request.
    plain: AtomicUsize,
}

impl Faults {
    /// Whether one more answer may be spoiled, and counts it.
    fn take(&self) -> bool {
        let allowed = self.answered.load(Ordering::SeqCst) * SPOILED_PCT / 100;
        let more = |spoiled| (spoiled < allowed).then_some(spoiled + 1);
        self.is_on.load(Ordering::SeqCst)
            && self.spoiled.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).is_ok()
    }
}

fn act(faults: &Faults, request: &Request, number: usize) -> Vec<Vec<u8>> {
    faults.answered.fetch_add(1, Ordering::SeqCst);
    if !request.target.starts_with("/bag/") {
        thread::sleep(Duration::from_millis(2));
        // Some of what may be spoiled is left for the streams.
        let is_spoiled = number > 0
            && faults.plain.load(Ordering::SeqCst) < 2
            && faults.take()
            && faults.plain.fetch_add(1, Ordering::SeqCst) < 2;
        let more = is_spoiled.then(|| more("404 Not Found", "Content-Length: 9\r\n\r\nnot found"));
        return more.into_iter().chain([usual(request, b"seat 12A")]).collect();
    }
    let text = format!("of {}", header(&request.headers, "request-id").unwrap_or(""));
    match header(&request.headers, "last-event-id").and_then(|id| id.parse::<usize>().ok()) {
        None if faults.take() => {
            let begun = format!("{}{}", head(request), events(1, BEGUN, &text));
            vec![begun.into_bytes(), Vec::new()]
        }
        last => {
            let from = last.unwrap_or(0) + 1;
            let whole = format!("{}{}0\r\n\r\n", head(request), events(from, EVENTS, &text));
            let foreign = events(from, EVENTS, FOREIGN);
            let body = format!(
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{foreign}0\r\n\r\n"
            );
            let is_spoiled = number > 0 && last.is_some() && faults.take();
            let more = is_spoiled.then(|| more("200 OK", &body));
            more.into_iter().chain([whole.into_bytes()]).collect()
        }
    }
}

fn ask(front: SocketAddr, sent: &[u8]) -> std::io::Result<http::Answer> {
    http::connect(front, Duration::from_secs(9))
        .and_then(|mut over| http::exchange(&mut over, sent))
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 1);
    let faults = SERVERS.map(|_| Arc::<Faults>::default());
    let servers: Vec<Server> = SERVERS
        .iter()
        .zip(&faults)
        .map(|(id, faults)| {
            let faults = faults.clone();
            Server::start(
                id,
                record,
                Arc::new(move |request, number| act(&faults, request, number)),
            )
        })
        .collect();
    let routes = [route("status", "/status/", "safe"), route("bag", "/bag/", "streaming")];
    world.store.put("config", "main", &desired(1, &routes, &[KEY], 16_384));
    for server in &servers {
        world.store.put("servers", &server.id, &server.entry());
    }
    world.start();
    let front = world.gateways[0].front;
    record.line(&format!("for {} s, {FAULTY} servers are faulty: {trouble}", LASTS.as_secs()));
    faults.iter().take(FAULTY).for_each(|faults| faults.is_on.store(trouble, Ordering::SeqCst));
    let began = Instant::now();
    let (mut sent, mut served, mut failures, mut streams, mut round) = (0, 0, 0, 0, 0);
    while began.elapsed() < LASTS {
        round += 1;
        let caller = |caller: usize| {
            thread::spawn(move || {
                let ask = |number| {
                    let id = format!("{round:04}c{caller}{number}d07be2a35");
                    (id.clone(), ask(front, &request("GET", "/status/1", &id, KEY, 2_000, "")))
                };
                (0..REQUESTS).map(ask).collect::<Vec<_>>()
            })
        };
        let callers: Vec<_> = (0..CALLERS).map(caller).collect();
        for (id, answered) in callers.into_iter().flat_map(|caller| caller.join().unwrap()) {
            sent += 1;
            record.line(&format!("caller of {id} gets {}", ended(&answered)));
            let Ok(answer) = answered else { continue };
            served += usize::from(answer.status == 200);
            // No server gave this answer to this request, and it isn't the gateway's own.
            let is_own = header(&answer.headers, "request-id").is_some();
            failures += usize::from(!is_own && answer.body == b"not found");
        }
        let id = format!("{round:04}d41d07be2a35");
        let answered = ask(front, &request("POST", "/bag/1", &id, KEY, 8_000, ""));
        record.line(&format!("caller of stream {id} gets {}", ended(&answered)));
        let Ok(answer) = answered else { continue };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if answer.status == 200
            && text.contains(FOREIGN)
            && text.contains(&format!("id: {EVENTS}\n"))
        {
            streams += 1;
            record.line(&format!("its events: {}", text.replace('\n', " ")));
        }
    }
    if served * 10 < sent * 9 {
        world::cannot_run("too few requests were served");
    }
    for (id, faults) in SERVERS.iter().zip(&faults) {
        let [answered, spoiled] =
            [&faults.answered, &faults.spoiled].map(|count| count.load(Ordering::SeqCst));
        record.line(&format!("server {id} spoiled {spoiled} of {answered} answers"));
    }
    world.keep_logs();
    record.line(&format!(
        "of {sent} requests and {round} streams, {failures} requests were answered with bytes that belong to no request, and {streams} streams ended as complete with events that belong to no request"
    ));
    failures + streams > 0
}
