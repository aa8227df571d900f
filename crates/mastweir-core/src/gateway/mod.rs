//! Forwarding of requests to servers: what a gateway decides.
//!
//! A gateway passes requests through unchanged, so its decisions are few: which
//! route a request takes ([`Config`]), whether its servers take it on ([`Stream`]), which
//! of them gets it ([`Fleet`]), what the
//! end of an attempt proves and what follows from it ([`Proof`], [`next_action`]), and
//! whether the fleet can afford another attempt ([`RetryWindow`]). What servers ended under
//! goes to no more of them ([`PoisonRequests`]). Streams are cut
//! into whole events ([`Events`]), so that another server can take one up. What it
//! hears of the platform's store is trusted only as far as the store is known to
//! answer ([`Liveness`]).

mod admission;
mod choice;
mod config;
mod directory;
mod events;
mod fingerprint;
mod fit;
mod fleet;
mod lag;
mod listeners;
mod liveness;
mod pace;
mod passes;
mod peers;
mod permit_issuer;
mod permit_pool;
mod permit_requester;
mod poison_requests;
mod rate_limits;
mod retry_policy;
mod retry_window;
mod roster;
mod seen;
mod server_notices;
mod stream_timing;
mod waits;

pub use admission::Stream;
pub use choice::{Candidate, Needs, Refusal};
pub use config::{Config, Kind, Limits, Model, PassCost, Route, RouteIndex, Service, Target};
pub use directory::{Directory, DirectoryChange, Server, ServerState};
pub use events::Events;
pub use fingerprint::{Fingerprint, RequestParts};
pub use fleet::{Fleet, News};
pub use lag::{Lag, Versions};
pub use listeners::Listeners;
pub use liveness::{Liveness, PROBE_TIMEOUT, ProbeResult, WatchFailure};
pub use pace::held;
pub use passes::Passes;
pub use peers::{PeerInfo, PeerState, Peers};
pub use permit_issuer::{HANDOVER_DELAY, PERMIT_LIFETIME, PermitGrant, PermitIssuer, issuer_of};
pub use permit_requester::{PermitRequest, PermitRequester};
pub use poison_requests::{PoisonRequests, QUARANTINE_DURATION, Quarantine, SuspectReport};
pub use rate_limits::{LimitChange, LimitReport, LimitUpdate, Rate};
pub use retry_policy::{AttemptResult, AttemptState, NextAction, Proof, final_action, next_action};
pub use retry_window::RetryWindow;
pub use seen::Told;
pub use server_notices::Exclusion;
pub use stream_timing::StreamTiming;
pub use waits::Waits;
