//! Whether the sidecars of a service's servers report to a gateway: during an outage, the reports of
//! all servers announce its end.

use super::{
    fleet::Fleet,
    status::{REPORT_VALIDITY, SILENT_AFTER, SILENT_UNTIL},
};
use crate::time::Uptime;
use std::time::Duration;

impl Fleet {
    /// Whether the sidecars of all servers of a service report, of those that this gateway chooses
    /// from.
    pub fn are_all_reporting(&self, service: &str, now: Uptime) -> bool {
        let is_recent = |age: Option<Duration>| age.is_some_and(|age| age < SILENT_AFTER);
        !self.ready(service).is_empty() && self.report_ages(service, now).all(is_recent)
    }

    /// Whether this gateway seems cut off from the servers of a service: the sidecars of most
    /// reported, but no report is recent enough to tell whether its group is stalled.
    pub fn are_all_silent(&self, service: &str, now: Uptime) -> bool {
        let is_old = |age: Option<Duration>| age.is_none_or(|age| age >= REPORT_VALIDITY);
        let was_heard = |age: &Option<Duration>| age.is_some_and(|age| age < SILENT_UNTIL);
        // The first report that is recent ends the search.
        self.report_ages(service, now).all(is_old)
            && self.report_ages(service, now).filter(was_heard).count() * 2
                > self.ready(service).len()
    }

    /// Returns the age of each server's last report of its sidecar.
    fn report_ages(&self, service: &str, now: Uptime) -> impl Iterator<Item = Option<Duration>> {
        self.ready(service).iter().map(move |id| {
            let status = self.statuses.get(id).filter(|status| status.from_sidecar)?;
            status.report.as_ref().map(|(at, _)| now.since(*at))
        })
    }
}
