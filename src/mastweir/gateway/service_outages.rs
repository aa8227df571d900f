//! Records the outages of services from the choices of servers, and logs their begin and end.
//!
//! In the gateway's process. [`OutageTracker`] holds the record, which tells operators
//! why requests were refused.
//!
//! [`OutageTracker`]: mastweir_core::gateway::OutageTracker

use super::{call::Call, state::Gateway};
use mastweir_core::{
    gateway::{Outage, Refusal},
    time::Uptime,
};
use slog::info;

/// Records the result of a choice: a stall begins or continues an outage, anything else that tells
/// about the service's groups ends it. A server that is chosen although no sidecar is heard any more
/// is a guess of a gateway that is itself cut off, which is an outage for it as well.
pub fn record(gateway: &Gateway, service: &str, refusal: Option<Refusal>, now: Uptime) {
    let fleet = gateway.fleet.borrow();
    let is_stalled = match refusal {
        Some(Refusal::Stalled) => true,
        None => fleet.are_all_silent(service, now),
        Some(Refusal::Full | Refusal::LessUrgent | Refusal::LongPasses) => false,
        Some(Refusal::Backoff(_) | Refusal::Limited(_) | Refusal::NoHall | Refusal::NoServer) => {
            return;
        }
    };
    if !is_stalled {
        gateway.service_outages.borrow_mut().record(service, false, now);
        return;
    }
    let are_all_reporting = fleet.are_all_reporting(service, now);
    drop(fleet);
    log_ended(gateway, now);
    let mut outages = gateway.service_outages.borrow_mut();
    let begins = outages.record(service, true, now);
    outages.record_reports(service, are_all_reporting, now);
    if begins {
        gateway.metrics.count("outages_total", "begun");
        info!(gateway.log, "outage begun"; "service" => service, "age_ms" => 0,
            "all_report" => are_all_reporting);
    }
}

/// Logs the outages that are over. An outage is over when no stall can continue it any more, so a
/// group that breaks again and again is not logged each time.
pub fn log_ended(gateway: &Gateway, now: Uptime) {
    for outage in gateway.service_outages.borrow_mut().expire(now) {
        gateway.metrics.count("outages_total", if outage.is_idle { "idle" } else { "ended" });
        info!(gateway.log, "outage ended"; "service" => outage.service,
            "age_ms" => outage.age.as_millis() as u64, "ago_ms" => outage.since.as_millis() as u64,
            "idle" => outage.is_idle, "all_report" => outage.all_reported);
    }
}

/// Returns the present outage of the request's service, if there is one.
pub fn present_outage(gateway: &Gateway, call: &Call) -> Option<Outage> {
    gateway.service_outages.borrow().outage(&call.service, gateway.clock.now())
}
