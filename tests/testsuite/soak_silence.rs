//! Sound servers that write nothing for a while and go on: the stand-in for them, the plans that
//! have them, and what the ledger says of answers that such a server would have finished.

use eyre::Result;
use googletest::prelude::*;
use mastweir_soak::{
    ledger::{CUSTOMER, Kind, Ledger, Outcome, Sent, events_of},
    lost::{Disturbances, Ended},
    plan::{Entry, Fault, Grey, draw},
    servers::Server,
    world::SIZES,
};
use mastweir_test_support::{lockstep::LockStep, site::parse};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Far more than a server takes between two events.
const LISTENS: Duration = Duration::from_millis(800);
/// A caller that waits longer than a slow machine takes.
const WAIT_MS: u64 = 60_000;

struct Caller {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Caller {
    async fn send(to: SocketAddr, request: &str) -> Result<Self> {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(request.as_bytes()).await?;
        Ok(Self { stream, read: Vec::new() })
    }

    /// Reads until as many events have come, or the connection has ended.
    async fn read_events(&mut self, count: usize) -> Result<()> {
        while self.events() < count && self.stream.read_buf(&mut self.read).await? > 0 {}
        Ok(())
    }

    /// Reads what comes in a time.
    async fn listen(&mut self, lasts: Duration) {
        let read =
            async { while self.stream.read_buf(&mut self.read).await.is_ok_and(|n| n > 0) {} };
        let _ = time::timeout(lasts, read).await;
    }

    fn events(&self) -> usize {
        String::from_utf8_lossy(&self.read).matches("\ndata: ").count()
    }
}

fn stream(ledger: &Ledger, id: &str, own: &str) -> String {
    let path = "/stream/a".to_owned();
    let through = SocketAddr::from(([127, 0, 0, 1], 1));
    let (kind, body) = (Kind::Stream, String::new());
    ledger.sent(id, Sent { kind, path, body, wait_ms: WAIT_MS, through, leaves: false });
    format!(
        "POST /stream/a HTTP/1.1\r\nRequest-Id: {id}\r\nExpect-Instance: {own}\r\n\
         Accept: text/event-stream\r\nTenant: {CUSTOMER}\r\nRequest-Deadline: {WAIT_MS}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// An answer under way, a request that comes meanwhile, and a report of the server's state.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn writes_nothing_and_then_goes_on_with_everything() -> Result<()> {
    let ledger = Arc::new(Ledger::default());
    let group = LockStep::start("g", 1);
    let (server, scripted) = Server::start(0, Some((group, 0)), ledger.clone()).await?;
    let (to, own) = (scripted.addr, server.id());
    // The first has twelve events and chunks, the other an answer that ends with its connection.
    let ids = ["r-w", "r-9"];
    let mut first = Caller::send(to, &stream(&ledger, ids[0], &own)).await?;
    first.read_events(1).await?;
    server.set_silent(true);
    scripted.set_silent(true);
    let before = first.events();
    let mut second = Caller::send(to, &stream(&ledger, ids[1], &own)).await?;
    let mut report = Caller::send(to, "GET /report HTTP/1.1\r\n\r\n").await?;
    first.listen(LISTENS).await;
    second.listen(LISTENS).await;
    report.listen(LISTENS).await;
    // One event may have been on its way.
    expect_that!(first.events(), le(before + 1));
    expect_that!(second.read.len(), eq(0));
    expect_that!(report.read.len(), eq(0));
    server.set_silent(false);
    scripted.set_silent(false);
    for (caller, id) in [&mut first, &mut second].into_iter().zip(ids) {
        let all = events_of(id);
        caller.read_events(all.matches("\ndata: ").count()).await?;
        caller.listen(LISTENS).await;
        let answer = parse(&caller.read);
        expect_that!(answer.whole, eq(true));
        expect_that!(answer.body, eq(&all));
        expect_that!(ledger.answered(id, Some(&answer)), eq(Outcome::Served));
    }
    report.listen(LISTENS).await;
    expect_that!(parse(&report.read).status, eq(200));
    expect_that!(ledger.all_broken(), is_empty());
    Ok(())
}

#[googletest::test]
fn plans_have_servers_that_fall_silent_and_sidecars_that_restart() {
    const SEEDS: u64 = 400;
    let (mut silent, mut restarting, mut both) = (0, 0, 0);
    for seed in 0..SEEDS {
        let plan = draw(seed, Duration::from_secs(12), SIZES);
        let of = |is: fn(&Fault) -> bool| plan.iter().filter(move |entry| is(&entry.fault));
        let silences: Vec<&Entry> = of(|fault| matches!(fault, Fault::ServerSilent(_))).collect();
        let stops: Vec<&Entry> = of(|fault| matches!(fault, Fault::StopSidecar(_))).collect();
        for silence in &silences {
            expect_that!(silence.lasts.as_millis(), all!(ge(800), le(1_500)));
            // A server goes on before it falls silent again.
            let end = silence.at + silence.lasts;
            let again = silences.iter().any(|other| {
                other.fault == silence.fault && other.at > silence.at && other.at <= end
            });
            expect_that!(again, eq(false), "seed {seed}");
        }
        let meet = |silence: &&Entry, stop: &&Entry| {
            (silence.at..silence.at + silence.lasts).contains(&stop.at)
        };
        silent += u64::from(!silences.is_empty());
        restarting += u64::from(!stops.is_empty());
        both += u64::from(silences.iter().any(|one| stops.iter().any(|stop| meet(one, stop))));
    }
    let part = |from, to| all!(ge(SEEDS * from / 100), le(SEEDS * to / 100));
    expect_that!(silent, part(40, 60));
    expect_that!(restarting, part(50, 80));
    expect_that!(both, part(10, 40));
}

/// A request through gateway 0 that ran at server 0 and was cut after so many milliseconds.
fn cut(sent: Instant, after_ms: u64) -> Ended<'static> {
    Ended {
        sent,
        written: Some(sent),
        end: sent + Duration::from_millis(after_ms),
        wait: Duration::from_secs(4),
        gateway: 0,
        ran_at: &[0],
    }
}

/// Whether that request is lost beside one fault, which begins and ends so many milliseconds after
/// `sent` less ten seconds.
fn is_lost(fault: Fault, from_ms: u64, to_ms: u64, after_ms: u64) -> bool {
    let begin = Instant::now();
    let mut disturbances = Disturbances::default();
    disturbances.began(fault, begin + Duration::from_millis(from_ms));
    disturbances.ended(fault, begin + Duration::from_millis(to_ms));
    disturbances.lost(&cut(begin + Duration::from_secs(10), after_ms), SIZES).is_some()
}

#[googletest::test]
fn an_answer_that_a_sound_server_would_have_finished_counts_as_lost() {
    let sound = [
        Fault::ServerSilent(0),
        Fault::StopSidecar(0),
        Fault::KillSidecar(0),
        Fault::Replace(0),
        Fault::BackOff(0),
        Fault::Limit(0, 3),
        Fault::StopGateway(0),
        Fault::HangUp(0),
        Fault::Configure,
        Fault::StoreDown,
        Fault::CutFromStore(0),
        // Of others.
        Fault::KillGateway(1),
        Fault::FreezeInstance(1),
        Fault::BreakGroup(1),
    ];
    for fault in sound {
        expect_that!(is_lost(fault, 9_900, 11_400, 1_000), eq(true), "{fault:?}");
    }
    let disturbing = [
        Fault::KillGateway(0),
        Fault::FreezeGateway(0),
        Fault::KillAll,
        Fault::FreezeInstance(0),
        Fault::CutServer(0),
        Fault::MuteServer(0),
        Fault::ResetServer(0),
        Fault::SlowServer(0),
        Fault::GreyServer(0, Grey::Cut),
        Fault::BreakGroup(0),
    ];
    for fault in disturbing {
        expect_that!(is_lost(fault, 9_900, 11_400, 1_000), eq(false), "{fault:?}");
        // Over for less than the time of contact, for more, and begun behind the end.
        expect_that!(is_lost(fault, 5_000, 7_200, 1_000), eq(false), "{fault:?}");
        expect_that!(is_lost(fault, 5_000, 6_800, 1_000), eq(true), "{fault:?}");
        expect_that!(is_lost(fault, 11_100, 11_400, 1_000), eq(true), "{fault:?}");
    }
}

/// A server's end breaks off the answers of its whole group.
#[googletest::test]
fn what_a_server_broke_off_is_not_lost() {
    let sent = Instant::now();
    let cases =
        [(0, 500, false), (2, 500, false), (0, 1_001, true), (3, 500, true), (6, 500, true)];
    for (server, after_ms, is_lost) in cases {
        let mut disturbances = Disturbances::default();
        disturbances.broke_off(server, sent + Duration::from_millis(after_ms));
        let lost = disturbances.lost(&cut(sent, 1_000), SIZES).is_some();
        expect_that!(lost, eq(is_lost), "{server}");
    }
    // It was back before the request came.
    let mut disturbances = Disturbances::default();
    disturbances.broke_off(0, sent);
    let later = cut(sent + Duration::from_millis(1), 1_000);
    expect_that!(disturbances.lost(&later, SIZES), some(anything()));
    // Another server that ran it, too, is sound.
    let mut disturbances = Disturbances::default();
    disturbances.broke_off(0, sent);
    let lost = disturbances.lost(&Ended { ran_at: &[3, 0], ..cut(sent, 1_000) }, SIZES);
    expect_that!(lost, some(contains_substring("3 is sound")));
}

#[googletest::test]
fn requests_at_the_end_of_grace_or_without_time_are_not_lost() {
    // Grace ends 4 s after the signal.
    let stop = Fault::StopGateway(0);
    expect_that!(is_lost(stop, 9_000, 15_000, 2_200), eq(true));
    expect_that!(is_lost(stop, 9_000, 15_000, 2_500), eq(false));
    // Sent too late for that.
    expect_that!(is_lost(stop, 6_900, 12_900, 1_000), eq(true));
    let calm = Disturbances::default();
    let sent = Instant::now();
    expect_that!(calm.lost(&cut(sent, 3_800), SIZES), some(anything()));
    expect_that!(calm.lost(&cut(sent, 3_950), SIZES), none());
}

/// A connection that crosses the close of its gateway is not lost; one that was read is.
#[googletest::test]
fn requests_that_reached_no_server_are_lost_once_they_were_read() {
    let calm = Disturbances::default();
    let sent = Instant::now();
    let unread = |ms| Ended { ran_at: &[], ..cut(sent, ms) };
    expect_that!(calm.lost(&unread(150), SIZES), none());
    expect_that!(calm.lost(&unread(250), SIZES), some(contains_substring("no answer")));
    expect_that!(calm.lost(&Ended { written: None, ..unread(250) }, SIZES), none());
}
