//! The choice of a server.
//!
//! What an entry knows of a server is old: reports lag, and every entry sees
//! the same idle server. The way chosen (`docs/design/routing.md` weighs the
//! others) rests on three things:
//!
//! - a few servers drawn at random, and one of them by *load interpretation*:
//!   the older the reports, the less they decide, since all entries saw them;
//! - own requests sent since a report, which it can't know of;
//! - the prompt's prefix: its home servers on a [`HashRing`] of hashes are always
//!   candidates, so all entries agree on them without telling each other, and
//!   a home wins only as long as its cache saves more than its queue costs.
//!
//! Servers are ejected by what calls see ([`Health`]), never more than a part
//! of them. Retries come out of a budget over all requests ([`RetryBudget`]).

mod budget;
mod health;
mod policy;
mod ring;
mod router;
mod server_view;

pub use budget::RetryBudget;
pub use health::{Health, Signal};
pub use policy::Policy;
pub use ring::HashRing;
pub use router::{Candidate, Choice, Reason, Request, Router};
pub use server_view::ServerView;
