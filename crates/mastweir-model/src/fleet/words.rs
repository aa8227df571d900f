//! What gateways tell each other: hellos, limits, and what they borrow.

use super::{AGAIN_ROUNDS, ASK_EVERY, At, Fleet, HELLO_EVERY, TELL_EVERY, Word};
use crate::gateway::{Gateway, SERVICE, hall, ip, number_of, server_of};
use mastweir_core::{
    gateway::{PERMIT_LIFETIME, PeerInfo, PeerState, PermitGrant, PermitRequest},
    time::Uptime,
};
use std::{net::IpAddr, time::Duration};

impl Fleet<'_> {
    fn send(&mut self, from: usize, to: IpAddr, word: Word) {
        let Some(to) = number_of(to).filter(|to| *to < self.gateways.len()) else { return };
        self.outcome.words += 1;
        let halls = self.scenario.halls;
        let way = self.network.way((from, from % halls), (to, to % halls), &mut self.rng);
        if let Some(way) = way {
            let event = self.to_gateway(to, At::Heard { from: ip(from), word });
            self.after(way, event);
        }
    }

    fn own_hello(&self, number: usize, asks: bool) -> Word {
        let gateway = &self.gateways[number];
        let now = gateway.clock(self.now_us);
        let named =
            PeerInfo { ip: ip(number), hall: hall(number % self.scenario.halls), power: 250 };
        let said = PeerState {
            leaving: false,
            is_follower: !gateway.peers.is_relay(number == 0, now),
            hall_size: gateway.peers.hall_size(now),
            fleet_size: gateway.peers.max_known(),
        };
        Word::Hello { named, said, asks, known: gateway.peers.known_peers(now) }
    }

    pub(super) fn hello(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        gateway.peers.expire(now);
        let greeted = gateway.peers.hello_targets(gateway.round, &[ip(0)], now);
        gateway.round += 1;
        let asks = gateway.peers.is_isolated(now);
        let hello = self.own_hello(number, asks);
        greeted.into_iter().for_each(|to| self.send(number, to, hello.clone()));
        let next = self.to_gateway(number, At::Hello);
        self.after(HELLO_EVERY, next);
    }

    pub(super) fn tell(&mut self, number: usize, round: u32) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        if gateway.fleet.has_limits() {
            let peers = &gateway.peers;
            let limited = gateway.fleet.limited();
            let own = limited.filter(|server| peers.is_issuer(&server.id, &server.hall, now));
            gateway.lender.set_servers(own.map(|server| server.id.as_str()), now);
            let speaks = gateway.peers.is_relay(number == 0, now);
            let all = speaks && round.is_multiple_of(AGAIN_ROUNDS);
            let told = gateway.fleet.limits_to_send(all, now);
            if !told.is_empty() {
                let hearers = hearers(gateway, number, self.scenario.halls, now);
                hearers
                    .into_iter()
                    .for_each(|to| self.send(number, to, Word::Limits(told.clone())));
            }
        }
        let next = self.to_gateway(number, At::Tell { round: round.wrapping_add(1) });
        self.after(TELL_EVERY, next);
    }

    /// Requests came, or still wait, that want tokens.
    pub(super) fn want(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        if !gateway.fleet.has_limits() {
            return;
        }
        gateway.borrower.add_demand(SERVICE);
        if !std::mem::replace(&mut gateway.asks, true) {
            let ask = self.to_gateway(number, At::Ask);
            self.after(Duration::from_micros(10), ask);
        }
    }

    pub(super) fn ask(&mut self, number: usize) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let asks = gateway.borrower.next_requests(
            &gateway.fleet,
            &gateway.peers,
            false,
            &mut self.rng,
            now,
        );
        gateway.asks = !asks.is_empty();
        if gateway.asks {
            let again = self.to_gateway(number, At::Ask);
            self.after(ASK_EVERY, again);
        }
        for PermitRequest { issuer: lender, number: word, wanted: wants } in asks {
            if lender == ip(number) {
                let loans = self.lend(number, wants);
                self.lent(number, word, loans);
            } else {
                self.send(number, lender, Word::Borrow { number: word, wants });
            }
        }
    }

    fn lend(&mut self, number: usize, wants: Vec<(String, u32)>) -> Vec<(String, PermitGrant)> {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let mut loans = Vec::new();
        for (server, count) in wants {
            let hall = hall(server_of(&server).unwrap_or(0) % self.scenario.halls);
            let per_s = gateway.fleet.limit(&server).map_or(0.0, |rate| rate.requests());
            let per_s = per_s * gateway.peers.limit_share(&hall, now);
            let loan = gateway.lender.grant(&server, per_s, count, now);
            loans.push((server, loan));
        }
        loans
    }

    fn lent(&mut self, number: usize, word: u64, loans: Vec<(String, PermitGrant)>) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        let Some(asked) = gateway.borrower.accept_answer(word, now) else { return };
        for (server, PermitGrant { count, wait }) in loans {
            if count > 0 {
                gateway.fleet.add_permits(&server, count, asked + PERMIT_LIFETIME);
            } else {
                gateway.fleet.deny_permits_before(&server, now + wait);
            }
        }
    }

    pub(super) fn heard(&mut self, number: usize, from: IpAddr, word: Word) {
        let now_us = self.now_us;
        let gateway = &mut self.gateways[number];
        let now = gateway.clock(now_us);
        match word {
            Word::Hello { named, said, asks, known } => {
                gateway.peers.record_hello(named, said, now);
                known.into_iter().for_each(|named| gateway.peers.record_mention(named, now));
                if asks {
                    let all = gateway.fleet.limits_to_send(true, now);
                    let hello = self.own_hello(number, false);
                    self.send(number, from, hello);
                    self.send(number, from, Word::Limits(all));
                }
            }
            Word::Limits(all) => {
                for limited in all {
                    let word = limited.report(now);
                    gateway.fleet.record_limit(&limited.server, limited.incarnation, word, now);
                }
            }
            Word::Borrow { number: word, wants } => {
                let loans = self.lend(number, wants);
                self.send(number, from, Word::Lent { number: word, loans });
            }
            Word::Lent { number: word, loans } => self.lent(number, word, loans),
        }
    }
}

/// Whom a gateway tells what servers name: the speakers of its hall, and, as one of them, those
/// who follow and the other halls' speakers.
fn hearers(gateway: &Gateway, number: usize, halls: usize, now: Uptime) -> Vec<IpAddr> {
    let mut hearers = gateway.peers.relays(&hall(number % halls), now);
    if gateway.peers.is_relay(number == 0, now) {
        hearers.extend(gateway.peers.followers());
        hearers.extend(gateway.peers.remote_relays(now));
    }
    hearers.sort_unstable();
    hearers.dedup();
    hearers.retain(|to| *to != ip(number));
    hearers
}
