//! Strikes faults, and ends them.

use crate::{
    ledger::Ledger,
    plan::{Entry, Fault},
    world::World,
};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};
use tokio::time;

/// A killed process is started again after this time.
const DOWN_LASTS: Duration = Duration::from_millis(400);
/// The grace time of the processes' settings, and what the system needs.
const STOP_LASTS: Duration = Duration::from_millis(6_000);
/// A leaving server serves on for this long: the bound of the settings, and more.
const LEAVES_LAST: Duration = Duration::from_millis(2_600);
/// Delay of a server that is slow to reach, in milliseconds.
const SLOW_MS: u64 = 120;
/// Time of a call to a slow store, in milliseconds.
const STORE_SLOW_MS: u64 = 250;
/// Orders without an answer, in a hundred.
const LATE_PCT: u64 = 30;
/// Pause between two looks at the processes.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A fault begins or ends.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: Duration,
    begins: bool,
    fault: Fault,
}

/// All beginnings and ends, in order.
#[derive(Clone, Debug)]
pub struct Timeline {
    moments: Vec<Moment>,
}

impl Timeline {
    /// Of a plan.
    pub fn of(plan: &[Entry]) -> Self {
        let both = |entry: &Entry| {
            let lasts = match entry.fault {
                Fault::KillGateway(_) | Fault::KillSidecar(_) | Fault::KillAll => DOWN_LASTS,
                Fault::StopGateway(_) | Fault::StopSidecar(_) => STOP_LASTS,
                Fault::Replace(_) => LEAVES_LAST,
                _ => entry.lasts,
            };
            let (at, fault) = (entry.at, entry.fault);
            [Moment { at, begins: true, fault }, Moment { at: at + lasts, begins: false, fault }]
        };
        let mut moments: Vec<Moment> = plan.iter().flat_map(both).collect();
        moments.sort_by_key(|moment| moment.at);
        Self { moments }
    }

    /// Plays it, and leaves everything running.
    ///
    /// # Errors
    ///
    /// A process can't be started again.
    pub async fn play(self, world: &mut World, ledger: &Ledger) -> eyre::Result<()> {
        let start = Instant::now();
        let count = world.gateways.len() + world.sidecars.len();
        let mut players = Players::of(count);
        for moment in self.moments {
            while start.elapsed() < moment.at {
                time::sleep(LOOK_EVERY.min(moment.at.saturating_sub(start.elapsed()))).await;
                players.look(world, ledger)?;
            }
            if moment.begins {
                ledger.began(moment.fault);
                players.begin(world, moment.fault)?;
            } else {
                players.end(world, ledger, moment.fault)?;
                ledger.ended(moment.fault);
            }
        }
        for number in 0..count {
            players.start_again(world, number)?;
        }
        Ok(())
    }
}

/// What was done to a process last.
#[derive(Clone, Copy, Debug, Default)]
struct Player {
    /// When it was asked to stop.
    asked: Option<Instant>,
    /// When it was killed or stood still last.
    disturbed: Option<Instant>,
    /// When it starts again, if it stopped for a planned restart.
    restarts: Option<Instant>,
}

#[derive(Debug)]
struct Players(Vec<Player>);

fn set(flag: &AtomicBool, on: bool) {
    flag.store(on, Ordering::SeqCst);
}

impl Players {
    fn of(count: usize) -> Self {
        Self(vec![Player::default(); count])
    }

    /// A process that ended though nobody asked it to has broken its promise. A sidecar that
    /// stopped as planned starts again a little later.
    fn look(&mut self, world: &mut World, ledger: &Ledger) -> eyre::Result<()> {
        for number in 0..self.0.len() {
            if self.0[number].restarts.is_some_and(|at| at <= Instant::now()) {
                self.start_again(world, number)?;
            }
            let member = world.at(number);
            let Some(process) = &mut member.process else { continue };
            let Some(status) = process.ended()? else { continue };
            let name = member.name.clone();
            member.process = None;
            if self.0[number].asked.is_none() {
                ledger.broken(format!("{name} ended by itself: {status}"));
                world.run(number)?;
            } else if number >= world.gateways.len() {
                self.0[number].restarts = Some(Instant::now() + DOWN_LASTS);
            }
        }
        Ok(())
    }

    fn kill(&mut self, world: &mut World, number: usize) {
        self.0[number].disturbed = Some(Instant::now());
        world.excuse(number);
        if let Some(mut process) = world.at(number).process.take() {
            process.kill();
        }
    }

    fn freeze(&mut self, world: &mut World, number: usize) {
        self.0[number].disturbed = Some(Instant::now());
        world.at(number).process.iter().for_each(|process| process.pause());
    }

    fn thaw(&mut self, world: &mut World, number: usize) {
        self.0[number].disturbed = Some(Instant::now());
        world.excuse(number);
        world.at(number).process.iter().for_each(|process| process.resume());
    }

    fn stop(&mut self, world: &mut World, number: usize) {
        if let Some(process) = &world.at(number).process {
            process.terminate();
            self.0[number].asked = Some(Instant::now());
        }
    }

    fn start_again(&mut self, world: &mut World, number: usize) -> eyre::Result<()> {
        self.thaw(world, number);
        self.0[number].restarts = None;
        if world.at(number).process.is_none() {
            self.0[number].asked = None;
            world.excuse(number);
            world.run(number)?;
        }
        Ok(())
    }

    /// A planned stop is over: it has to have ended by itself.
    fn stopped(&mut self, world: &mut World, ledger: &Ledger, number: usize) -> eyre::Result<()> {
        self.look(world, ledger)?;
        let Player { asked, disturbed, .. } = self.0[number];
        if asked.is_some_and(|asked| asked.elapsed() < STOP_LASTS - LOOK_EVERY) {
            // Asked again since.
            return Ok(());
        }
        let quiet = disturbed < asked;
        let member = world.at(number);
        if member.process.is_some() && asked.is_some() {
            if quiet {
                ledger.broken(format!("{} did not stop in its grace time", member.name));
            }
            self.kill(world, number);
        }
        self.start_again(world, number)
    }

    fn begin(&mut self, world: &mut World, fault: Fault) -> eyre::Result<()> {
        let gateways = world.gateways.len();
        match fault {
            Fault::KillGateway(number) => self.kill(world, number),
            Fault::KillSidecar(number) => self.kill(world, gateways + number),
            Fault::KillAll => (0..self.0.len()).for_each(|number| self.kill(world, number)),
            Fault::StopGateway(number) => self.stop(world, number),
            Fault::StopSidecar(number) => self.stop(world, gateways + number),
            Fault::FreezeGateway(number) => self.freeze(world, number),
            Fault::FreezeInstance(number) => {
                self.freeze(world, gateways + number);
                set(&world.places[number].proxy.faults.cut, true);
            }
            Fault::HangUp(number) => {
                world.touch_settings(number)?;
                world.at(number).process.iter().for_each(|process| process.hang_up());
            }
            Fault::Replace(number) => {
                world.places[number].server.leave();
                world.list(number, "draining");
            }
            Fault::BreakGroup(number) => world.groups[number].break_up(),
            Fault::StoreForgets => world.platform.forget_history(),
            Fault::StoreCopied => world.copied = world.platform.copy(),
            Fault::Configure => drop(world.configure()),
            other => lasting(world, other, true),
        }
        Ok(())
    }

    fn end(&mut self, world: &mut World, ledger: &Ledger, fault: Fault) -> eyre::Result<()> {
        let gateways = world.gateways.len();
        match fault {
            Fault::KillGateway(number) => self.start_again(world, number)?,
            Fault::KillSidecar(number) => self.start_again(world, gateways + number)?,
            Fault::KillAll => {
                (0..self.0.len()).try_for_each(|number| self.start_again(world, number))?;
            }
            Fault::StopGateway(number) => self.stopped(world, ledger, number)?,
            Fault::StopSidecar(number) => self.stopped(world, ledger, gateways + number)?,
            Fault::FreezeGateway(number) => self.thaw(world, number),
            Fault::FreezeInstance(number) => {
                self.thaw(world, gateways + number);
                set(&world.places[number].proxy.faults.cut, false);
            }
            Fault::Replace(number) => replace(world, ledger, number),
            Fault::StoreReturns => world.come_back(),
            Fault::HangUp(_)
            | Fault::BreakGroup(_)
            | Fault::StoreForgets
            | Fault::StoreCopied
            | Fault::Configure => (),
            other => lasting(world, other, false),
        }
        Ok(())
    }
}

/// Faults that are switched on and off.
fn lasting(world: &mut World, fault: Fault, on: bool) {
    let is_of_store = matches!(
        fault,
        Fault::StoreDown
            | Fault::StoreReturns
            | Fault::StoreSlow
            | Fault::StoreSilent
            | Fault::StoreLoses
    );
    for number in 0..world.gateways.len() {
        if is_of_store || fault == Fault::CutFromStore(number) {
            world.disturb(number);
        }
    }
    let store = &world.platform.faults;
    if let Fault::CutServer(number) | Fault::MuteServer(number) | Fault::ResetServer(number) = fault
    {
        world.places[number].server.set_unheard(on);
    }
    match fault {
        Fault::CutFromStore(number) => set(&world.gateways[number].store.faults.cut, on),
        Fault::CutServer(number) => set(&world.places[number].proxy.faults.cut, on),
        Fault::MuteServer(number) => set(&world.places[number].proxy.faults.cut_back, on),
        Fault::ResetServer(number) => set(&world.places[number].proxy.faults.refuse, on),
        Fault::SlowServer(number) => {
            let delay = if on { SLOW_MS } else { 0 };
            world.places[number].proxy.faults.delay_ms.store(delay, Ordering::Relaxed);
        }
        Fault::ServerSilent(number) => world.places[number].set_silent(on),
        Fault::GreyServer(number, grey) => {
            world.places[number].server.set_grey(on.then_some(grey));
        }
        Fault::BackOff(number) => world.places[number].server.set_busy(on),
        Fault::Limit(number, in_10_s) => {
            let per_s = f64::from(in_10_s) / 10.0;
            world.places[number].server.set_limit(on.then_some(per_s));
        }
        Fault::LateOrders(number) => {
            let part = if on { LATE_PCT } else { 0 };
            world.groups[number].late_pct.store(part, Ordering::Relaxed);
        }
        Fault::HarmfulPrompts => set(&world.balancer.harmful, on),
        Fault::Concentrate(number) => world.balancer.concentrate(on.then_some(number)),
        Fault::StoreDown | Fault::StoreReturns => world.platform.set_down(on),
        Fault::StoreSlow => {
            store.slow_ms.store(if on { STORE_SLOW_MS } else { 0 }, Ordering::Relaxed);
        }
        Fault::StoreSilent => set(&store.silent, on),
        Fault::StoreLoses => set(&store.lose_replies, on),
        _ => (),
    }
}

/// The life of a server ends, and another begins at its address.
fn replace(world: &World, ledger: &Ledger, number: usize) {
    ledger.broke_off(number);
    let server = &world.places[number].server;
    let before = server.id();
    server.begin_anew();
    if let Some((group, _)) = &server.seat {
        group.break_up();
    }
    world.unlist(&before);
    world.list(number, "ready");
}
