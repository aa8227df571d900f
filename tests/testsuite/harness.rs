//! The harness itself: what other tests rest on.

use eyre::Result;
use googletest::prelude::*;
use mastweir_test_support::{daemons::Process, site::free_ports};
use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, TcpListener},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// A process that was being started held copies of the sockets that had drawn the
/// ports, so they could not be bound; a gateway was not ready for it, now and then.
#[googletest::test]
fn drawn_ports_can_be_bound_while_processes_start() -> Result<()> {
    const DRAWS: usize = 150;
    let done = AtomicBool::new(false);
    let start = || -> Result<()> {
        while !done.load(Ordering::SeqCst) {
            let mut command = Command::new(env!("CARGO_BIN_EXE_mastweir"));
            Process::start(command.arg("--help"), File::create("/dev/null")?)?;
        }
        Ok(())
    };
    let ips = [Ipv4Addr::new(127, 250, 1, 1), Ipv4Addr::new(127, 250, 1, 2)].map(IpAddr::V4);
    let mut taken = Vec::new();
    thread::scope(|scope| -> Result<()> {
        let starting = [scope.spawn(start), scope.spawn(start)];
        let mut draw = || -> Result<()> {
            for port in free_ports(&ips, 3)? {
                taken.extend(TcpListener::bind((ips[0], port)).err());
            }
            Ok(())
        };
        let drawn: Result<()> = (0..DRAWS).try_for_each(|_| draw());
        done.store(true, Ordering::SeqCst);
        for thread in starting {
            thread.join().map_err(|_| eyre::eyre!("a thread panicked"))??;
        }
        drawn
    })?;
    expect_that!(taken.len(), eq(0));
    Ok(())
}
