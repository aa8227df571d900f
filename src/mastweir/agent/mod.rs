//! The agent: the small process in a server's slot.
//!
//! Entries open channels to it and hand it orders. It decides who is served
//! next (a [`FairQueue`]), makes sure that what may not be repeated runs at
//! most once (a [`DedupTable`]), calls the engine or plain service beside it, and
//! writes the answer where the order's connection, and any that joins it, reads
//! it ([`answer::Answer`]). It needs the platform only to learn the epoch of
//! its rank group's lease.
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

/// How an agent is set up.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Address to listen at, for channels and datagrams; port 0 chooses one.
    pub listen: SocketAddr,
    /// Base address of the engine or plain service.
    pub engine: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Requests that run in it at once at most.
    pub slots: u16,
    /// Requests that wait at most.
    pub queue: usize,
    /// The part of a rank group that the server holds.
    pub group: Option<GroupSpec>,
    /// Time that running requests have at a planned stop.
    pub grace: Duration,
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    /// Where it listens for channels.
    pub tcp: SocketAddr,
    /// Where it listens for datagrams.
    pub udp: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

/// What the agent's tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    context: Context,
    options: AgentOptions,
    jobs: jobs::Jobs,
    ranks: epoch_fence::Ranks,
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
    /// The address can't be used.
    pub async fn start(context: Context, options: AgentOptions) -> eyre::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let tcp = listener.local_addr()?;
        let at = SocketAddr::new(tcp.ip(), options.listen.port());
        let socket = Socket::bind(at, context.fence(), &context.secret).await?;
        let udp = socket.local_addr()?;
        let engine = engine::Engine::new(&options.engine)?;
        let jobs = jobs::Jobs::new(&context, &options);
        let ranks = epoch_fence::Ranks::new(options.group.clone());
        let (stop, _) = watch::channel(false);
        let shared = Arc::new(Shared {
            context,
            options,
            jobs,
            ranks,
            engine,
            socket,
            subscribers: reports::Subscribers::default(),
            stop,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve::accept(shared.clone(), listener));
        tasks.spawn(reports::answer_subscribers(shared.clone()));
        tasks.spawn(reports::send(shared.clone()));
        tasks.spawn(runner::poll(shared.clone()));
        tasks.spawn(epoch_fence::learn(shared.clone()));
        slog::info!(shared.context.log, "agent listens"; "tcp" => %tcp, "udp" => %udp,
            "incarnation" => shared.context.incarnation.0);
        Ok(Self { tcp, udp, shared, tasks })
    }

    /// Datagrams of its control traffic so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.socket.traffic()
    }

    /// Stops as planned: takes nothing new, says so, and ends when all that
    /// runs has ended, or its time is over.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        slog::info!(shared.context.log, "agent leaves"; "running" => shared.jobs.running());
        shared.jobs.leave();
        reports::tell_all(&shared).await;
        let idle = async {
            while !shared.jobs.is_idle() {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let in_time = time::timeout(shared.options.grace, idle).await.is_ok();
        let _ = shared.stop.send(true);
        self.tasks.shutdown().await;
        slog::info!(shared.context.log, "agent has left"; "all_ended" => in_time);
    }

    /// Ends at once, as a crash would.
    pub async fn kill(mut self) {
        let _ = self.shared.stop.send(true);
        self.tasks.shutdown().await;
    }
}
