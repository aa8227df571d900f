//! Problems: the `application/problem+json` bodies that callers get instead of an answer.
//!
//! Each problem states whether the request may have run, and what the caller can do.

use mastweir_core::{
    gateway::QUARANTINE_DURATION,
    outcome::{Evidence, Outcome, Refusal},
};
use serde::{Deserialize, Serialize};

/// A problem as callers get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    pub title: String,
    pub status: u16,
    /// Whether the request has run.
    pub outcome: Outcome,
    pub remedy: String,
    /// Id of the request, as `mastweir explain` takes it.
    pub request: String,
    /// Seconds after which the caller may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// No customer has the key.
    Unauthorized,
    /// The service or model does not exist.
    NoService,
    /// The request is malformed or too long.
    BadRequest,
    /// The request costs more than the customer's row allows.
    TooLarge,
    /// The customer has reached a limit of its row.
    Limit,
    Overloaded,
    /// No server is available.
    NoServer,
    /// The request did not complete in time.
    Deadline,
    /// The connection to the server was lost.
    Lost,
    /// The bindings of the idempotency key can't be read.
    KeyUnknown,
    /// The ticket is invalid or has expired.
    BadTicket,
    /// The request has run, and its answer is no longer stored.
    AnswerEvicted,
    /// The request has crashed servers.
    Quarantined,
    /// The entry is starting or stopping.
    NotReady,
}

impl ProblemKind {
    /// Returns the kind for a call that ended without an answer.
    pub const fn of(outcome: Outcome, evidence: Option<Evidence>) -> Self {
        match evidence {
            Some(Evidence::Refused(Refusal::Overloaded | Refusal::TableFull)) => Self::Overloaded,
            Some(Evidence::Refused(Refusal::Deadline)) => Self::Deadline,
            Some(Evidence::Refused(Refusal::AnswerEvicted)) => Self::AnswerEvicted,
            Some(Evidence::Refused(Refusal::Expired)) => Self::BadTicket,
            Some(Evidence::Refused(
                Refusal::Leaving
                | Refusal::EngineUnreachable
                | Refusal::NotServed
                | Refusal::Withdrawn,
            )) => Self::NoServer,
            Some(Evidence::NotSent) => Self::NoServer,
            Some(_) => Self::Lost,
            None if matches!(outcome, Outcome::NotRun) => Self::NoServer,
            None => Self::Deadline,
        }
    }

    /// Returns the default time after which the caller may retry, in seconds.
    fn retry_after(self, status: u16) -> Option<u32> {
        match self {
            Self::Quarantined => u32::try_from(QUARANTINE_DURATION.as_secs()).ok(),
            _ => (status == 503 || status == 429).then_some(1),
        }
    }

    /// Returns the name in the URN, the HTTP status, the title and the remedy.
    const fn details(self) -> (&'static str, u16, &'static str, &'static str) {
        match self {
            Self::Unauthorized => (
                "unauthorized",
                401,
                "no customer has this key",
                "send 'Authorization: Bearer KEY' with the key of your row",
            ),
            Self::NoService => (
                "no-service",
                404,
                "no such service or model",
                "name one that the operators list with 'mastweir table list'",
            ),
            Self::BadRequest => (
                "bad-request",
                400,
                "the request can't be read",
                "send JSON with a 'model' to model paths, and at most 1 MiB",
            ),
            Self::TooLarge => (
                "too-large",
                413,
                "larger than the customer's row allows",
                "ask for fewer tokens, or have 'largest' raised",
            ),
            Self::Limit => (
                "limit",
                429,
                "a limit of the customer's row is reached",
                "come back after the time given",
            ),
            Self::Overloaded => (
                "overloaded",
                503,
                "all servers are full, and others are owed more",
                "come back after the time given",
            ),
            Self::NoServer => {
                ("no-server", 503, "no server can take it now", "come back after the time given")
            }
            Self::Deadline => (
                "deadline",
                504,
                "not done in its time",
                "if the outcome is unknown, submit it again under the same key to learn more",
            ),
            Self::Lost => (
                "lost",
                502,
                "the connection to the server was lost",
                "if the outcome is unknown, submit it again under the same key to learn more",
            ),
            Self::KeyUnknown => (
                "key-unknown",
                503,
                "whether this key was submitted before can't be looked up now",
                "get a ticket with POST /v1/tickets and use it as the key of new requests",
            ),
            Self::BadTicket => (
                "bad-ticket",
                409,
                "the ticket is not valid any more, or not for this",
                "get a new ticket with POST /v1/tickets, if you know that the old one did not run",
            ),
            Self::AnswerEvicted => (
                "answer-gone",
                409,
                "it has run, and its answer is not kept any more",
                "do not submit it again; look the result up where it took effect",
            ),
            Self::Quarantined => (
                "quarantined",
                503,
                "servers have ended under this request, and it is sent to no other",
                "change it; unchanged it is tried again an hour after it was last submitted",
            ),
            Self::NotReady => (
                "not-ready",
                503,
                "this entry instance takes no requests now",
                "submit it again: another one will take it",
            ),
        }
    }
}

impl Problem {
    /// Creates a problem of a request. `retry_after` replaces the default of the kind.
    pub fn new(
        kind: ProblemKind,
        outcome: Outcome,
        request: &str,
        retry_after: Option<u32>,
    ) -> Self {
        let (slug, status, title, remedy) = kind.details();
        let retry_after = retry_after.or(kind.retry_after(status));
        Self {
            kind: format!("urn:mastweir:problem:{slug}"),
            title: title.to_owned(),
            status,
            outcome,
            remedy: remedy.to_owned(),
            request: request.to_owned(),
            retry_after,
        }
    }
}
