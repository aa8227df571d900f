//! The coordinator's polls, and taking in what answers them.

use super::{
    known::{Known, POLL_EVERY},
    poll,
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

/// Time between two polls while a change is under way: its next orders wait for what the
/// ranks say.
const POLL_BUSY: Duration = Duration::from_millis(40);
/// How often gateways are asked for the members while some are lacking, and while none is.
const LIST_LACKING: Duration = Duration::from_millis(500);
const LIST_WHOLE: Duration = Duration::from_secs(4);
/// A list of some hundred members from a gateway of the own hall: one that does not answer
/// at once may be gone, and a group without a coordinator waits for the list.
const LIST_LASTS: Duration = Duration::from_millis(100);
/// Gateways that are asked for it, one after the other.
const LIST_ASKED: usize = 2;

/// A coordinator's group, shared by its tasks.
#[derive(Debug)]
pub struct Shared {
    /// The group's name.
    pub group: String,
    /// The coordinator's token.
    pub token: u64,
    /// What is known.
    pub known: RefCell<Known>,
    /// Whether a change is under way.
    pub busy: Cell<bool>,
    /// Wakes the coordinator: something was heard.
    pub heard: Notify,
}

/// Polls the group, for ever.
pub async fn poll_all(sidecar: &Rc<Sidecar>, shared: &Shared) {
    let mut counted = Instant::now() - POLL_EVERY;
    loop {
        let is_due = counted.elapsed() + POLL_BUSY / 2 >= POLL_EVERY;
        if is_due {
            counted = Instant::now();
        }
        poll_once(sidecar, shared, is_due);
        let pause = if shared.busy.get() { POLL_BUSY } else { POLL_EVERY };
        time::sleep(pause).await;
    }
}

fn poll_once(sidecar: &Rc<Sidecar>, shared: &Shared, with_counts: bool) {
    let now = sidecar.clock.now();
    let mut known = shared.known.borrow_mut();
    let since = known.counted;
    let sections = known.begin_round(now).to_vec();
    let model = sidecar.model.borrow();
    let model = model.as_ref().filter(|_| with_counts);
    let sets = model.map(|model| known.ask_counts(model, now));
    for section in sections {
        let Some(head) = section.first() else { continue };
        let asked = Poll {
            group: shared.group.clone(),
            token: shared.token,
            coordinator: sidecar.ip,
            round: known.round,
            since,
            sets,
            subtree: Known::rest(&section),
        };
        if head.ip() == sidecar.ip {
            poll::polled(sidecar, asked, sidecar.ip);
        } else {
            sidecar.send(head.ip(), &Message::Poll(asked));
        }
    }
}

/// Takes in what the ranks say, for ever.
pub async fn listen(sidecar: &Sidecar, shared: &Shared, reports: &mut mpsc::Receiver<Message>) {
    while let Some(message) = reports.recv().await {
        let now = sidecar.clock.now();
        shared.known.borrow_mut().take_in(message, &shared.group, now);
        shared.heard.notify_one();
    }
}

/// Asks gateways for the members, for ever.
pub async fn list_all(sidecar: &Sidecar, shared: &Shared) {
    loop {
        let whole = shared.known.borrow().ranks.is_complete();
        time::sleep(if whole { LIST_WHOLE } else { LIST_LACKING }).await;
        if let Some(view) = fetch(sidecar, &shared.group).await {
            let now = sidecar.clock.now();
            let mut known = shared.known.borrow_mut();
            let before = known.members.len();
            known.listed(&view, now);
            if known.members.len() != before {
                info!(sidecar.log, "members listed"; "group" => &shared.group,
                    "members" => known.members.len(), "before" => before);
            }
        }
    }
}

/// What some gateway of the hall knows of a group.
pub async fn fetch(sidecar: &Sidecar, group: &str) -> Option<GroupView> {
    let speakers: Vec<IpAddr> = sidecar.speakers.borrow().latest_first();
    for ip in speakers.into_iter().take(LIST_ASKED) {
        let addr = sidecar.addr(ip);
        let called = internal::call(&sidecar.internal, addr, "/group", &group, LIST_LASTS).await;
        match called {
            Ok(view) => return Some(view),
            Err(error) => {
                warn!(sidecar.log, "members not listed"; "peer" => %ip, "error" => %error);
            }
        }
    }
    None
}
