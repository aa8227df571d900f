//! The choice among the servers that a gateway knows.
//!
//! [`Fleet`] joins which servers there are ([`Roster`]) with what this gateway sees
//! itself ([`Seen`]): its requests in flight, the reports of the servers' sidecars, and
//! how attempts ended. Reports lag, and all gateways see the same; so a choice is the
//! least loaded of a few drawn at random, and requests sent since a report count on
//! top of it.

use super::{
    admission::Stream,
    directory::{Directory, DirectoryChange, Server},
    fit::Fit,
    roster::Roster,
    seen::{SILENT_FROM, Seen, Told},
};
use crate::time::Uptime;
use rand::Rng;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

/// Why no server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service is known that might serve.
    NoServer,
    /// All are full.
    Full,
    /// The groups of all of them stand still.
    Standing,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: String,
    /// Its life; zero if that is not known.
    pub born: u64,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its load at the choice, over its slots, in thousandths.
    pub load_milli: u32,
    /// Age of the report that the choice used, if there was one.
    pub report_age: Option<Duration>,
    /// Milliseconds that its group's passes take, as far as is known.
    pub pass_ms: f64,
}

/// A report older than this is not used; four of them are missing by then.
const REPORT_LASTS: Duration = Duration::from_millis(1_000);
/// What a sidecar said is told on for this long: by then its silence counts no more.
const TOLD_ON: Duration = Duration::from_secs(10);
/// A gateway that sidecars are to report to hears them by then: they are greeted twice a
/// second.
const HEARS_FROM: Duration = Duration::from_secs(2);
/// What a coordinator said of its group's passes is not used longer than this; it
/// says so again each 80 ms while it changes the map.
const PACE_LASTS: Duration = Duration::from_millis(300);
/// The number of its last word is remembered longer: none is on its way after that.
const WORDS_LAST: Duration = Duration::from_secs(30);
/// The mean load of a service's servers is used for this long: a twentieth of a pass's
/// worth of arrivals.
const CROWD_LASTS: Duration = Duration::from_millis(20);
/// Servers drawn for a choice.
const DRAWN: usize = 4;
/// Servers of whose reports the mean load is taken: it is off by 3 in 100 then.
const SAMPLED: usize = 64;
/// Load of a server up to which a stream goes there that was taken on by the mean of all:
/// of four drawn the least loaded is seldom fuller.
const DRAWN_ROOM: f64 = 1.5;
/// Passes without an event after which a connection is taken for one that went silent. What
/// is known of a server's passes may be four behind; the others leave room for a prompt that
/// is read again when memory runs out.
const MUTE_PASSES: u64 = 12;
/// Failures in a row after which a server is left out for a while.
const FAILURES_MAX: u32 = 3;
/// Load over its slots up to which a server that refuses is taken for one that can't
/// serve, not for a full one.
const REFUSED_ROOM: f64 = 0.8;
/// Load of another hall's server, over that of one's own: a tenth of a place.
const OTHER_HALL: f64 = 0.1;

/// Servers with what is known of each.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    hall: String,
    roster: Roster,
    seen: HashMap<String, Seen>,
    /// What each group's coordinator said of its passes.
    paces: HashMap<String, Pace>,
    /// Loads of the services' servers, by what was last asked for.
    crowds: RefCell<HashMap<String, Crowd>>,
    /// Since when sidecars report here, if they do.
    hears: Option<Uptime>,
}

/// What a coordinator said of its group's passes.
#[derive(Clone, Copy, Debug)]
struct Pace {
    at: Uptime,
    /// Its token, and the number of the word.
    word: (u64, u64),
    pass_ms: f64,
}

/// How a service's servers were loaded a moment ago.
#[derive(Clone, Copy, Debug)]
struct Crowd {
    at: Uptime,
    /// Mean load over their places, and milliseconds of a pass; none if the groups of all
    /// stood still.
    load: Option<(f64, f64)>,
}

impl Crowd {
    fn admits(self, stream: Stream) -> Result<(), Refusal> {
        let (load, _) = self.load.ok_or(Refusal::Standing)?;
        if stream.is_admitted(load) { Ok(()) } else { Err(Refusal::Full) }
    }
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Needs<'a> {
    /// Its service.
    pub service: &'a str,
    /// Servers that won't do any more.
    pub tried: &'a [String],
    /// Load over a server's slots up to which it may get the request.
    pub room: f64,
    /// Longest wanted pause between two events, in ms; zero if that doesn't matter.
    pub gap_ms: f64,
    /// What it takes, if it is a stream that may still be refused.
    pub stream: Option<Stream>,
}

impl Fleet {
    /// A fleet as seen from a hall.
    pub fn new(hall: &str) -> Self {
        Self { hall: hall.to_owned(), ..Self::default() }
    }

    /// The list in force.
    pub const fn directory(&self) -> &Directory {
        self.roster.directory()
    }

    /// Takes a newer list in. Older ones are ignored, so no peer and no stale
    /// read takes a gateway back. Right behind an outage of the platform's list,
    /// what it lacks may have lapsed, and is kept for now.
    pub fn replace(&mut self, directory: Directory, after_outage: bool, now: Uptime) -> bool {
        if !self.roster.replace(directory, after_outage, now) {
            return false;
        }
        for server in self.roster.directory().servers.values() {
            let seen = self.seen.entry(server.id.clone()).or_default();
            seen.listed.get_or_insert(now);
            seen.enter(server.born);
        }
        self.forget_gone();
        true
    }

    /// Drops servers that lapsed and did not come back; gives their ids.
    pub fn drop_lapsed(&mut self, now: Uptime) -> Vec<String> {
        let gone = self.roster.drop_lapsed(now);
        self.forget_gone();
        gone
    }

    fn forget_gone(&mut self) {
        let roster = &self.roster;
        self.seen.retain(|id, seen| roster.server(id).is_some() || seen.in_flight > 0);
    }

    /// Takes in what a server's sidecar says.
    pub fn told(&mut self, id: &str, told: Told, now: Uptime) {
        self.told_before(id, told, Duration::ZERO, now);
    }

    /// Takes in what a server's sidecar said `age` ago, as another gateway tells it on.
    pub fn told_before(&mut self, id: &str, told: Told, age: Duration, now: Uptime) {
        if self.roster.server(id).is_some() {
            let seen = self.seen.entry(id.to_owned()).or_default();
            if seen.enter(told.born) {
                seen.told_by_sidecar(told, now - age, now);
            }
        }
    }

    /// The newest life of a server at an address.
    pub fn id_at(&self, addr: SocketAddr) -> Option<&str> {
        self.roster.at(addr)
    }

    /// From now on sidecars report here, or, with none, only others tell of them.
    pub fn hears_sidecars(&mut self, since: Option<Uptime>) {
        self.hears = since;
    }

    /// What sidecars said, with the time since then, and where: as far as it still tells
    /// something.
    pub fn loads(&self, now: Uptime) -> impl Iterator<Item = (&Server, Duration, &Told)> {
        self.roster.directory().servers.values().filter_map(move |server| {
            let seen = self.seen.get(&server.id).filter(|seen| seen.reported)?;
            let (at, told) = seen.told.as_ref()?;
            let age = now.since(*at);
            let is_newest = self.roster.at(server.addr) == Some(&server.id);
            (is_newest && age < TOLD_ON).then_some((server, age, told))
        })
    }

    /// What changed in the list since a revision.
    pub fn changes_since(&self, revision: u64) -> DirectoryChange {
        self.roster.changes_since(revision)
    }

    /// Until when the age of what a sidecar said counts: now where sidecars report here,
    /// else when another gateway last told of it. One that hears neither must not take all
    /// servers for silent.
    fn heard_until(&self, seen: &Seen, now: Uptime) -> Uptime {
        let hears = self.hears.is_some_and(|since| now.since(since) >= HEARS_FROM);
        if hears { now } else { seen.mentioned }
    }

    /// A group's coordinator expects its passes to take so long. False if that word of it,
    /// or a later one, was heard: then it is not told on.
    pub fn paced(&mut self, group: &str, word: (u64, u64), pass_ms: u32, now: Uptime) -> bool {
        if self.paces.get(group).is_some_and(|known| known.word >= word) {
            return false;
        }
        self.paces.retain(|_, known| now.since(known.at) < WORDS_LAST);
        let pace = Pace { at: now, word, pass_ms: f64::from(pass_ms) };
        self.paces.insert(group.to_owned(), pace);
        true
    }

    /// Takes in the load that a server wrote into an answer.
    pub fn answered_load(&mut self, id: &str, running: u32, waiting: u32, now: Uptime) {
        let Some(seen) = self.seen.get_mut(id) else { return };
        // A sidecar says more, and sooner.
        let fresh = seen.reported
            && seen.told.as_ref().is_some_and(|(at, _)| now.since(*at) < REPORT_LASTS);
        if fresh {
            return;
        }
        let told = Told { running, waiting, group_open: true, ..Told::default() };
        seen.told = Some((now, told));
        seen.reported = false;
        seen.forget_before(now);
    }

    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] says whether there is no server, or none with room.
    pub fn choose(
        &self,
        needs: Needs<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Result<Candidate, Refusal> {
        let Needs { service, tried, room, .. } = needs;
        let refused = needs.stream.and_then(|stream| self.is_refused(service, stream, now));
        if let Some(refusal) = refused {
            return Err(refusal);
        }
        let ready = self.roster.ready(service);
        let untried: Vec<&String> = ready
            .iter()
            .filter(|id| !tried.contains(id) && !self.roster.has_lapsed(id, now))
            .collect();
        let usual = self.sidecars_usual(ready, now);
        let is_closed = |id: &&String| self.seen.get(*id).is_some_and(|seen| seen.is_closed(now));
        let open: Vec<&String> = untried.iter().copied().filter(|id| !is_closed(id)).collect();
        let is_silent = |id: &&String| {
            self.seen
                .get(*id)
                .is_some_and(|seen| seen.is_silent(usual, self.heard_until(seen, now), now))
        };
        let (silent, heard): (Vec<&String>, Vec<&String>) =
            open.iter().copied().partition(is_silent);
        // When none is left the fault is more likely on this side.
        let reachable = [heard, open, untried].into_iter().find(|ids| !ids.is_empty());
        let Some(reachable) = reachable else {
            let missing = self.roster.last_resort(service, tried, now).ok_or(Refusal::NoServer)?;
            return Ok(self.candidate(missing, Fit::default(), now));
        };
        let usable = self.not_failing(reachable, now);
        if let Some(stream) = needs.stream {
            return self.choose_for(stream, &usable, needs, now, rng);
        }
        let best = self.best(&draw(&usable, DRAWN, rng), needs, now);
        let best = best.filter(|(fit, _)| fit.has_room(room));
        // The few drawn are full: look at all of them.
        let best = best.or_else(|| self.best(&usable, needs, now)).ok_or(Refusal::NoServer)?;
        let (fit, id) = if best.0.has_room(room) {
            best
        } else if best.0.stands {
            return Err(Refusal::Standing);
        } else {
            // Sidecars may be lost where servers are not.
            let unheard = self.best(&silent, needs, now);
            unheard.filter(|(fit, _)| fit.has_room(room)).ok_or(Refusal::Full)?
        };
        let server = self.roster.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, fit, now))
    }

    /// Chooses a server for a stream that may still be refused.
    fn choose_for(
        &self,
        stream: Stream,
        usable: &[&String],
        needs: Needs<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Result<Candidate, Refusal> {
        let sample = draw(usable, SAMPLED, rng);
        let crowd = Crowd { at: now, load: self.crowd(&sample, now) };
        self.crowds.borrow_mut().insert(needs.service.to_owned(), crowd);
        crowd.admits(stream)?;
        let best = self.best(&draw(usable, DRAWN, rng), needs, now);
        let best = best.filter(|(fit, _)| fit.has_room(DRAWN_ROOM));
        let best = best.or_else(|| self.best(&sample, needs, now));
        let (fit, id) = best.filter(|(fit, _)| fit.has_room(DRAWN_ROOM)).ok_or(Refusal::Full)?;
        let server = self.roster.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, fit, now))
    }

    /// Mean load of these servers over their places, and of their groups' passes; none if
    /// the groups of all stand still.
    fn crowd(&self, ids: &[&String], now: Uptime) -> Option<(f64, f64)> {
        let fits = ids.iter().map(|id| self.fit(id, 0.0, now)).filter(|fit| !fit.stands);
        let sum = |(load, pass_ms, count): (f64, f64, f64), fit: Fit| {
            (load + fit.taken, pass_ms + fit.pass_ms, count + 1.0)
        };
        let (load, pass_ms, count) = fits.fold((0.0, 0.0, 0.0), sum);
        (count > 0.0).then(|| (load / count, pass_ms / count))
    }

    /// Milliseconds of a pass of a service's groups, on average, by what was last asked for;
    /// zero before that.
    pub fn pass_ms_of(&self, service: &str) -> f64 {
        let crowds = self.crowds.borrow();
        let load = crowds.get(service).and_then(|crowd| crowd.load);
        load.map_or(0.0, |(_, pass_ms)| pass_ms)
    }

    /// Whether a stream was refused by what is known of its service's servers a moment ago:
    /// a hundred that wait would each ask all of them.
    fn is_refused(&self, service: &str, stream: Stream, now: Uptime) -> Option<Refusal> {
        let crowds = self.crowds.borrow();
        let crowd = crowds.get(service).filter(|crowd| now.since(crowd.at) < CROWD_LASTS)?;
        crowd.admits(stream).err()
    }

    /// Those whose requests don't fail, or all if that is most of them.
    fn not_failing<'a>(&self, ids: Vec<&'a String>, now: Uptime) -> Vec<&'a String> {
        let is_failing = |id: &&String| self.seen.get(*id).is_some_and(|seen| seen.is_failing(now));
        let sound: Vec<&String> = ids.iter().copied().filter(|id| !is_failing(id)).collect();
        if sound.len() * 2 < ids.len() { ids } else { sound }
    }

    /// The server that fits best; any with room before one without.
    fn best<'a>(
        &self,
        ids: &[&'a String],
        needs: Needs<'_>,
        now: Uptime,
    ) -> Option<(Fit, &'a String)> {
        let fits = ids.iter().map(|id| (self.fit(id, needs.gap_ms, now), *id));
        let rank = |fit: Fit| (!fit.has_room(needs.room), fit.score());
        fits.min_by(|a, b| {
            let (a, b) = (rank(a.0), rank(b.0));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// A request was sent to a server.
    pub fn sent(&mut self, id: &str, now: Uptime) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.in_flight += 1;
        seen.note_sent(now);
    }

    /// A request ended that was sent to one life of a server; `failed` if it got no whole
    /// answer. Of a life that is over nothing is kept.
    pub fn ended(&mut self, id: &str, born: u64, failed: bool, now: Uptime) {
        let Some(seen) = self.seen.get_mut(id).filter(|seen| !seen.is_over(born)) else { return };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        seen.note_ended(now);
        seen.failures = if failed { seen.failures + 1 } else { 0 };
        if seen.failures >= FAILURES_MAX {
            seen.left_out = Some(now);
            seen.failures = 0;
        }
    }

    /// A server refused a request that it had room for: its group stands still, and
    /// with it all servers of that group, until their sidecars say otherwise.
    pub fn refused(&mut self, id: &str, load_milli: u32, now: Uptime) {
        if f64::from(load_milli) >= REFUSED_ROOM * 1_000.0 {
            return;
        }
        let Some(seen) = self.seen.get_mut(id) else { return };
        let group = seen.told.as_ref().and_then(|(_, told)| told.group.clone());
        if group.is_none() {
            seen.told = Some((now, Told { group_open: false, ..Told::default() }));
            return;
        }
        let told = self.seen.values_mut().filter_map(|seen| seen.told.as_mut());
        told.filter(|(_, told)| told.group == group).for_each(|(_, told)| told.group_open = false);
    }

    /// A server answered, whatever it said.
    pub fn reached(&mut self, id: &str) {
        if let Some(seen) = self.seen.get_mut(id) {
            seen.unopened = 0;
        }
    }

    /// No connection to a server opened, or another one has its address by now.
    pub fn unreachable(&mut self, id: &str, now: Uptime) {
        let seen = self.seen.entry(id.to_owned()).or_default();
        seen.unopened = seen.unopened.saturating_add(1);
        seen.unopened_at = now;
    }

    /// What a server said last.
    pub fn last_told(&self, id: &str) -> Option<&Told> {
        self.seen.get(id)?.told.as_ref().map(|(_, told)| told)
    }

    /// Requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.seen.values().map(|seen| seen.in_flight).sum()
    }

    /// Whether a life of a server can't be reached, as far as can be told: another has
    /// begun, and what it ran is gone; its sidecar has fallen silent; or it was never heard
    /// while most others of its service were. A group that stands still is no reason to
    /// leave it: it goes on soon, and the others can't carry its requests on top of theirs.
    pub fn is_stuck(&self, id: &str, born: u64, now: Uptime) -> bool {
        let Some(seen) = self.seen.get(id) else { return false };
        if seen.is_over(born) {
            return true;
        }
        let ready = self.roster.server(id).map(|server| self.roster.ready(&server.service));
        let usual = ready.is_some_and(|ready| self.sidecars_usual(ready, now));
        seen.is_silent(usual, self.heard_until(seen, now), now)
    }

    /// Whether what a server sends to one of its requests does not come: its group has made
    /// many passes since a moment at which it had made `pass`, and each of them brings a
    /// request that runs there an event. One that does not run yet may wait there.
    pub fn is_mute(&self, id: &str, pass: u64, runs: bool, now: Uptime) -> bool {
        let Some(seen) = self.seen.get(id).filter(|seen| seen.reported) else { return false };
        let Some((at, told)) = &seen.told else { return false };
        let is_fresh = now.since(*at) < SILENT_FROM;
        let must_run = runs || told.waiting == 0;
        is_fresh && must_run && told.running > 0 && told.pass >= pass + MUTE_PASSES
    }

    /// Time until a server counts as stuck if nothing is heard of it meanwhile; none
    /// if that can't be told.
    pub fn stuck_in(&self, id: &str, now: Uptime) -> Option<Duration> {
        let at = self.seen.get(id)?.silent_at()?;
        (at > now).then(|| at.since(now))
    }

    /// Whether most of these servers have a sidecar that reports.
    fn sidecars_usual(&self, ids: &[String], now: Uptime) -> bool {
        let reports = |id: &&String| {
            let told = self.seen.get(*id).filter(|seen| seen.reported);
            let told = told.and_then(|seen| seen.told.as_ref());
            told.is_some_and(|(at, _)| now.since(*at) < SILENT_FROM)
        };
        ids.iter().filter(reports).count() * 2 > ids.len()
    }

    fn fit(&self, id: &str, gap_ms: f64, now: Uptime) -> Fit {
        let Some(server) = self.roster.server(id) else { return Fit::default() };
        let seen = self.seen.get(id);
        let places = f64::from(server.slots.max(1));
        let away = if server.hall == self.hall { 0.0 } else { OTHER_HALL };
        let told = seen.and_then(|seen| seen.told.as_ref());
        let told = told.filter(|(at, _)| now.since(*at) < REPORT_LASTS);
        let own = seen.map_or(0, |seen| seen.in_flight);
        let Some((_, told)) = told else {
            let taken = f64::from(own) / places;
            return Fit { load: taken + away / places, taken, ..Fit::default() };
        };
        let since = seen.map_or(0, |seen| seen.sent.len() as u32);
        let ended = seen.map_or(0, |seen| seen.ended.len() as u32);
        let load = (told.running + told.waiting + since).saturating_sub(ended).max(own);
        let pass_ms = self.pass_ms(told, now);
        let slow = if gap_ms > 0.0 { (pass_ms / gap_ms - 1.0).max(0.0) } else { 0.0 };
        // Its whole group waits for a slow server, the longer the more it has.
        let pace = f64::from(told.pace_milli.max(1_000)) / 1_000.0;
        let taken = f64::from(load) / places;
        let load = taken * pace + away / places;
        Fit { load, taken, slow, pass_ms, stands: !told.group_open }
    }

    /// Milliseconds of a pass of a server's group: what its coordinator expects, or
    /// what its sidecar saw.
    fn pass_ms(&self, told: &Told, now: Uptime) -> f64 {
        let pace = told.group.as_ref().and_then(|group| self.paces.get(group));
        let pace = pace.filter(|pace| now.since(pace.at) < PACE_LASTS);
        pace.map_or(f64::from(told.pass_ms), |pace| pace.pass_ms)
    }

    fn candidate(&self, server: &Server, fit: Fit, now: Uptime) -> Candidate {
        let seen = self.seen.get(&server.id);
        let told = seen.and_then(|seen| seen.told.as_ref());
        Candidate {
            id: server.id.clone(),
            born: seen.map_or(server.born, |seen| seen.born),
            addr: server.addr,
            load_milli: (fit.load * 1_000.0) as u32,
            report_age: told.map(|(at, _)| now.since(*at)),
            pass_ms: fit.pass_ms,
        }
    }
}

fn draw<'a>(ids: &[&'a String], count: usize, rng: &mut impl Rng) -> Vec<&'a String> {
    if ids.len() <= count {
        return ids.to_vec();
    }
    let picks = rand::seq::index::sample(rng, ids.len(), count);
    picks.into_iter().map(|at| ids[at]).collect()
}
