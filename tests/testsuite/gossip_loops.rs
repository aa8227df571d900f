//! Tests that messages between gateways do not loop.

use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Hello, Message, PassForecast};
use mastweir_core::{
    gateway::{EvacuationList, WatchState},
    revision::Revision,
};
use mastweir_test_support::site::{Running, Site, route};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::UdpSocket,
    time::{Instant, timeout_at},
};

/// A gateway, and the addresses of its simulated peers.
struct World {
    site: Site,
    _gateway: Running,
}

impl World {
    async fn start() -> Result<Self> {
        let site = Site::new(4)?;
        site.configure(1, &[route("/safe/", "safe")]);
        let (_, served) = site.door().await?;
        let gateway = site.gateway(0, served.addr)?;
        gateway.wait_ready().await?;
        Ok(Self { site, _gateway: gateway })
    }

    async fn peer(&self, number: usize) -> Result<UdpSocket> {
        Ok(UdpSocket::bind(self.site.internal(number)).await?)
    }

    fn gateway(&self) -> SocketAddr {
        self.site.internal(0)
    }

    async fn send(&self, from: &UdpSocket, message: &Message) -> Result<()> {
        from.send_to(&postcard::to_stdvec(message)?, self.gateway()).await?;
        Ok(())
    }
}

fn hello(hall: &str, wants_reply: bool, is_follower: bool) -> Message {
    Message::Hello(Hello {
        hall: hall.to_owned(),
        power: 100,
        config: 0,
        directory: Revision::default(),
        evacuations: EvacuationList::default(),
        leaving: false,
        wants_reply,
        is_follower,
        hall_size: 1,
        fleet_size: 1,
        known_peers: Vec::new(),
        watch: WatchState::default(),
        directory_age_ms: u32::MAX,
    })
}

/// Returns the messages that a socket receives in half a second.
async fn receive(socket: &UdpSocket) -> Vec<Message> {
    let end = Instant::now() + Duration::from_millis(500);
    let mut buffer = [0; 2_048];
    let mut messages = Vec::new();
    while let Ok(Ok((len, _))) = timeout_at(end, socket.recv_from(&mut buffer)).await {
        messages.extend(postcard::from_bytes(&buffer[..len]));
    }
    messages
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_pass_forecast_is_forwarded_once() -> Result<()> {
    let world = World::start().await?;
    let (follower, relay) = (world.peer(1).await?, world.peer(2).await?);
    world.send(&follower, &hello("hall-a", false, true)).await?;
    world.send(&relay, &hello("hall-a", false, false)).await?;
    let forecast = |number| {
        Message::Forecast(PassForecast {
            group: "g".to_owned(),
            sequence: (7, number),
            pass_ms: 90,
        })
    };
    // The same forecast arrives repeatedly, and once an older one.
    for number in [4, 4, 4, 3, 4] {
        world.send(&relay, &forecast(number)).await?;
    }
    world.send(&relay, &forecast(5)).await?;
    let received = receive(&follower).await;
    let received: Vec<&Message> =
        received.iter().filter(|message| matches!(message, Message::Forecast(_))).collect();
    expect_that!(received, eq(&vec![&forecast(4), &forecast(5)]));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_reply_hello_wants_no_reply() -> Result<()> {
    let world = World::start().await?;
    // The gateway under test is alone in its hall, and wants replies to its own hellos.
    let other = world.peer(1).await?;
    world.send(&other, &hello("hall-z", true, false)).await?;
    let answers = receive(&other).await;
    let is_answer =
        |message: &&Message| matches!(message, Message::Hello(hello) if !hello.wants_reply);
    expect_that!(answers.iter().filter(is_answer).count(), eq(1));
    Ok(())
}
