//! The sidecar: beside a model server, on its instance.
//!
//! It reads the server's state and what its requests chose, which is free and
//! fresh only there; it tells its hall's relays (`rank`), answers its coordinator's polls
//! (`poll`), and carries out orders (`carry`). One sidecar of each group is the
//! coordinator (`lead`): `polling` asks the ranks, `known` and `ranks` are what they said,
//! `coordinate` goes step by step, `orders` gives orders. What it decides is in
//! [`mastweir_core::switch`] and [`mastweir_core::experts::layer_planner`].

pub mod aggregation;
mod coordinator;
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
    net::internal,
};
use eyre::WrapErr;
use slog::{Logger, info};
use state::Sidecar;
use std::{net::SocketAddr, rc::Rc};
use tokio::{
    net::{TcpListener, UdpSocket},
    task,
};

/// What a sidecar is made from.
#[derive(Clone, Debug)]
pub struct SidecarOptions {
    /// Where it runs.
    pub settings: Settings,
    /// The model server on its instance.
    pub engine: SocketAddr,
    /// The log.
    pub log: Logger,
}

/// Runs a sidecar until it is told to stop.
///
/// # Errors
///
/// Its address can't be used.
pub async fn run(options: &SidecarOptions, stop: impl Future<Output = ()>) -> eyre::Result<()> {
    let own = SocketAddr::new(options.settings.ip, options.settings.internal_port);
    let listener = TcpListener::bind(own).await.wrap_err_with(|| format!("listening on {own}"))?;
    let socket = UdpSocket::bind(own).await.wrap_err_with(|| format!("binding {own}"))?;
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
