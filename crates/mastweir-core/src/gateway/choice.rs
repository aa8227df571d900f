//! The choice among the servers that a gateway knows.
//!
//! Reports lag, and all gateways see the same. So a choice is the least loaded of a few
//! drawn at random, and requests sent since a report count on top of it; whether a stream
//! is taken on at all is decided by the mean of all reports ([`StreamRequest`]).

use super::{
    admission::{ServiceLoad, StreamRequest},
    directory::Server,
    fleet::Fleet,
    score::Score,
    server_notices::Exclusion,
    status::{LoadReport, REPORT_LASTS},
};
use crate::time::Uptime;
use rand::Rng;
use std::{net::SocketAddr, time::Duration};

/// Why no server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service is known that might serve.
    NoServer,
    /// All are full.
    Full,
    /// The groups of all of them stand still.
    Stalled,
    /// All that could serve want no requests; the first of them takes some again by then.
    Backoff(Duration),
    /// All that could serve name a limit, and none of it is left; some may be by then. Zero if
    /// that is not known.
    Limited(Duration),
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: String,
    /// Its life; zero if that is not known.
    pub incarnation: u64,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its load at the choice, over its slots, in thousandths.
    pub load_milli: u32,
    /// Age of the report that the choice used, if there was one.
    pub report_age: Option<Duration>,
    /// Milliseconds that its group's passes take, as far as is known.
    pub pass_ms: f64,
}

/// What a coordinator said of its group's passes is not used longer than this; it
/// says so again each 80 ms while it changes the map.
const FORECAST_LASTS: Duration = Duration::from_millis(300);
/// The mean load of a service's servers is used for this long: less than a pass, in which
/// hardly any place frees.
const SERVICE_LOAD_LASTS: Duration = Duration::from_millis(20);
/// Servers drawn for a choice.
const DRAWN_COUNT: usize = 4;
/// Servers of whose reports the mean load is taken: it is off by 3 in 100 then.
const SAMPLE_SIZE: usize = 64;
/// Load of a server up to which a stream goes there that was taken on by the mean of all:
/// of four drawn the least loaded is seldom fuller.
const DRAWN_LOAD_MAX: f64 = 1.5;
/// Load of another hall's server, over that of one's own: a tenth of a place.
const OTHER_HALL_LOAD: f64 = 0.1;

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Its service.
    pub service: &'a str,
    /// Servers that won't do any more.
    pub tried: &'a [String],
    /// Load over a server's slots up to which it may get the request.
    pub max_load: f64,
    /// Longest wanted pause between two events, in ms; zero if that doesn't matter.
    pub gap_ms: f64,
    /// Who asks, if the request may still be refused by the mean load of all servers.
    pub stream: Option<StreamRequest>,
}

impl Fleet {
    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] says whether there is no server, or none with room.
    pub fn choose(
        &self,
        needs: Requirements<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Result<Candidate, Refusal> {
        let Requirements { service, tried, max_load, .. } = needs;
        if let Some(server) = self.choose_permitted(needs, now) {
            return Ok(server);
        }
        let refused = needs.stream.and_then(|stream| self.is_refused(service, stream, now));
        if let Some(refusal) = refused {
            return Err(refusal);
        }
        let ready = self.registry.ready(service);
        // A server's own word goes before its load: one that turns everything away looks the
        // emptiest, and got ten requests of one gateway in 4.6 s (logs of a simulated day).
        let may_serve = |id: &str| {
            let is_tried = tried.iter().any(|other| other == id);
            !is_tried && self.exclusion(id, now).is_none()
        };
        let untried: Vec<&String> =
            ready.iter().filter(|id| may_serve(id) && self.registry.is_current(id, now)).collect();
        let most_report = self.most_report(ready, now);
        let is_unconnectable = |id: &&String| {
            self.statuses.get(*id).is_some_and(|status| status.is_unconnectable(now))
        };
        let open: Vec<&String> =
            untried.iter().copied().filter(|id| !is_unconnectable(id)).collect();
        let is_silent = |id: &&String| {
            self.statuses.get(*id).is_some_and(|status| {
                status.is_silent(most_report, self.reports_until(status, now), now)
            })
        };
        let (silent, heard): (Vec<&String>, Vec<&String>) =
            open.iter().copied().partition(is_silent);
        if heard.is_empty()
            && let Some(refusal) = self.exclusion_refusal(ready, now)
        {
            return Err(refusal);
        }
        // When none is left the fault is more likely on this side.
        let reachable = [heard, open, untried].into_iter().find(|ids| !ids.is_empty());
        let Some(reachable) = reachable else {
            let missing =
                self.registry.last_resort(service, may_serve, now).ok_or(Refusal::NoServer)?;
            return Ok(self.candidate(missing, Score::default(), now));
        };
        let usable = self.without_failing(reachable, now);
        if let Some(stream) = needs.stream {
            return self.choose_for(stream, &usable, needs, now, rng);
        }
        let best = self.best(&draw(&usable, DRAWN_COUNT, rng), needs, now);
        let best = best.filter(|(score, _)| score.has_room(max_load));
        // The few drawn are full: look at all of them.
        let best = best.or_else(|| self.best(&usable, needs, now)).ok_or(Refusal::NoServer)?;
        let (score, id) = if best.0.has_room(max_load) {
            best
        } else if best.0.is_stalled {
            return Err(Refusal::Stalled);
        } else {
            // Sidecars may be lost where servers are not.
            let unheard = self.best(&silent, needs, now);
            unheard.filter(|(score, _)| score.has_room(max_load)).ok_or(Refusal::Full)?
        };
        let server = self.registry.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, score, now))
    }

    /// Chooses among the servers for which a token was lent. They go first, since a token
    /// lapses, and what a limited server takes counts for no other: it is left out of the mean
    /// load, where its empty places would count as room.
    fn choose_permitted(&self, needs: Requirements<'_>, now: Uptime) -> Option<Candidate> {
        let fits = |id: &&String| {
            let server = self.registry.server(id);
            let is_listed = server.is_some_and(|server| server.service == needs.service);
            is_listed && self.is_usable(id, needs, now)
        };
        let lent: Vec<&String> = self.permits.servers(now).filter(fits).collect();
        let best = self.best(&lent, needs, now);
        let (score, id) = best.filter(|(score, _)| score.has_room(needs.max_load))?;
        Some(self.candidate(self.registry.server(id)?, score, now))
    }

    /// Whether a server may get a request for which a token was lent.
    fn is_usable(&self, id: &String, needs: Requirements<'_>, now: Uptime) -> bool {
        let ready = self.registry.ready(needs.service);
        let is_limited = matches!(self.exclusion(id, now), Some(Exclusion::Limited(_)));
        if !is_limited || needs.tried.contains(id) || !ready.contains(id) {
            return false;
        }
        let most_report = self.most_report(ready, now);
        let is_left_out = self.statuses.get(id).is_some_and(|status| {
            let is_silent = status.is_silent(most_report, self.reports_until(status, now), now);
            is_silent || status.is_unconnectable(now) || status.is_failing(now)
        });
        !is_left_out && self.registry.is_current(id, now)
    }

    /// Why none of these servers gets requests, and when the first may, if any said so itself
    /// for a time.
    fn exclusion_refusal(&self, ids: &[String], now: Uptime) -> Option<Refusal> {
        let refusals = ids.iter().filter_map(|id| match self.exclusion(id, now)? {
            Exclusion::Backoff(left) => Some((left, Refusal::Backoff(left))),
            Exclusion::Limited(left) => Some((left, Refusal::Limited(left))),
            Exclusion::Leaving => None,
        });
        refusals.min_by_key(|(left, _)| *left).map(|(_, refusal)| refusal)
    }

    /// Chooses a server for a stream that may still be refused.
    fn choose_for(
        &self,
        stream: StreamRequest,
        usable: &[&String],
        needs: Requirements<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Result<Candidate, Refusal> {
        let sample = draw(usable, SAMPLE_SIZE, rng);
        let mean = ServiceLoad { at: now, load: self.service_load(&sample, now) };
        self.service_loads.borrow_mut().insert(needs.service.to_owned(), mean);
        admit(mean, stream)?;
        let best = self.best(&draw(usable, DRAWN_COUNT, rng), needs, now);
        let best = best.filter(|(score, _)| score.has_room(DRAWN_LOAD_MAX));
        let best = best.or_else(|| self.best(&sample, needs, now));
        let (score, id) =
            best.filter(|(score, _)| score.has_room(DRAWN_LOAD_MAX)).ok_or(Refusal::Full)?;
        let server = self.registry.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, score, now))
    }

    /// Mean load of these servers over their places, and of their groups' passes; none if
    /// the groups of all stand still.
    fn service_load(&self, ids: &[&String], now: Uptime) -> Option<(f64, f64)> {
        let fits = ids.iter().map(|id| self.score(id, 0.0, now)).filter(|score| !score.is_stalled);
        let sum = |(load, pass_ms, count): (f64, f64, f64), score: Score| {
            (load + score.occupancy, pass_ms + score.pass_ms, count + 1.0)
        };
        let (load, pass_ms, count) = fits.fold((0.0, 0.0, 0.0), sum);
        (count > 0.0).then(|| (load / count, pass_ms / count))
    }

    /// Milliseconds of a pass of a service's groups, on average, by what was last asked for;
    /// zero before that.
    pub fn pass_ms_of(&self, service: &str) -> f64 {
        let loads = self.service_loads.borrow();
        let load = loads.get(service).and_then(|mean| mean.load);
        load.map_or(0.0, |(_, pass_ms)| pass_ms)
    }

    /// Whether a stream was refused by what is known of its service's servers a moment ago:
    /// a hundred that wait would each ask all of them.
    fn is_refused(&self, service: &str, stream: StreamRequest, now: Uptime) -> Option<Refusal> {
        let loads = self.service_loads.borrow();
        let mean = loads.get(service).filter(|mean| now.since(mean.at) < SERVICE_LOAD_LASTS)?;
        admit(*mean, stream).err()
    }

    /// Those whose requests don't fail, or all if that is most of them.
    fn without_failing<'a>(&self, ids: Vec<&'a String>, now: Uptime) -> Vec<&'a String> {
        let is_failing =
            |id: &&String| self.statuses.get(*id).is_some_and(|status| status.is_failing(now));
        let sound: Vec<&String> = ids.iter().copied().filter(|id| !is_failing(id)).collect();
        if sound.len() * 2 < ids.len() { ids } else { sound }
    }

    /// The server that fits best; any with room before one without.
    fn best<'a>(
        &self,
        ids: &[&'a String],
        needs: Requirements<'_>,
        now: Uptime,
    ) -> Option<(Score, &'a String)> {
        let fits = ids.iter().map(|id| (self.score(id, needs.gap_ms, now), *id));
        let rank = |score: Score| (!score.has_room(needs.max_load), score.total());
        fits.min_by(|a, b| {
            let (a, b) = (rank(a.0), rank(b.0));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    fn score(&self, id: &str, gap_ms: f64, now: Uptime) -> Score {
        let Some(server) = self.registry.server(id) else { return Score::default() };
        let status = self.statuses.get(id);
        let places = f64::from(server.slots.max(1));
        let away = if server.hall == self.hall { 0.0 } else { OTHER_HALL_LOAD };
        let report = status.and_then(|status| status.report.as_ref());
        let report = report.filter(|(at, _)| now.since(*at) < REPORT_LASTS);
        let own = status.map_or(0, |status| status.in_flight);
        let Some((_, report)) = report else {
            let occupancy = f64::from(own) / places;
            return Score { load: occupancy + away / places, occupancy, ..Score::default() };
        };
        let since = status.map_or(0, |status| status.sent.len() as u32);
        let ended = status.map_or(0, |status| status.ended.len() as u32);
        let load = (report.running + report.waiting + since).saturating_sub(ended).max(own);
        let pass_ms = self.pass_ms(report, now);
        let excess = if gap_ms > 0.0 { (pass_ms / gap_ms - 1.0).max(0.0) } else { 0.0 };
        // Its whole group waits for a slow server, the longer the more it has.
        let pace = f64::from(report.pace_milli.max(1_000)) / 1_000.0;
        let occupancy = f64::from(load) / places;
        let load = occupancy * pace + away / places;
        Score { load, occupancy, excess, pass_ms, is_stalled: !report.group_open }
    }

    /// Milliseconds of a pass of a server's group: what its coordinator expects, or
    /// what its sidecar saw.
    fn pass_ms(&self, report: &LoadReport, now: Uptime) -> f64 {
        let forecast = report.group.as_ref().and_then(|group| self.forecasts.get(group));
        let forecast = forecast.filter(|forecast| now.since(forecast.at) < FORECAST_LASTS);
        forecast.map_or(f64::from(report.pass_ms), |forecast| forecast.pass_ms)
    }

    fn candidate(&self, server: &Server, score: Score, now: Uptime) -> Candidate {
        let status = self.statuses.get(&server.id);
        let report = status.and_then(|status| status.report.as_ref());
        Candidate {
            id: server.id.clone(),
            incarnation: status.map_or(server.incarnation, |status| status.incarnation),
            addr: server.addr,
            load_milli: (score.load * 1_000.0) as u32,
            report_age: report.map(|(at, _)| now.since(*at)),
            pass_ms: score.pass_ms,
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

/// Whether servers that are so loaded take a stream on.
fn admit(mean: ServiceLoad, stream: StreamRequest) -> Result<(), Refusal> {
    match mean.admits(stream) {
        None => Err(Refusal::Stalled),
        Some(false) => Err(Refusal::Full),
        Some(true) => Ok(()),
    }
}
