//! Tests of gateways while the store turns the first gateways of their hall away and serves the
//! others.
//!
//! They guard against a hall without news of the store: the first gateways watch it for the others,
//! which can reach it but do not ask it.

use super::gateway::answer;
use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{
    Served,
    doors::Door,
    scripted::Scripted,
    site::{Running, Site, exchange, request, route, wait_for},
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time;

/// Gateways of the hall. The first two by rank are the usual watchers.
const GATEWAYS: usize = 4;
/// Until the gateways know each other, each may consider itself one of the first two.
const SETTLE: Duration = Duration::from_secs(3);

struct Hall {
    site: Site,
    servers: Vec<Scripted>,
    doors: Vec<(Arc<Door>, Served)>,
    gateways: Vec<Running>,
}

impl Hall {
    async fn new() -> Result<Self> {
        let site = Site::new(u8::try_from(GATEWAYS)?)?;
        let mut servers = Vec::new();
        for _ in 0..2 {
            servers.push(Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?);
        }
        site.list("i-0", &servers[0], "ready");
        site.configure(1, &[route("/first/", "safe")]);
        let mut doors = Vec::new();
        for _ in 0..GATEWAYS {
            doors.push(site.door().await?);
        }
        Ok(Self { site, servers, doors, gateways: Vec::new() })
    }

    fn start(&mut self) -> Result<()> {
        for (number, (_, served)) in self.doors.iter().enumerate() {
            self.gateways.push(self.site.gateway(number, served.addr)?);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        for gateway in &self.gateways {
            gateway.wait_ready().await?;
        }
        Ok(())
    }

    fn turn_away(&self, numbers: impl IntoIterator<Item = usize>) {
        numbers
            .into_iter()
            .for_each(|number| self.doors[number].0.shut.store(true, Ordering::SeqCst));
    }

    async fn status(&self, number: usize, path: &str) -> u16 {
        let bytes = request("GET", path, "r-1", "", "");
        exchange(self.gateways[number].callers, &bytes).await.map_or(0, |reply| reply.status)
    }

    /// Waits until all gateways use the second configuration and the second server.
    async fn wait_changed(&self) -> Result<()> {
        for number in 0..GATEWAYS {
            wait_for(async || {
                let before = self.servers[1].got().len();
                self.status(number, "/second/a").await == 200
                    && self.status(number, "/first/a").await == 404
                    && self.servers[1].got().len() > before
            })
            .await?;
        }
        Ok(())
    }

    fn change(&self) {
        self.site.configure(2, &[route("/second/", "safe")]);
        self.site.list("i-0", &self.servers[0], "draining");
        self.site.list("i-1", &self.servers[1], "ready");
    }
}

/// Changes reach all gateways from one that usually does not watch.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn watchers_that_are_turned_away_are_replaced() -> Result<()> {
    let mut hall = Hall::new().await?;
    hall.start()?;
    hall.wait_ready().await?;
    time::sleep(SETTLE).await;
    hall.turn_away([0, 1]);
    hall.change();
    hall.wait_changed().await
}

/// All processes start while the store serves only the last gateway of the hall.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateways_start_from_the_one_that_the_store_serves() -> Result<()> {
    let mut hall = Hall::new().await?;
    hall.turn_away(0..GATEWAYS);
    hall.start()?;
    time::sleep(SETTLE).await;
    hall.doors[GATEWAYS - 1].0.shut.store(false, Ordering::SeqCst);
    hall.wait_ready().await?;
    for number in 0..GATEWAYS {
        expect_that!(hall.status(number, "/first/a").await, eq(200), "gateway {number}");
    }
    Ok(())
}
