//! Tests of the age of a gateway's list of servers, which its hellos state: the time since the
//! list was last known to be current.

use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Hello, Message};
use mastweir_core::{
    gateway::{EvacuationList, WatchState},
    revision::Revision,
};
use mastweir_test_support::{
    Served,
    doors::Door,
    site::{Running, Site, route},
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{net::UdpSocket, time};

/// Longest wait for a hello.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Older than any list while the store answers.
const OLD_MS: u32 = 4_000;

/// A gateway, and a simulated peer that follows it.
struct World {
    site: Site,
    door: (Arc<Door>, Served),
    peer: UdpSocket,
    _gateway: Running,
}

impl World {
    async fn start() -> Result<Self> {
        let site = Site::new(2)?;
        site.configure(1, &[route("/safe/", "safe")]);
        let door = site.door().await?;
        let gateway = site.gateway(0, door.1.addr)?;
        gateway.wait_ready().await?;
        let peer = UdpSocket::bind(site.internal(1)).await?;
        Ok(Self { site, door, peer, _gateway: gateway })
    }

    /// Sends a hello that states the given list.
    async fn send(&self, directory: Revision, directory_age_ms: u32) -> Result<()> {
        let hello = Message::Hello(Hello {
            hall: "hall-a".to_owned(),
            power: 1,
            config: 0,
            directory,
            evacuations: EvacuationList::default(),
            leaving: false,
            wants_reply: false,
            is_follower: true,
            hall_size: 1,
            fleet_size: 1,
            known_peers: Vec::new(),
            watch: WatchState::default(),
            directory_age_ms,
        });
        self.peer.send_to(&postcard::to_stdvec(&hello)?, self.site.internal(0)).await?;
        Ok(())
    }

    /// Waits for a hello of the gateway that meets a condition. Sends one with an old list before
    /// each, so that the gateway goes on with hellos to the peer.
    async fn hello(&self, is_met: impl Fn(&Hello) -> bool) -> Result<Hello> {
        let wait = async {
            let mut buffer = [0; 2_048];
            loop {
                self.send(Revision::default(), u32::MAX).await?;
                let (len, _) = self.peer.recv_from(&mut buffer).await?;
                if let Ok(Message::Hello(hello)) = postcard::from_bytes(&buffer[..len])
                    && is_met(&hello)
                {
                    return Ok(hello);
                }
            }
        };
        time::timeout(WAIT_MAX, wait).await?
    }

    fn shut_store(&self) {
        self.door.0.shut.store(true, Ordering::SeqCst);
    }
}

/// Guards against late news of a server's departure that counts as prompt: a store that turns the
/// gateway away shows nothing of its list.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn list_ages_while_the_store_turns_its_watcher_away() -> Result<()> {
    let world = World::start().await?;
    // The store's answers make the list young again, although nothing changes.
    let first = world.hello(|_| true).await?;
    world.hello(|hello| hello.directory_age_ms > first.directory_age_ms).await?;
    let renewed = world.hello(|hello| hello.directory_age_ms < 1_000).await?;
    expect_that!(renewed.directory, eq(first.directory));
    world.shut_store();
    world.hello(|hello| hello.directory_age_ms > OLD_MS).await?;
    Ok(())
}

/// Guards against gateways that vouch for each other's outdated lists: only what a peer has of the
/// store makes a list younger.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn peers_state_how_old_their_lists_are() -> Result<()> {
    let world = World::start().await?;
    world.shut_store();
    let Hello { directory, directory_age_ms, .. } =
        world.hello(|hello| hello.directory_age_ms > OLD_MS).await?;
    // Neither an older list of the same revision nor a recent one of another revision counts.
    world.send(directory, directory_age_ms * 2).await?;
    world.send(Revision::new(0, 0), 0).await?;
    let later = world.hello(|_| true).await?;
    expect_that!(later.directory_age_ms, ge(directory_age_ms));
    // A peer's list of the same revision that the store confirmed since does.
    world.send(directory, 0).await?;
    world.hello(|hello| hello.directory_age_ms < directory_age_ms).await?;
    Ok(())
}
