//! What callers sent and got, and what servers ran: the promises are checked on it.
//!
//! Only what was seen on sockets counts. An entry is checked as soon as it can be:
//! when a server runs a request, and when its caller has its answer.

use crate::{
    lost::{Disturbances, Ended},
    plan::{Fault, Sizes},
};
use mastweir_test_support::site::Answer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Once,
    /// A stream that another server may take up.
    Stream,
    /// A stream whose prompt has a part under which each server ends.
    Harmful,
    /// Shows which configuration is in force; its route may not be there yet.
    Probe,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// A whole success.
    Served,
    /// Told that it has not run.
    Refused,
    /// Told that it may have run, or a failure of the server's.
    Failed,
    /// An answer began, and broke off.
    Cut,
    /// No answer.
    Broken,
    /// The caller left.
    Left,
}

/// A request as it was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What may be repeated of it.
    pub kind: Kind,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: String,
    /// Milliseconds that its caller waits.
    pub wait_ms: u64,
    /// The gateway that it is sent to.
    pub through: SocketAddr,
    /// Whether its caller leaves before it has its answer.
    pub leaves: bool,
}

/// An arrival at a server.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
    /// The customer that was named.
    pub customer: &'a str,
    /// Milliseconds that were given.
    pub wait_ms: u64,
    /// Whether the server runs it.
    pub runs: bool,
    /// The server.
    pub server: usize,
}

#[derive(Debug)]
struct Request {
    sent: Sent,
    at: Instant,
    arrivals: u32,
    runs: u32,
    /// Servers that ran it.
    ran_at: Vec<usize>,
    /// When its last byte was sent.
    written: Option<Instant>,
    outcome: Option<Outcome>,
    ended: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    requests: HashMap<String, Request>,
    arrivals: Vec<(Instant, bool)>,
    starts: Vec<Instant>,
    broken: Vec<String>,
    /// Servers that ended under the one request that ends them.
    ends: u32,
    /// When servers ended under a harmful prompt.
    prompt_ends: Vec<Instant>,
    /// When harmful prompts reached servers, and the gateway.
    prompts: Vec<(Instant, SocketAddr)>,
    /// When each gateway was last disturbed.
    disturbed: HashMap<SocketAddr, Vec<Instant>>,
    /// Faults, and servers that broke off.
    disturbances: Disturbances,
}

/// Servers that end under a harmful prompt before gateways have to know it, the time until they
/// do, and requests that may still be sent then. A disturbed gateway is out of touch for as long.
const PROMPT_ENDS: usize = 5;
pub const CONTACT: Duration = Duration::from_secs(3);
const PROMPTS_MAX: usize = 3;
/// Servers that may end under one request: three, and three sends more.
const ENDS_MAX: u32 = 6;

/// All of it.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

/// Names of the one customer and of the headers' values that servers give.
pub const CUSTOMER: &str = "north";

impl Ledger {
    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes a broken promise.
    pub fn broken(&self, what: String) {
        self.with(|inner| inner.broken.push(what));
    }

    /// Promises that were broken so far.
    pub fn all_broken(&self) -> Vec<String> {
        self.with(|inner| inner.broken.clone())
    }

    /// A server ended under the request that ends each.
    pub fn server_ended(&self) {
        self.with(|inner| inner.ends += 1);
    }

    /// How many did.
    pub fn servers_ended(&self) -> u32 {
        self.with(|inner| inner.ends)
    }

    /// A server ended under a harmful prompt.
    pub fn ended_under_prompt(&self) {
        self.with(|inner| inner.prompt_ends.push(Instant::now()));
    }

    /// How many did.
    pub fn ends_under_prompts(&self) -> usize {
        self.with(|inner| inner.prompt_ends.len())
    }

    /// A harmful prompt reaches a server.
    pub fn harmful_arrived(&self, id: &str) {
        self.with(|inner| {
            if let Some(request) = inner.requests.get(id) {
                inner.prompts.push((Instant::now(), request.sent.through));
            }
        });
    }

    /// A gateway is or was out of touch.
    pub fn disturbed(&self, gateway: SocketAddr) {
        self.with(|inner| inner.disturbed.entry(gateway).or_default().push(Instant::now()));
    }

    /// A fault begins.
    pub fn began(&self, fault: Fault) {
        self.with(|inner| inner.disturbances.began(fault, Instant::now()));
    }

    /// It is over.
    pub fn ended(&self, fault: Fault) {
        self.with(|inner| inner.disturbances.ended(fault, Instant::now()));
    }

    /// A server breaks off what it runs, or another life begins in its place.
    pub fn broke_off(&self, server: usize) {
        self.with(|inner| inner.disturbances.broke_off(server, Instant::now()));
    }

    /// Harmful prompts have to be kept from servers by gateways that are in touch.
    pub fn check_prompts(&self) {
        let late = self.with(|inner| {
            let Some(fifth) = inner.prompt_ends.get(PROMPT_ENDS - 1) else { return 0 };
            let is_late = |(at, gateway): &&(Instant, SocketAddr)| {
                let times = inner.disturbed.get(gateway).into_iter().flatten();
                let calm = times
                    .into_iter()
                    .all(|time| *time > *at || at.saturating_duration_since(*time) > CONTACT);
                calm && at.saturating_duration_since(*fifth) > CONTACT
            };
            inner.prompts.iter().filter(is_late).count()
        });
        if late > PROMPTS_MAX {
            self.broken(format!("{late} harmful prompts sent late, allowed {PROMPTS_MAX}"));
        }
    }

    /// That request has to be kept from servers at last.
    pub fn check_ends(&self) {
        let ends = self.servers_ended();
        if ends > ENDS_MAX {
            self.broken(format!("{ends} servers ended under one request, allowed {ENDS_MAX}"));
        }
    }

    /// A caller sends a request.
    pub fn sent(&self, id: &str, sent: Sent) {
        let at = Instant::now();
        let request = Request {
            sent,
            at,
            arrivals: 0,
            runs: 0,
            ran_at: Vec::new(),
            written: None,
            outcome: None,
            ended: None,
        };
        self.with(|inner| {
            inner.requests.insert(id.to_owned(), request);
            inner.starts.push(at);
        });
    }

    /// The last byte of a request was sent.
    pub fn written(&self, id: &str) {
        self.with(|inner| {
            if let Some(request) = inner.requests.get_mut(id) {
                request.written = Some(Instant::now());
            }
        });
    }

    /// When a request was sent and to which gateway, and whether its caller stays.
    pub fn origin(&self, id: &str) -> Option<(SocketAddr, Instant, bool)> {
        self.with(|inner| {
            let request = inner.requests.get(id)?;
            Some((request.sent.through, request.at, !request.sent.leaves))
        })
    }

    /// A request reaches a server.
    pub fn arrived(&self, arrival: &Arrival<'_>) {
        let checked = self.with(|inner| {
            let Some(request) = inner.requests.get_mut(arrival.id) else {
                return Err("a request arrives that nobody sent".to_owned());
            };
            inner.arrivals.push((Instant::now(), request.arrivals > 0));
            request.arrivals += 1;
            request.runs += u32::from(arrival.runs);
            request.ran_at.extend(arrival.runs.then_some(arrival.server));
            check_arrival(request, arrival)
        });
        if let Err(what) = checked {
            self.broken(format!("{}: {what}", arrival.id));
        }
    }

    /// A caller has its answer; it is checked against what was sent.
    pub fn answered(&self, id: &str, answer: Option<&Answer>) -> Outcome {
        let checked = self.with(|inner| {
            let request = inner.requests.get_mut(id).ok_or("answered but not sent")?;
            request.ended = Some(Instant::now());
            let outcome = outcome(id, request, answer)?;
            request.outcome = Some(outcome);
            Ok(outcome)
        });
        checked.unwrap_or_else(|what: String| {
            self.broken(format!("{id}: {what}; the answer: {answer:?}"));
            Outcome::Broken
        })
    }

    /// A caller left.
    pub fn left(&self, id: &str) {
        self.with(|inner| {
            if let Some(request) = inner.requests.get_mut(id) {
                request.outcome = Some(Outcome::Left);
            }
        });
    }

    /// Counts by kind and outcome.
    pub fn counts(&self) -> Vec<((Kind, Outcome), usize)> {
        let mut counts: HashMap<(Kind, Outcome), usize> = HashMap::new();
        self.with(|inner| {
            for request in inner.requests.values() {
                let outcome = request.outcome.unwrap_or(Outcome::Broken);
                *counts.entry((request.sent.kind, outcome)).or_default() += 1;
            }
        });
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by_key(|((kind, outcome), _)| (format!("{kind:?}"), *outcome));
        counts
    }

    /// What can only be checked once all is over: late runs of what was refused, and
    /// requests without an end.
    pub fn check_all(&self) {
        let wrong: Vec<String> = self.with(|inner| {
            let requests = inner.requests.iter();
            requests
                .filter_map(|(id, request)| Some(format!("{id}: {}", at_end(request)?)))
                .collect()
        });
        wrong.into_iter().for_each(|what| self.broken(what));
    }

    /// What a sound server works on has to end with a whole answer. Gives how many of these
    /// requests ended with a failure or a refusal instead.
    pub fn check_lost(&self, gateways: &[SocketAddr], sizes: Sizes) -> usize {
        let (lost, replaced) = self.with(|inner| {
            let (mut lost, mut replaced) = (Vec::new(), 0);
            for (id, request) in &inner.requests {
                let Some(ended) = ended(request, gateways) else { continue };
                match request.outcome {
                    Some(Outcome::Cut | Outcome::Broken) => {
                        let what = inner.disturbances.lost(&ended, sizes);
                        lost.extend(what.map(|what| format!("{id}: {what}")));
                    }
                    Some(Outcome::Failed | Outcome::Refused) => {
                        let sound = inner.disturbances.sound_server(&ended, sizes);
                        replaced += usize::from(sound.is_some());
                    }
                    _ => (),
                }
            }
            lost.sort();
            (lost, replaced)
        });
        lost.into_iter().for_each(|what| self.broken(what));
        replaced
    }

    /// Arrivals beyond the first of each request have to stay within a part of the
    /// requests and an extra, in every window.
    pub fn check_retries(&self, window: Duration, ratio: f64, extra: f64) {
        let worst = self.with(|inner| {
            let again: Vec<Instant> =
                inner.arrivals.iter().filter(|(_, again)| *again).map(|(at, _)| *at).collect();
            let within = |list: &[Instant], from: Instant| {
                list.iter().filter(|at| (from..from + window).contains(*at)).count()
            };
            let over = |from: &Instant| {
                let earlier = [Duration::ZERO, window / 2, window].map(|back| {
                    from.checked_sub(back).map_or(0, |from| within(&inner.starts, from))
                });
                let requests = earlier.into_iter().max().unwrap_or(0);
                let allowed = ratio * requests as f64 + extra;
                let count = within(&again, *from);
                (count as f64 > allowed).then_some((count, allowed))
            };
            again.iter().find_map(over)
        });
        if let Some((count, allowed)) = worst {
            self.broken(format!("{count} retries in a window, allowed {allowed:.0}"));
        }
    }
}

fn check_arrival(request: &Request, arrival: &Arrival<'_>) -> Result<(), String> {
    let sent = &request.sent;
    if arrival.path != sent.path || arrival.body != sent.body.as_bytes() {
        return Err(format!("changed on its way: {arrival:?}"));
    }
    if arrival.customer != CUSTOMER {
        return Err(format!("arrives for another customer: {}", arrival.customer));
    }
    if arrival.wait_ms > sent.wait_ms {
        return Err(format!("given {} ms of {}", arrival.wait_ms, sent.wait_ms));
    }
    if sent.kind == Kind::Once && request.runs > 1 {
        return Err("runs twice".to_owned());
    }
    Ok(())
}

fn ended<'a>(request: &'a Request, gateways: &[SocketAddr]) -> Option<Ended<'a>> {
    Some(Ended {
        sent: request.at,
        written: request.written,
        end: request.ended?,
        wait: Duration::from_millis(request.sent.wait_ms),
        gateway: gateways.iter().position(|gateway| *gateway == request.sent.through)?,
        ran_at: &request.ran_at,
    })
}

fn at_end(request: &Request) -> Option<&'static str> {
    let refused = request.outcome == Some(Outcome::Refused);
    if refused && request.sent.kind == Kind::Once && request.runs > 0 {
        return Some("told that it has not run, and it has");
    }
    let end = request.at + Duration::from_millis(request.sent.wait_ms);
    let late = end.elapsed() > Duration::from_secs(2);
    (request.outcome.is_none() && late).then_some("has no end")
}

fn outcome(id: &str, request: &Request, answer: Option<&Answer>) -> Result<Outcome, String> {
    let Some(answer) = answer.filter(|answer| answer.status != 0) else {
        return Ok(Outcome::Broken);
    };
    let signature = answer.header("response-signature");
    match answer.status {
        200 => whole(id, request, answer),
        408 | 421 | 429 | 503 if signature.is_some() => {
            Err("a server's own failure promises that it has not run".to_owned())
        }
        408 | 421 | 429 | 503 => Ok(Outcome::Refused),
        500 | 502 | 504 => Ok(Outcome::Failed),
        404 if request.sent.kind == Kind::Probe => Ok(Outcome::Refused),
        status => Err(format!("{status} for a request that is allowed")),
    }
}

/// A success has to be the server's, of this request, and whole.
fn whole(id: &str, request: &Request, answer: &Answer) -> Result<Outcome, String> {
    let signature = answer.header("response-signature").ok_or("a success without a signature")?;
    if answer.header("request-id") != Some(id) {
        return Err("a success of another request".to_owned());
    }
    if !matches!(request.sent.kind, Kind::Stream | Kind::Harmful) {
        let right = answer.body == body_of(id, signature);
        return match (answer.whole, right) {
            (false, _) => Ok(Outcome::Cut),
            (true, true) => Ok(Outcome::Served),
            (true, false) => Err("the body is not the server's".to_owned()),
        };
    }
    let (events, all) = (answer.body.as_str(), events_of(id));
    match (answer.whole, all.starts_with(events), events == all) {
        (true, _, true) => Ok(Outcome::Served),
        (false, true, _) => Ok(Outcome::Cut),
        _ => Err("a piece of the stream is missing, doubled or not its own".to_owned()),
    }
}

/// The body of a plain answer.
pub fn body_of(id: &str, signature: &str) -> String {
    format!("{id} by {signature}")
}

/// Events of a request's stream: whichever server sends them, they are the same.
pub fn events_of(id: &str) -> String {
    events_after(id, 0).concat()
}

/// The events behind the one of a number.
pub fn events_after(id: &str, last: usize) -> Vec<String> {
    let count = 4 + id.bytes().map(usize::from).sum::<usize>() % 9;
    (last + 1..=count).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect()
}
