//! TCP streams that tell how many bytes the peer has taken and sent.
//!
//! What the process has written may still wait in the system's send buffer. A peer has taken a
//! byte only once it is acknowledged there, so the number of acknowledged bytes is what shows that
//! a slow reader still reads.

use crate::util::clock::Clock;
use mastweir_core::time::Uptime;
use rustix::ioctl::{Getter, ioctl};
use socket2::SockRef;
use std::{
    ffi::c_int,
    io::{self, IoSlice},
    net::Shutdown,
    pin::Pin,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// Unsent bytes in the system's send buffer above which no more is written. Without it the buffer
/// of a peer that stopped reading grows to some megabytes, which count as memory of the instance.
const UNSENT_MAX: u32 = 32 << 10;
/// The `TIOCOUTQ` request, `SIOCOUTQ` for sockets: bytes that are unsent or not acknowledged.
const OUTQ: rustix::ioctl::Opcode = 0x5411;

/// The peer sends bytes that belong neither to the head nor to the body of an answer, such as
/// interim answers without end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the peer sends bytes that are no answer; check what serves at its address")]
pub struct Overhead;

/// Progress of one connection. Outlives the connection's stream, but does not keep it open.
#[derive(Debug)]
pub struct Meter {
    stream: Weak<TcpStream>,
    clock: Clock,
    written: AtomicU64,
    read: AtomicU64,
    /// Bytes read since the last piece of an answer.
    overhead: AtomicU64,
    /// Whether a write waits for room in the send buffer.
    is_blocked: AtomicBool,
    /// Bytes taken and sent by the peer at the last sample, and when they last increased.
    seen: AtomicU64,
    progressed: AtomicU64,
    /// Notified when bytes were written or a write waits.
    wrote: Notify,
}

impl Meter {
    /// Returns when the peer was last seen to have taken or sent a byte, as of this sample.
    pub fn sample(&self) -> Uptime {
        let taken = self.written.load(Ordering::Relaxed).saturating_sub(self.queued());
        let total = taken + self.read.load(Ordering::Relaxed);
        if total > self.seen.load(Ordering::Relaxed) {
            self.seen.store(total, Ordering::Relaxed);
            self.progressed.store(self.clock.now().0, Ordering::Relaxed);
        }
        Uptime(self.progressed.load(Ordering::Relaxed))
    }

    /// Waits until the peer has taken no byte for `timeout` while bytes wait for it and `is_active`
    /// holds, and returns how long that was. Samples the connection each `interval` while they do.
    /// `None` for `timeout` means that the peer may pause for now.
    pub async fn wait_until_unread(
        &self,
        timeout: impl Fn() -> Option<Duration>,
        interval: Duration,
        is_active: impl Fn() -> bool,
    ) -> Duration {
        loop {
            self.wrote.notified().await;
            let mut stalled = Duration::ZERO;
            let mut progressed = self.sample();
            let mut sampled = self.clock.now();
            loop {
                self.clock.sleep_until(sampled + interval).await;
                let is_waiting = self.queued() > 0 || self.is_blocked.load(Ordering::Relaxed);
                if !is_waiting || !is_active() {
                    break;
                }
                let (before, now) = (sampled, self.clock.now());
                sampled = now;
                let last = self.sample();
                if last > progressed {
                    (progressed, stalled) = (last, Duration::ZERO);
                    continue;
                }
                // Longer pauses are suspensions of this machine, in which the peer may have waited.
                stalled += now.since(before).min(interval * 2);
                if timeout().is_some_and(|timeout| stalled >= timeout) {
                    return stalled;
                }
            }
        }
    }

    /// Records that a piece of an answer was read, or a request is sent.
    pub fn record_piece(&self) {
        self.overhead.store(0, Ordering::Relaxed);
    }

    /// Makes the connection's end a reset, so that unread bytes in the system's buffers are freed
    /// at once and the peer can't take the end for that of the answer.
    ///
    /// # Errors
    ///
    /// The operating system refuses the option.
    pub fn reset_on_close(&self) -> io::Result<()> {
        let Some(stream) = self.stream.upgrade() else { return Ok(()) };
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
    }

    /// Returns the bytes in the system's send buffer, sent ones included until acknowledged.
    fn queued(&self) -> u64 {
        let Some(stream) = self.stream.upgrade() else { return 0 };
        // An unknown number counts as none, so that no caller is cut for it.
        queued_bytes(&stream).unwrap_or(0)
    }

    fn record_written(&self, result: &io::Result<usize>) {
        let Ok(bytes) = result else { return };
        self.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        self.is_blocked.store(false, Ordering::Relaxed);
        self.wrote.notify_one();
    }
}

#[allow(unsafe_code)]
fn queued_bytes(stream: &TcpStream) -> io::Result<u64> {
    // SAFETY: `TIOCOUTQ` writes one `int` and nothing else, for each kind of socket.
    let queued = unsafe { ioctl(stream, Getter::<OUTQ, c_int>::new()) }?;
    Ok(u64::try_from(queued).unwrap_or(0))
}

/// A TCP stream that updates a [`Meter`].
#[derive(Debug)]
pub struct MeteredStream {
    stream: Arc<TcpStream>,
    meter: Arc<Meter>,
    overhead_max: u64,
}

impl MeteredStream {
    /// Starts to meter a connection, and bounds what waits unsent in the system's send buffer.
    ///
    /// # Errors
    ///
    /// The operating system refuses the bound.
    pub fn new(stream: TcpStream, clock: &Clock) -> io::Result<Self> {
        SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_MAX)?;
        let stream = Arc::new(stream);
        let meter = Meter {
            stream: Arc::downgrade(&stream),
            clock: clock.clone(),
            written: AtomicU64::new(0),
            read: AtomicU64::new(0),
            overhead: AtomicU64::new(0),
            is_blocked: AtomicBool::new(false),
            seen: AtomicU64::new(0),
            progressed: AtomicU64::new(clock.now().0),
            wrote: Notify::new(),
        };
        Ok(Self { stream, meter: Arc::new(meter), overhead_max: u64::MAX })
    }

    /// Bounds the bytes that are read without a call of [`Meter::record_piece`]. Reading more fails
    /// with [`Overhead`].
    #[must_use]
    pub fn with_overhead_max(self, overhead_max: u64) -> Self {
        Self { overhead_max, ..self }
    }

    pub fn meter(&self) -> Arc<Meter> {
        self.meter.clone()
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.stream.poll_write_ready(context)?.is_pending() {
                self.meter.is_blocked.store(true, Ordering::Relaxed);
                self.meter.wrote.notify_one();
                return Poll::Pending;
            }
            let result = write(&self.stream);
            if !is_not_ready(&result) {
                self.meter.record_written(&result);
                return Poll::Ready(result);
            }
        }
    }
}

fn is_not_ready<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.overhead.load(Ordering::Relaxed) > self.overhead_max {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, Overhead)));
        }
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            let result = self.stream.try_read_buf(buffer);
            if is_not_ready(&result) {
                continue;
            }
            return Poll::Ready(result.map(|bytes| {
                self.meter.read.fetch_add(bytes as u64, Ordering::Relaxed);
                self.meter.overhead.fetch_add(bytes as u64, Ordering::Relaxed);
            }));
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP stream has no buffer of its own.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
