//! The sidecar: a process on each model server's instance.
//!
//! `server_watch` reads the server's state, sends it to the relay gateways of the hall and
//! receives datagrams. `poll_answer` answers the polls of the group's coordinator with the state
//! and the expert selections of the rank; `aggregation` combines the answers of a subtree.
//! `order_executor` executes the coordinator's orders, such as to load an expert map.
//!
//! One sidecar of each group is the coordinator (`election`). `poller` polls the ranks,
//! `group_state` and `rank_views` hold their answers, `coordinator` plans expert maps and puts
//! them in force, `map_lookup` finds the map in force, `orders` sends orders to the ranks, and
//! `delegate` has another sidecar give the last two.
//! The decisions are made in [`mastweir_core::switch`] and
//! [`mastweir_core::experts::layer_planner`].

pub mod aggregation;
mod coordinator;
mod delegate;
mod election;
mod group_state;
mod map_lookup;
mod order_executor;
mod orders;
mod plan;
mod poll_answer;
mod poller;
pub mod rank_views;
mod server_watch;
mod state;

use crate::{
    gateway::{generations, settings::Settings},
    net::{internal, listener},
};
use slog::{Logger, info};
use state::Sidecar;
use std::{net::SocketAddr, pin::pin, rc::Rc};
use tokio::task;

/// Configuration of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarOptions {
    pub settings: Settings,
    /// Address of the model server.
    pub engine: SocketAddr,
    pub log: Logger,
}

/// Runs a sidecar until `stop` completes.
///
/// # Errors
///
/// If the address of the sidecar can't be bound.
pub async fn run(options: &SidecarOptions, stop: impl Future<Output = ()>) -> eyre::Result<()> {
    let own = SocketAddr::new(options.settings.ip, options.settings.internal_port);
    let mut stop = pin!(stop);
    let sockets = async {
        let listener = listener::bind(own, &options.log).await?;
        Ok::<_, eyre::Report>((listener, listener::bind_udp(own, &options.log).await?))
    };
    let (listener, socket) = tokio::select! {
        biased;
        () = &mut stop => return Ok(()),
        sockets = sockets => sockets?,
    };
    let sidecar = Rc::new(Sidecar::new(options, socket));
    info!(sidecar.log, "sidecar started"; "internal" => %own, "engine" => %options.engine);
    task::spawn_local(server_watch::receive_datagrams(sidecar.clone()));
    task::spawn_local(server_watch::watch_server(sidecar.clone()));
    task::spawn_local(election::elect(sidecar.clone()));
    task::spawn_local(generations::watch(sidecar.store.clone(), sidecar.log.clone(), || ()));
    let answering = sidecar.clone();
    task::spawn_local(internal::serve(listener, move |path, body| {
        let sidecar = answering.clone();
        async move { order_executor::handle_call(&sidecar, &path, &body).await }
    }));
    stop.await;
    info!(sidecar.log, "sidecar stopped");
    Ok(())
}
