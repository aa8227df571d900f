//! The way of a caller's request: a server is found, its connection opens, the server answers.

use super::{
    At, Event, Fleet, HELD, LOOK_AGAIN, OPENS_US, READY_AFTER, Request, SERVED_US, WAY_US, micros,
};
use crate::{
    gateway::{id, server_of},
    server::Said,
};
use mastweir_core::gateway::{Candidate, Refusal};
use rand::Rng;
use std::time::Duration;

impl Fleet<'_> {
    pub(super) fn call(&mut self) {
        let gap = 1e6 / self.scenario.requests_s;
        let wait = (gap * self.rng.random_range(0.2..1.8)) as u64;
        self.at(self.now_us + wait, Event::Caller);
        let drawn = self.rng.random_range(0..self.gateways.len());
        let gateway = self.through.unwrap_or(drawn);
        let taken = &self.gateways[gateway];
        let is_first = taken.life == 0;
        let is_ready = is_first || self.now_us >= taken.started_us + micros(READY_AFTER);
        if !taken.is_up || !is_ready {
            return;
        }
        let request = Request { gateway, sent_us: self.now_us, tried: Vec::new() };
        let event = self.to_gateway(gateway, At::Came(request));
        self.after(Duration::from_millis(1), event);
    }

    /// A request looks for a server.
    pub(super) fn came(&mut self, request: Request) {
        let now_us = self.now_us;
        self.want(request.gateway);
        let gateway = &mut self.gateways[request.gateway];
        let now = gateway.clock(now_us);
        let held = request.sent_us + micros(HELD);
        match gateway.choose(&request.tried, now, &mut self.rng) {
            Ok(server) => {
                let lent = gateway.fleet.take_permit(&server.id, now);
                gateway.fleet.record_sent(&server.id, now);
                let opens = self.rng.random_range(200..OPENS_US);
                let opened = self.to_gateway(request.gateway, At::Opened(request, server, lent));
                self.at(now_us + opens, opened);
            }
            Err(Refusal::Limited(wait)) if now_us + micros(wait.max(LOOK_AGAIN)) < held => {
                let again = self.to_gateway(request.gateway, At::Came(request));
                self.after(LOOK_AGAIN, again);
            }
            Err(_) => self.outcome.refused += 1,
        }
    }

    /// Its connection is open: the server may have said something meanwhile.
    pub(super) fn opened(&mut self, mut request: Request, server: &Candidate, lent: bool) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[request.gateway];
        let now = gateway.clock(now_us);
        if !gateway.fleet.may_send(&server.id, lent, now) {
            gateway.fleet.record_ended(&server.id, server.incarnation, false, now);
            request.tried.push(server.id.clone());
            self.came(request);
            return;
        }
        let life = gateway.life;
        let Some(number) = server_of(&server.id) else { return };
        let way = self.rng.random_range(100..WAY_US);
        let arrives = Event::Arrives { server: number, request, life, asked_us: now_us };
        self.at(now_us + way, arrives);
    }

    pub(super) fn arrive(&mut self, server: usize, request: &Request, life: u32, asked_us: u64) {
        let (sent, now) = (self.instant(request.sent_us), self.instant(self.now_us));
        let number = request.gateway;
        let is_excused = self.now_us < self.gateways[number].excused_us;
        let (said, broken) = self.servers[server].arrived(number, is_excused, sent, now);
        let what = broken.map(|what| format!("server {server}: {what}"));
        self.outcome.broken.extend(what);
        if said.pause.is_some() {
            self.outcome.refused += 1;
        } else {
            self.outcome.served += 1;
        }
        let took = self.rng.random_range(SERVED_US[0]..SERVED_US[1]);
        let entry = self.gateways[number].fleet.directory().servers.get(&id(server));
        let born = entry.map_or(0, |entry| entry.incarnation);
        let at = At::Answered { server, born, asked_us, said };
        self.at(self.now_us + took, Event::Gateway { number, life, at });
    }

    pub(super) fn answered(
        &mut self,
        number: usize,
        server: usize,
        born: u64,
        asked_us: u64,
        said: Said,
    ) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let (asked, now) = (gateway.clock(asked_us.max(gateway.started_us)), gateway.clock(now_us));
        let id = id(server);
        gateway.fleet.record_ended(&id, born, false, now);
        if said.leaves {
            gateway.fleet.mark_leaving(&id, born, now);
        }
        if let Some(pause) = said.pause {
            gateway.fleet.set_backoff(&id, born, pause, now);
        }
        gateway.fleet.record_limit(&id, born, said.limit(asked, now), now);
        let now = self.instant(now_us);
        self.servers[server].told(number, said, now);
    }
}
