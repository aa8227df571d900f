//! The desired state raises the largest head of a request while callers hold connections open.

use crate::{
    http,
    world::{self, desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{sync::Arc, thread, time::Duration};

const CONNECTIONS: usize = 40;
const BEFORE: u32 = 16_384;
const AFTER: u32 = 65_536;
/// Header lines of a request: within either limit, and within the second alone.
const SMALL: usize = 4_000;
const LARGE: usize = 24_000;

fn routes() -> [Route; 1] {
    [Route { name: "status", prefix: "/status/", kind: "safe", timeout_ms: 2_000, max_attempts: 2 }]
}

fn padding(bytes: usize) -> String {
    (0..bytes / 1_000).map(|at| format!("Trace-{at}: {}\r\n", "t".repeat(980))).collect()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 2);
    let act = |request: &http::Request, _| vec![usual(request, b"seat 12A")];
    let servers = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Server::start(id, record, Arc::new(act)));
    // Without the disruption, the limit is the second one from the start.
    let first = if trouble { BEFORE } else { AFTER };
    world.store.put("config", "main", &desired(1, &routes(), &[KEY], first));
    for server in &servers {
        world.store.put("servers", &server.id, &server.entry());
    }
    world.start();
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let front = world.gateways[number % world.gateways.len()].front;
        let mut over = http::connect(front, Duration::from_secs(3))
            .unwrap_or_else(|error| world::cannot_run(&error.to_string()));
        let id = format!("{number:04}a41d07be2a35");
        let sent = request("GET", "/status/1", &id, KEY, 2_000, &padding(SMALL));
        let answered = http::exchange(&mut over, &sent);
        record.line(&format!("{id}, head of {SMALL} bytes: {}", ended(&answered)));
        if !answered.is_ok_and(|answer| answer.status == 200) {
            world::cannot_run("a request was not served before the disruption");
        }
        kept.push(over);
    }
    world.store.put("config", "main", &desired(2, &routes(), &[KEY], AFTER));
    record.line(&format!("version 2 acknowledged: max_header_bytes {first} before, {AFTER} now"));
    // Beyond `config_ms`, and within four fifths of `idle_timeout_ms`.
    thread::sleep(Duration::from_secs(5));
    let mut refused = 0;
    for (number, over) in kept.iter_mut().enumerate() {
        let id = format!("{number:04}b41d07be2a35");
        let sent = request("GET", "/status/1", &id, KEY, 2_000, &padding(LARGE));
        let answered = http::exchange(over, &sent);
        record.line(&format!(
            "{id}, head of {LARGE} bytes, on its kept connection: {}",
            ended(&answered)
        ));
        let is_refused =
            |status| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        refused += usize::from(answered.is_ok_and(|answer| is_refused(answer.status)));
    }
    // The same on new connections, to compare.
    let mut served = 0;
    for number in 0..CONNECTIONS {
        let front = world.gateways[number % world.gateways.len()].front;
        let sent = request(
            "GET",
            "/status/1",
            &format!("{number:04}c41d07be2a35"),
            KEY,
            2_000,
            &padding(LARGE),
        );
        let answered = http::connect(front, Duration::from_secs(3))
            .and_then(|mut over| http::exchange(&mut over, &sent));
        served += usize::from(answered.is_ok_and(|answer| answer.status == 200));
    }
    world.keep_logs();
    let all = 3 * CONNECTIONS;
    record.line(&format!(
        "{refused} of {CONNECTIONS} proper requests on kept connections were refused with a 4xx of the gateways; {served} of {CONNECTIONS} such requests on new connections were served"
    ));
    refused > 5 + all / 500
}
