//! A server that names a limit gets what each gateway thinks little.
//!
//! Two model servers said in their answers that they take 1.3 and 1.2 requests a second from
//! all gateways together. The header was read nowhere, so they went on to get what all servers
//! get, 27 and 21 in the eight seconds behind it, and 13 and 14 in four of them from gateways
//! that they had told.
//!
//! To read it would not have been enough. A pause binds whoever was asked for it, so each
//! gateway can keep it alone; a limit binds the sum over all of them. Of the 15 requests that
//! one of the two got in its worst four seconds no gateway sent more than 5, which each would
//! have taken for less than the limit:
//!
//! ```text
//! front-pos-hall-1 5, front-pos-hall-2 4, front-chg-hall-2 2, front-chg-hall-1 2,
//! front-sta-hall-3 1, front-sta-hall-2 1
//! ```

use crate::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    Served,
    limited::{Exceeded, Limit},
    scripted::{Act, Got, Scripted},
    site::{Answer, Running, Site, exchange, request, route},
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};

/// Pause between two requests of the callers.
const NEXT: Duration = Duration::from_millis(25);

/// What servers named, and what they got.
#[derive(Debug, Default)]
struct Seen {
    /// Through which gateway callers sent requests.
    sent: HashMap<String, usize>,
    limits: HashMap<usize, Limit<usize>>,
    reached: HashMap<usize, usize>,
    /// The most that each got where that was too much.
    exceeded: HashMap<usize, Exceeded>,
}

#[derive(Clone, Debug, Default)]
struct Notes(Arc<Mutex<Seen>>);

impl Notes {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request reaches a server; gives the limit that the answer names.
    fn arrived(&self, server: usize, got: &Got) -> Option<f64> {
        let now = Instant::now();
        let mut seen = self.seen();
        let gateway = *seen.sent.get(got.header("request-id")?)?;
        *seen.reached.entry(server).or_default() += 1;
        let limit = seen.limits.entry(server).or_default();
        let exceeded = limit.arrived(gateway, now);
        limit.told(gateway, now);
        let named = limit.named();
        let most = seen.exceeded.get(&server).map_or(0, |before| before.all);
        seen.exceeded.extend(exceeded.filter(|now| now.all > most).map(|now| (server, now)));
        named
    }
}

fn script(got: &Got, limit: Option<f64>) -> Vec<Act> {
    let Act::Send(bytes) = answer(got, "200 OK", "whole") else { return Vec::new() };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let head = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
    vec![Act::Send(text.replacen("\r\n", &format!("\r\n{head}"), 1).into_bytes())]
}

struct World {
    site: Site,
    store: Served,
    gateways: Vec<Running>,
    _servers: Vec<Scripted>,
    notes: Notes,
    sent: usize,
}

impl World {
    /// So many gateways, and servers that name these limits from the first answer on.
    async fn new(gateways: u8, limits: &[Option<f64>]) -> Result<Self> {
        let site = Site::new(gateways)?;
        let notes = Notes::default();
        let mut servers = Vec::new();
        for (number, limit) in limits.iter().copied().enumerate() {
            let mut named = Limit::default();
            named.name(limit, Instant::now());
            notes.seen().limits.insert(number, named);
            let seen = notes.clone();
            let server = Scripted::start(move |got| {
                let limit = seen.arrived(number, got);
                script(got, limit)
            });
            let server = server.await?;
            site.list(&format!("i-{number}"), &server, "ready");
            servers.push(server);
        }
        site.configure(1, &[route("/draft/", "safe")]);
        let (_, store) = site.door().await?;
        let running = (0..usize::from(gateways)).map(|number| site.gateway(number, store.addr));
        let running: Vec<Running> = running.collect::<Result<_>>()?;
        for gateway in &running {
            gateway.wait_ready().await?;
        }
        Ok(Self { site, store, gateways: running, _servers: servers, notes, sent: 0 })
    }

    /// A caller sends a request through a gateway.
    fn call(&mut self, gateway: usize) -> impl Future<Output = Result<Answer>> + use<> {
        let id = format!("r-{}", self.sent);
        self.sent += 1;
        self.notes.seen().sent.insert(id.clone(), gateway);
        let bytes = request("POST", "/draft/a", &id, "Request-Deadline: 4000\r\n", "body");
        let to = self.gateways[gateway].callers;
        async move { exchange(to, &bytes).await }
    }

    /// Callers come for so long, through the gateways that `through` tells for each in turn;
    /// gives their answers' statuses.
    async fn calls(
        &mut self,
        lasts: Duration,
        through: impl Fn(usize) -> usize,
    ) -> Result<Vec<u16>> {
        self.calls_every(NEXT, lasts, through).await
    }

    /// The same, so far apart.
    async fn calls_every(
        &mut self,
        pause: Duration,
        lasts: Duration,
        through: impl Fn(usize) -> usize,
    ) -> Result<Vec<u16>> {
        let end = Instant::now() + lasts;
        let mut calls = JoinSet::new();
        while Instant::now() < end {
            calls.spawn(self.call(through(self.sent)));
            time::sleep(pause).await;
        }
        let answers: Result<Vec<Answer>> = calls.join_all().await.into_iter().collect();
        Ok(answers?.iter().map(|answer| answer.status).collect())
    }

    /// What was exceeded by whom the server had told, or by anyone.
    fn exceeded(&self) -> HashMap<usize, Exceeded> {
        self.notes.seen().exceeded.clone()
    }

    /// A server names another limit from now on, or none.
    fn name(&self, server: usize, limit: Option<f64>) {
        let mut seen = self.notes.seen();
        seen.limits.entry(server).or_default().name(limit, Instant::now());
    }

    /// What came so far counts no more.
    fn forget(&self) {
        self.notes.seen().limits.values_mut().for_each(Limit::forget);
    }

    fn reached(&self, server: usize) -> usize {
        self.notes.seen().reached.get(&server).copied().unwrap_or_default()
    }
}

/// One of three servers names a limit. The others carry the rest, and every caller is served.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_no_more_than_it_names_from_all_gateways_together() -> Result<()> {
    let mut world = World::new(6, &[Some(1.0), None, None]).await?;
    let statuses = world.calls(Duration::from_secs(12), |sent| sent % 6).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.exceeded(), is_empty());
    expect_that!(world.reached(0), ge(4), "it takes a request a second");
    Ok(())
}

/// All servers name a limit, and all callers come through one gateway. What the servers take
/// is used, and whoever finds nothing left is refused at once, and told when to come back.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_what_it_takes_though_all_callers_come_through_one_gateway() -> Result<()> {
    let mut world = World::new(6, &[Some(4.0), Some(4.0)]).await?;
    // Behind this the limits are known, and lent out.
    world.calls(Duration::from_secs(5), |_| 3).await?;
    let before = world.reached(0) + world.reached(1);
    let statuses = world.calls(Duration::from_secs(8), |_| 3).await?;
    let served = statuses.iter().filter(|status| **status == 200).count();
    expect_that!(statuses, each(any![eq(&200), eq(&503)]));
    // Eight seconds of eight requests; a quarter may be lost between asking and sending.
    expect_that!(served, all![ge(48), le(80)]);
    expect_that!(world.reached(0) + world.reached(1) - before, eq(served));
    expect_that!(world.exceeded(), is_empty());
    let refused = loop {
        let asked = Instant::now();
        let answer = world.call(3).await?;
        if answer.status == 503 {
            break (asked.elapsed(), answer);
        }
    };
    let back: f64 = refused.1.header("retry-after").unwrap_or("none").parse()?;
    expect_that!(back, all![gt(0.0), le(4.5)]);
    // A fifth of the objective, and the way.
    expect_that!(refused.0, lt(Duration::from_millis(400)));
    Ok(())
}

/// All servers name a limit, and each gateway has a caller now and then: a token that is lent to
/// one that has nothing to send is lost to the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_what_it_takes_though_callers_are_spread_thin() -> Result<()> {
    let mut world = World::new(6, &[Some(1.0); 4]).await?;
    let pause = Duration::from_millis(125);
    world.calls_every(pause, Duration::from_secs(6), |sent| sent % 6).await?;
    let statuses = world.calls_every(pause, Duration::from_secs(10), |sent| sent % 6).await?;
    let served = statuses.iter().filter(|status| **status == 200).count();
    // Ten seconds of four requests, for twice as many callers.
    expect_that!(served, all![ge(28), le(50)]);
    expect_that!(world.exceeded(), is_empty());
    Ok(())
}

/// Few callers come: none of them finds the gateway without a token for long, though none is
/// saved up while nobody comes.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn that_is_the_only_one_serves_callers_who_come_now_and_then() -> Result<()> {
    let mut world = World::new(6, &[Some(2.0)]).await?;
    world.calls(Duration::from_secs(5), |sent| sent % 6).await?;
    time::sleep(Duration::from_secs(3)).await;
    for turn in 0..6 {
        expect_that!(world.call(turn % 6).await?.status, eq(200), "caller {turn}");
        time::sleep(Duration::from_millis(1_000)).await;
    }
    expect_that!(world.exceeded(), is_empty());
    Ok(())
}

/// Gateways end and start again one behind the other, beside callers. Each new one hears of the
/// limit from the others, and whoever lent before is followed by one that begins with nothing.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_no_more_while_gateways_are_replaced_in_turn() -> Result<()> {
    let mut world = World::new(4, &[Some(1.0), None]).await?;
    world.calls(Duration::from_secs(5), |sent| sent % 4).await?;
    for number in 0..3 {
        // It ends as one that is killed does: without a word.
        world.gateways[number].kill().await?;
        let others = move |sent: usize| (number + 1 + sent % 3) % 4;
        let statuses = world.calls(Duration::from_millis(1_500), others).await?;
        expect_that!(statuses, each(eq(&200)));
        world.gateways[number] = world.site.gateway(number, world.store.addr)?;
        world.gateways[number].wait_ready().await?;
        let statuses = world.calls(Duration::from_millis(1_500), |sent| sent % 4).await?;
        expect_that!(statuses, each(eq(&200)));
    }
    expect_that!(world.exceeded(), is_empty());
    Ok(())
}

/// All gateways start again at one moment, and none of them was told by the server before.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_no_more_when_all_gateways_start_again() -> Result<()> {
    let mut world = World::new(4, &[Some(1.0), None]).await?;
    world.calls(Duration::from_secs(5), |sent| sent % 4).await?;
    for gateway in &mut world.gateways {
        gateway.kill().await?;
    }
    for number in 0..4 {
        world.gateways[number] = world.site.gateway(number, world.store.addr)?;
    }
    for gateway in &world.gateways {
        gateway.wait_ready().await?;
    }
    // What comes before the first answer tells them is theirs to send.
    world.forget();
    let statuses = world.calls(Duration::from_secs(12), |sent| sent % 4).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.exceeded(), is_empty());
    expect_that!(world.reached(0), ge(4));
    Ok(())
}

/// The store is away, and gateways hear of the limit and lend all the same. The end of the
/// limit comes through, and a higher one before it.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_more_once_it_names_more_or_nothing() -> Result<()> {
    let mut world = World::new(6, &[Some(1.0)]).await?;
    world.store.shutdown.clone().notify();
    let mut served = Vec::new();
    for limit in [Some(1.0), Some(8.0), None] {
        world.name(0, limit);
        world.calls(Duration::from_secs(5), |sent| sent % 6).await?;
        let before = world.reached(0);
        world.calls(Duration::from_secs(4), |sent| sent % 6).await?;
        served.push(world.reached(0) - before);
    }
    expect_that!(world.exceeded(), is_empty());
    expect_that!(served[0], all![ge(2), le(11)]);
    expect_that!(served[1], all![ge(20), le(53)]);
    expect_that!(served[2], gt(80));
    Ok(())
}
