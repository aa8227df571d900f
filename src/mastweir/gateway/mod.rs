//! The gateway: a reverse proxy between callers and the servers of the fleet.
//!
//! Each instance runs one gateway process with one thread. `listen` accepts connections; `forward`
//! finds the route, customer and server of a request (`call`), for which it may have to wait
//! (`waiting`), and makes one or more attempts (`attempt`) until there is a final answer
//! (`plain_answer`, `final_answer`); `stream` forwards streams of events, and `resumption` resumes
//! them at another server if they break or stall. `bodies` and `memory` bound the memory of all
//! bodies, and `caller` cuts callers that do not read. `crash_probe` finds out whether a server
//! crashed under a request.
//!
//! The gateway's view of the fleet comes from three sources: the platform's store (`watch`,
//! `follow`), other gateways (`peers`, `fetch`) and the sidecars of model servers (`relay`). Either
//! the store or the peers suffice to stay up to date. `permits`, `limit_gossip`,
//! `suspect_gossip`, `prompt_suspects` and `quarantine` keep rate limits and what is quarantined
//! consistent between gateways. Decisions are made in [`mastweir_core::gateway`]; the modules here
//! carry them out.

mod attempt;
mod bodies;
mod call;
mod caller;
mod crash_probe;
mod datagrams;
mod fetch;
mod final_answer;
pub mod follow;
mod forward;
pub mod generations;
mod in_flight;
mod limit_gossip;
mod listen;
mod log_once;
mod memory;
pub mod message;
mod peers;
mod pending_probes;
mod permit_state;
mod permits;
mod plain_answer;
mod prompt_suspects;
mod quarantine;
mod relay;
mod resumption;
mod return_times;
mod server_notices;
mod service_outages;
pub mod settings;
mod state;
mod stream;
mod suspect_gossip;
mod unreadable;
mod waiting;
mod watch;

pub use listen::run;
pub use state::{Gateway, GatewayOptions};
