//! Forwarding of requests to servers: what a gateway decides.
//!
//! A gateway passes requests through unchanged, so its decisions are few: which
//! route a request takes ([`Config`]), whether its servers take it on ([`Stream`]), which
//! of them gets it ([`Fleet`]), what the
//! end of an attempt proves and what follows from it ([`Proof`], [`next_action`]), and
//! whether the fleet can afford another attempt ([`RetryWindow`]). What servers ended under
//! goes to no more of them ([`PoisonRequests`]). Streams are cut
//! into whole events ([`EventSplitter`]), so that another server can take one up. What it
//! hears of the platform's store is trusted only as far as the store is known to
//! answer ([`Liveness`]).

mod admission;
mod choice;
mod config;
mod deferral;
mod directory;
mod event_splitter;
mod fingerprint;
mod fleet;
mod lag;
mod listeners;
mod liveness;
mod passes;
mod peers;
mod permit_issuer;
mod permit_pool;
mod permit_requester;
mod poison_requests;
mod rate_limits;
mod registry;
mod retry_detector;
mod retry_policy;
mod retry_window;
mod score;
mod server_notices;
mod status;
mod stream_timing;

pub use admission::StreamRequest;
pub use choice::{Candidate, Refusal, Requirements};
pub use config::{Config, Kind, Limits, Model, PassCost, Route, RouteIndex, Service, Target};
pub use deferral::max_deferral;
pub use directory::{Directory, DirectoryChange, Server, ServerState};
pub use event_splitter::EventSplitter;
pub use fingerprint::{Fingerprint, RequestParts};
pub use fleet::{Fleet, ReportChanges};
pub use lag::{Lag, Versions};
pub use listeners::Listeners;
pub use liveness::{Liveness, PROBE_TIMEOUT, ProbeResult, WatchFailure};
pub use passes::PassTimer;
pub use peers::{PeerInfo, PeerState, Peers};
pub use permit_issuer::{HANDOVER_DELAY, PERMIT_LIFETIME, PermitGrant, PermitIssuer, issuer_of};
pub use permit_requester::{PermitRequest, PermitRequester};
pub use poison_requests::{PoisonRequests, QUARANTINE_DURATION, Quarantine, SuspectReport};
pub use rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate};
pub use retry_detector::RetryDetector;
pub use retry_policy::{AttemptResult, AttemptState, NextAction, Proof, final_action, next_action};
pub use retry_window::RetryWindow;
pub use server_notices::Exclusion;
pub use status::LoadReport;
pub use stream_timing::StreamTiming;
