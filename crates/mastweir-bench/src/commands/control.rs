//! `control`: what control costs one entry and one agent, one size varied at a
//! time, with peers that this process plays.

use crate::{
    commands::daemon_program,
    report::{Metric, Report},
};
use argh::FromArgs;
use mastweir::{
    net::{Secret, Socket, Traffic},
    objects::{InstanceRole, InstanceSpec, InstanceState},
};
use mastweir_core::{
    id::{Fence, Incarnation},
    share::{CustomerTag, Usage, UsageRow, UsageTree},
    table::{Digest, RowKind},
    time::Uptime,
    wire::{Load, Packet},
};
use mastweir_test_support::{
    fleet::{OPERATOR_KEY, SECRET, customer, model, put_row, remove_row},
    procs::Processes,
};
use rand::Rng;
use reqwest::Client;
use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};

const METRICS: [Metric; 4] =
    [("bytes_s", "B/s"), ("messages_s", "1/s"), ("cpu_pct", "%"), ("memory_mb", "MB")];
const SERVERS: [usize; 3] = [16, 64, 256];
const ENTRIES: [usize; 3] = [8, 24, 59];
const CUSTOMERS: [usize; 3] = [10, 200, 1_100];
const CHANGES: [usize; 3] = [0, 60, 240];
const SUBSCRIBERS: [usize; 3] = [8, 24, 59];
/// Kernel's ticks of processor time in a second.
const TICKS_S: f64 = 100.0;
/// Longer than the fleet needs to settle into its intervals.
const WARM: Duration = Duration::from_secs(8);

/// Measure what control costs.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Args {
    /// taken for uniformity; the peers' times are real
    #[argh(option, default = "1")]
    #[expect(dead_code, reason = "every measure takes a seed")]
    seed: u64,
    /// seconds that each case is measured for (default 8)
    #[argh(option, default = "8")]
    seconds: u64,
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

/// The size of a case.
#[derive(Clone, Copy, Debug)]
struct Size {
    servers: usize,
    entries: usize,
    customers: usize,
    /// Changes of rows a minute.
    changes: usize,
}

const BASE: Size = Size { servers: 16, entries: 8, customers: 10, changes: 0 };

type Figures = [f64; 4];
/// What is varied, its values, and the size that makes.
type Varied = (&'static str, [usize; 3], fn(usize) -> Size);

/// Runs the measure.
pub async fn exec(args: &Args) -> eyre::Result<()> {
    let mut report = Report::new("control", args.json);
    let time = Duration::from_secs(args.seconds);
    let vary: [Varied; 4] = [
        ("servers", SERVERS, |servers| Size { servers, ..BASE }),
        ("entries", ENTRIES, |entries| Size { entries, ..BASE }),
        ("customers", CUSTOMERS, |customers| Size { customers, ..BASE }),
        ("changes", CHANGES, |changes| Size { changes, ..BASE }),
    ];
    for (what, values, size) in vary {
        let mut points = Vec::new();
        for value in values {
            report.progress(&format!("entry, {what}={value}"));
            let figures = entry(size(value), time).await?;
            add(&mut report, &format!("entry/{what}={value}"), "current", figures);
            points.push((value as f64, figures));
        }
        add(&mut report, &format!("entry/{what}"), "slope", slopes(&points));
    }
    let mut points = Vec::new();
    for value in SUBSCRIBERS {
        report.progress(&format!("agent, entries={value}"));
        let figures = agent(value, time).await?;
        add(&mut report, &format!("agent/entries={value}"), "current", figures);
        points.push((value as f64, figures));
    }
    add(&mut report, "agent/entries", "slope", slopes(&points));
    report.print();
    Ok(())
}

fn add(report: &mut Report, case: &str, policy: &str, figures: Figures) {
    report.add(case, policy, &METRICS.into_iter().zip(figures).collect::<Vec<_>>());
}

/// Least squares by metric.
fn slopes(points: &[(f64, Figures)]) -> Figures {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    std::array::from_fn(|i| {
        let mean_y = points.iter().map(|(_, y)| y[i]).sum::<f64>() / count;
        let over: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y[i] - mean_y)).sum();
        let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        over / under
    })
}

/// An entry among peers that this process plays.
async fn entry(size: Size, length: Duration) -> eyre::Result<Figures> {
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.row("assistant", &model());
    for i in 0..size.customers {
        fleet.row(&format!("c{i}"), &customer(&format!("c{i}"), 1.0 + (i % 7) as f64));
    }
    // Sorts first, so it is its hall's leader: the dearest place.
    fleet.add_entry("a-entry", "north").await?;
    let mut peers = JoinSet::new();
    for i in 0..size.servers {
        let name = format!("server-{i}");
        let socket = listed(&fleet, &name, InstanceRole::Server).await?;
        peers.spawn(play_agent(socket));
    }
    let names: Vec<String> = (1..size.entries).map(|i| format!("entry-{i:03}")).collect();
    let mut places: Vec<(&str, &str)> = names.iter().map(|name| ("north", name.as_str())).collect();
    places.push(("north", "a-entry"));
    let tree = UsageTree::of("a-entry", &places);
    let to = fleet.entries[0].daemon.listening.udp;
    for name in &names {
        let socket = listed(&fleet, name, InstanceRole::Entry).await?;
        let child = tree.children.contains(name);
        peers.spawn(play_entry(socket, to, size, child));
    }
    let http = fleet.entries[0].daemon.listening.http;
    let http = http.ok_or_else(|| eyre::eyre!("the entry serves no one"))?;
    if size.changes > 0 {
        peers.spawn(change_rows(fleet.platform.clone(), size.changes));
    }
    time::sleep(WARM).await;
    let id = fleet.entries[0].daemon.id();
    let before = (traffic(http).await?, cpu(id)?, Instant::now());
    time::sleep(length).await;
    let after = (traffic(http).await?, cpu(id)?, Instant::now());
    peers.shutdown().await;
    let passed = (after.2 - before.2).as_secs_f64();
    Ok([
        (after.0.bytes - before.0.bytes) as f64 / passed,
        (after.0.messages - before.0.messages) as f64 / passed,
        100.0 * (after.1 - before.1) / passed,
        memory_mb(id)?,
    ])
}

/// An agent with so many entries that ask for reports.
async fn agent(entries: usize, length: Duration) -> eyre::Result<Figures> {
    let mut fleet = Processes::new(daemon_program()?).await?;
    fleet.add_server("s0", "north", &["assistant"], None).await?;
    let to = fleet.servers[0].agent.daemon.listening.udp;
    let mut peers = JoinSet::new();
    let mut sockets = Vec::new();
    for i in 0..entries {
        let socket = Arc::new(socket(&format!("entry-{i}")).await?);
        sockets.push(socket.clone());
        peers.spawn(async move {
            let mut ticks = time::interval(Duration::from_secs(4));
            loop {
                tokio::select! {
                    _ = ticks.tick() => socket.send(to, &Packet::Subscribe { every_ms: 5_000 }).await,
                    _ = socket.recv() => (),
                }
            }
        });
    }
    time::sleep(WARM).await;
    let id = fleet.servers[0].agent.daemon.id();
    let sum = || {
        let all = sockets.iter().map(|socket| socket.traffic());
        all.fold((0, 0), |(bytes, messages), t| (bytes + t.bytes, messages + t.messages))
    };
    let before = (sum(), cpu(id)?, Instant::now());
    time::sleep(length).await;
    let after = (sum(), cpu(id)?, Instant::now());
    peers.shutdown().await;
    let passed = (after.2 - before.2).as_secs_f64();
    Ok([
        (after.0.0 - before.0.0) as f64 / passed,
        (after.0.1 - before.0.1) as f64 / passed,
        100.0 * (after.1 - before.1) / passed,
        memory_mb(id)?,
    ])
}

async fn socket(name: &str) -> eyre::Result<Socket> {
    let secret: Secret = SECRET.parse()?;
    let own = Fence { server: name.to_owned(), incarnation: Incarnation(1) };
    Ok(Socket::bind(SocketAddr::from(([127, 0, 0, 1], 0)), own, &secret).await?)
}

/// A peer's socket, and the peer in the instance list.
async fn listed(fleet: &Processes, name: &str, role: InstanceRole) -> eyre::Result<Socket> {
    let socket = socket(name).await?;
    let addr = socket.local_addr()?;
    let services = match role {
        InstanceRole::Server => vec!["assistant".to_owned()],
        InstanceRole::Entry => Vec::new(),
    };
    let spec = InstanceSpec {
        role,
        hall: "north".to_owned(),
        tcp: addr,
        udp: addr,
        http: None,
        state: InstanceState::Live,
        services,
        group: None,
    };
    fleet.platform.list_instance(name, &spec);
    Ok(socket)
}

/// Reports as often as it is asked for.
async fn play_agent(socket: Socket) {
    let mut asked: Option<(SocketAddr, Duration)> = None;
    let begun = Instant::now();
    loop {
        let wait = asked.map_or(Duration::from_secs(3_600), |(_, every)| every);
        tokio::select! {
            received = socket.recv() => {
                let Ok(received) = received else { return };
                if let Packet::Subscribe { every_ms } = received.datagram.packet {
                    asked = Some((received.addr, Duration::from_millis(u64::from(every_ms))));
                }
            }
            () = time::sleep(wait) => {
                let uptime = Uptime::default() + begun.elapsed();
                let load = Load {
                    incarnation: Incarnation(1),
                    uptime,
                    running: 12,
                    slots: 16,
                    rate: 1_600,
                    mean_remaining: 60,
                    step_us: 5_000,
                    ..Load::default()
                };
                if let Some((addr, _)) = asked {
                    socket.send(addr, &Packet::Report(load)).await;
                }
            }
        }
    }
}

/// Sends heartbeats as one of the hall's entries would, and its usage if it is
/// a child in the tree.
async fn play_entry(socket: Socket, to: SocketAddr, size: Size, child: bool) {
    let mut beat = 0;
    let mut period = Duration::from_secs(1);
    let mut sent = Instant::now();
    let mut ticks = time::interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            received = socket.recv() => {
                // The hall's leader says how often.
                if let Ok(received) = received
                    && let Packet::Usage(usage) = received.datagram.packet
                {
                    period = Duration::from_millis(u64::from(usage.period_ms));
                }
                continue;
            }
            _ = ticks.tick() => (),
        }
        beat += 1;
        // Each entry picks three of the others.
        let picked = rand::rng().random_range(0..size.entries.max(2) - 1) < 3;
        if picked {
            let table = Digest::default();
            let others = Vec::new();
            let packet = Packet::Heartbeat { table, beat, leaving: false, others };
            socket.send(to, &packet).await;
        }
        if child && sent.elapsed() >= period {
            sent = Instant::now();
            let rows = (0..size.customers.min(Usage::ROWS_MAX))
                .map(|i| UsageRow { customer: CustomerTag::of(&format!("c{i}")), units: 5_000 });
            let usage = Usage {
                total: false,
                period_ms: 0,
                offered: 50_000,
                delivered: 40_000,
                rows: rows.collect(),
            };
            socket.send(to, &Packet::Usage(usage)).await;
        }
    }
}

async fn change_rows(platform: Arc<mastweir_test_support::platform::Platform>, a_minute: usize) {
    for i in 0_u64.. {
        time::sleep(Duration::from_secs(60) / a_minute as u32).await;
        let name = format!("x{}", i % 20);
        if i % 5 == 4 {
            remove_row(&platform, RowKind::Customer, &name);
        } else {
            put_row(&platform, &name, &customer(&name, 1.0 + (i % 9) as f64));
        }
    }
}

async fn traffic(http: SocketAddr) -> eyre::Result<Traffic> {
    let request = Client::new().get(format!("http://{http}/-/status")).bearer_auth(OPERATOR_KEY);
    let status: mastweir::entry::EntryStatus = request.send().await?.json().await?;
    Ok(status.traffic)
}

/// Seconds of processor time of a process.
fn cpu(id: u32) -> eyre::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|field| field.parse::<f64>().ok());
    Ok((ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_S)
}

fn memory_mb(id: u32) -> eyre::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    Ok(kb.unwrap_or(0.0) / 1_024.0)
}
