//! The real daemons as processes of their own.

use crate::forks;
use eyre::WrapErr;
use serde::Deserialize;
use std::{
    fs::File,
    io::{BufRead, BufReader},
    net::SocketAddr,
    ops::{Deref, DerefMut},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listening {
    /// For channels.
    pub tcp: SocketAddr,
    /// For datagrams.
    pub udp: SocketAddr,
    /// For callers, if it is an entry.
    pub http: Option<SocketAddr>,
}

/// A process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; what it writes goes to `log`.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn start(command: &mut Command, log: File) -> eyre::Result<Self> {
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let forking = forks();
        let child = command.spawn();
        drop(forking);
        let child = child.wrap_err_with(|| format!("starting {:?}", command.get_program()))?;
        Ok(Self { child })
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Tells it that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Freezes it.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, once it has.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn ended(&mut self) -> eyre::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    #[expect(unsafe_code, reason = "the standard library sends no signals but SIGKILL")]
    fn signal(&self, signal: i32) {
        let id = i32::try_from(self.child.id()).unwrap_or(0);
        if id > 0 {
            // SAFETY: a call without pointers, on a child that was not waited for.
            unsafe { libc::kill(id, signal) };
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon that tells where it listens.
#[derive(Debug)]
pub struct Daemon {
    process: Process,
    /// Where it listens.
    pub listening: Listening,
}

impl Daemon {
    /// Starts `program` with `args` and waits until it listens.
    ///
    /// # Errors
    ///
    /// It does not start, or ends at once.
    pub fn start(program: &Path, args: &[String]) -> eyre::Result<Self> {
        let mut command = Command::new(program);
        command.args(args).stdout(Stdio::piped()).stderr(Stdio::null()).stdin(Stdio::null());
        let forking = forks();
        let child = command.spawn();
        drop(forking);
        let mut child = child.wrap_err_with(|| format!("starting {}", program.display()))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let listening = serde_json::from_str(&line)
            .wrap_err("the daemon ended before it listened; run it by hand to see why")?;
        Ok(Self { process: Process { child }, listening })
    }

    /// Its exit code, once it has ended.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn exit_code(&mut self) -> eyre::Result<Option<i32>> {
        Ok(self.process.ended()?.and_then(|status| status.code()))
    }
}

impl Deref for Daemon {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Daemon {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}
