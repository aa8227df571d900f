//! Records the routing decisions and the outcome of a call: log lines, metrics, and the decisions
//! that `mastweir explain` shows.

use super::{
    super::{decisions::Decision, view::ChosenServer},
    Driver,
};
use mastweir_core::outcome::{Evidence, Outcome};

impl Driver {
    pub(super) fn log_choice(&self, chosen: &ChosenServer) {
        let why = format_choice(chosen);
        let server = chosen.fence.to_string();
        slog::info!(self.shared.context.log, "request routed"; "request" => &self.request.id,
            "customer" => &self.request.customer, "service" => &self.request.service_name,
            "server" => &server, "why" => &why);
        self.add_decision(format!("route to {server}"), why);
    }

    pub(super) fn log_no_server(&self) {
        slog::info!(self.shared.context.log, "no server available"; "request" => &self.request.id,
            "service" => &self.request.service_name, "tried" => self.tried.join(" "));
        self.add_decision("no server".to_owned(), format!("none open, tried {:?}", self.tried));
    }

    pub(super) fn log_outcome(&self, outcome: Outcome, evidence: Option<Evidence>) {
        slog::info!(self.shared.context.log, "request ended"; "request" => &self.request.id,
            "outcome" => %outcome, "evidence" => ?evidence, "attempts" => self.tried.len());
        self.shared.context.metrics.count_tagged("request", "outcome", &outcome.to_string());
        self.add_decision(format!("end {outcome}"), format!("{evidence:?}"));
    }

    fn add_decision(&self, what: String, why: String) {
        let subject = self.request.id.clone();
        self.shared.decisions.add(Decision { subject, what, why });
    }
}

/// Formats a routing decision with the figures of its candidates in one line.
fn format_choice(chosen: &ChosenServer) -> String {
    let candidates = chosen.choice.candidates.iter().zip(&chosen.names).map(|(candidate, name)| {
        let affinity = if candidate.is_affinity { " home" } else { "" };
        let (wait, work, age) = (candidate.wait * 1e3, candidate.work * 1e3, candidate.age * 1e3);
        format!("{name}: wait {wait:.1} ms, work {work:.1} ms, report {age:.0} ms old{affinity}")
    });
    let candidates: Vec<String> = candidates.collect();
    format!("{:?} of {}", chosen.choice.reason, candidates.join("; "))
}
