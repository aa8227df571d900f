//! Choice of a server for a request, in entry instances ("entries").
//!
//! Load reports are some seconds old, and all entries receive the same reports,
//! so choosing the least loaded server would send all requests to it. The choice
//! therefore considers:
//!
//! - a random sample of the servers, weighted by their load: the older a server's
//!   report, the less it counts;
//! - the entry's own requests since a server's last report;
//! - the prompt's prefix: its affinity targets on a [`HashRing`], the same for all
//!   entries, are always candidates. A target is chosen as long as its prefix cache
//!   saves more time than its queue costs.
//!
//! Servers are ejected by the results of calls ([`Health`]), up to a maximum part
//! of all servers. Retries draw on a budget over all requests ([`RetryBudget`]).
//! `docs/design/routing.md` compares this design with others.

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
