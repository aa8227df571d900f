//! Guards against servers that state a rate limit but get more requests, in sum over all
//! gateways.

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
const PAUSE: Duration = Duration::from_millis(25);

/// State of the servers and callers.
#[derive(Debug, Default)]
struct State {
    /// The gateway of each request.
    sent: HashMap<String, usize>,
    limits: HashMap<usize, Limit<usize>>,
    reached: HashMap<usize, usize>,
    /// The largest excess of each server.
    exceeded: HashMap<usize, Exceeded>,
}

#[derive(Clone, Debug, Default)]
struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request at a server. Returns the limit that the answer states.
    fn arrived(&self, server: usize, got: &Got) -> Option<f64> {
        let now = Instant::now();
        let mut state = self.lock();
        let gateway = *state.sent.get(got.header("request-id")?)?;
        *state.reached.entry(server).or_default() += 1;
        let limit = state.limits.entry(server).or_default();
        let exceeded = limit.arrived(gateway, now);
        limit.told(gateway, now);
        let limited = limit.named();
        let most = state.exceeded.get(&server).map_or(0, |before| before.all);
        state.exceeded.extend(exceeded.filter(|now| now.all > most).map(|now| (server, now)));
        limited
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
    state: SharedState,
    sent: usize,
}

impl World {
    /// Starts gateways, and servers that state these limits from the first answer on.
    async fn new(gateways: u8, limits: &[Option<f64>]) -> Result<Self> {
        let site = Site::new(gateways)?;
        let state = SharedState::default();
        let mut servers = Vec::new();
        for (number, limit) in limits.iter().copied().enumerate() {
            let mut limited = Limit::default();
            limited.name(limit, Instant::now());
            state.lock().limits.insert(number, limited);
            let shared = state.clone();
            let server = Scripted::start(move |got| {
                let limit = shared.arrived(number, got);
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
        Ok(Self { site, store, gateways: running, _servers: servers, state, sent: 0 })
    }

    /// Sends a request through a gateway.
    fn call(&mut self, gateway: usize) -> impl Future<Output = Result<Answer>> + use<> {
        let id = format!("r-{}", self.sent);
        self.sent += 1;
        self.state.lock().sent.insert(id.clone(), gateway);
        let bytes = request("POST", "/draft/a", &id, "Request-Deadline: 4000\r\n", "body");
        let to = self.gateways[gateway].callers;
        async move { exchange(to, &bytes).await }
    }

    /// Sends requests for a time, through the gateways that `through` returns for their
    /// numbers. Returns the statuses of the answers.
    async fn calls(
        &mut self,
        duration: Duration,
        through: impl Fn(usize) -> usize,
    ) -> Result<Vec<u16>> {
        self.calls_every(PAUSE, duration, through).await
    }

    /// Does the same with another pause between requests.
    async fn calls_every(
        &mut self,
        pause: Duration,
        duration: Duration,
        through: impl Fn(usize) -> usize,
    ) -> Result<Vec<u16>> {
        let end = Instant::now() + duration;
        let mut calls = JoinSet::new();
        while Instant::now() < end {
            calls.spawn(self.call(through(self.sent)));
            time::sleep(pause).await;
        }
        let answers: Result<Vec<Answer>> = calls.join_all().await.into_iter().collect();
        Ok(answers?.iter().map(|answer| answer.status).collect())
    }

    /// Returns by how much limits were exceeded, by gateways that the server had told or by
    /// all.
    fn exceeded(&self) -> HashMap<usize, Exceeded> {
        self.state.lock().exceeded.clone()
    }

    /// Sets the limit that a server states from now on.
    fn name(&self, server: usize, limit: Option<f64>) {
        let mut state = self.state.lock();
        state.limits.entry(server).or_default().name(limit, Instant::now());
    }

    /// Excludes previous requests from the counts.
    fn forget(&self) {
        self.state.lock().limits.values_mut().for_each(Limit::forget);
    }

    fn reached(&self, server: usize) -> usize {
        self.state.lock().reached.get(&server).copied().unwrap_or_default()
    }
}

/// One of three servers states a limit. The others carry the rest, and every caller is served.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_at_most_its_limit_from_all_gateways() -> Result<()> {
    let mut world = World::new(6, &[Some(1.0), None, None]).await?;
    let statuses = world.calls(Duration::from_secs(12), |sent| sent % 6).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.exceeded(), is_empty());
    expect_that!(world.reached(0), ge(4), "its limit is a request a second");
    Ok(())
}

/// All servers state a limit, and all callers use one gateway. The limits are used up, and
/// callers beyond them are refused at once with a time to come back.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_its_limit_through_a_single_gateway() -> Result<()> {
    let mut world = World::new(6, &[Some(4.0), Some(4.0)]).await?;
    // After this, the limits are known and permits are issued.
    world.calls(Duration::from_secs(5), |_| 3).await?;
    let before = world.reached(0) + world.reached(1);
    let statuses = world.calls(Duration::from_secs(8), |_| 3).await?;
    let served = statuses.iter().filter(|status| **status == 200).count();
    expect_that!(statuses, each(any![eq(&200), eq(&503)]));
    // Eight requests a second for eight seconds; a quarter may be lost between grant and use.
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
    // A fifth of the objective, and the network.
    expect_that!(refused.0, lt(Duration::from_millis(400)));
    Ok(())
}

/// All servers state a limit, and each gateway has few callers. Guards against permits that
/// are granted to gateways without requests and lost to the others.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_its_limit_from_sparse_callers() -> Result<()> {
    let mut world = World::new(6, &[Some(1.0); 4]).await?;
    let pause = Duration::from_millis(125);
    world.calls_every(pause, Duration::from_secs(6), |sent| sent % 6).await?;
    let statuses = world.calls_every(pause, Duration::from_secs(10), |sent| sent % 6).await?;
    let served = statuses.iter().filter(|status| **status == 200).count();
    // Four requests a second for ten seconds, from twice as many callers.
    expect_that!(served, all![ge(28), le(50)]);
    expect_that!(world.exceeded(), is_empty());
    Ok(())
}

/// Callers come rarely. Each gets a permit soon, although none are accumulated meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn serves_occasional_callers_alone() -> Result<()> {
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

/// Gateways are replaced one after the other under load. A new gateway learns the limit from
/// the others, and a new issuer begins with an empty bucket.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_while_gateways_are_replaced() -> Result<()> {
    let mut world = World::new(4, &[Some(1.0), None]).await?;
    world.calls(Duration::from_secs(5), |sent| sent % 4).await?;
    for number in 0..3 {
        // The gateway is killed without notice.
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

/// All gateways restart at once, and the server has told none of them its limit.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_when_all_gateways_restart() -> Result<()> {
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
    // Requests before the first answer are not counted.
    world.forget();
    let statuses = world.calls(Duration::from_secs(12), |sent| sent % 4).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.exceeded(), is_empty());
    expect_that!(world.reached(0), ge(4));
    Ok(())
}

/// While the store is down, a higher limit and the end of the limit still take effect.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_more_once_its_limit_is_raised_or_ended() -> Result<()> {
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
