//! Decisions of a gateway that forwards requests to servers.
//!
//! A sidecar beside each server reports the server's load to a few gateways of its hall, the
//! relays, which forward the reports to the other gateways ([`Peers`]), to each those of a part of
//! the servers ([`ViewSize`]).
//!
//! A gateway finds the route of a request ([`Config`]), decides whether the service admits a stream
//! ([`StreamRequest`]), and chooses a server ([`Fleet`]); requests for which there is none wait in
//! a queue ([`WaitQueue`]). After an attempt it decides what the outcome proves and what to do next
//! ([`Proof`], [`next_action`]), and whether a retry is within the budget ([`RetryWindow`]).
//! Requests that crash servers are quarantined ([`PoisonRequests`]), and so are parts of prompts
//! that do ([`PoisonPrompts`], [`RecentRuns`]). A server that states a rate
//! limit, or that is cold, gets only requests with a permit ([`PermitIssuer`]); the servers of an
//! evacuated hall get none ([`EvacuationList`]). Event streams are split into complete events
//! ([`EventSplitter`]), so that another server can resume them. The bodies of requests and answers
//! draw on a byte budget ([`MemoryBudget`]). Outages of services are recorded for operators
//! ([`OutageTracker`]). New connections are refused while the gateway lags ([`AcceptLimit`]). Data of the platform's store is used only while the store is known to
//! answer ([`Liveness`]).

mod accept_limit;
mod admission;
mod choice;
mod config;
mod deferral;
mod directory;
mod evacuations;
mod event_splitter;
mod exclusions;
mod fingerprint;
mod fleet;
mod follower_view;
mod homes;
mod lag;
mod listeners;
mod liveness;
mod memory_budget;
mod outages;
mod pass_limit;
mod pass_room;
mod passes;
mod peers;
mod permit_issuer;
mod permit_pool;
mod permit_requester;
mod poison_prompts;
mod poison_requests;
mod rate_limits;
mod recent_runs;
mod refusal;
mod registry;
mod reporting;
mod retry_detector;
mod retry_policy;
mod retry_window;
mod score;
mod server_notices;
mod status;
mod stream_timing;
mod urgency;
mod views;
mod wait_queue;
mod warmups;
mod watchers;

pub use accept_limit::{AcceptLimit, LAG_INTERVAL};
pub use admission::StreamRequest;
pub use choice::{Candidate, Requirements};
pub use config::{Config, Kind, Limits, Model, PassCost, Route, RouteIndex, Service, Target};
pub use deferral::max_deferral;
pub use directory::{Directory, DirectoryChange, Server, ServerState};
pub use evacuations::EvacuationList;
pub use event_splitter::EventSplitter;
pub use fingerprint::{Fingerprint, RequestParts};
pub use fleet::{Fleet, ReportChanges};
pub use homes::Homes;
pub use lag::{Lag, Versions};
pub use listeners::Listeners;
pub use liveness::{Liveness, PROBE_TIMEOUT, ProbeResult, WatchFailure};
pub use memory_budget::{BodyKind, EndedTransfer, Growth, MemoryBudget, TransferId};
pub use outages::{CONTINUED_WITHIN, EndedOutage, IDLE_END, Outage, OutageTracker};
pub use pass_limit::PassLimitChange;
pub use passes::PassTimer;
pub use peers::{PeerInfo, PeerState, Peers};
pub use permit_issuer::{HANDOVER_DELAY, PERMIT_LIFETIME, PermitGrant, PermitIssuer, issuer_of};
pub use permit_requester::{PermitRequest, PermitRequester};
pub use poison_prompts::{MergedPart, PartCrash, PartReport, PoisonPrompts, PromptHold};
pub use poison_requests::{PoisonRequests, QUARANTINE_DURATION, Quarantine, SuspectReport};
pub use rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate};
pub use recent_runs::{CrashedPart, PassedPart, RecentRuns, RunEnd, RunId};
pub use refusal::Refusal;
pub use retry_detector::RetryDetector;
pub use retry_policy::{AttemptResult, AttemptState, NextAction, Proof, final_action, next_action};
pub use retry_window::RetryWindow;
pub use server_notices::Exclusion;
pub use status::LoadReport;
pub use stream_timing::StreamTiming;
pub use urgency::{
    PRIORITY_DEFAULT, PRIORITY_MAX, Urgency, UrgencyLevel, UrgencyLevels, UrgencyShares,
};
pub use views::{ViewKey, ViewSize};
pub use wait_queue::{
    Enqueued, WaitBounds, WaitQueue, WaitQueueFull, WaitTicket, WaitingRequest, is_shared_refusal,
};
pub use watchers::{TRIES_PER_S, WatchState, Watchers};
