//! A planned stop of one of two gateways while callers read their answers slowly.

use crate::{
    http::{self, read_head},
    world::{self, desired, request, usual, Record, Route, Server, World, KEY},
};
use std::{
    io::{Read, Write},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Small enough that the gateway reads it whole, so that the server is done with it at once.
const BODY: usize = 250_000;
/// A caller takes so many bytes at a time,
const SIP: usize = 700;
/// so often: 7 KB a second.
const PAUSE: Duration = Duration::from_millis(100);
const CALLERS: usize = 4;
const TIME_LIMIT: u64 = 60_000;

/// How a caller's request ended: the bytes that it got, and the error, if any.
struct Got {
    bytes: usize,
    whole: bool,
    took: Duration,
    end: String,
}

fn read_slowly(front: std::net::SocketAddr, id: &str) -> Got {
    let mut over = match http::connect(front, Duration::from_secs(20)) {
        Ok(over) => over,
        Err(error) => world::cannot_run(&format!("no connection: {error}")),
    };
    let began = Instant::now();
    over.get_mut().write_all(&request("POST", "/book/1", id, KEY, TIME_LIMIT, "")).unwrap();
    let mut got = 0;
    let mut end = "whole".to_owned();
    let mut length = BODY;
    match read_head(&mut over) {
        Ok((200, headers)) => {
            length = http::header(&headers, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
        }
        Ok((status, _)) => end = format!("status {status}"),
        Err(error) => end = error.to_string(),
    }
    while end == "whole" && got < length {
        thread::sleep(PAUSE);
        let mut sip = vec![0; SIP.min(length - got)];
        match over.read(&mut sip) {
            Ok(0) => end = "closed before its end".to_owned(),
            Ok(more) => got += more,
            Err(error) => end = error.to_string(),
        }
    }
    let whole = end == "whole" && got == BODY;
    Got { bytes: got, whole, took: began.elapsed(), end }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 2);
    let act = |request: &http::Request, _| vec![usual(request, &vec![b'x'; BODY])];
    let server = Server::start("i-7f3a91c2", record, Arc::new(act));
    let route = Route {
        name: "book",
        prefix: "/book/",
        kind: "unsafe",
        timeout_ms: TIME_LIMIT,
        max_attempts: 1,
    };
    world.store.put("config", "main", &desired(1, &[route], &[KEY], 16_384));
    world.store.put("servers", &server.id, &server.entry());
    world.start();
    let front = world.gateways[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| thread::spawn(move || read_slowly(front, &format!("51ed{number}c41d07be2a"))))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let ran = server.runs.lock().unwrap().len();
    if ran < CALLERS {
        world::cannot_run("the server has not run the requests in time");
    }
    let stopped = Instant::now();
    if trouble {
        record.line(&format!("SIGTERM to {}; all {ran} requests have run", world.name(0)));
        world.gateways[0].signal("TERM");
        while !world.gateways[0].has_ended() && stopped.elapsed() < Duration::from_secs(8) {
            thread::sleep(Duration::from_millis(20));
        }
        let took = stopped.elapsed().as_secs_f64();
        record.line(&format!("{} ended {took:.2} s after SIGTERM", world.name(0)));
    }
    let mut lost = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let Got { bytes, whole, took, end } = caller.join().unwrap();
        record.line(&format!(
            "caller {number}: {bytes} of {BODY} bytes after {:.2} s of its {TIME_LIMIT} ms: {end}",
            took.as_secs_f64()
        ));
        lost += usize::from(!whole);
    }
    world.keep_logs();
    record.line(&format!(
        "{lost} of {CALLERS} requests that had run were left without a complete answer"
    ));
    lost > 0
}
