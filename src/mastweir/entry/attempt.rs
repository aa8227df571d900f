//! One attempt over a channel: frames in, events out.

use super::{Shared, lock};
use crate::net::{Channel, ChannelError};
use mastweir_core::{
    gateway::Fingerprint,
    outcome::Event,
    wire::{CHUNK_MAX, FromAgent, Load, RequestCost, Start, ToAgent},
};
use std::net::SocketAddr;

/// An attempt whose order has left.
#[derive(Debug)]
pub struct Link {
    channel: Channel,
    addr: SocketAddr,
    server: String,
}

/// An event and what came with it.
#[derive(Debug)]
pub struct Came {
    /// The event.
    pub event: Event,
    /// Bytes of a unit.
    pub bytes: Vec<u8>,
    /// Status and content type of a head.
    pub head: Option<(u16, Option<String>)>,
    /// What the request has cost, at its end.
    pub spent: Option<RequestCost>,
    /// The life of an engine that ended under it.
    pub ended: Option<Fingerprint>,
}

impl Came {
    const fn bare(event: Event) -> Self {
        Self { event, bytes: Vec::new(), head: None, spent: None, ended: None }
    }
}

/// Opens a channel to a server's agent. Nothing of the order leaves yet.
pub async fn open(shared: &Shared, server: &str) -> Result<Link, ChannelError> {
    let addr = lock(&shared.view).instance(server).map(|spec| spec.tcp);
    let addr = addr.ok_or(ChannelError::Closed)?;
    let channel = shared.pool.get(addr).await?;
    Ok(Link { channel, addr, server: server.to_owned() })
}

impl Link {
    /// Sends the order and its body.
    pub async fn start(&mut self, start: Start, body: &[u8]) -> Result<(), ChannelError> {
        self.channel.sender.send(&ToAgent::Start(Box::new(start))).await?;
        for piece in body.chunks(CHUNK_MAX) {
            self.channel.sender.send(&ToAgent::Body(piece.to_vec())).await?;
        }
        Ok(())
    }

    /// Waits for what comes next. Reports that ride on it are taken in.
    pub async fn next(&mut self, shared: &Shared) -> Came {
        match self.channel.receiver.recv().await {
            Ok(frame) => self.read(shared, frame),
            Err(_) => Came::bare(Event::Lost),
        }
    }

    /// Tells the agent to stop.
    pub async fn cancel(mut self) {
        // A lost connection stops it as well.
        let _ = self.channel.sender.send(&ToAgent::Cancel).await;
    }

    /// Gives the channel back, after an end.
    pub fn give_back(self, shared: &Shared) {
        shared.pool.put(self.addr, self.channel);
    }

    fn read(&self, shared: &Shared, frame: FromAgent) -> Came {
        match frame {
            FromAgent::Refused(why, load) => {
                self.report(shared, &load);
                Came::bare(Event::Refused(why))
            }
            FromAgent::Head { status, content_type } => {
                Came { head: Some((status, content_type)), ..Came::bare(Event::Head) }
            }
            FromAgent::Chunk { at, bytes } => Came { bytes, ..Came::bare(Event::Chunk { at }) },
            FromAgent::End(spent, load) => {
                self.report(shared, &load);
                Came { spent: Some(spent), ..Came::bare(Event::End) }
            }
            FromAgent::Broken(load) => {
                self.report(shared, &load);
                Came::bare(Event::Lost)
            }
            FromAgent::EngineCrashed(load) => {
                self.report(shared, &load);
                // An engine says nothing of its lives; one that ends does so at one moment.
                let life = format!("{} {} {}", self.server, load.incarnation.0, load.uptime.0);
                Came { ended: Some(Fingerprint::of_incarnation(&life)), ..Came::bare(Event::Lost) }
            }
            FromAgent::Rank(_) => Came::bare(Event::Lost),
        }
    }

    fn report(&self, shared: &Shared, load: &Load) {
        let now = shared.context.clock.now();
        lock(&shared.view).report(&self.server, load, now);
    }
}
