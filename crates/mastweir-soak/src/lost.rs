//! Requests that ended without a whole answer, although a sound server worked on them.
//!
//! A server is sound for a request if neither it nor the way to it was disturbed from [`CONTACT`]
//! before the request until its end, and nothing broke off in its group meanwhile. A server that is silent for a while, that wants
//! no requests, that names a limit or whose sidecar is away is sound, and so is one that drains.
//! What a gateway may cut is what its own kill or standstill cuts, what has no time left, and
//! what is still running at the end of its grace time.

use crate::{
    ledger::CONTACT,
    plan::{Fault, Sizes},
};
use std::time::{Duration, Instant};

/// A connection may be closed unread for so long behind the last byte of a request.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// The grace time of the processes' settings; a request that was sent within [`SENT_EARLY`] of
/// the signal and whose server is at work in the last sixth of it may be cut.
const GRACE: Duration = Duration::from_secs(4);
const SENT_EARLY: Duration = Duration::from_secs(3);
/// A request has no time left so long before its deadline: callers and gateways read clocks at
/// different moments.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// When its caller began to send it.
    pub sent: Instant,
    /// When its last byte was sent, if it was.
    pub written: Option<Instant>,
    /// When its connection ended.
    pub end: Instant,
    /// How long its caller waits.
    pub wait: Duration,
    /// The gateway that took it.
    pub gateway: usize,
    /// Servers that ran it.
    pub ran_at: &'a [usize],
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    fault: Fault,
    from: Instant,
    to: Option<Instant>,
}

/// Faults when they happened, and servers that broke off.
#[derive(Debug, Default)]
pub struct Disturbances {
    faults: Vec<Disturbance>,
    breaks: Vec<(usize, Instant)>,
}

impl Disturbances {
    /// A fault begins.
    pub fn began(&mut self, fault: Fault, now: Instant) {
        self.faults.push(Disturbance { fault, from: now, to: None });
    }

    /// It is over.
    pub fn ended(&mut self, fault: Fault, now: Instant) {
        let open = |one: &&mut Disturbance| one.fault == fault && one.to.is_none();
        if let Some(one) = self.faults.iter_mut().find(open) {
            one.to = Some(now);
        }
    }

    /// A server breaks off what it runs, or another life begins in its place.
    pub fn broke_off(&mut self, server: usize, now: Instant) {
        self.breaks.push((server, now));
    }

    /// What was lost of a request that ended without a whole answer.
    pub fn lost(&self, request: &Ended<'_>, sizes: Sizes) -> Option<String> {
        let after = (request.end - request.sent).as_millis();
        if request.end + DEADLINE_SLACK >= request.sent + request.wait || self.may_cut(request) {
            return None;
        }
        let beside = || {
            let faults = self.around(request).map(|one| format!("{:?}", one.fault));
            faults.collect::<Vec<_>>().join(", ")
        };
        if request.ran_at.is_empty() {
            let read = request.written.is_some_and(|at| request.end > at + LOSS_SLACK);
            return read.then(|| {
                format!("lost: closed after {after} ms with no answer, beside {}", beside())
            });
        }
        let server = self.sound_server(request, sizes)?;
        Some(format!(
            "lost: no whole answer, ended after {after} ms, ran at {:?} of which {server} is sound, \
             beside {}",
            request.ran_at,
            beside()
        ))
    }

    /// A sound server that ran a request.
    pub fn sound_server(&self, request: &Ended<'_>, sizes: Sizes) -> Option<usize> {
        let is_sound = |server: &usize| {
            let group = sizes.group_of(*server);
            let broke = self.breaks.iter().any(|(other, at)| {
                let same = other == server || group.is_some() && sizes.group_of(*other) == group;
                same && (request.sent..=request.end).contains(at)
            });
            let disturbed =
                self.around(request).any(|one| disturbs_server(one.fault, *server, group));
            !broke && !disturbed
        };
        request.ran_at.iter().copied().find(is_sound)
    }

    fn around(&self, request: &Ended<'_>) -> impl Iterator<Item = &Disturbance> {
        let from = request.sent.checked_sub(CONTACT).unwrap_or(request.sent);
        let end = request.end;
        self.faults.iter().filter(move |one| one.from <= end && one.to.is_none_or(|to| to >= from))
    }

    /// Whether the gateway may have had to cut the request.
    fn may_cut(&self, request: &Ended<'_>) -> bool {
        let Ended { sent, end, gateway, .. } = *request;
        let at_end_of_grace = |one: &Disturbance| {
            one.fault == Fault::StopGateway(gateway)
                && sent <= one.from + SENT_EARLY
                && end >= one.from + GRACE * 5 / 6
        };
        self.around(request).any(|one| disturbs_gateway(one.fault, gateway) || at_end_of_grace(one))
    }
}

fn disturbs_gateway(fault: Fault, gateway: usize) -> bool {
    match fault {
        Fault::KillGateway(number) | Fault::FreezeGateway(number) => number == gateway,
        Fault::KillAll => true,
        _ => false,
    }
}

fn disturbs_server(fault: Fault, server: usize, group: Option<usize>) -> bool {
    match fault {
        Fault::FreezeInstance(number)
        | Fault::CutServer(number)
        | Fault::MuteServer(number)
        | Fault::ResetServer(number)
        | Fault::SlowServer(number)
        | Fault::GreyServer(number, _) => number == server,
        Fault::BreakGroup(number) => Some(number) == group,
        _ => false,
    }
}
