//! The settings files change: a further bound appears in them.

use crate::{
    http,
    world::{self, desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Sent before the change, on the first route.
const BEFORE: usize = 40;
/// Sent after it, on either route.
const AFTER: usize = 40;

fn route(name: &'static str, prefix: &'static str) -> Route {
    Route { name, prefix, kind: "safe", timeout_ms: 2_000, max_attempts: 2 }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 2);
    let act = |request: &http::Request, _| vec![usual(request, b"seat 12A")];
    let servers = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Server::start(id, record, Arc::new(act)));
    world.store.put("config", "main", &desired(1, &[route("status", "/status/")], &[KEY], 16_384));
    for server in &servers {
        world.store.put("servers", &server.id, &server.entry());
    }
    world.start();
    let mut number = 0;
    let mut ask = |world: &World, path: &str| {
        number += 1;
        let front = world.gateways[number % world.gateways.len()].front;
        let sent = request("GET", path, &format!("{number:04}c41d07be2a35"), KEY, 2_000, "");
        let answered = http::connect(front, Duration::from_secs(3))
            .and_then(|mut over| http::exchange(&mut over, &sent));
        record.line(&format!(
            "{path} at {}: {}",
            world.name(number % world.gateways.len()),
            ended(&answered)
        ));
        usize::from(answered.is_ok_and(|answer| answer.status == 200))
    };
    let (mut first, mut later) = (0, 0);
    for _ in 0..BEFORE {
        first += ask(&world, "/status/1");
        thread::sleep(Duration::from_millis(50));
    }
    if first < BEFORE {
        world::cannot_run("a request was not served before the disruption");
    }
    if trouble {
        record.line("the settings files change (evacuate_ms = 5000 among the bounds), and SIGHUP");
        for gateway in &mut world.gateways {
            gateway.change_settings("recover_s = 12\n", "recover_s = 12\nevacuate_ms = 5000\n");
            gateway.signal("HUP");
        }
    }
    thread::sleep(Duration::from_secs(5));
    let routes = [route("status", "/status/"), route("later", "/later/")];
    world.store.put("config", "main", &desired(2, &routes, &[KEY], 16_384));
    record.line("version 2 acknowledged: a route was added");
    // Long after the change, and after `config_ms`, nothing else is disturbed.
    thread::sleep(Duration::from_secs(5));
    let began = Instant::now();
    for _ in 0..AFTER {
        later += ask(&world, "/later/1");
        first += ask(&world, "/status/1");
        thread::sleep(Duration::from_millis(300));
    }
    let took = began.elapsed().as_secs_f64();
    for (number, gateway) in world.gateways.iter().enumerate() {
        record.line(&format!("{} is ready: {}", world.name(number), gateway.is_ready()));
    }
    world.keep_logs();
    let sent = BEFORE + AFTER;
    record.line(&format!(
        "in the last {took:.0} s, {later} of {AFTER} requests on the added route were served; of the first route, {first} of {sent} on the whole"
    ));
    // Less than a quarter as often.
    4 * later * sent < first * AFTER
}
