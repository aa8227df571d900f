//! What a call writes down of its decisions: log lines, and what operators ask an entry for.

use super::{
    super::{decisions::Decision, view::Chosen},
    Driver,
};
use mastweir_core::outcome::{Evidence, Outcome};

impl Driver {
    pub(super) fn log_choice(&self, chosen: &Chosen) {
        let why = explain(chosen);
        let server = chosen.fence.to_string();
        slog::info!(self.shared.context.log, "route"; "request" => &self.order.id,
            "customer" => &self.order.customer, "service" => &self.order.service_name,
            "server" => &server, "why" => &why);
        self.decide(format!("route to {server}"), why);
    }

    pub(super) fn log_none(&self) {
        slog::info!(self.shared.context.log, "no server"; "request" => &self.order.id,
            "service" => &self.order.service_name, "tried" => self.tried.join(" "));
        self.decide("no server".to_owned(), format!("none open, tried {:?}", self.tried));
    }

    pub(super) fn log_end(&self, outcome: Outcome, evidence: Option<Evidence>) {
        slog::info!(self.shared.context.log, "end"; "request" => &self.order.id,
            "outcome" => %outcome, "evidence" => ?evidence, "attempts" => self.tried.len());
        self.shared.context.metrics.count_tagged("request", "outcome", &outcome.to_string());
        self.decide(format!("end {outcome}"), format!("{evidence:?}"));
    }

    fn decide(&self, what: String, why: String) {
        let subject = self.order.id.clone();
        self.shared.decisions.add(Decision { subject, what, why });
    }
}

/// The figures of a decision in one line.
fn explain(chosen: &Chosen) -> String {
    let seen = chosen.choice.candidates.iter().zip(&chosen.names).map(|(seen, name)| {
        let home = if seen.is_affinity { " home" } else { "" };
        let (wait, work, age) = (seen.wait * 1e3, seen.work * 1e3, seen.age * 1e3);
        format!("{name}: wait {wait:.1} ms, work {work:.1} ms, report {age:.0} ms old{home}")
    });
    let seen: Vec<String> = seen.collect();
    format!("{:?} of {}", chosen.choice.reason, seen.join("; "))
}
