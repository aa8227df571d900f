//! The agent: a process next to each server that accepts requests from entries for it.
//!
//! Entries open channels to the agent and submit requests. The agent queues them fairly by
//! customer ([`FairQueue`]), runs operations that must not be repeated at most once
//! ([`DedupTable`]), and calls the engine or plain service over HTTP. The answer is buffered
//! (`answer::Answer`) for the channel that submitted the request and for any later channel that
//! submits the same operation. The platform is needed only to read the epoch of the rank group's
//! lease.
//!
//! [`FairQueue`]: mastweir_core::share::FairQueue
//! [`DedupTable`]: mastweir_core::outcome::DedupTable

mod answer;
mod engine;
mod engine_report;
mod epoch_fence;
mod jobs;
mod reports;
mod runner;
mod serve;

use crate::{
    Context,
    net::{Socket, Traffic},
    objects::GroupSpec,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::TcpListener, sync::watch, task::JoinSet, time};

#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Address for channels and datagrams; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Base address of the engine or plain service.
    pub engine: String,
    /// Names of the services of the server.
    pub services: Vec<String>,
    /// Maximum requests that run at the same time.
    pub slots: u16,
    /// Maximum length of the queue.
    pub queue: usize,
    /// The ranks of a group that the server holds; `None` outside of groups.
    pub group: Option<GroupSpec>,
    /// Time for requests in flight to complete at a graceful stop.
    pub grace: Duration,
}

/// A running agent. See the [module](self).
#[derive(Debug)]
pub struct Agent {
    /// Address for channels.
    pub tcp: SocketAddr,
    /// Address for datagrams.
    pub udp: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

/// State shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    context: Context,
    options: AgentOptions,
    jobs: jobs::Jobs,
    epoch_fence: epoch_fence::EpochFence,
    engine: engine::Engine,
    socket: Socket,
    subscribers: reports::Subscribers,
    stop: watch::Sender<bool>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(context: Context, options: AgentOptions) -> eyre::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let tcp = listener.local_addr()?;
        let at = SocketAddr::new(tcp.ip(), options.listen.port());
        let socket = Socket::bind(at, context.fence(), &context.secret).await?;
        let udp = socket.local_addr()?;
        let engine = engine::Engine::new(&options.engine)?;
        let jobs = jobs::Jobs::new(&context, &options);
        let epoch_fence = epoch_fence::EpochFence::new(options.group.clone());
        let (stop, _) = watch::channel(false);
        let shared = Arc::new(Shared {
            context,
            options,
            jobs,
            epoch_fence,
            engine,
            socket,
            subscribers: reports::Subscribers::default(),
            stop,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve::accept(shared.clone(), listener));
        tasks.spawn(reports::receive_subscriptions(shared.clone()));
        tasks.spawn(reports::send_due(shared.clone()));
        tasks.spawn(runner::poll_engine(shared.clone()));
        tasks.spawn(epoch_fence::read_epoch(shared.clone()));
        slog::info!(shared.context.log, "agent listening"; "tcp" => %tcp, "udp" => %udp,
            "incarnation" => shared.context.incarnation.0);
        Ok(Self { tcp, udp, shared, tasks })
    }

    /// Returns the datagrams sent and received.
    pub fn traffic(&self) -> Traffic {
        self.shared.socket.traffic()
    }

    /// Stops gracefully: rejects new requests, reports this to subscribers, and waits for those
    /// that run, up to the grace time.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        slog::info!(shared.context.log, "agent stopping"; "running" => shared.jobs.running());
        shared.jobs.stop_accepting();
        reports::send_to_all(&shared).await;
        let idle = async {
            while !shared.jobs.is_idle() {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let in_time = time::timeout(shared.options.grace, idle).await.is_ok();
        let _ = shared.stop.send(true);
        self.tasks.shutdown().await;
        slog::info!(shared.context.log, "agent stopped"; "all_ended" => in_time);
    }

    /// Stops at once, as in a crash.
    pub async fn kill(mut self) {
        let _ = self.shared.stop.send(true);
        self.tasks.shutdown().await;
    }
}
