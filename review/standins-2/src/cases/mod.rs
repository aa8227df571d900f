//! The cases.

pub mod extra_answer;
pub mod extra_bytes;
pub mod gone_server;
pub mod header_limit;
pub mod moved_store;
pub mod new_bound;
pub mod planned_stop;
