//! The entry of a server goes while two of five gateways are killed.

use crate::{
    http::{self, Request},
    world::{desired, ended, request, usual, Record, Route, Server, World, KEY},
};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 5;
/// The first gateways of the hall.
const KILLED: usize = 2;
/// Their processes are started again after so long.
const AWAY: Duration = Duration::from_secs(2);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The server serves on for `drain_ms` and a little longer, and ends.
const LONGER: Duration = Duration::from_millis(400);
const WORK: Duration = Duration::from_millis(120);
const CALLERS: usize = 4;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::new(record, GATEWAYS);
    let act = |request: &Request, _| {
        thread::sleep(WORK);
        vec![usual(request, b"seat 12A")]
    };
    let server = Server::start("i-7f3a91c2", record, Arc::new(act));
    let route = Route {
        name: "book",
        prefix: "/book/",
        kind: "unsafe",
        timeout_ms: 2_000,
        max_attempts: 1,
    };
    world.store.put("config", "main", &desired(1, &[route], &[KEY], 16_384));
    world.store.put("servers", &server.id, &server.entry());
    world.start();
    // Over `contact_ms`.
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    // Callers of the gateways that nothing befalls.
    let callers: Vec<_> = (KILLED..usize::from(GATEWAYS))
        .flat_map(|gateway| (0..CALLERS).map(move |caller| (gateway, caller)))
        .map(|(gateway, caller)| {
            let (front, is_over) = (world.gateways[gateway].front, is_over.clone());
            thread::spawn(move || {
                let mut all = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{gateway}{caller}{:04}41d07be2a3", all.len());
                    let sent = request("POST", "/book/1", &id, KEY, 2_000, "");
                    let answered = http::connect(front, Duration::from_secs(3))
                        .and_then(|mut over| http::exchange(&mut over, &sent));
                    all.push((
                        gateway,
                        id,
                        ended(&answered),
                        answered.is_ok_and(|answer| answer.status == 200),
                    ));
                    thread::sleep(Duration::from_millis(20));
                }
                all
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line(&format!(
            "SIGKILL to the processes of {} and {}",
            world.name(0),
            world.name(1)
        ));
        (0..KILLED).for_each(|number| world.kill(number));
        thread::sleep(Duration::from_millis(100));
    }
    let killed = Instant::now();
    world.store.remove("servers", &server.id);
    let gone = Instant::now();
    record.line("the entry of the server goes; the store has acknowledged it");
    while gone.elapsed() < DRAIN + LONGER {
        if trouble && killed.elapsed() >= AWAY && world.gateways[0].has_ended() {
            record.line("the two processes are started again");
            (0..KILLED).for_each(|number| world.restart(number));
        }
        thread::sleep(Duration::from_millis(5));
    }
    server.end();
    record.line("the server has served on for drain_ms and a little longer, and ends");
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let runs: HashMap<String, Instant> = server.runs.lock().unwrap().iter().cloned().collect();
    let (mut late, mut lost, mut last) = (0, 0, Duration::ZERO);
    for (gateway, id, end, is_served) in
        callers.into_iter().flat_map(|caller| caller.join().unwrap())
    {
        let reached = runs.get(&id).map(|at| at.saturating_duration_since(gone));
        let is_late = reached.is_some_and(|after| after > DRAIN);
        late += usize::from(is_late);
        lost += usize::from(is_late && !is_served);
        last = last.max(reached.unwrap_or_default());
        let after = reached.map_or("no server".to_owned(), |after| {
            format!("the server {:.3} s after its entry went", after.as_secs_f64())
        });
        record.line(&format!(
            "{id} by way of {} reaches {after}, and ends with {end}",
            world.name(gateway)
        ));
    }
    world.keep_logs();
    record.line(&format!(
        "{late} requests reached the server later than drain_ms after the acknowledgement, the last one {:.3} s after it; {lost} of them were lost with the server",
        last.as_secs_f64()
    ));
    late > 0
}
