//! What a coordinator knows of its ranks, and where it comes from.
//!
//! Sidecars report their ranks' states. A rank whose sidecar is silent is asked
//! itself, in the background: one that gives no answer, since its instance
//! stands still, must not hold up what the others need.

use super::state::Sidecar;
use crate::{gateway::message::RankStatus, net::http::Pool, platform::engine::EngineClient};
use mastweir_core::{switch::map_change::RankState, time::Uptime};
use slog::info;
use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::mpsc, task};

/// A rank's state that is older than this decides nothing.
const STATE_LASTS: Duration = Duration::from_millis(700);
/// Servers whose sidecars are silent are asked this often.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// Behind its start a coordinator hears its ranks by its first polls. Before that all are
/// silent: asked themselves, 95 of 96 got their orders past their sidecars, 2.4 MB of whole
/// maps, behind which the polls waited until another took over.
const ASK_FROM: Duration = Duration::from_millis(350);
/// A load that was taken is not ordered again for this time: some ten experts.
const LOAD_LASTS: Duration = Duration::from_millis(2_500);

/// A rank's state, and how it came.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Where its server listens.
    pub server: SocketAddr,
    /// When it was known at the latest, on this process's clock.
    pub at: Uptime,
    /// The state.
    pub state: RankState,
    /// Requests that run and wait there.
    pub load: u32,
    /// Time that it takes for the same work over what is usual, in thousandths.
    pub pace_milli: u32,
    /// Life of its server; zero if that is not known.
    pub born: u64,
    /// When its sidecar read it, on its own clock; none if that is silent and the
    /// server was asked itself.
    pub read_at: Option<Uptime>,
}

/// What a server that was asked itself said; no state if it gave no answer.
#[derive(Debug)]
pub struct Asked {
    server: SocketAddr,
    at: Uptime,
    state: Option<RankState>,
    pace_milli: u32,
    born: u64,
}

/// The last load that a rank has begun.
#[derive(Clone, Copy, Debug)]
struct Load {
    version: u64,
    epoch: u64,
    at: Uptime,
}

/// The ranks of a group.
#[derive(Debug)]
pub struct Ranks {
    seen: BTreeMap<u32, Seen>,
    loading: BTreeMap<u32, Load>,
    began: Uptime,
    asked: Uptime,
    pending: HashSet<SocketAddr>,
    unanswering: HashSet<SocketAddr>,
    answers: mpsc::UnboundedSender<Asked>,
    answered: mpsc::UnboundedReceiver<Asked>,
}

impl Ranks {
    /// Nothing known yet, at a coordinator's start.
    pub fn new(began: Uptime) -> Self {
        let (answers, answered) = mpsc::unbounded_channel();
        Self {
            seen: BTreeMap::new(),
            loading: BTreeMap::new(),
            began,
            asked: Uptime::default(),
            pending: HashSet::new(),
            unanswering: HashSet::new(),
            answers,
            answered,
        }
    }

    /// A rank as it was last seen.
    pub fn get(&self, rank: u32) -> Option<&Seen> {
        self.seen.get(&rank)
    }

    /// Those whose state is fresh.
    pub fn fresh(&self, now: Uptime) -> impl Iterator<Item = &Seen> {
        self.seen.values().filter(move |seen| now.since(seen.at) < STATE_LASTS)
    }

    /// Requests that run and wait at all of them.
    pub fn load(&self) -> u32 {
        self.seen.values().map(|seen| seen.load).sum()
    }

    /// Paces of the ranks, in order.
    pub fn paces(&self, count: usize) -> Vec<f64> {
        let of =
            |rank| self.seen.get(&rank).map_or(1.0, |seen| f64::from(seen.pace_milli) / 1_000.0);
        (0..u32::try_from(count).unwrap_or(0)).map(of).collect()
    }

    /// Number of the rank whose server listens at an address.
    pub fn number_at(&self, server: SocketAddr) -> Option<usize> {
        let own = self.seen.values().find(|seen| seen.server == server);
        own.map(|seen| seen.state.rank as usize)
    }

    /// Whether a rank on an instance is fresh.
    pub fn hears(&self, ip: IpAddr, now: Uptime) -> bool {
        self.fresh(now).any(|seen| seen.server.ip() == ip)
    }

    /// Takes in what a sidecar says of its rank.
    pub fn report(&mut self, brief: RankStatus, now: Uptime) {
        self.note(Seen {
            server: brief.server,
            at: now,
            read_at: Some(brief.read_at),
            state: brief.state,
            load: brief.load,
            pace_milli: brief.slowdown_milli,
            born: brief.incarnation,
        });
    }

    /// Whether all ranks were seen at least once.
    pub fn is_complete(&self) -> bool {
        let size = self.seen.values().next().map(|seen| seen.state.size as usize);
        size.is_some_and(|size| self.seen.len() >= size)
    }

    /// Takes a rank's state in, unless a newer one is known.
    pub fn note(&mut self, seen: Seen) {
        let newer = self.seen.get(&seen.state.rank).is_none_or(|before| {
            let lapsed = seen.at.since(before.at) >= STATE_LASTS;
            let later = match (seen.read_at, before.read_at) {
                (Some(now), Some(before)) => now >= before,
                _ => seen.state.pass >= before.state.pass,
            };
            lapsed || seen.state.epoch > before.state.epoch || later
        });
        if newer {
            let before = self.seen.get(&seen.state.rank).map_or(0, |before| before.born);
            if before != 0 && before != seen.born {
                // What the life before was loading is gone with it.
                self.loading.remove(&seen.state.rank);
            }
            self.seen.insert(seen.state.rank, seen);
        }
    }

    /// A rank has taken the order to load a version.
    pub fn loads(&mut self, rank: u32, version: u64, epoch: u64, at: Uptime) {
        self.loading.insert(rank, Load { version, epoch, at });
    }

    /// The states of all ranks, in order; none where it is not fresh. Busy is a
    /// rank that may still be loading `wanted`; what else it loads gives way to that.
    pub fn states(&self, wanted: Option<u64>, now: Uptime) -> Vec<Option<RankState>> {
        let Some(size) = self.seen.values().next().map(|seen| seen.state.size) else {
            return Vec::new();
        };
        let fresh = |rank: u32| {
            let seen = self.seen.get(&rank).filter(|seen| now.since(seen.at) < STATE_LASTS)?;
            let mut state = seen.state.clone();
            state.busy = wanted.is_some_and(|wanted| self.is_loading(&state, wanted, now));
            Some(state)
        };
        (0..size).map(fresh).collect()
    }

    fn is_loading(&self, state: &RankState, wanted: u64, now: Uptime) -> bool {
        self.loading.get(&state.rank).is_some_and(|load| {
            (load.version, load.epoch) == (wanted, state.epoch) && now.since(load.at) < LOAD_LASTS
        })
    }

    /// Asks the servers among these themselves whose sidecars are silent. What they say
    /// is some hundred milliseconds old, and each call is paid for.
    pub fn ask_silent<'a>(
        &mut self,
        sidecar: &Sidecar,
        group: &str,
        members: impl Iterator<Item = &'a SocketAddr>,
    ) {
        let now = sidecar.clock.now();
        if now.since(self.began) < ASK_FROM || now.since(self.asked) < ASK_EVERY {
            return;
        }
        let heard: HashSet<SocketAddr> = self.fresh(now).map(|seen| seen.server).collect();
        let silent = members.copied().filter(|server| !heard.contains(server));
        let silent: Vec<SocketAddr> = silent.filter(|at| !self.pending.contains(at)).collect();
        if silent.is_empty() {
            return;
        }
        self.asked = now;
        for server in silent {
            self.pending.insert(server);
            let pool = sidecar.internal.clone();
            task::spawn_local(ask(server, pool, group.to_owned(), now, self.answers.clone()));
        }
    }

    /// The next answer of a server that was asked itself, if there is one.
    pub fn answer_now(&mut self) -> Option<Asked> {
        self.answered.try_recv().ok()
    }

    /// Takes such an answer in.
    pub fn take_answer(&mut self, sidecar: &Sidecar, asked: Asked) {
        let Asked { server, at, state, pace_milli, born } = asked;
        self.pending.remove(&server);
        let lost = state.is_none();
        let changed =
            if lost { self.unanswering.insert(server) } else { self.unanswering.remove(&server) };
        if changed {
            let state = if lost { "lost" } else { "regained" };
            info!(sidecar.log, "silent rank's server"; "server" => %server, "state" => state);
        }
        let Some(state) = state else { return };
        let load = self.seen.get(&state.rank).map_or(0, |seen| seen.load);
        self.note(Seen { server, at, read_at: None, state, load, pace_milli, born });
    }
}

/// Asks one server. What is read is as old as the question, if this process stood
/// still meanwhile.
async fn ask(
    server: SocketAddr,
    pool: Rc<Pool>,
    group: String,
    at: Uptime,
    answers: mpsc::UnboundedSender<Asked>,
) {
    let state = EngineClient::new(server, pool).state().await.ok();
    let state = state.filter(|state| state.group.as_deref() == Some(&group));
    // The coordinator may have ended meanwhile.
    let pace_milli = state.as_ref().map_or(1_000, |state| state.slowdown_milli);
    let born = state.as_ref().map_or(0, |state| state.incarnation);
    let state = state.and_then(|state| state.rank);
    let _ = answers.send(Asked { server, at, state, pace_milli, born });
}
