//! The choice of a server.
//!
//! What an entry knows of a server is old: reports lag, and every entry sees
//! the same idle server. The way chosen (`docs/design/routing.md` weighs the
//! others) is to expect the first token from three things and to take the best
//! of a few candidates:
//!
//! - the last report, trusted less the older it is ([`Router::expect`]);
//! - own requests sent since that report, which it can't know of;
//! - the prompt's prefix: its home servers by rendezvous hashing are always
//!   candidates, so all entries agree on them without telling each other, and
//!   a home wins only as long as its cache saves more than its queue costs.
//!
//! Servers are ejected by what calls see ([`Health`]), never more than a part
//! of them. Retries come out of a budget over all requests ([`RetryBudget`]).

mod budget;
mod health;
mod router;

pub use budget::RetryBudget;
pub use health::{Health, Signal};
pub use router::{Choice, Considered, Known, Policy, Reason, Request, Router};
