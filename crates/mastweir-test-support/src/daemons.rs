//! The real daemons as processes of their own.

use eyre::WrapErr;
use serde::Deserialize;
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
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

/// A daemon; it is killed when this is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
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
        let mut child =
            command.spawn().wrap_err_with(|| format!("starting {}", program.display()))?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let listening = serde_json::from_str(&line)
            .wrap_err("the daemon ended before it listened; run it by hand to see why")?;
        Ok(Self { child, listening })
    }

    /// Asks it to stop as planned.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
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

    /// Its exit code, once it has ended.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn exit_code(&mut self) -> eyre::Result<Option<i32>> {
        Ok(self.child.try_wait()?.and_then(|status| status.code()))
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

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
