//! A group of model servers of the users' kind: ranks in lock-step that report, tell
//! what their requests chose, and take orders, each over HTTP.
//!
//! What callers' requests get is up to the test: [`LockStep::control`] answers only
//! what concerns the group.

use crate::{
    lock,
    ordered::OrderedRank,
    scripted::{Act, Got},
};
use mastweir_core::switch::map_change::{GroupMap, Order, OrderKind, OrderOutcome, RankExperts};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time;

/// Sets of layers, experts in a set, and places for them at a rank.
pub const SETS: usize = 2;
/// Experts in a set.
pub const EXPERTS: usize = 12;
/// Experts that a rank can hold in a set.
pub const PLACES: usize = 8;
/// A pass takes this long.
const PASS_LASTS: Duration = Duration::from_millis(20);
/// A load takes as many passes, and a group that broke forms in as many.
const LOAD_PASSES: u64 = 5;
const FORM_PASSES: u64 = 25;
/// Demand shifts to other experts after as many passes.
const SHIFT_PASSES: u64 = 150;
/// Choices of each rank in a set, a pass.
const CHOICES: u64 = 60;
/// An order that got no answer is carried out up to this much later.
const LATE_MAX: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct State {
    ranks: Vec<OrderedRank>,
    pass: u64,
    forms_at: Option<u64>,
    ticks: u64,
    /// By set and expert; all ranks choose alike.
    counts: Vec<Vec<u64>>,
    two_maps: u64,
    changes: u64,
    paused: u64,
}

/// A group.
#[derive(Debug)]
pub struct LockStep {
    name: String,
    state: Mutex<State>,
    /// Orders that get no answer and are carried out later, in a hundred.
    pub late_pct: AtomicU64,
    orders: AtomicU64,
}

impl LockStep {
    /// A group of `size` ranks that makes passes from now on.
    pub fn start(name: &str, size: u32) -> Arc<Self> {
        let mut ranks: Vec<OrderedRank> =
            (0..size).map(|number| OrderedRank::new(number, size)).collect();
        let first = dealt_in_turn(size as usize);
        ranks.iter_mut().for_each(|rank| rank.map.clone_from(&first));
        let state = State {
            ranks,
            pass: 0,
            forms_at: None,
            ticks: 0,
            counts: vec![vec![0; EXPERTS]; SETS],
            two_maps: 0,
            changes: 0,
            paused: 0,
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::new(state),
            late_pct: AtomicU64::new(0),
            orders: AtomicU64::new(0),
        });
        let weak = Arc::downgrade(&group);
        tokio::spawn(async move {
            let mut ticks = time::interval(PASS_LASTS);
            while let Some(group) = weak.upgrade() {
                lock(&group.state).tick();
                drop(group);
                ticks.tick().await;
            }
        });
        group
    }

    /// Passes that two ranks began under different maps.
    pub fn two_maps(&self) -> u64 {
        lock(&self.state).two_maps
    }

    /// Changes of the map that took force.
    pub fn changes(&self) -> u64 {
        lock(&self.state).changes
    }

    /// The last pass begun.
    pub fn pass(&self) -> u64 {
        lock(&self.state).pass
    }

    /// Looks at the group, one a pass's time, at which it was paused.
    pub fn paused(&self) -> u64 {
        lock(&self.state).paused
    }

    /// Whether it makes passes: it is not forming.
    pub fn is_open(&self) -> bool {
        lock(&self.state).forms_at.is_none()
    }

    /// A rank is lost: the group forms anew.
    pub fn break_up(&self) {
        let mut state = lock(&self.state);
        state.forms_at = Some(state.ticks + FORM_PASSES);
        state.ranks.iter_mut().for_each(|rank| rank.state.open = false);
    }

    /// What the server of a rank answers to a call that concerns the group; none if
    /// it does not.
    pub fn control(self: &Arc<Self>, rank: usize, got: &Got, running: u32) -> Option<Vec<Act>> {
        let line = got.head.lines().next().unwrap_or_default();
        let mut words = line.split(' ');
        let call = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (status, body) = match call {
            ("GET", "/report") => (200, self.report(rank, running)),
            ("GET", "/picked") => (200, self.picked()),
            ("GET", path) if path.starts_with("/picked?") => (200, self.lists(rank)),
            ("POST", "/order") => return Some(self.order(rank, got)),
            _ => return None,
        };
        Some(vec![answer(status, &body)])
    }

    fn report(&self, rank: usize, running: u32) -> Value {
        let state = lock(&self.state);
        let rank = &state.ranks[rank].state;
        let armed = rank.scheduled.map(|(version, pass)| json!({"version": version, "step": pass}));
        json!({
            "stage": "colocated", "busy": false, "seq": 0, "queued": 0, "running": running,
            "kv_used": running * 1_000, "kv_total": 100_000, "handles": 0, "size": rank.size,
            "group": { "name": self.name, "epoch": rank.epoch, "rank": rank.rank,
                "state": if rank.open { "open" } else { "broken" } },
            "step": rank.pass, "map": rank.map, "prepared": rank.loaded, "armed": armed,
            "held": rank.paused,
        })
    }

    fn picked(&self) -> Value {
        let state = lock(&self.state);
        json!({ "step": state.pass, "epoch": state.ranks[0].state.epoch, "counts": state.counts })
    }

    fn lists(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        let held = &state.ranks[rank];
        let experts: RankExperts = held.map.iter().map(|ranks| ranks[rank].clone()).collect();
        json!({ "map": { "version": held.state.map, "experts": experts } })
    }

    fn order(self: &Arc<Self>, rank: usize, got: &Got) -> Vec<Act> {
        let Some(order) = read(&got.body) else { return vec![answer(400, &json!({}))] };
        let number = self.orders.fetch_add(1, Ordering::Relaxed);
        // A hash of the number, so that a run with one seed repeats.
        let drawn = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        if drawn % 100 < self.late_pct.load(Ordering::Relaxed) {
            let later = LATE_MAX.mul_f64((drawn % 1_000) as f64 / 1_000.0);
            let group = self.clone();
            tokio::spawn(async move {
                time::sleep(later).await;
                lock(&group.state).ranks[rank].take(&order);
            });
            return vec![Act::Hang];
        }
        let status = match lock(&self.state).ranks[rank].take(&order) {
            OrderOutcome::Accepted => 202,
            OrderOutcome::Conflict => 409,
            OrderOutcome::Fenced => 412,
        };
        vec![answer(status, &json!({}))]
    }
}

impl State {
    fn tick(&mut self) {
        self.ticks += 1;
        if let Some(at) = self.forms_at {
            if self.ticks >= at {
                self.forms_at = None;
                self.ranks.iter_mut().for_each(OrderedRank::form_anew);
                let first = dealt_in_turn(self.ranks.len());
                self.ranks.iter_mut().for_each(|rank| rank.map.clone_from(&first));
            }
            return;
        }
        if self.ticks.is_multiple_of(LOAD_PASSES) {
            self.ranks.iter_mut().for_each(OrderedRank::finish_load);
        }
        let next = self.pass + 1;
        if self.ranks.iter().any(|rank| rank.state.paused == Some(next)) {
            self.paused += 1;
            return;
        }
        let before = self.ranks[0].state.map;
        self.pass = next;
        self.ranks.iter_mut().for_each(|rank| rank.begin(next));
        let first = &self.ranks[0];
        let same = |rank: &OrderedRank| rank.state.map == first.state.map && rank.map == first.map;
        self.two_maps += u64::from(!self.ranks.iter().all(same));
        self.changes += u64::from(first.state.map != before);
        self.choose(next);
    }

    /// Demand is steep, and shifts.
    fn choose(&mut self, pass: u64) {
        let shift = (pass / SHIFT_PASSES) as usize * 5;
        for (set, counts) in self.counts.iter_mut().enumerate() {
            for place in 0..EXPERTS {
                counts[(place + shift + set) % EXPERTS] += CHOICES / (place as u64 + 1);
            }
        }
    }
}

/// The map of a group that has just formed.
fn dealt_in_turn(ranks: usize) -> GroupMap {
    let of = |rank: usize| {
        let experts = 0..u16::try_from(EXPERTS).unwrap_or(0);
        experts.filter(|expert| usize::from(*expert) % ranks == rank).collect()
    };
    vec![(0..ranks).map(of).collect(); SETS]
}

fn read(body: &[u8]) -> Option<Order> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let number = |field: &str| body[field].as_u64();
    let kind = match body["op"].as_str()? {
        "prepare" => OrderKind::Load {
            version: number("version")?,
            map: serde_json::from_value(body["map"].clone()).ok()?,
        },
        "arm" => OrderKind::Schedule { version: number("version")?, pass: number("step")? },
        "disarm" => OrderKind::Cancel { version: number("version")? },
        "hold" => OrderKind::Pause { pass: number("step")? },
        "go" => OrderKind::Resume { pass: number("step")? },
        _ => return None,
    };
    let token = number("fencing_token")?;
    Some(Order { token, order_seq: number("expected_rev")?, epoch: number("epoch")?, kind })
}

fn answer(status: u16, body: &Value) -> Act {
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Told\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    Act::Send((head + &body).into_bytes())
}
