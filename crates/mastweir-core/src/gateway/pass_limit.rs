//! Limit on the requests that run per rank, by the length of a group's passes, in a gateway.
//!
//! Load: a slow rank, or a lasting shift of demand for experts, which makes passes longer than
//! the gap between events that callers want. The limit is the number of running requests per
//! rank at which passes keep to that gap. Admission applies it to less urgent streams only.
//!
//! The measured length of a pass over the length by the engine's cost model ([`PassCost`]) at the
//! same number of running requests is a factor for skew, slowdown and prompts. Both come from the
//! same load reports, so the lag of reports affects both. The limit follows the lowest factor of
//! [`WINDOW`]; a rise that ends within this time has no effect.

use super::{admission::ADMIT_ALL_LOAD, config::PassCost, pass_room::PassRoom, status::LoadReport};
use crate::time::Uptime;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time over which the lowest factor counts. A change of the expert map takes up to 0.6 s; the
/// report interval and the moving average of measured passes prolong what reports show of it by
/// up to as much again.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Time over which reports are averaged; shorter than the interval of a server's reports, so
/// that no rank counts twice.
const BUCKET: Duration = Duration::from_millis(100);
/// Greatest age of a report on arrival, and greatest time since the last one, with which there
/// is a limit.
const DATA_VALIDITY: Duration = Duration::from_millis(300);
/// Time after which a group without reports is forgotten.
const GROUP_KEPT: Duration = Duration::from_secs(30);
/// A limit that binds stops to bind only this far above the bound, as a fraction of slots, so
/// that noise does not fill the log.
const BINDING_MARGIN: f64 = 0.05;

/// Passes of one rank group.
#[derive(Clone, Debug, Default)]
struct GroupPasses {
    /// Start of the bucket, the number of its reports, and the sums of their running requests
    /// and of their lengths of passes.
    begun: Uptime,
    count: f64,
    running: f64,
    pass_ms: f64,
    /// Since when factors have been measured without interruption.
    since: Uptime,
    /// Factors within [`WINDOW`], with the times at which their buckets ended.
    factors: VecDeque<(Uptime, f64)>,
    /// When the last report of an open group was received.
    received: Uptime,
}

impl GroupPasses {
    fn record(&mut self, report: &LoadReport, cost: &PassCost, now: Uptime) {
        if !report.group_open || now.since(self.received) >= DATA_VALIDITY {
            // A group that forms anew may have other ranks and another map.
            *self = Self { begun: now, since: now, received: now, ..Self::default() };
        }
        if !report.group_open {
            return;
        }
        if now.since(self.begun) >= BUCKET {
            self.end_bucket(cost, now);
        }
        self.received = self.received.max(now);
        self.count += 1.0;
        self.running += f64::from(report.running);
        self.pass_ms += f64::from(report.pass_ms);
    }

    fn end_bucket(&mut self, cost: &PassCost, now: Uptime) {
        let factor = self.pass_ms / self.count / cost.pass_ms(self.running / self.count, 1.0);
        // An idle group makes no passes, and the last measured length is that of another load.
        if self.running > 0.0 && factor.is_finite() && factor > 0.0 {
            self.factors.push_back((now, factor));
        } else if self.factors.back().is_none_or(|(at, _)| now.since(*at) >= DATA_VALIDITY) {
            self.factors.clear();
            self.since = now;
        }
        while self.factors.front().is_some_and(|(at, _)| now.since(*at) > WINDOW) {
            self.factors.pop_front();
        }
        (self.begun, self.count, self.running, self.pass_ms) = (now, 0.0, 0.0, 0.0);
    }

    /// Returns the lowest factor of the window, if it is complete and up to date.
    fn factor(&self, now: Uptime) -> Option<f64> {
        let is_complete = now.since(self.since) >= WINDOW;
        let is_valid = is_complete && now.since(self.received) < DATA_VALIDITY;
        let factors = self.factors.iter().filter(|_| is_valid).map(|(_, factor)| *factor);
        factors.min_by(f64::total_cmp)
    }
}

/// A pass limit begins or stops to bind.
#[derive(Clone, Debug, PartialEq)]
pub struct PassLimitChange {
    pub service: String,
    pub gap_ms: f64,
    /// Whether the limit is below the load up to which the most urgent streams are admitted.
    pub binds: bool,
    /// Limit as a fraction of slots; `None` if data are missing or old.
    pub limit: Option<f64>,
    /// Mean load of the service as a fraction of slots.
    pub load: f64,
    /// Length of passes relative to the cost model.
    pub factor: Option<f64>,
}

/// Pass limits of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct PassLimits {
    /// By service.
    costs: HashMap<String, PassCost>,
    /// By group.
    groups: HashMap<String, GroupPasses>,
    /// Gaps in milliseconds at which the limit binds, by service.
    binding: RefCell<HashMap<String, Vec<f64>>>,
    changes: RefCell<Vec<PassLimitChange>>,
}

impl PassLimits {
    /// Sets the cost models by service. A service whose costs are unusable has no pass limit; the
    /// names of such services are returned.
    pub(super) fn set_costs(&mut self, costs: HashMap<String, PassCost>) -> Vec<String> {
        let (usable, unusable): (HashMap<_, _>, HashMap<_, _>) =
            costs.into_iter().partition(|(_, cost)| is_usable(cost));
        // The share of experts is part of the measured factor.
        let without_skew = |(service, cost)| (service, PassCost { expert_fraction: 0.0, ..cost });
        self.costs = usable.into_iter().map(without_skew).collect();
        let mut unusable = Vec::from_iter(unusable.into_keys());
        unusable.sort_unstable();
        unusable
    }

    /// Takes the changes since the last call, for the log.
    pub(super) fn take_changes(&self) -> Vec<PassLimitChange> {
        self.changes.take()
    }

    /// Records a report of a service's server that has an age on arrival.
    pub(super) fn record(
        &mut self,
        service: &str,
        report: &LoadReport,
        age: Duration,
        now: Uptime,
    ) {
        let Some(cost) = self.costs.get(service).filter(|_| age < DATA_VALIDITY) else { return };
        let Some(group) = &report.group else { return };
        if let Some(passes) = self.groups.get_mut(group) {
            passes.record(report, cost, now);
            return;
        }
        self.groups.retain(|_, passes| now.since(passes.received) < GROUP_KEPT);
        let mut passes =
            GroupPasses { begun: now, since: now, received: now, ..Default::default() };
        passes.record(report, cost, now);
        self.groups.insert(group.clone(), passes);
    }

    /// Returns the room in a service, given the group and the slots of some of its servers;
    /// `None` if the passes of any group are unknown.
    pub(super) fn room<'a>(
        &self,
        service: &str,
        ranks: impl Iterator<Item = (Option<&'a str>, u32)>,
        now: Uptime,
    ) -> Option<PassRoom> {
        let cost = *self.costs.get(service)?;
        let (mut speed, mut slots, mut count) = (0.0, 0.0, 0.0);
        for (group, rank_slots) in ranks {
            speed += 1.0 / self.groups.get(group?)?.factor(now)?;
            slots += f64::from(rank_slots.max(1));
            count += 1.0;
        }
        (count > 0.0).then(|| PassRoom { cost, speed: speed / count, slots: slots / count })
    }

    /// Notes whether the limit binds at a gap, for the log.
    pub(super) fn note(&self, service: &str, gap_ms: f64, load: f64, room: Option<PassRoom>) {
        let limit = room.and_then(|room| room.limit(gap_ms));
        let mut binding = self.binding.borrow_mut();
        let gaps = binding.get(service);
        let was_binding = gaps.is_some_and(|gaps| gaps.contains(&gap_ms));
        let bound = ADMIT_ALL_LOAD + if was_binding { BINDING_MARGIN } else { 0.0 };
        let binds = limit.is_some_and(|limit| limit < bound);
        if binds == was_binding {
            return;
        }
        let gaps = binding.entry(service.to_owned()).or_default();
        gaps.retain(|gap| *gap != gap_ms);
        gaps.extend(binds.then_some(gap_ms));
        let factor = room.map(|room| 1.0 / room.speed);
        let service = service.to_owned();
        let change = PassLimitChange { service, gap_ms, binds, limit, load, factor };
        self.changes.borrow_mut().push(change);
    }
}

/// Whether a limit can be computed from a cost model.
fn is_usable(cost: &PassCost) -> bool {
    let PassCost { steps, step_ms, request_ms, .. } = *cost;
    let has_work = steps > 0.0 && step_ms >= 0.0 && request_ms > 0.0;
    has_work && [steps, step_ms, request_ms].into_iter().all(f64::is_finite)
}
