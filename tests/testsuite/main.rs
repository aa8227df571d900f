//! Tests of mastweir, a file a feature.

mod cli;
mod connections;
mod deaf_watch;
mod elections;
mod faults;
mod fleet;
mod follow;
mod fuzz_hold;
mod fuzz_lease;
mod fuzz_outcomes;
mod fuzz_routing;
mod fuzz_switch;
mod fuzz_table;
mod gateway;
mod gateway_core;
mod gateway_store;
mod group_maps;
mod harness;
mod hold;
mod messages;
mod path;
mod peers;
mod plans;
mod platform_file;
mod processes;
mod soak;
