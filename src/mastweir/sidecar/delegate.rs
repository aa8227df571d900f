//! The coordinator's side of the delegation of the last two orders of a map change.
//!
//! A delegate gives them, so that the group is resumed also if the coordinator's instance freezes
//! ([`delegation`](mastweir_core::switch::delegation)). If the delegate does not answer, the
//! coordinator reads the state of its own server and gives the orders itself: each change is
//! delegated once.

use super::{coordinator::Coordinator, rank_views::RankView};
use crate::{
    gateway::message::{FinishReply, FinishRequest},
    net::internal,
};
use mastweir_core::{
    switch::{
        delegation::{Candidate, FinalOrders, choose_delegate, final_orders},
        map_change::{GroupSnapshot, OrderKind, OrderOutcome},
    },
    time::Uptime,
};
use slog::{info, warn};
use std::{net::SocketAddr, time::Duration};

/// Time for the delegate to give both orders. Covers the ways between halls and one order that has
/// to be repeated. With the next step of the coordinator, a silent delegate delays a change by less
/// than 150 ms, while the group is paused.
const FINISH_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for the coordinator's own server to state whether the delegate has reached it.
const OWN_STATE_TIMEOUT: Duration = Duration::from_millis(15);

impl Coordinator<'_> {
    /// Delegates the last two orders of a map change, and reads the own server's state after them.
    /// Returns whether the next orders must be decided anew; if not, the coordinator gives `orders`
    /// itself.
    pub(super) async fn delegate(
        &mut self,
        group: GroupSnapshot<'_>,
        orders: &[(usize, OrderKind)],
    ) -> bool {
        let Some(orders) = final_orders(group, orders) else { return false };
        let change = (orders.version, orders.pass);
        if self.delegated == Some(change) {
            return false;
        }
        self.delegated = Some(change);
        let sent_at = self.sidecar.clock.now();
        let Some((delegate, request)) = self.request(&orders, sent_at) else {
            info!(self.sidecar.log, "no delegate for map change"; "group" => &self.shared.group,
                "version" => orders.version, "pass" => orders.pass, "ranks" => group.ranks.len());
            return false;
        };
        let addr = self.sidecar.addr(delegate.ip());
        let pool = &self.sidecar.peer_pool;
        match internal::call(pool, addr, "/finish", &request, FINISH_TIMEOUT).await {
            Ok(reply) => self.record_finish(&orders, &reply, sent_at),
            Err(error) => {
                let took = self.sidecar.clock.now().since(sent_at).as_millis() as u64;
                warn!(self.sidecar.log, "no reply from delegate"; "group" => &self.shared.group,
                    "version" => orders.version, "pass" => orders.pass, "delegate" => %delegate,
                    "took_ms" => took, "error" => %error);
            }
        }
        self.read_own(&orders).await;
        true
    }

    /// Chooses the delegate. Returns its server's address, and the request for it.
    fn request(&self, orders: &FinalOrders, now: Uptime) -> Option<(SocketAddr, FinishRequest)> {
        let state = self.shared.state.borrow();
        let hall = |view: &RankView| state.members.get(&view.server).map(|member| &member.hall);
        let own = state.ranks.get(orders.own)?;
        let answering = state.ranks.fresh(now).filter(|view| view.read_at.is_some());
        let candidate = |view: &RankView| Candidate {
            rank: view.state.rank,
            known_at: view.known_at,
            is_near: hall(own).is_some() && hall(view) == hall(own),
        };
        let candidates: Vec<Candidate> = answering.map(candidate).collect();
        let chosen = choose_delegate(orders, &candidates)?;
        let server = state.ranks.get(chosen.rank)?.server;
        let paused = state.ranks.get(orders.paused)?.server;
        info!(self.sidecar.log, "map change delegated"; "group" => &self.shared.group,
            "token" => orders.token, "version" => orders.version, "pass" => orders.pass,
            "delegate" => %server, "rank" => chosen.rank, "is_near" => chosen.is_near,
            "age_ms" => now.since(chosen.known_at).as_millis() as u64);
        Some((server, FinishRequest { orders: orders.clone(), own: own.server, paused }))
    }

    /// Records a delegate's reply. Its states are not recorded, as servers report older ones to
    /// other instances.
    fn record_finish(&mut self, orders: &FinalOrders, reply: &FinishReply, sent_at: Uptime) {
        let FinishReply { schedule, resume } = reply;
        let took = self.sidecar.clock.now().since(sent_at).as_millis() as u64;
        let resume = resume.as_ref().and_then(|reply| reply.outcome);
        info!(self.sidecar.log, "delegate answered"; "group" => &self.shared.group,
            "version" => orders.version, "pass" => orders.pass, "schedule" => ?schedule.outcome,
            "resume" => ?resume, "took_ms" => took);
        self.is_fenced |= [schedule.outcome, resume].contains(&Some(OrderOutcome::Fenced));
    }

    /// Reads the state of the own server, which shows whether the delegate has scheduled the map.
    async fn read_own(&self, orders: &FinalOrders) {
        let sent_at = self.sidecar.clock.now();
        let reading = self.sidecar.engine.state();
        let read = self.sidecar.clock.timeout_at(sent_at + OWN_STATE_TIMEOUT, reading).await;
        let state = match read {
            Ok(Ok(state)) => state.rank,
            Ok(Err(error)) => {
                warn!(self.sidecar.log, "failed to read own state"; "error" => %error);
                None
            }
            Err(error) => {
                warn!(self.sidecar.log, "failed to read own state"; "error" => %error);
                None
            }
        };
        let mut group = self.shared.state.borrow_mut();
        let view = group.ranks.get(orders.own).cloned();
        if let (Some(view), Some(state)) = (view, state) {
            let read_at = Some(self.sidecar.clock.now());
            group.ranks.record(RankView { known_at: sent_at, read_at, state, ..view });
        }
    }
}
