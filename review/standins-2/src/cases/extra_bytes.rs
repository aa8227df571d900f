//! A faulty server sends more bytes after a whole answer.

use crate::{
    http::{self, header, Request},
    world::{self, desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{collections::HashMap, sync::Arc, thread, time::Duration};

const SENT: usize = 60;
/// What stands behind the first answer of each connection, and arrives with the next request.
const MORE: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nnot found";

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 1);
    let act = move |request: &Request, number: usize| {
        let answer = usual(request, b"seat 12A");
        if trouble && number == 1 {
            vec![MORE.to_vec(), answer]
        } else {
            vec![answer]
        }
    };
    let servers = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Server::start(id, record, Arc::new(act)));
    let route = Route {
        name: "status",
        prefix: "/status/",
        kind: "safe",
        timeout_ms: 2_000,
        max_attempts: 2,
    };
    world.store.put("config", "main", &desired(1, &[route], &[KEY], 16_384));
    for server in &servers {
        world.store.put("servers", &server.id, &server.entry());
    }
    world.start();
    let front = world.gateways[0].front;
    let mut answers = HashMap::new();
    for number in 0..SENT {
        let id = format!("{number:04}c41d07be2a35");
        let sent = request("GET", "/status/1", &id, KEY, 2_000, "");
        let answered = http::connect(front, Duration::from_secs(3))
            .and_then(|mut over| http::exchange(&mut over, &sent));
        record.line(&format!("caller of {id} gets {}", ended(&answered)));
        answers.insert(id, answered);
        thread::sleep(Duration::from_millis(50));
    }
    if !answers.values().any(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 200)) {
        world::cannot_run("no request was served");
    }
    world.keep_logs();
    // An answer that no server gave to this request, and that isn't the gateway's own: its body is
    // the one of the further bytes.
    let foreign = answers.iter().filter(|(_, answered)| {
        answered.as_ref().is_ok_and(|answer| {
            let is_own = header(&answer.headers, "request-id").is_some();
            !is_own && answer.status == 404 && answer.body == b"not found"
        })
    });
    let foreign = foreign.count();
    record.line(&format!(
        "{foreign} of {SENT} callers got bytes that belong to no request as their answer"
    ));
    foreign > 0
}
