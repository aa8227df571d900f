//! The choice of a server for a request, in a gateway.
//!
//! Load reports lag, and all gateways receive the same reports. To keep them from sending to
//! the same server, a gateway draws a few servers at random and chooses the least loaded one;
//! requests that it sent since a server's last report are added to the reported load. Whether
//! a stream is admitted at all depends on the mean load of the service ([`StreamRequest`]).

use super::{
    admission::{ServiceLoad, StreamRequest},
    directory::Server,
    fleet::Fleet,
    homes::Homes,
    pass_room::PassRoom,
    refusal::Refusal,
    score::Score,
    server_notices::Exclusion,
    status::{LoadReport, REPORT_VALIDITY},
};
use crate::time::Uptime;
use rand::Rng;
use std::{net::SocketAddr, time::Duration};

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub id: String,
    /// Zero if unknown.
    pub incarnation: u64,
    pub addr: SocketAddr,
    /// Load at the time of the choice, as a fraction of its slots, in thousandths.
    pub load_milli: u32,
    /// Age of the load report that was used, if any.
    pub report_age: Option<Duration>,
    /// Expected duration of its group's passes, in milliseconds; zero if unknown.
    pub pass_ms: f64,
}

/// Validity of a pass forecast; coordinators repeat it every 80 ms during a map change.
const FORECAST_VALIDITY: Duration = Duration::from_millis(300);
/// Validity of a computed service load; shorter than a pass, during which few slots are freed.
const SERVICE_LOAD_VALIDITY: Duration = Duration::from_millis(20);
/// Servers drawn at random for a choice.
const DRAWN_COUNT: usize = 4;
/// Servers sampled to estimate the mean load of a service. The mean of 64 servers is off by about 3
/// in 100.
const SAMPLE_SIZE: usize = 64;
/// Highest load at which a server gets a stream, once the mean load has admitted the stream. The
/// least loaded of four drawn servers is seldom fuller.
const DRAWN_LOAD_MAX: f64 = 1.5;
/// Penalty in requests for a server in another hall.
const OTHER_HALL_LOAD: f64 = 0.1;

/// What a request requires of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    pub service: &'a str,
    /// Servers that must not be chosen again.
    pub tried: &'a [String],
    /// Highest load of an acceptable server, as a fraction of its slots.
    pub max_load: f64,
    /// Longest desired gap between two events, in milliseconds; zero for no such objective.
    pub gap_ms: f64,
    /// Set if the request is subject to admission by the mean load of the service.
    pub stream: Option<StreamRequest>,
    /// Regions to which the request is confined.
    pub homes: Homes<'a>,
}

impl Fleet {
    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the service has no usable server or none with capacity.
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
        let refused = needs.stream.and_then(|stream| self.is_refused(stream, needs, now));
        if let Some(refusal) = refused {
            return Err(refusal);
        }
        let ready = self.ready(service);
        // Exclusions are checked before load: a server that rejects everything looks idle.
        let may_serve = |id: &str| {
            let is_tried = tried.iter().any(|other| other == id);
            !is_tried && self.exclusion(id, now).is_none() && self.is_home(id, needs.homes)
        };
        let is_untried = |id: &&String| may_serve(id) && self.registry.is_current(id, now);
        let mut untried: Vec<&String> = ready.iter().filter(is_untried).collect();
        if untried.is_empty() {
            // There may be servers outside of this gateway's view.
            untried = self.registry.ready(service).iter().filter(is_untried).collect();
        }
        let most_servers_report = self.most_servers_report(ready, now);
        let is_unconnectable = |id: &&String| {
            self.statuses.get(*id).is_some_and(|status| status.is_unconnectable(now))
        };
        let open: Vec<&String> =
            untried.iter().copied().filter(|id| !is_unconnectable(id)).collect();
        // A server that has just come into the view looks idle until its first report. Where most
        // have no sidecar, there is none to wait for.
        let needs_report = self.view.ready(service).is_some() && most_servers_report;
        let is_silent = |id: &&String| {
            self.statuses.get(*id).is_some_and(|status| {
                let is_unknown = needs_report && !status.has_report(now);
                is_unknown
                    || status.is_silent(most_servers_report, self.reception_end(status, now), now)
            })
        };
        let (silent, reporting): (Vec<&String>, Vec<&String>) =
            open.iter().copied().partition(is_silent);
        if reporting.is_empty()
            && let Some(refusal) = self.exclusion_refusal(ready, needs.homes, now)
        {
            return Err(refusal);
        }
        // If no server looks reachable, the fault is more likely on this gateway's side.
        let reachable = [reporting, open, untried].into_iter().find(|ids| !ids.is_empty());
        let Some(reachable) = reachable else {
            let is_open = |server: &Server| {
                !tried.contains(&server.id)
                    && self.exclusion(&server.id, now).is_none()
                    && self.is_hall_open(server, needs.homes, now)
            };
            let missing = self.registry.last_resort(service, is_open, now);
            let refusal = if self.is_any_hall_open(ready, needs.homes, now) {
                Refusal::NoServer
            } else {
                Refusal::NoHall
            };
            return Ok(self.candidate(missing.ok_or(refusal)?, Score::default(), now));
        };
        let usable = self.without_failing(reachable, now);
        if let Some(stream) = needs.stream {
            return self.choose_for(stream, &usable, needs, now, rng);
        }
        let best = self.best(&draw(&usable, DRAWN_COUNT, rng), needs, now);
        let best = best.filter(|(score, _)| score.has_room(max_load));
        // If the drawn servers are full, all of them are considered.
        let best = best.or_else(|| self.best(&usable, needs, now)).ok_or(Refusal::NoServer)?;
        let (score, id) = if best.0.has_room(max_load) {
            best
        } else if best.0.is_stalled {
            return Err(Refusal::Stalled);
        } else {
            // Silent servers come last: a sidecar may be unreachable while its server works.
            let best_silent = self.best(&silent, needs, now);
            best_silent.filter(|(score, _)| score.has_room(max_load)).ok_or(Refusal::Full)?
        };
        let server = self.registry.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, score, now))
    }

    /// Chooses among the rate-limited servers for which this gateway holds a permit. They come
    /// first because permits expire. The mean load of the service does not include limited
    /// servers, since their free slots are not capacity.
    fn choose_permitted(&self, needs: Requirements<'_>, now: Uptime) -> Option<Candidate> {
        let is_eligible = |id: &&String| {
            let server = self.registry.server(id);
            let is_listed = server.is_some_and(|server| server.service == needs.service);
            is_listed && self.is_usable(id, needs, now)
        };
        let permitted: Vec<&String> = self.permits.servers(now).filter(is_eligible).collect();
        let best = self.best(&permitted, needs, now);
        let (score, id) = best.filter(|(score, _)| score.has_room(needs.max_load))?;
        Some(self.candidate(self.registry.server(id)?, score, now))
    }

    /// Whether a rate-limited server may get a request under a permit.
    fn is_usable(&self, id: &String, needs: Requirements<'_>, now: Uptime) -> bool {
        let ready = self.ready(needs.service);
        let is_limited = matches!(self.exclusion(id, now), Some(Exclusion::Limited(_)));
        let is_unfit = needs.tried.contains(id) || !self.is_home(id, needs.homes);
        if !is_limited || is_unfit || !ready.contains(id) {
            return false;
        }
        let most_servers_report = self.most_servers_report(ready, now);
        let is_avoided = self.statuses.get(id).is_some_and(|status| {
            let is_silent =
                status.is_silent(most_servers_report, self.reception_end(status, now), now);
            is_silent || status.is_unconnectable(now) || status.is_failing(now)
        });
        !is_avoided && self.registry.is_current(id, now)
    }

    /// Whether a listed server is in a home of the request.
    fn is_home(&self, id: &str, homes: Homes<'_>) -> bool {
        // Spares the look-up, as most requests have no homes.
        homes.is_empty()
            || self.registry.server(id).is_some_and(|server| self.is_in_home(server, homes))
    }

    /// Whether requests may be sent to the hall of any of these servers. True without servers,
    /// since their halls are unknown then.
    fn is_any_hall_open(&self, ids: &[String], homes: Homes<'_>, now: Uptime) -> bool {
        let servers = ids.iter().filter_map(|id| self.registry.server(id));
        ids.is_empty() || servers.into_iter().any(|server| self.is_hall_open(server, homes, now))
    }

    /// Returns the refusal of the temporary exclusion that ends first, if any server has one.
    fn exclusion_refusal(&self, ids: &[String], homes: Homes<'_>, now: Uptime) -> Option<Refusal> {
        let ids = ids.iter().filter(|id| self.is_home(id, homes));
        let refusals = ids.filter_map(|id| match self.exclusion(id, now)? {
            Exclusion::Backoff(left) => Some((left, Refusal::Backoff(left))),
            Exclusion::Limited(left) => Some((left, Refusal::Limited(left))),
            Exclusion::Leaving | Exclusion::Evacuated => None,
        });
        refusals.min_by_key(|(left, _)| *left).map(|(_, refusal)| refusal)
    }

    /// Chooses a server for a stream that is subject to admission.
    fn choose_for(
        &self,
        stream: StreamRequest,
        usable: &[&String],
        needs: Requirements<'_>,
        now: Uptime,
        rng: &mut impl Rng,
    ) -> Result<Candidate, Refusal> {
        let sample = draw(usable, SAMPLE_SIZE, rng);
        let load = self.service_load(&sample, now);
        let is_ranked = stream.position > 0.0;
        let room = is_ranked.then(|| self.pass_room(needs.service, &sample, now)).flatten();
        let mean = ServiceLoad { at: now, load, room };
        self.service_loads.borrow_mut().insert(needs.service.to_owned(), mean);
        if let Some(load) = load.filter(|_| is_ranked) {
            self.passes.note(needs.service, needs.gap_ms, load, room);
        }
        mean.admit(stream, needs.gap_ms)?;
        let best = self.best(&draw(usable, DRAWN_COUNT, rng), needs, now);
        let best = best.filter(|(score, _)| score.has_room(DRAWN_LOAD_MAX));
        let best = best.or_else(|| self.best(&sample, needs, now));
        let (score, id) =
            best.filter(|(score, _)| score.has_room(DRAWN_LOAD_MAX)).ok_or(Refusal::Full)?;
        let server = self.registry.server(id).ok_or(Refusal::NoServer)?;
        Ok(self.candidate(server, score, now))
    }

    /// Returns the mean load of these servers as a fraction of their slots; `None` if all of their
    /// groups are stalled.
    fn service_load(&self, ids: &[&String], now: Uptime) -> Option<f64> {
        let scores = ids.iter().map(|id| self.score(id, 0.0, now));
        let loads = scores.filter(|score| !score.is_stalled).map(|score| score.occupancy);
        let (sum, count) = loads.fold((0.0, 0.0), |(sum, count), load| (sum + load, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Returns the room that the length of passes leaves on these servers.
    fn pass_room(&self, service: &str, ids: &[&String], now: Uptime) -> Option<PassRoom> {
        let ranks = ids.iter().filter_map(|id| {
            let (_, report) = self.statuses.get(*id)?.report.as_ref()?;
            let slots = self.registry.server(id)?.slots;
            report.group_open.then_some((report.group.as_deref(), slots))
        });
        self.passes.room(service, ranks, now)
    }

    /// Refuses a stream by the cached service load, so that many waiting requests don't each
    /// compute it.
    fn is_refused(
        &self,
        stream: StreamRequest,
        needs: Requirements<'_>,
        now: Uptime,
    ) -> Option<Refusal> {
        let loads = self.service_loads.borrow();
        let mean = loads.get(needs.service)?;
        let is_current = now.since(mean.at) < SERVICE_LOAD_VALIDITY;
        mean.admit(stream, needs.gap_ms).err().filter(|_| is_current)
    }

    /// Returns the servers without recent failures, or all servers if most have failures.
    fn without_failing<'a>(&self, ids: Vec<&'a String>, now: Uptime) -> Vec<&'a String> {
        let is_failing =
            |id: &&String| self.statuses.get(*id).is_some_and(|status| status.is_failing(now));
        let sound: Vec<&String> = ids.iter().copied().filter(|id| !is_failing(id)).collect();
        if sound.len() * 2 < ids.len() { ids } else { sound }
    }

    /// Returns the server with the lowest score, preferring those with capacity.
    fn best<'a>(
        &self,
        ids: &[&'a String],
        needs: Requirements<'_>,
        now: Uptime,
    ) -> Option<(Score, &'a String)> {
        let scores = ids.iter().map(|id| (self.score(id, needs.gap_ms, now), *id));
        let sort_key = |score: Score| (!score.has_room(needs.max_load), score.total());
        scores.min_by(|a, b| {
            let (a, b) = (sort_key(a.0), sort_key(b.0));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    fn score(&self, id: &str, gap_ms: f64, now: Uptime) -> Score {
        let Some(server) = self.registry.server(id) else { return Score::default() };
        let status = self.statuses.get(id);
        let slots = f64::from(server.slots.max(1));
        let remote = if server.hall == self.hall { 0.0 } else { OTHER_HALL_LOAD };
        let report = status.and_then(|status| status.report.as_ref());
        let report = report.filter(|(at, _)| now.since(*at) < REPORT_VALIDITY);
        let own = status.map_or(0, |status| status.in_flight);
        let Some((_, report)) = report else {
            let occupancy = f64::from(own) / slots;
            return Score { load: occupancy + remote / slots, occupancy, ..Score::default() };
        };
        // Requests that this gateway sent, and that ended, since the report.
        let sent = status.map_or(0, |status| status.sent.len() as u32);
        let ended = status.map_or(0, |status| status.ended.len() as u32);
        let load = (report.running + report.waiting + sent).saturating_sub(ended).max(own);
        let pass_ms = self.pass_ms(report, now);
        let excess = if gap_ms > 0.0 { (pass_ms / gap_ms - 1.0).max(0.0) } else { 0.0 };
        // The whole group waits for its slowest rank, whose delay grows with its requests.
        let slowdown = f64::from(report.slowdown_milli.max(1_000)) / 1_000.0;
        let occupancy = f64::from(load) / slots;
        let load = occupancy * slowdown + remote / slots;
        Score { load, occupancy, excess, pass_ms, is_stalled: !report.group_open }
    }

    /// Returns the duration of a pass of a server's group in milliseconds: the coordinator's
    /// forecast if it is current, else what the sidecar measured.
    fn pass_ms(&self, report: &LoadReport, now: Uptime) -> f64 {
        let forecast = report.group.as_ref().and_then(|group| self.forecasts.get(group));
        let forecast = forecast.filter(|forecast| now.since(forecast.at) < FORECAST_VALIDITY);
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
