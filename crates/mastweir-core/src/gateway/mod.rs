//! Forwarding of requests to servers: what a gateway decides.
//!
//! A gateway passes requests through unchanged, so its decisions are few: which
//! route a request takes ([`Config`]), whether its servers take it on ([`Stream`]), which
//! of them gets it ([`Fleet`]), what the
//! end of an attempt proves and what follows from it ([`Proof`], [`next`]), and
//! whether the fleet can afford another attempt ([`RetryWindow`]). What servers ended under
//! goes to no more of them ([`Suspects`]). Streams are cut
//! into whole events ([`Events`]), so that another server can take one up. What it
//! hears of the platform's store is trusted only as far as the store is known to
//! answer ([`Liveness`]).

mod admission;
mod borrower;
mod choice;
mod config;
mod directory;
mod events;
mod fingerprint;
mod fit;
mod fleet;
mod lag;
mod lender;
mod listeners;
mod liveness;
mod notices;
mod pace;
mod passes;
mod pauses;
mod peers;
mod proof;
mod rate_limits;
mod roster;
mod seen;
mod suspects;
mod tokens;
mod waits;
mod window;

pub use admission::Stream;
pub use borrower::{Ask, Borrower};
pub use choice::{Candidate, Needs, Refusal};
pub use config::{Config, Kind, Limits, Model, PassCost, Route, RouteIndex, Service, Target};
pub use directory::{Directory, DirectoryChange, Server, ServerState};
pub use events::Events;
pub use fingerprint::{Asked, Fingerprint};
pub use fleet::{Fleet, News};
pub use lag::{Lag, Versions};
pub use lender::{HANDOVER, Lender, Loan, TOKEN_LASTS, lender_of};
pub use listeners::Listeners;
pub use liveness::{Doubt, Liveness, PROBE_LASTS, Probe};
pub use notices::Bar;
pub use pace::held;
pub use passes::Passes;
pub use pauses::Pauses;
pub use peers::{Named, Peers, Said};
pub use proof::{Answer, Next, Proof, Step, ending, next};
pub use rate_limits::{LimitChange, LimitWord, Limited, Rate};
pub use seen::Told;
pub use suspects::{QUARANTINE_LASTS, Quarantine, Suspected, Suspects};
pub use waits::Waits;
pub use window::RetryWindow;
