//! A server that names a limit gets what each gateway thinks little.
//!
//! Two model servers said in their answers that they take 1.3 and 1.2 requests a second from
//! all gateways together. They got 13 and 14 in four seconds from gateways that they had told.

use crate::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    Served,
    doors::Door,
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
    door: Arc<Door>,
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
        let (door, store) = site.door().await?;
        let running = (0..usize::from(gateways)).map(|number| site.gateway(number, store.addr));
        let running: Vec<Running> = running.collect::<Result<_>>()?;
        for gateway in &running {
            gateway.wait_ready().await?;
        }
        Ok(Self { site, door, store, gateways: running, _servers: servers, notes, sent: 0 })
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
        let end = Instant::now() + lasts;
        let mut calls = JoinSet::new();
        while Instant::now() < end {
            calls.spawn(self.call(through(self.sent)));
            time::sleep(NEXT).await;
        }
        let answers: Result<Vec<Answer>> = calls.join_all().await.into_iter().collect();
        Ok(answers?.iter().map(|answer| answer.status).collect())
    }

    /// What was exceeded by whom the server had told, or by anyone.
    fn exceeded(&self) -> HashMap<usize, Exceeded> {
        self.notes.seen().exceeded.clone()
    }

    fn reached(&self, server: usize) -> usize {
        self.notes.seen().reached.get(&server).copied().unwrap_or_default()
    }
}

/// One of three servers names a limit. The others carry the rest, and every caller is served.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gets_no_more_than_it_names_from_all_gateways_together() -> Result<()> {
    let mut world = World::new(4, &[Some(1.0), None, None]).await?;
    let statuses = world.calls(Duration::from_secs(12), |sent| sent % 4).await?;
    expect_that!(statuses, each(eq(&200)));
    expect_that!(world.exceeded(), is_empty());
    expect_that!(world.reached(0), ge(4), "it takes a request a second");
    Ok(())
}
