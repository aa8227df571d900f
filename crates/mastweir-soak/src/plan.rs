//! What goes wrong in a run, and when: drawn from a seed, so that it can be had again.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{fmt, time::Duration};

/// Longest fault of one run, and shortest.
const LASTS_MS: [u64; 2] = [300, 3_500];

/// Makes the draw of silences another than that of the other faults.
const SILENCE_SEED: u64 = 0x5117;

/// The same for servers that want no requests for a while.
const BACKOFF_SEED: u64 = 0x0503;
/// The same for servers that name a limit: how long, and how many requests in ten seconds.
const LIMIT_SEED: u64 = 0x1137;
const LIMIT_LASTS_MS: [u64; 2] = [6_000, 12_000];
const LIMIT_IN_10_S: [u32; 2] = [3, 80];
/// The same for a store that comes back from a copy, whose age and absence are these.
const COPY_SEED: u64 = 0x0e7a;
const COPY_AGE_MS: [u64; 2] = [500, 8_000];
const COPY_AWAY_MS: [u64; 2] = [200, 3_000];
/// The same for harmful prompts, and for connections that go to one gateway.
const PROMPTS_SEED: u64 = 0x9a47;
const CONCENTRATED_SEED: u64 = 0xc0cc;
/// The same for servers that fall silent: how long, and how long they write between two silences.
const SILENT_SEED: u64 = 0x5e1f;
const SILENT_LASTS_MS: [u64; 2] = [800, 1_500];
const SILENT_GAP_MS: [u64; 2] = [200, 2_000];
/// The same for servers that send bytes without end.
const ENDLESS_SEED: u64 = 0xe4d1;
/// The same for planned restarts of sidecars, and for the pause between two rounds of them.
const RESTART_SEED: u64 = 0x4e57;
const RESTART_GAP_MS: [u64; 2] = [700, 2_500];

/// Sizes of the world that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Gateways.
    pub gateways: usize,
    /// Model servers, each with a sidecar.
    pub models: usize,
    /// Servers of the plain service, behind the model servers.
    pub plain: usize,
    /// Groups.
    pub groups: usize,
}

impl Sizes {
    /// Group of a server, if it is a model's.
    pub fn group_of(self, server: usize) -> Option<usize> {
        (server < self.models).then(|| server / (self.models / self.groups))
    }
}

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grey {
    /// Breaks answers off in the middle.
    Cut,
    /// Runs requests and says nothing.
    Mute,
    /// Writes a second answer behind each.
    Extra,
    /// Answers with the id of another request.
    OtherId,
    /// Runs requests and answers with a failure.
    Errors,
    /// Turns requests away, and says so.
    Shed,
    /// Sends bytes without end that are no answer.
    Endless,
}

/// Something that goes wrong. Numbers are those of gateways, servers or groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed, and starts again.
    KillGateway(usize),
    /// It is asked to stop, and starts again.
    StopGateway(usize),
    /// It stands still.
    FreezeGateway(usize),
    /// Its settings change.
    HangUp(usize),
    /// It can't reach the store.
    CutFromStore(usize),
    /// A sidecar is killed, and starts again.
    KillSidecar(usize),
    /// It is asked to stop, and starts again once it has.
    StopSidecar(usize),
    /// A model server's instance stands still, the sidecar with it.
    FreezeInstance(usize),
    /// Nothing passes to a server and back.
    CutServer(usize),
    /// Nothing comes back from it.
    MuteServer(usize),
    /// Its connections are reset.
    ResetServer(usize),
    /// It is slow to reach.
    SlowServer(usize),
    /// It writes nothing to anybody, and then goes on with everything. It is sound all the while.
    ServerSilent(usize),
    /// It misbehaves.
    GreyServer(usize, Grey),
    /// It turns requests away, and names a time for which it wants none.
    BackOff(usize),
    /// It names a limit in its answers: so many requests in ten seconds, of all gateways.
    Limit(usize, u32),
    /// It leaves as planned, and another life comes at its address.
    Replace(usize),
    /// A group loses a rank, and forms anew.
    BreakGroup(usize),
    /// A part of a group's orders gets no answer and is carried out later.
    LateOrders(usize),
    /// The store is down.
    StoreDown,
    /// It takes calls, and never answers them.
    StoreSilent,
    /// It is slow.
    StoreSlow,
    /// Its writes land, and their answers are lost.
    StoreLoses,
    /// It forgets what has changed so far.
    StoreForgets,
    /// A copy of the store is made.
    StoreCopied,
    /// The store is away, and comes back from the last copy: what was written since is gone.
    StoreReturns,
    /// Some streams have a prompt with a part under which each server ends.
    HarmfulPrompts,
    /// Most new connections go to one gateway.
    Concentrate(usize),
    /// Routes come and go.
    Configure,
    /// All processes are killed at once, and start again.
    KillAll,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Since the start of the traffic.
    pub at: Duration,
    /// How long, where it lasts.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(f, "{at:6.2} s  {:?}, {lasts:.2} s", self.fault)
    }
}

/// Draws a plan: about a fault a second, many of them overlapping.
pub fn draw(seed: u64, lasts: Duration, sizes: Sizes) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let whole = u64::try_from(lasts.as_millis()).unwrap_or(u64::MAX);
    let count = (whole / 900).max(1);
    let mut plan: Vec<Entry> = (0..count)
        .map(|_| Entry {
            at: Duration::from_millis(rng.random_range(0..whole.max(1))),
            lasts: Duration::from_millis(rng.random_range(LASTS_MS[0]..LASTS_MS[1])),
            fault: fault(&mut rng, sizes),
        })
        .collect();
    plan.extend(silence(seed, whole));
    plan.extend(back_off(seed, whole, sizes));
    plan.extend(returns(seed, whole));
    plan.extend(limits(seed, whole, sizes));
    plan.extend(harmful_prompts(seed, whole));
    plan.extend(concentrated(seed, whole, sizes));
    plan.extend(silent_servers(seed, whole, sizes));
    plan.extend(restarts(seed, whole, sizes));
    plan.extend(endless(seed, whole, sizes));
    plan.sort_by_key(|entry| entry.at);
    plan
}

/// In a third of the runs the store falls silent, and a configuration comes right before,
/// so that all gateways ask it again at that moment. Drawn apart from the other faults.
fn silence(seed: u64, whole: u64) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SILENCE_SEED);
    if !rng.random_bool(1.0 / 3.0) {
        return Vec::new();
    }
    let at = rng.random_range(0..whole.max(1));
    let lasts = Duration::from_millis(rng.random_range(LASTS_MS[0]..LASTS_MS[1]));
    let entry = |ms, fault| Entry { at: Duration::from_millis(ms), lasts, fault };
    vec![entry(at, Fault::Configure), entry(at + rng.random_range(0..300), Fault::StoreSilent)]
}

/// In a third of the runs the store comes back from a copy, in some of them twice. Drawn apart
/// from the other faults.
fn returns(seed: u64, whole: u64) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ COPY_SEED);
    let mut plan = Vec::new();
    let mut from = rng.random_range(whole / 4..whole.max(2));
    for _ in 0..[0, 0, 0, 0, 1, 2][rng.random_range(0..6)] {
        let age = rng.random_range(COPY_AGE_MS[0]..COPY_AGE_MS[1]);
        let away = rng.random_range(COPY_AWAY_MS[0]..COPY_AWAY_MS[1]);
        let lasts = Duration::from_millis(away);
        let entry = |ms, fault| Entry { at: Duration::from_millis(ms), lasts, fault };
        plan.push(entry(from.saturating_sub(age), Fault::StoreCopied));
        plan.push(entry(from, Fault::StoreReturns));
        from += away + rng.random_range(300..2_000);
    }
    plan
}

/// In half of the runs servers want no requests: one, several, or both of the plain service
/// at once. Drawn apart from the other faults.
fn back_off(seed: u64, whole: u64, sizes: Sizes) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ BACKOFF_SEED);
    let at = Duration::from_millis(rng.random_range(0..whole.max(1)));
    let lasts = Duration::from_millis(rng.random_range(LASTS_MS[0]..LASTS_MS[1]));
    let all = sizes.models + sizes.plain;
    let servers = match rng.random_range(0..6) {
        0 => vec![rng.random_range(0..all)],
        1 => (0..all).filter(|_| rng.random_bool(0.4)).collect(),
        2 => (sizes.models..all).collect(),
        _ => Vec::new(),
    };
    let entry = |server| Entry { at, lasts, fault: Fault::BackOff(server) };
    servers.into_iter().map(entry).collect()
}

/// In half of the runs servers name limits: one, several, both of the plain service or all.
/// Drawn apart from the other faults.
fn limits(seed: u64, whole: u64, sizes: Sizes) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMIT_SEED);
    let at = Duration::from_millis(rng.random_range(0..(whole / 2).max(1)));
    let all = sizes.models + sizes.plain;
    let servers: Vec<usize> = match rng.random_range(0..8) {
        0 => vec![rng.random_range(0..all)],
        1 => (0..all).filter(|_| rng.random_bool(0.4)).collect(),
        2 => (sizes.models..all).collect(),
        3 => (0..all).collect(),
        _ => Vec::new(),
    };
    let entry = |server| Entry {
        at,
        lasts: Duration::from_millis(rng.random_range(LIMIT_LASTS_MS[0]..LIMIT_LASTS_MS[1])),
        fault: Fault::Limit(server, rng.random_range(LIMIT_IN_10_S[0]..LIMIT_IN_10_S[1])),
    };
    servers.into_iter().map(entry).collect()
}

/// In half of the runs harmful prompts come until the end. Drawn apart from the other faults.
fn harmful_prompts(seed: u64, whole: u64) -> Option<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ PROMPTS_SEED);
    let at = rng.random_range(0..(whole / 2).max(1));
    let entry = Entry {
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(whole - at),
        fault: Fault::HarmfulPrompts,
    };
    rng.random_bool(0.5).then_some(entry)
}

/// In a third of the runs most new connections go to one gateway for a while. Drawn apart from
/// the other faults.
fn concentrated(seed: u64, whole: u64, sizes: Sizes) -> Option<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CONCENTRATED_SEED);
    let entry = Entry {
        at: Duration::from_millis(rng.random_range(0..whole.max(1))),
        lasts: Duration::from_millis(rng.random_range(LIMIT_LASTS_MS[0]..LIMIT_LASTS_MS[1])),
        fault: Fault::Concentrate(rng.random_range(0..sizes.gateways)),
    };
    rng.random_bool(1.0 / 3.0).then_some(entry)
}

/// In half of the runs servers fall silent: one, several or both of the plain service, once or a
/// few times in series, and in some of them the sidecars beside them restart meanwhile. Drawn
/// apart from the other faults.
fn silent_servers(seed: u64, whole: u64, sizes: Sizes) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SILENT_SEED);
    let mut at = rng.random_range(0..whole.max(1));
    let all = sizes.models + sizes.plain;
    let servers: Vec<usize> = match rng.random_range(0..6) {
        0 => vec![rng.random_range(0..all)],
        1 => (0..all).filter(|_| rng.random_bool(0.4)).collect(),
        2 => (sizes.models..all).chain([rng.random_range(0..sizes.models)]).collect(),
        _ => Vec::new(),
    };
    let restarts = rng.random_bool(0.5);
    let mut plan = Vec::new();
    for _ in 0..[1, 1, 2, 4][rng.random_range(0..4)] {
        let ms = rng.random_range(SILENT_LASTS_MS[0]..=SILENT_LASTS_MS[1]);
        let lasts = Duration::from_millis(ms);
        let entry = |ms, fault| Entry { at: Duration::from_millis(ms), lasts, fault };
        for server in &servers {
            plan.push(entry(at, Fault::ServerSilent(*server)));
            if restarts && *server < sizes.models {
                let within = rng.random_range(0..ms);
                plan.push(entry(at + within, Fault::StopSidecar(*server)));
            }
        }
        at += ms + rng.random_range(SILENT_GAP_MS[0]..SILENT_GAP_MS[1]);
    }
    plan
}

/// In half of the runs a server sends bytes without end for a while. Drawn apart from the other faults.
fn endless(seed: u64, whole: u64, sizes: Sizes) -> Option<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ ENDLESS_SEED);
    let server = rng.random_range(0..sizes.models + sizes.plain);
    let entry = Entry {
        at: Duration::from_millis(rng.random_range(0..whole.max(1))),
        lasts: Duration::from_millis(rng.random_range(LASTS_MS[0]..LASTS_MS[1])),
        fault: Fault::GreyServer(server, Grey::Endless),
    };
    rng.random_bool(0.5).then_some(entry)
}

/// In half of the runs sidecars restart as planned: one, several, or all at once, in some runs
/// round after round. Drawn apart from the other faults.
fn restarts(seed: u64, whole: u64, sizes: Sizes) -> Vec<Entry> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTART_SEED);
    let mut at = rng.random_range(0..whole.max(1));
    let way = rng.random_range(0..6);
    let mut plan = Vec::new();
    for _ in 0..[1, 1, 3][rng.random_range(0..3)] {
        let sidecars: Vec<usize> = match way {
            0 => vec![rng.random_range(0..sizes.models)],
            1 => (0..sizes.models).filter(|_| rng.random_bool(0.5)).collect(),
            2 => (0..sizes.models).collect(),
            _ => Vec::new(),
        };
        plan.extend(sidecars.into_iter().map(|sidecar| Entry {
            at: Duration::from_millis(at),
            lasts: Duration::ZERO,
            fault: Fault::StopSidecar(sidecar),
        }));
        at += rng.random_range(RESTART_GAP_MS[0]..RESTART_GAP_MS[1]);
    }
    plan
}

fn fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let gateway = rng.random_range(0..sizes.gateways);
    let model = rng.random_range(0..sizes.models);
    let server = rng.random_range(0..sizes.models + sizes.plain);
    let group = rng.random_range(0..sizes.groups);
    match rng.random_range(0..42) {
        0..3 => Fault::KillGateway(gateway),
        3..6 => Fault::StopGateway(gateway),
        6..9 => Fault::FreezeGateway(gateway),
        9 => Fault::HangUp(gateway),
        10..12 => Fault::CutFromStore(gateway),
        12..14 => Fault::KillSidecar(model),
        14..18 => Fault::FreezeInstance(model),
        18..20 => Fault::CutServer(server),
        20..22 => Fault::MuteServer(server),
        22 => Fault::ResetServer(server),
        23 => Fault::SlowServer(server),
        24..28 => Fault::GreyServer(server, grey(rng)),
        28..31 => Fault::Replace(server),
        31 => Fault::BreakGroup(group),
        32..35 => Fault::LateOrders(group),
        35 => Fault::StoreDown,
        36 => Fault::StoreSlow,
        37 => Fault::StoreLoses,
        38 => Fault::StoreForgets,
        39..41 => Fault::Configure,
        _ => Fault::KillAll,
    }
}

fn grey(rng: &mut SmallRng) -> Grey {
    let all = [Grey::Cut, Grey::Mute, Grey::Extra, Grey::OtherId, Grey::Errors, Grey::Shed];
    all[rng.random_range(0..all.len())]
}
