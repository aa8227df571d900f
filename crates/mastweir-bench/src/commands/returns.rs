//! `returns`: calls to the platform's store when it comes back from an older copy.
//!
//! Real gateways over loopback, in halls, before a store that answers; what servers and the
//! operator write again is written by the stand-in and counts for nobody.

use crate::report::{Metric, Report};
use argh::FromArgs;
use mastweir_test_support::{
    platform::Platform,
    scripted::Scripted,
    site::{Running, Site, route},
};
use std::{sync::Arc, time::Duration};
use tokio::time;

/// Gateways and halls.
const SIZES: [(u8, u8); 3] = [(8, 3), (38, 3), (149, 7)];
const SERVERS: usize = 16;
/// Gateways have found each other by then.
const SETTLES: Duration = Duration::from_secs(6);
/// Calls are counted for so long.
const COUNTED: Duration = Duration::from_secs(6);
/// The store is away for so long.
const AWAY: Duration = Duration::from_millis(500);
const METRICS: [Metric; 1] = [("calls", "count")];

/// Measure calls to the store when it comes back from an older copy.
#[derive(FromArgs)]
#[argh(subcommand, name = "returns")]
pub struct Args {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

struct World {
    site: Site,
    server: Scripted,
    gateways: Vec<Running>,
}

impl World {
    async fn new(gateways: u8, halls: u8) -> eyre::Result<Self> {
        let site = Site::new(gateways)?;
        let server = Scripted::start(|_| Vec::new()).await?;
        site.configure(1, &[route("/safe/", "safe")]);
        let mut world = Self { site, server, gateways: Vec::new() };
        world.list_all().await;
        let (_, store) = world.site.door().await?;
        for number in 0..gateways {
            let hall = format!("hall-{}", number % halls);
            world.gateways.push(world.site.gateway_in(usize::from(number), store.addr, &hall)?);
        }
        for gateway in &world.gateways {
            gateway.wait_ready().await?;
        }
        time::sleep(SETTLES).await;
        Ok(world)
    }

    fn platform(&self) -> &Arc<Platform> {
        &self.site.platform
    }

    async fn list_all(&self) {
        for number in 0..SERVERS {
            self.site.list(&format!("i-{number}"), &self.server, "ready");
            time::sleep(COUNTED / 4 / u32::try_from(SERVERS).unwrap_or(1)).await;
        }
    }

    /// Servers write themselves, the store is away, and they write themselves again.
    async fn away(&self, returns: bool) {
        let copy = self.platform().copy();
        self.list_all().await;
        self.platform().set_down(true);
        time::sleep(AWAY).await;
        if returns {
            self.platform().restore(copy);
        }
        self.platform().set_down(false);
        self.list_all().await;
    }

    /// Calls while something happens and for a while behind it.
    async fn calls(&self, happens: impl AsyncFnOnce()) -> f64 {
        let before = self.platform().calls();
        happens().await;
        time::sleep(COUNTED).await;
        (self.platform().calls() - before) as f64
    }
}

/// Runs the measure.
///
/// # Errors
///
/// No address is free, or a gateway does not start.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("returns", args.json);
    for (gateways, halls) in SIZES {
        let case = format!("{gateways} gateways, {halls} halls");
        report.progress(&case);
        let world = World::new(gateways, halls).await?;
        let quiet = world.calls(async || time::sleep(AWAY).await).await;
        let outage = world.calls(async || world.away(false).await).await;
        let returns = world.calls(async || world.away(true).await).await;
        for (policy, calls) in [("quiet", quiet), ("outage", outage), ("return", returns)] {
            report.add(&case, policy, &[(METRICS[0], calls)]);
        }
    }
    report.print();
    Ok(())
}
