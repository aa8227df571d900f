//! What gateways tell each other ends: nothing goes round among them for ever.

use eyre::Result;
use googletest::prelude::*;
use mastweir::gateway::message::{Hello, Message, PassForecast};
use mastweir_core::revision::Revision;
use mastweir_test_support::site::{Running, Site, route};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::UdpSocket,
    time::{Instant, timeout_at},
};

/// A gateway as another process sees it.
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

    async fn say(&self, from: &UdpSocket, message: &Message) -> Result<()> {
        from.send_to(&postcard::to_stdvec(message)?, self.gateway()).await?;
        Ok(())
    }
}

fn hello(hall: &str, asks: bool, follows: bool) -> Message {
    Message::Hello(Hello {
        hall: hall.to_owned(),
        power: 100,
        config: 0,
        directory: Revision::default(),
        leaving: false,
        wants_reply: asks,
        is_follower: follows,
        hall_size: 1,
        fleet_size: 1,
        known_peers: Vec::new(),
    })
}

/// What comes to a socket in half a second.
async fn heard(socket: &UdpSocket) -> Vec<Message> {
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
async fn a_coordinators_word_is_told_on_once() -> Result<()> {
    let world = World::start().await?;
    let (follower, speaker) = (world.peer(1).await?, world.peer(2).await?);
    world.say(&follower, &hello("hall-a", false, true)).await?;
    world.say(&speaker, &hello("hall-a", false, false)).await?;
    let pace = |word| {
        Message::Forecast(PassForecast { group: "g".to_owned(), sequence: (7, word), pass_ms: 90 })
    };
    // The same word comes round again and again, and an older one behind it.
    for word in [4, 4, 4, 3, 4] {
        world.say(&speaker, &pace(word)).await?;
    }
    world.say(&speaker, &pace(5)).await?;
    let told = heard(&follower).await;
    let told: Vec<&Message> =
        told.iter().filter(|message| matches!(message, Message::Forecast(_))).collect();
    expect_that!(told, eq(&vec![&pace(4), &pace(5)]));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_to_one_who_asks_asks_nothing() -> Result<()> {
    let world = World::start().await?;
    // It knows no other gateway of its hall, and asks in its own hellos.
    let other = world.peer(1).await?;
    world.say(&other, &hello("hall-z", true, false)).await?;
    let answers = heard(&other).await;
    let is_answer =
        |message: &&Message| matches!(message, Message::Hello(hello) if !hello.wants_reply);
    expect_that!(answers.iter().filter(is_answer).count(), eq(1));
    Ok(())
}
