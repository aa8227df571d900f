//! A group of model servers in lock-step, as `PROTOCOL.md` of the users describes it. Each rank
//! answers `/report`, `/picked` and `/order` on its machine's own address.

use crate::{
    http::{self, Request},
    world::Record,
};
use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const SETS: usize = 2;
pub const EXPERTS: usize = 12;
pub const PLACES: usize = 8;
const PASS: Duration = Duration::from_millis(30);
/// Time to copy the experts of a new map.
const COPY: Duration = Duration::from_millis(150);
/// Other experts are in demand after as many passes.
const SHIFT: u64 = 53;
/// Choices of a rank in a set, a pass.
const CHOICES: u64 = 60;
/// The time after which an order that got no answer is carried out.
const LATE: Duration = Duration::from_secs(3);

/// Experts by set and rank.
type Map = Vec<Vec<Vec<u16>>>;

#[derive(Clone, Debug)]
struct Rank {
    seq: u64,
    fence: u64,
    map: (u64, Map),
    had: u64,
    prepared: Option<(u64, Map, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

struct State {
    ranks: Vec<Rank>,
    pass: u64,
    counts: Vec<u64>,
    changes: u64,
    /// Passes that began under different maps.
    broken: Vec<u64>,
}

/// The group.
pub struct Group {
    state: Mutex<State>,
    /// Notified when a rank no longer holds the group.
    released: Condvar,
    record: Arc<Record>,
    /// How many of the next orders to arm the last rank are left unanswered and carried out late.
    unanswered: AtomicU32,
    /// Whether the same befalls the next one that comes over a connection that has carried an
    /// order, and a second answer to that order arrives instead.
    extra: AtomicBool,
    struck: AtomicBool,
}

impl Group {
    /// Starts a group whose ranks listen at these addresses.
    pub fn start(record: &Arc<Record>, ranks: &[SocketAddr]) -> Arc<Self> {
        // Map 0 deals out experts in turn.
        let of = |rank: usize| {
            let all = 0..EXPERTS as u16;
            all.filter(|expert| usize::from(*expert) % ranks.len() == rank).collect::<Vec<u16>>()
        };
        let first: Map = vec![(0..ranks.len()).map(of).collect(); SETS];
        let rank = Rank {
            seq: 0,
            fence: 0,
            map: (0, first),
            had: 0,
            prepared: None,
            armed: None,
            held: None,
        };
        let state = State {
            ranks: vec![rank; ranks.len()],
            pass: 0,
            counts: vec![0; SETS * EXPERTS],
            changes: 0,
            broken: Vec::new(),
        };
        let group = Arc::new(Self {
            state: Mutex::new(state),
            released: Condvar::new(),
            record: record.clone(),
            unanswered: AtomicU32::new(0),
            extra: AtomicBool::new(false),
            struck: AtomicBool::new(false),
        });
        let passing = group.clone();
        thread::spawn(move || loop {
            thread::sleep(PASS);
            passing.pass();
        });
        for (number, addr) in ranks.iter().enumerate() {
            let listener = TcpListener::bind(addr).unwrap();
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || group.serve(number, stream));
                }
            });
        }
        group
    }

    /// Lets four orders meet the fault: the next one to arm the last rank and two repetitions of it,
    /// and the next one to arm over a connection that has carried an order.
    pub fn set_fault(&self) {
        self.unanswered.store(3, Ordering::SeqCst);
        self.extra.store(true, Ordering::SeqCst);
    }

    /// Whether the last of them has.
    pub fn is_struck(&self) -> bool {
        self.struck.load(Ordering::SeqCst)
    }

    /// Changes of the map that are in force, and the passes that began under different maps.
    pub fn seen(&self) -> (u64, Vec<u64>) {
        let state = self.state.lock().unwrap();
        (state.changes, state.broken.clone())
    }

    /// Begins a pass, once no rank holds the group before it.
    fn pass(&self) {
        let state = self.state.lock().unwrap();
        let is_held =
            |state: &mut State| state.ranks.iter().any(|rank| rank.held == Some(state.pass + 1));
        let mut state = self.released.wait_while(state, is_held).unwrap();
        let state = &mut *state;
        let next = state.pass + 1;
        state.pass = next;
        let mut taken = 0;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next) {
                let prepared = rank.prepared.take();
                if let Some((_, map, _)) = prepared.filter(|(of, ..)| *of == version) {
                    rank.map = (version, map);
                    taken += 1;
                }
                rank.armed = None;
            }
        }
        let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.map.0).collect();
        if state.ranks.iter().any(|rank| rank.map != state.ranks[0].map) {
            state.broken.push(next);
            if state.broken.len() == 1 {
                self.record.line(&format!(
                    "pass {next} begins under different maps: versions {versions:?}"
                ));
            }
        } else if taken > 0 {
            state.changes += 1;
            self.record.line(&format!("pass {next} begins under a new map: versions {versions:?}"));
        }
        // A few experts are in demand, and then others.
        let favourite = (next / SHIFT * 5) as usize % EXPERTS;
        for set in 0..SETS {
            for at in 0..EXPERTS {
                let weight = if at == favourite { 8 } else { 1 };
                state.counts[set * EXPERTS + at] += CHOICES * weight / (EXPERTS as u64 + 7);
            }
        }
    }

    fn serve(self: &Arc<Self>, rank: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        // The answer to the order before, if that was the last request of this connection.
        let mut before: Option<Vec<u8>> = None;
        let last = self.state.lock().unwrap().ranks.len() - 1;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let is_order = request.target == "/order";
            let op = text(&request, "op");
            let is_arm = is_order && op == "arm";
            if is_arm && before.is_some() && self.extra.swap(false, Ordering::SeqCst) {
                self.struck.store(true, Ordering::SeqCst);
                self.carry_out_late(rank, request);
                self.record.line(&format!(
                    "rank {rank}: a second answer to the order before it on this connection is sent instead"
                ));
                let _ = reader.get_mut().write_all(&before.take().unwrap_or_default());
                continue;
            }
            let left = |count: u32| count.checked_sub(1);
            let is_unanswered = is_arm
                && before.is_none()
                && rank == last
                && self.unanswered.fetch_update(Ordering::SeqCst, Ordering::SeqCst, left).is_ok();
            if is_unanswered {
                self.carry_out_late(rank, request);
                continue;
            }
            let (status, body) = match request.target.as_str() {
                "/report" => ("200 OK", self.report(rank)),
                "/picked" => ("200 OK", self.picked()),
                "/order" => self.order(rank, &request),
                path if path.starts_with("/picked?") => ("200 OK", self.lists(rank)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let bytes =
                http::answer(status, &[("Content-Type", "application/json")], body.as_bytes());
            if reader.get_mut().write_all(&bytes).is_err() {
                return;
            }
            before = Some(bytes).filter(|_| is_order && status.starts_with("202"));
        }
    }

    /// Leaves an order unanswered, and carries it out late.
    fn carry_out_late(self: &Arc<Self>, rank: usize, request: Request) {
        self.record.line(&format!(
            "rank {rank}: order {} gets no answer, and is carried out {} s later",
            String::from_utf8_lossy(&request.body),
            LATE.as_secs()
        ));
        let late = self.clone();
        thread::spawn(move || {
            thread::sleep(LATE);
            let (status, _) = late.order(rank, &request);
            late.record.line(&format!("rank {rank}: the late order is carried out: {status}"));
        });
    }

    fn report(&self, number: usize) -> String {
        let state = self.state.lock().unwrap();
        let rank = &state.ranks[number];
        let copied = rank.prepared.as_ref().filter(|(.., at)| *at <= Instant::now());
        let busy = rank.prepared.is_some() && copied.is_none();
        let prepared = copied.map_or("null".to_owned(), |(version, ..)| version.to_string());
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| {
            format!(r#"{{"version":{version},"step":{step}}}"#)
        });
        let held = rank.held.map_or("null".to_owned(), |step| step.to_string());
        format!(
            r#"{{"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{busy},"seq":{},"queued":0,"running":6,"kv_used":41000,"kv_total":90000,"handles":0,"pace":1.0,"group":{{"name":"g1","epoch":1,"rank":{number},"state":"open"}},"size":{},"step":{},"map":{},"prepared":{prepared},"armed":{armed},"held":{held}}}"#,
            rank.seq,
            state.ranks.len(),
            state.pass,
            rank.map.0
        )
    }

    fn picked(&self) -> String {
        let state = self.state.lock().unwrap();
        let counts: Vec<String> = state.counts.iter().map(u64::to_string).collect();
        format!(r#"{{"step":{},"epoch":1,"counts":[{}]}}"#, state.pass, counts.join(","))
    }

    fn lists(&self, number: usize) -> String {
        let state = self.state.lock().unwrap();
        let (version, map) = &state.ranks[number].map;
        let own: Vec<&Vec<u16>> = map.iter().map(|set| &set[number]).collect();
        format!(
            r#"{{"step":{},"epoch":1,"map":{{"version":{version},"experts":{own:?}}},"prepared":null}}"#,
            state.pass
        )
    }

    fn order(&self, number: usize, request: &Request) -> (&'static str, String) {
        let field = |name: &str| field(request, name);
        let mut state = self.state.lock().unwrap();
        let pass = state.pass;
        let rank = &mut state.ranks[number];
        let fence = field("fencing_token").unwrap_or(0);
        let status = if fence < rank.fence {
            "412 Precondition Failed"
        } else if field("epoch") != Some(1)
            || field("expected_rev").is_some_and(|seq| seq != rank.seq)
        {
            "409 Conflict"
        } else {
            let version = field("version").unwrap_or(0);
            let step = field("step").unwrap_or(0);
            let copied = rank.prepared.as_ref().filter(|(.., at)| *at <= Instant::now());
            let is_prepared = copied.is_some_and(|(of, ..)| *of == version);
            let done = match text(request, "op").as_str() {
                "prepare" if version > rank.had && rank.armed.is_none() => {
                    rank.had = version;
                    rank.prepared = Some((version, map(request), Instant::now() + COPY));
                    true
                }
                "arm" if is_prepared && step > pass => {
                    rank.armed = Some((version, step));
                    true
                }
                "disarm" => rank.armed.take_if(|(of, _)| *of == version).is_some(),
                "hold" if step > pass => {
                    rank.held = Some(step);
                    true
                }
                "go" => rank.held.take_if(|held| *held == step).is_some(),
                _ => false,
            };
            if done {
                rank.fence = fence;
                rank.seq += 1;
                "202 Accepted"
            } else {
                "409 Conflict"
            }
        };
        drop(state);
        self.released.notify_all();
        let body = String::from_utf8_lossy(&request.body);
        let brief = body.split(",\"map\"").next().unwrap_or_default();
        self.record.line(&format!("rank {number} gets {brief} in pass {pass}: {status}"));
        (status, "{}".to_owned())
    }
}

/// Returns a number of an order's body.
fn field(request: &Request, name: &str) -> Option<u64> {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let key = format!("\"{name}\":");
    let rest = &body[body.find(&key)? + key.len()..];
    rest.split(|char: char| !char.is_ascii_digit()).next()?.parse().ok()
}

/// Returns a word of an order's body.
fn text(request: &Request, name: &str) -> String {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let key = format!("\"{name}\":\"");
    let found = body.find(&key).map(|at| body[at + key.len()..].to_owned()).unwrap_or_default();
    found.split('"').next().unwrap_or_default().to_owned()
}

/// Returns the map of an order: three levels of lists.
fn map(request: &Request) -> Map {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let Some(at) = body.find("\"map\":") else { return Map::new() };
    let mut sets = Map::new();
    let (mut depth, mut number) = (0, String::new());
    for char in body[at + 6..].chars() {
        if !char.is_ascii_digit() && !number.is_empty() {
            let expert = number.parse().unwrap();
            sets.last_mut().unwrap().last_mut().unwrap().push(expert);
            number.clear();
        }
        match char {
            '[' => {
                depth += 1;
                match depth {
                    2 => sets.push(Vec::new()),
                    3 => sets.last_mut().unwrap().push(Vec::new()),
                    _ => (),
                }
            }
            ']' => {
                depth -= 1;
                if depth == 0 {
                    break;
                }
            }
            digit if digit.is_ascii_digit() => number.push(digit),
            _ => (),
        }
    }
    // Each expert lies somewhere, or the order would not be one.
    let is_whole = sets.iter().all(|set| {
        let held: HashSet<u16> = set.iter().flatten().copied().collect();
        held.len() == EXPERTS && set.iter().all(|rank| rank.len() <= PLACES)
    });
    if is_whole {
        sets
    } else {
        Map::new()
    }
}
