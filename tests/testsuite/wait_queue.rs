//! The queue of waiting requests: its order and bounds, and how requests wait at a gateway.

use eyre::Result;
use googletest::prelude::*;
use mastweir_core::{
    gateway::{Refusal, WaitBounds, WaitQueue, WaitTicket, WaitingRequest, is_shared_refusal},
    time::Uptime,
};
use mastweir_test_support::{
    Served,
    scripted::{Act, Got, Scripted},
    site::{Answer, HOST, KEY, Running, Site, exchange, request, route, wait_for},
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinHandle, time};

const NOW: Uptime = Uptime::from_secs(10);

/// A request of a customer that can still meet its objective.
fn waiting(customer: &str, rank: u8) -> WaitingRequest {
    WaitingRequest {
        service: "chat".to_owned(),
        customer: Some(customer.to_owned()),
        rank,
        cost: 10,
        bytes: 100,
        late_at: Uptime::from_secs(11),
    }
}

fn late(customer: &str) -> WaitingRequest {
    WaitingRequest { late_at: Uptime::from_secs(9), ..waiting(customer, 0) }
}

fn add(queue: &mut WaitQueue, request: WaitingRequest) -> WaitTicket {
    queue.enqueue(request, NOW).expect("the queue has room").ticket
}

/// A queue of at most `requests` requests and as many times 100 bytes.
fn bounded(requests: usize) -> WaitQueue {
    WaitQueue::new(WaitBounds { requests, bytes: requests * 100 })
}

/// Guards against a burst of less urgent requests that delays more urgent ones.
#[googletest::test]
fn more_urgent_levels_come_first() {
    let mut queue = WaitQueue::default();
    let tickets: Vec<WaitTicket> =
        [2, 1, 0, 1, 0].iter().map(|rank| add(&mut queue, waiting("a", *rank))).collect();
    let order = [2, 4, 1, 3, 0].map(|at: usize| tickets[at]);
    expect_that!(queue.next_pass(NOW), eq(&order.to_vec()));
    expect_that!(queue.has_waiting("chat", 0), eq(true));
    queue.remove(tickets[2]);
    queue.remove(tickets[4]);
    // A request of level 0 is not behind one of level 1, nor behind those of another service.
    expect_that!(queue.has_waiting("chat", 0), eq(false));
    expect_that!(queue.has_waiting("chat", 1), eq(true));
    expect_that!(queue.has_waiting("plan", 2), eq(false));
}

/// Guards against one customer whose many requests delay those of the others.
#[googletest::test]
fn customer_with_ten_times_the_requests_does_not_delay_the_others() {
    let mut queue = WaitQueue::default();
    for _ in 0..50 {
        add(&mut queue, waiting("large", 0));
    }
    let small: Vec<WaitTicket> =
        (0..5).flat_map(|_| ["b", "c"]).map(|name| add(&mut queue, waiting(name, 0))).collect();
    // Each customer is next at least at every third place, in one pass and as slots come free.
    let places = queue.next_pass(NOW);
    expect_that!(places[..15].iter().filter(|ticket| small.contains(ticket)).count(), eq(10));
    let mut served = Vec::new();
    while !queue.is_empty() {
        let next = queue.next_pass(NOW)[0];
        queue.serve(next);
        served.push(next);
    }
    expect_that!(served.len(), eq(60));
    expect_that!(served[..15].iter().filter(|ticket| small.contains(ticket)).count(), eq(10));
    // A customer that comes later neither waits for the others' past nor has saved up credit.
    for _ in 0..20 {
        add(&mut queue, waiting("large", 0));
    }
    for _ in 0..9 {
        let next = queue.next_pass(NOW)[0];
        queue.serve(next);
    }
    let late: Vec<WaitTicket> = (0..4).map(|_| add(&mut queue, waiting("late", 0))).collect();
    let order = queue.next_pass(NOW);
    let places: Vec<usize> =
        late.iter().filter_map(|own| order.iter().position(|ticket| ticket == own)).collect();
    // Where two customers were served as much, the earlier arrival goes first.
    expect_that!(places, eq(&[0, 2, 4, 6]));
}

/// Shares count tokens, not requests: otherwise a customer gets more by sending longer requests.
/// A long request is not left out for its length.
#[googletest::test]
fn shares_follow_the_cost_of_requests() {
    let mut queue = WaitQueue::default();
    let long: Vec<WaitTicket> = (0..3)
        .map(|_| add(&mut queue, WaitingRequest { cost: 40, ..waiting("long", 0) }))
        .collect();
    let short: Vec<WaitTicket> = (0..8).map(|_| add(&mut queue, waiting("short", 0))).collect();
    let order = queue.next_pass(NOW);
    expect_that!(order[0], eq(long[0]));
    expect_that!(order[1..5].to_vec(), eq(&short[..4].to_vec()));
    expect_that!(order[5], eq(long[1]));
}

/// Guards against late requests that make those of the same customer late as well.
#[googletest::test]
fn requests_that_can_meet_their_objective_come_before_late_ones() {
    let mut queue = WaitQueue::default();
    let late_first = add(&mut queue, late("a"));
    let other = add(&mut queue, late("b"));
    let in_time = add(&mut queue, waiting("a", 0));
    let second = add(&mut queue, waiting("a", 0));
    // Only within a customer: another one's late request keeps its turn.
    expect_that!(queue.next_pass(NOW), eq(&vec![other, in_time, second, late_first]));
    // Once all are late, arrival decides.
    let all_late = Uptime::from_secs(12);
    expect_that!(queue.next_pass(all_late), eq(&vec![late_first, other, in_time, second]));
}

/// Guards against a service whose many waiting requests keep another's from being tried.
#[googletest::test]
fn services_take_turns() {
    let mut queue = WaitQueue::default();
    for _ in 0..20 {
        add(&mut queue, waiting("a", 0));
    }
    let other = WaitingRequest { service: "plan".to_owned(), ..waiting("a", 2) };
    let other = add(&mut queue, other);
    let first = queue.next_pass(NOW);
    expect_that!(first[1], eq(other));
    // The next pass begins with the other service.
    expect_that!(queue.next_pass(NOW)[0], eq(other));
    expect_that!(first.len(), eq(21));
}

/// Guards against a queue that grows until the process is killed for its memory.
#[googletest::test]
fn both_bounds_hold() {
    let mut queue = bounded(3);
    let fill = |queue: &mut WaitQueue| (0..3).map(|_| add(queue, waiting("a", 0))).last();
    fill(&mut queue);
    expect_that!(queue.enqueue(waiting("a", 0), NOW), err(anything()));
    expect_that!((queue.len(), queue.bytes()), eq((3, 300)));
    let mut queue = WaitQueue::new(WaitBounds { requests: 100, bytes: 300 });
    let last = fill(&mut queue);
    expect_that!(queue.enqueue(waiting("a", 0), NOW), err(anything()));
    expect_that!((queue.len(), queue.bytes()), eq((3, 300)));
    // A request that leaves makes room.
    last.map(|ticket| queue.remove(ticket));
    expect_that!(queue.enqueue(waiting("a", 0), NOW), ok(anything()));
    // One that alone exceeds the bound drops nobody.
    let huge = WaitingRequest { bytes: 301, ..waiting("b", 0) };
    expect_that!(queue.enqueue(huge, NOW), err(anything()));
    expect_that!((queue.len(), queue.bytes()), eq((3, 300)));
}

/// Guards against a queue full of less urgent requests, or of one customer, that keeps others out.
#[googletest::test]
fn least_urgent_request_of_customer_furthest_over_its_share_is_dropped() {
    let mut queue = bounded(5);
    let urgent = add(&mut queue, waiting("a", 0));
    let only = add(&mut queue, waiting("b", 1));
    let several: Vec<WaitTicket> = (0..3).map(|_| add(&mut queue, waiting("c", 1))).collect();
    // A more urgent request drops the last one of "c", not the later or the only one of "b".
    let enqueued = queue.enqueue(waiting("a", 0), NOW).unwrap();
    expect_that!(enqueued.dropped, eq(&vec![several[2]]));
    // So does one of the same level of a customer that has fewer requests.
    let enqueued = queue.enqueue(waiting("d", 1), NOW).unwrap();
    expect_that!(enqueued.dropped, eq(&vec![several[1]]));
    // The customer furthest over its share, and a less urgent request, drop none.
    expect_that!(queue.enqueue(waiting("c", 1), NOW), err(anything()));
    expect_that!(queue.enqueue(waiting("e", 2), NOW), err(anything()));
    expect_that!(queue.len(), eq(5));
    expect_that!(queue.next_pass(NOW)[0], eq(urgent));
    expect_that!(queue.next_pass(NOW), contains(eq(&only)));
    // Within a customer, a late request makes room for one that can meet its objective.
    let mut queue = bounded(2);
    let late_one = add(&mut queue, late("a"));
    add(&mut queue, waiting("a", 0));
    expect_that!(queue.enqueue(late("a"), NOW), err(anything()));
    let enqueued = queue.enqueue(waiting("a", 0), NOW).unwrap();
    expect_that!(enqueued.dropped, eq(&vec![late_one]));
}

/// Guards against requests that are dropped for a newcomer that is refused after all.
#[googletest::test]
fn nobody_is_dropped_for_a_request_that_is_refused() {
    let mut queue = bounded(3);
    add(&mut queue, waiting("a", 0));
    add(&mut queue, waiting("a", 0));
    let less_urgent = add(&mut queue, waiting("b", 1));
    let before = queue.next_pass(NOW);
    let big = |bytes| WaitingRequest { bytes, ..waiting("a", 0) };
    expect_that!(queue.enqueue(big(150), NOW), err(anything()));
    expect_that!(queue.next_pass(NOW), eq(&before));
    expect_that!((queue.len(), queue.bytes()), eq((3, 300)));
    let enqueued = queue.enqueue(big(100), NOW).unwrap();
    expect_that!(enqueued.dropped, eq(&vec![less_urgent]));
}

/// Guards against a refusal by load of one stream that is taken for that of another level.
#[googletest::test]
fn refusals_of_streams_by_load_are_not_shared() {
    for refusal in [Refusal::Full, Refusal::LessUrgent, Refusal::LongPasses] {
        expect_that!(is_shared_refusal(refusal, true), eq(false));
        expect_that!(is_shared_refusal(refusal, false), eq(true));
    }
    expect_that!(is_shared_refusal(Refusal::Stalled, true), eq(true));
}

/// A gateway before one server with one slot, which gets up to four requests at once.
struct Fixture {
    gateway: Running,
    server: Scripted,
    _store: Served,
    _site: Site,
}

/// A route with a priority and an objective.
fn ranked(prefix: &str, priority: u8, objective_ms: u64) -> Value {
    let mut ranked = route(prefix, "safe");
    ranked["priority"] = json!(priority);
    ranked["target_latency_ms"] = json!(objective_ms);
    ranked
}

fn configure(site: &Site, routes: &[Value], is_model: bool) {
    let mut service = json!({ "name": "desk", "max_connections": 50 });
    if is_model {
        service["engine"] = json!({ "slots": 1 });
    }
    let spec = json!({ "version": 1, "routes": routes, "services": [service],
        "tenants": [{ "name": "north", "api_keys": [KEY] }] });
    site.platform.put("config", "main", json!({ "spec": spec }));
}

impl Fixture {
    async fn start(routes: &[Value], is_model: bool) -> Result<Self> {
        let site = Site::new(1)?;
        let server = Scripted::start(|got: &Got| {
            let hold = got.header("x-hold").and_then(|text| text.parse().ok()).unwrap_or(0);
            let id = got.header("request-id").unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            vec![Act::Wait(Duration::from_millis(hold)), Act::Send(answer.into_bytes())]
        })
        .await?;
        let spec = json!({ "service": "desk", "address": server.addr.to_string(),
            "zone": "hall-a", "version": "v1", "slots": 1, "state": "ready" });
        site.platform.put("servers", "i-0", json!({ "spec": spec }));
        configure(&site, routes, is_model);
        let (_, store) = site.door().await?;
        let gateway = site.gateway(0, store.addr)?;
        gateway.wait_ready().await?;
        Ok(Self { gateway, server, _store: store, _site: site })
    }

    /// Sends a request that the server holds for some time.
    fn call(&self, path: &str, id: &str, hold_ms: u64, more: &str) -> JoinHandle<Result<Answer>> {
        let more = format!("X-Hold: {hold_ms}\r\n{more}");
        let (bytes, to) = (request("POST", path, id, &more, "x"), self.gateway.callers);
        tokio::spawn(async move { exchange(to, &bytes).await })
    }

    /// Returns the ids of the requests that the server got.
    fn got(&self) -> Vec<String> {
        let got = self.server.got();
        got.iter().filter_map(|got| got.header("request-id").map(str::to_owned)).collect()
    }

    /// Fills the server with four requests, of which the first ends before the others.
    async fn fill(&self, path: &str, first_ms: u64, others_ms: u64) -> Result<()> {
        for number in 0..4 {
            let hold = if number == 0 { first_ms } else { others_ms };
            drop(self.call(path, &format!("fill-{number}"), hold, ""));
        }
        wait_for(async || self.got().len() == 4).await
    }
}

/// Guards against slots that go to any of the waiting requests, as when each of them polled.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn more_urgent_request_is_served_first_when_a_slot_comes_free() -> Result<()> {
    let routes = [ranked("/first/", 0, 10_000), ranked("/last/", 1, 10_000)];
    let fixture = Fixture::start(&routes, false).await?;
    fixture.fill("/last/a", 700, 1_300).await?;
    let mut calls = Vec::new();
    for number in 0..6 {
        calls.push(fixture.call("/last/a", &format!("last-{number}"), 0, ""));
        time::sleep(Duration::from_millis(20)).await;
    }
    calls.push(fixture.call("/first/a", "first", 0, ""));
    for call in calls {
        expect_that!(call.await??.status, eq(200));
    }
    let got = fixture.got();
    expect_that!(got[4].as_str(), eq("first"));
    // The others follow in the order of their arrival.
    let others: Vec<String> = (0..6).map(|number| format!("last-{number}")).collect();
    expect_that!(got[5..].to_vec(), eq(&others));
    Ok(())
}

/// Guards against a request that is sent to a server, or keeps a slot, after its caller has left.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn waiting_caller_that_leaves_is_removed() -> Result<()> {
    let fixture = Fixture::start(&[ranked("/safe/", 1, 10_000)], false).await?;
    fixture.fill("/safe/a", 500, 500).await?;
    for number in 0..3 {
        let mut caller = TcpStream::connect(fixture.gateway.callers).await?;
        let bytes = request("POST", "/safe/a", &format!("left-{number}"), "", "x");
        caller.write_all(&bytes).await?;
        time::sleep(Duration::from_millis(50)).await;
        drop(caller);
    }
    wait_for(async || fixture.server.got().len() == 4).await?;
    let after = fixture.call("/safe/a", "after", 0, "").await??;
    expect_that!(after.status, eq(200));
    // All four places are free again.
    time::sleep(Duration::from_millis(200)).await;
    let calls: Vec<_> =
        (0..4).map(|number| fixture.call("/safe/a", &format!("b-{number}"), 800, "")).collect();
    time::sleep(Duration::from_millis(400)).await;
    expect_that!(fixture.got().len(), eq(9));
    expect_that!(fixture.got(), not(contains(starts_with("left"))));
    for call in calls {
        expect_that!(call.await??.status, eq(200));
    }
    Ok(())
}

/// Guards against callers that are held beyond the limit of their wait, also those that queue
/// behind others, and against a wait beyond the deadline.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn wait_ends_at_its_limit() -> Result<()> {
    // Requests wait for a fifth of the objective.
    let routes = [ranked("/short/", 1, 1_000), ranked("/long/", 1, 10_000)];
    let fixture = Fixture::start(&routes, false).await?;
    fixture.fill("/long/a", 2_500, 2_500).await?;
    let timed = async |path: &str, id: &str, more: &str| {
        let begun = Instant::now();
        let answer = fixture.call(path, id, 0, more).await??;
        Ok::<_, eyre::Report>((answer, begun.elapsed().as_millis()))
    };
    let (alone, alone_ms) = timed("/short/a", "alone", "").await?;
    expect_that!((alone.status, alone.header("retry-after")), eq((503, Some("0.400"))));
    expect_that!(alone_ms, all!(ge(150), lt(400)));
    let first = fixture.call("/long/a", "first", 0, "Request-Deadline: 4000\r\n");
    time::sleep(Duration::from_millis(100)).await;
    let (behind, behind_ms) = timed("/short/a", "behind", "").await?;
    expect_that!(behind.status, eq(503));
    expect_that!(behind_ms, all!(ge(150), lt(400)));
    let (deadline, deadline_ms) = timed("/long/a", "deadline", "Request-Deadline: 300\r\n").await?;
    expect_that!(deadline.status, eq(503));
    expect_that!(deadline_ms, all!(ge(200), lt(500)));
    expect_that!(first.await??.status, eq(503));
    expect_that!(fixture.got().len(), eq(4));
    Ok(())
}

/// Returns the priorities that the server got for a first attempt on each path and for a retry.
async fn priorities(routes: &[Value], is_model: bool) -> Result<Vec<[Option<String>; 2]>> {
    let fixture = Fixture::start(routes, is_model).await?;
    // Both attempts carry a header of the caller, which is not forwarded.
    for route in routes {
        let path = format!("{}a", route["path_prefix"].as_str().unwrap_or_default());
        for left_ms in [4_000, 2_000] {
            let more = format!("Request-Deadline: {left_ms}\r\nRequest-Priority: 9\r\n");
            let answer = fixture.call(&path, "r-1", 0, &more).await??;
            expect_that!(answer.status, eq(200), "{HOST}{path}");
        }
    }
    let got = fixture.server.got();
    let got: Vec<Option<String>> =
        got.iter().map(|got| got.header("request-priority").map(str::to_owned)).collect();
    Ok(got.chunks(2).map(|pair| [pair[0].clone(), pair[1].clone()]).collect())
}

/// Guards against servers that put less urgent requests into the batch first, and against a header
/// where nothing is configured.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn request_priority_follows_from_the_level() -> Result<()> {
    let some = |value: &str| Some(value.to_owned());
    let routes = [ranked("/a/", 0, 400), ranked("/b/", 1, 400), ranked("/c/", 7, 400)];
    for is_model in [false, true] {
        let three = [["2", "3"], ["4", "5"], ["5", "6"]].map(|pair| pair.map(some));
        expect_that!(priorities(&routes, is_model).await?, eq(&three.to_vec()));
        let two = [["2", "3"], ["5", "6"]].map(|pair| pair.map(some));
        expect_that!(priorities(&routes[..2], is_model).await?, eq(&two.to_vec()));
    }
    // Where all are the same, only retries at a model go last.
    let same = [ranked("/a/", 3, 400), ranked("/b/", 3, 400)];
    let unranked = vec![[None, some("7")], [None, some("7")]];
    expect_that!(priorities(&same, true).await?, eq(&unranked));
    let unranked = vec![[None, None], [None, None]];
    expect_that!(priorities(&same, false).await?, eq(&unranked));
    Ok(())
}
