//! Polls the ranks of a group and refreshes the list of its members.
//!
//! Runs in the sidecar that coordinates the group. Polls go to the aggregators of the group's
//! subtrees by datagrams; the members come from gateways of the own hall.

use super::{
    group_state::{GroupState, POLL_PERIOD},
    poll_answer,
    state::Sidecar,
};
use crate::{
    gateway::message::{GroupView, Message, Poll},
    net::internal,
};
use slog::{info, warn};
use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc},
    time::{self, Instant},
};

/// Time between two polls during a map change, whose next orders depend on the answers.
const BUSY_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Time between two requests for the members while some ranks are missing.
const INCOMPLETE_LIST_PERIOD: Duration = Duration::from_millis(500);
/// Time between two requests for the members when all ranks are known.
const LIST_PERIOD: Duration = Duration::from_secs(4);
/// Time for a gateway of the own hall to answer. Short, because a group without a coordinator
/// waits for the list.
const LIST_TIMEOUT: Duration = Duration::from_millis(100);
/// Gateways that are tried for the members.
const LIST_ATTEMPTS: usize = 2;

/// A coordinator's group, shared by its tasks.
#[derive(Debug)]
pub struct SharedGroup {
    pub group: String,
    /// Fencing token of the coordinator.
    pub token: u64,
    pub state: RefCell<GroupState>,
    /// Whether a map change is in progress.
    pub is_busy: Cell<bool>,
    /// Wakes the coordinator when an answer was received.
    pub answered: Notify,
}

/// Polls the group. Never returns.
pub async fn poll_group(sidecar: &Rc<Sidecar>, shared: &SharedGroup) {
    let mut last_counts = Instant::now() - POLL_PERIOD;
    loop {
        let is_due = last_counts.elapsed() + BUSY_POLL_PERIOD / 2 >= POLL_PERIOD;
        if is_due {
            last_counts = Instant::now();
        }
        send_poll(sidecar, shared, is_due);
        let pause = if shared.is_busy.get() { BUSY_POLL_PERIOD } else { POLL_PERIOD };
        time::sleep(pause).await;
    }
}

fn send_poll(sidecar: &Rc<Sidecar>, shared: &SharedGroup, with_counts: bool) {
    let now = sidecar.clock.now();
    let mut state = shared.state.borrow_mut();
    let since = state.counted_round;
    let subtrees = state.begin_poll(now).to_vec();
    let model = sidecar.model.borrow();
    let model = model.as_ref().filter(|_| with_counts);
    let sets = model.map(|model| state.request_counts(model, now));
    for subtree in subtrees {
        let Some(aggregator) = subtree.first() else { continue };
        let poll = Poll {
            group: shared.group.clone(),
            token: shared.token,
            coordinator: sidecar.ip,
            round: state.round,
            since,
            sets,
            subtree: GroupState::other_members(&subtree),
        };
        if aggregator.ip() == sidecar.ip {
            poll_answer::handle_poll(sidecar, poll, sidecar.ip);
        } else {
            sidecar.send(aggregator.ip(), &Message::Poll(poll));
        }
    }
}

/// Records the answers of ranks until the channel is closed.
pub async fn receive_answers(
    sidecar: &Sidecar,
    shared: &SharedGroup,
    reports: &mut mpsc::Receiver<Message>,
) {
    while let Some(message) = reports.recv().await {
        let now = sidecar.clock.now();
        shared.state.borrow_mut().record_answer(message, &shared.group, now);
        shared.answered.notify_one();
    }
}

/// Requests the members of the group from gateways. Never returns.
pub async fn refresh_members(sidecar: &Sidecar, shared: &SharedGroup) {
    loop {
        let is_complete = shared.state.borrow().ranks.is_complete();
        time::sleep(if is_complete { LIST_PERIOD } else { INCOMPLETE_LIST_PERIOD }).await;
        if let Some(view) = fetch_view(sidecar, &shared.group).await {
            let now = sidecar.clock.now();
            let mut state = shared.state.borrow_mut();
            let before = state.members.len();
            state.record_view(&view, now);
            if state.members.len() != before {
                info!(sidecar.log, "members updated"; "group" => &shared.group,
                    "members" => state.members.len(), "before" => before);
            }
        }
    }
}

/// Requests a gateway's view of a group; tries several gateways of the hall.
pub async fn fetch_view(sidecar: &Sidecar, group: &str) -> Option<GroupView> {
    let relays: Vec<IpAddr> = sidecar.relays.borrow().latest_first();
    for ip in relays.into_iter().take(LIST_ATTEMPTS) {
        let addr = sidecar.addr(ip);
        let called = internal::call(&sidecar.peer_pool, addr, "/group", &group, LIST_TIMEOUT).await;
        match called {
            Ok(view) => return Some(view),
            Err(error) => {
                warn!(sidecar.log, "failed to list members"; "peer" => %ip, "error" => %error);
            }
        }
    }
    None
}
