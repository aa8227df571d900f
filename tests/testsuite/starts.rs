//! Gateways and sidecars as processes: starts, ends and lack of resources. No such process may end
//! by itself, fail to start for a cause that passes, or take the whole processor.

use eyre::{OptionExt, Result, ensure};
use googletest::prelude::*;
use mastweir_test_support::{
    daemons::Process,
    site::{exchange, free_ports, wait_for},
};
use std::{
    cell::RefCell,
    ffi::CString,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    os::unix::{ffi::OsStrExt, fs::OpenOptionsExt},
    path::{Path, PathBuf},
    process::Command,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};
use tokio::{net::TcpStream, time};

const ROLES: [&str; 2] = ["gateway", "sidecar"];
/// Time for which a process is observed.
const OBSERVED: Duration = Duration::from_secs(2);
/// Clock ticks a second of the times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// An instance with its settings file, for one process at a time.
struct Instance {
    role: &'static str,
    folder: PathBuf,
    ip: IpAddr,
    /// Internal port, callers', readiness checks', metrics.
    ports: [u16; 4],
}

impl Instance {
    fn new(role: &'static str) -> Result<Self> {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let own = u8::try_from(std::process::id() % 200)? + 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, own, 255, number));
        let ports: [u16; 4] =
            free_ports(&[ip], 4)?.try_into().map_err(|_| eyre::eyre!("no four free ports"))?;
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("starts-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let instance = Self { role, folder, ip, ports };
        fs::write(instance.settings(), instance.text())?;
        Ok(instance)
    }

    fn settings(&self) -> PathBuf {
        self.folder.join("node.toml")
    }

    fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Returns the text of the settings file. There is neither a store nor a model server.
    fn text(&self) -> String {
        let Self { role, ip, ports: [internal, callers, ready, _], .. } = self;
        let more = match *role {
            "gateway" => {
                format!("listen = {{ front = \"{ip}:{callers}\", ready = \"{ip}:{ready}\" }}")
            }
            _ => format!("app = \"{ip}:1\""),
        };
        format!(
            "node = \"{role}-1\"\nip = \"{ip}\"\nzone = \"hall-a\"\n\
             internal_ports = [{internal}, {internal}]\n{more}\n[bounds]\ndrain_ms = 2000\n\
             grace_s = 4\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             retry_budget_extra = 90\n[platform]\naddress = \"{ip}:1\"\n"
        )
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mastweird"));
        command.arg(self.role).env("MASTWEIR_SETTINGS", self.settings());
        if self.role == "gateway" {
            command.args(["--metrics-port", &self.ports[3].to_string()]);
        }
        command
    }

    fn start(&self) -> Result<Process> {
        Process::start(
            &mut self.command(),
            File::options().create(true).append(true).open(self.log())?,
        )
    }

    /// Starts the process after a shell command that sets its limit of open files.
    fn start_limited(&self, limit: &str) -> Result<Process> {
        let program = self.command();
        let mut command = Command::new("/bin/sh");
        let arguments = program.get_args().map(|word| word.to_string_lossy());
        let arguments = arguments.collect::<Vec<_>>().join(" ");
        let path = program.get_program().to_string_lossy();
        command.arg("-c").arg(format!("{limit} && exec {path} {arguments}"));
        command.env("MASTWEIR_SETTINGS", self.settings());
        Process::start(&mut command, File::options().create(true).append(true).open(self.log())?)
    }

    /// Waits until the process has written a message.
    async fn wait_logged(&self, message: &str) -> Result<()> {
        wait_for(async || fs::read_to_string(self.log()).is_ok_and(|text| text.contains(message)))
            .await
    }

    async fn wait_started(&self) -> Result<()> {
        self.wait_logged(&format!("{} started", self.role)).await
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // What is left over is in the build folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the processor time that a process has used.
fn processor_time(process: &Process) -> Result<Duration> {
    let stat = fs::read_to_string(Path::new("/proc").join(process.id().to_string()).join("stat"))?;
    let (_, fields) = stat.rsplit_once(')').ok_or_eyre("no name in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields[11].parse::<u32>()? + fields[12].parse::<u32>()?;
    Ok(Duration::from_secs_f64(f64::from(ticks) / TICKS_PER_S))
}

/// Waits for the end of a process and returns its exit code; `None` if a signal ended it.
async fn exit_code(process: &mut Process) -> Result<Option<i32>> {
    for _ in 0..1_000 {
        if let Some(status) = process.ended()? {
            return Ok(status.code());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    eyre::bail!("the process did not end within 20 s")
}

/// Whether a process answers an HTTP request, with whatever status.
async fn is_answered(addr: SocketAddr) -> bool {
    let request =
        b"POST /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    exchange(addr, request).await.is_ok_and(|answer| answer.status > 0)
}

/// Guards against a process that takes the whole processor when connections wait for which no file
/// descriptors are left.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn processes_without_file_descriptors_do_not_spin() -> Result<()> {
    for role in ROLES {
        let instance = Instance::new(role)?;
        let mut process = instance.start_limited("ulimit -n 40")?;
        instance.wait_started().await?;
        let mut connections = Vec::new();
        for _ in 0..60 {
            let addr = SocketAddr::new(instance.ip, instance.ports[0]);
            let opened = time::timeout(Duration::from_millis(200), TcpStream::connect(addr)).await;
            connections.extend(opened.ok().and_then(|opened| opened.ok()));
        }
        let before = processor_time(&process)?;
        time::sleep(OBSERVED).await;
        let used = processor_time(&process)? - before;
        expect_that!(used, lt(OBSERVED / 2), "{role} with {} connections", connections.len());
        expect_that!(process.ended()?.is_none(), eq(true));
        // It serves again once descriptors are free.
        drop(connections);
        let addr = SocketAddr::new(instance.ip, instance.ports[0]);
        wait_for(async || is_answered(addr).await).await?;
    }
    Ok(())
}

/// Creates a pipe with a name.
fn make_pipe(path: &Path) -> Result<()> {
    let name = CString::new(path.as_os_str().as_bytes())?;
    // SAFETY: the path is a string that ends with a zero.
    #[expect(unsafe_code, reason = "the standard library makes no pipes with a name")]
    let made = unsafe { libc::mkfifo(name.as_ptr(), 0o600) };
    ensure!(made == 0, "no pipe: {}", io::Error::last_os_error());
    Ok(())
}

/// A settings file that is being written: the process that reads it waits for its end.
struct UnfinishedSettings<'a> {
    instance: &'a Instance,
    writer: File,
}

impl<'a> UnfinishedSettings<'a> {
    /// Replaces the settings file of an instance by a pipe, starts its process, and waits until that
    /// reads the pipe.
    async fn start(instance: &'a Instance) -> Result<(Process, Self)> {
        fs::remove_file(instance.settings())?;
        make_pipe(&instance.settings())?;
        let process = instance.start()?;
        let writer = RefCell::default();
        wait_for(async || {
            // Fails until there is a reader.
            let mut options = File::options();
            let opened =
                options.write(true).custom_flags(libc::O_NONBLOCK).open(instance.settings());
            *writer.borrow_mut() = opened.ok();
            writer.borrow().is_some()
        })
        .await?;
        let writer = writer.into_inner().ok_or_eyre("no reader")?;
        Ok((process, Self { instance, writer }))
    }

    /// Completes the settings, and leaves a usual file with the same text.
    fn finish(mut self) -> Result<()> {
        let text = self.instance.text();
        let complete = self.instance.folder.join("complete.toml");
        fs::write(&complete, &text)?;
        fs::rename(&complete, self.instance.settings())?;
        Ok(self.writer.write_all(text.as_bytes())?)
    }
}

/// Guards against a process that ends when its settings change, or it is stopped, right after its
/// start.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn signals_during_the_start_do_not_end_the_process() -> Result<()> {
    for role in ROLES {
        let instance = Instance::new(role)?;
        let (mut process, settings) = UnfinishedSettings::start(&instance).await?;
        process.hang_up();
        settings.finish()?;
        instance.wait_started().await?;
        instance.wait_logged("settings reloaded").await?;
        expect_that!(process.ended()?.is_none(), eq(true), "{role}");
        process.kill();

        let (mut process, settings) = UnfinishedSettings::start(&instance).await?;
        process.terminate();
        settings.finish()?;
        expect_that!(exit_code(&mut process).await?, some(eq(0)), "{role}");
    }
    Ok(())
}

/// Guards against a process that ends since its settings file is being written as it starts, or that
/// keeps the settings of an unfinished file.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_settings_are_read_again() -> Result<()> {
    for role in ROLES {
        let instance = Instance::new(role)?;
        let text = instance.text();
        let (half, _) = text.split_at(text.len() / 2);
        for unfinished in ["", half] {
            fs::write(instance.settings(), unfinished)?;
            let mut process = instance.start()?;
            instance.wait_logged("settings can't be used; reading them again").await?;
            fs::write(instance.settings(), &text)?;
            instance.wait_started().await?;
            expect_that!(process.ended()?.is_none(), eq(true), "{role}");
            process.kill();
            fs::remove_file(instance.log())?;
        }
        // A file that stays unusable is reported.
        fs::write(instance.settings(), half)?;
        let mut process = instance.start()?;
        expect_that!(exit_code(&mut process).await?, some(eq(1)), "{role}");
        instance.wait_logged("malformed settings").await?;
    }
    Ok(())
}

/// Guards against a process that ends since the one before it is still finishing its requests.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn addresses_in_use_are_awaited() -> Result<()> {
    for role in ROLES {
        let instance = Instance::new(role)?;
        let held = TcpListener::bind((instance.ip, instance.ports[0]))?;
        let held_datagrams = UdpSocket::bind((instance.ip, instance.ports[0]))?;
        let mut process = instance.start()?;
        instance.wait_logged("address is in use; waiting for it").await?;
        drop(held);
        drop(held_datagrams);
        instance.wait_started().await?;
        expect_that!(process.ended()?.is_none(), eq(true), "{role}");
        // The next process takes over once this one has ended.
        fs::remove_file(instance.log())?;
        process.terminate();
        let mut next = instance.start()?;
        instance.wait_started().await?;
        expect_that!(exit_code(&mut process).await?, some(eq(0)), "{role}");
        // One that waits can be stopped, too.
        fs::remove_file(instance.log())?;
        let mut third = instance.start()?;
        instance.wait_logged("address is in use; waiting for it").await?;
        third.terminate();
        expect_that!(exit_code(&mut third).await?, some(eq(0)), "{role}");
        expect_that!(next.ended()?.is_none(), eq(true), "{role}");
    }
    Ok(())
}

/// Guards against a gateway that ends since another process uses its port for metrics.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateway_serves_without_its_port_for_metrics() -> Result<()> {
    let instance = Instance::new("gateway")?;
    let held = TcpListener::bind((instance.ip, instance.ports[3]))?;
    let _process = instance.start()?;
    let at = |port: usize| SocketAddr::new(instance.ip, instance.ports[port]);
    wait_for(async || is_answered(at(1)).await && is_answered(at(2)).await).await?;
    drop(held);
    wait_for(async || is_answered(at(3)).await).await?;
    Ok(())
}

/// Guards against a process that never writes a line again once nobody has read its log for a while.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn log_goes_on_after_its_reader_was_gone() -> Result<()> {
    for role in ROLES {
        let instance = Instance::new(role)?;
        make_pipe(&instance.log())?;
        let reader =
            || File::options().read(true).custom_flags(libc::O_NONBLOCK).open(instance.log());
        let first = reader()?;
        let process = instance.start()?;
        wait_for(async || is_readable(&first)).await?;
        drop(first);
        process.hang_up();
        time::sleep(OBSERVED).await;
        let second = reader()?;
        wait_for(async || {
            process.hang_up();
            is_readable(&second)
        })
        .await?;
    }
    Ok(())
}

/// Whether a pipe has bytes, which are read.
fn is_readable(mut pipe: &File) -> bool {
    pipe.read(&mut [0; 4_096]).is_ok_and(|read| read > 0)
}

/// Guards against a gateway whose callers take all its file descriptors, so that it can neither reach
/// servers nor answer readiness checks, and against one that leaves most of its limit unused.
#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn callers_leave_file_descriptors_for_others() -> Result<()> {
    for (limit, connections_max) in [("ulimit -n 64", 40), ("ulimit -S -n 64", 400)] {
        let instance = Instance::new("gateway")?;
        let _process = instance.start_limited(limit)?;
        instance.wait_started().await?;
        let at = |port: usize| SocketAddr::new(instance.ip, instance.ports[port]);
        let mut connections = Vec::new();
        for _ in 0..connections_max {
            connections.push(TcpStream::connect(at(1)).await?);
        }
        wait_for(async || is_answered(at(2)).await).await?;
        // Further ones are refused by a reset where the limit is reached.
        let is_full = limit == "ulimit -n 64";
        wait_for(async || is_answered(at(1)).await != is_full).await?;
    }
    Ok(())
}
