//! The store moves to another address, which the settings files name from then on.

use crate::{
    http,
    world::{self, desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const NEW_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// `config_ms` of the settings.
const IN_FORCE: Duration = Duration::from_millis(2_000);
const LASTS: Duration = Duration::from_secs(15);

fn routes() -> [Route; 1] {
    [Route { name: "status", prefix: "/status/", kind: "safe", timeout_ms: 2_000, max_attempts: 2 }]
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, 2);
    let act = |request: &http::Request, _| vec![usual(request, b"seat 12A")];
    let servers = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Server::start(id, record, Arc::new(act)));
    world.store.put("config", "main", &desired(1, &routes(), &[KEY], 16_384));
    for server in &servers {
        world.store.put("servers", &server.id, &server.entry());
    }
    world.start();
    let ask = |front, id: &str, key: &str| {
        let asked = http::connect(front, Duration::from_secs(3));
        asked.and_then(|mut over| {
            http::exchange(&mut over, &request("GET", "/status/1", id, key, 2_000, ""))
        })
    };
    for gateway in &world.gateways {
        let answered = ask(gateway.front, "0000c41d07be2a35", KEY);
        record
            .line(&format!("before: a request with the first key ends with {}", ended(&answered)));
        if !answered.is_ok_and(|answer| answer.status == 200) {
            world::cannot_run("a request was not served before the disruption");
        }
    }
    if trouble {
        let new = world.store.open();
        let (from, to) = (world.door.addr.to_string(), new.addr.to_string());
        record.line(&format!("the store moves from {from} to {to}: settings files changed, SIGHUP, old address closed"));
        for gateway in &mut world.gateways {
            gateway.change_settings(&from, &to);
            gateway.signal("HUP");
        }
        thread::sleep(Duration::from_secs(2));
        world.door.close();
        world.door = new;
        thread::sleep(Duration::from_secs(4));
    }
    // The operator takes the key away, and gives the tenant another one.
    world.store.put("config", "main", &desired(2, &routes(), &[NEW_KEY], 16_384));
    let acknowledged = Instant::now();
    record.line("version 2 acknowledged: the first key is gone, a second one is there");
    thread::sleep(IN_FORCE + Duration::from_millis(100));
    let (mut old, mut new, mut sent) = (0, 0, 0);
    while acknowledged.elapsed() < LASTS {
        for (number, gateway) in world.gateways.iter().enumerate() {
            sent += 1;
            let id = format!("{sent:04}c41d07be2a35");
            let revoked = ask(gateway.front, &id, KEY);
            let granted = ask(gateway.front, &format!("{id}b"), NEW_KEY);
            let at = acknowledged.elapsed().as_secs_f64();
            record.line(&format!(
                "{at:.1} s after the acknowledgement, {}: first key {}; second key {}",
                world.name(number),
                ended(&revoked),
                ended(&granted)
            ));
            old += usize::from(revoked.is_ok_and(|answer| answer.status == 200));
            new += usize::from(granted.is_ok_and(|answer| answer.status == 401));
        }
        thread::sleep(Duration::from_millis(900));
    }
    world.keep_logs();
    record.line(&format!(
        "of {sent} requests each, sent over config_ms after the acknowledgement: {old} ran with the dropped key, {new} were refused with 401 although their key is present"
    ));
    old + new > 0
}
