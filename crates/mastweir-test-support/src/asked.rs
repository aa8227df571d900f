//! What a server asked of the gateways, and whether they keep to it.
//!
//! A server that leaves says so in all its answers, and a server that turns a request away
//! may ask its gateway for a time without requests. Two promises follow, which hold for a
//! gateway that reaches neither the store nor another gateway, too. [`Asked`] is the
//! server's side of them: it is told of each answer and of each arrival.

use std::{
    collections::HashMap,
    fmt::Display,
    hash::Hash,
    time::{Duration, Instant},
};

/// An answer is on its way for so long at most, and what was chosen before it.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests that may come all the same: those of one moment.
const ALL_THE_SAME: u32 = 2;

/// A time without requests that a gateway was asked for.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Instant,
    end: Instant,
    came: u32,
}

/// What one server asked of gateways, by what tells them apart.
#[derive(Debug)]
pub struct Asked<G> {
    /// When it first told a gateway that it leaves.
    leaves: HashMap<G, Instant>,
    pauses: HashMap<G, Vec<Pause>>,
}

impl<G> Default for Asked<G> {
    fn default() -> Self {
        Self { leaves: HashMap::new(), pauses: HashMap::new() }
    }
}

impl<G: Copy + Eq + Hash + Display> Asked<G> {
    /// An answer to a gateway says that the server leaves.
    pub fn told_leaving(&mut self, gateway: G, now: Instant) {
        self.leaves.entry(gateway).or_insert(now);
    }

    /// An answer to a gateway asks for a time without requests.
    pub fn told_pause(&mut self, gateway: G, pause: Duration, now: Instant) {
        let pause = Pause { from: now + ON_ITS_WAY, end: now + pause, came: 0 };
        self.pauses.entry(gateway).or_default().push(pause);
    }

    /// A gateway started anew, or stood still: it may have forgotten, or be late.
    pub fn excuse(&mut self, gateway: G) {
        self.leaves.remove(&gateway);
        self.pauses.remove(&gateway);
    }

    /// A request arrives that its caller sent to a gateway at `sent`; gives what that
    /// breaks. `drain` is the time after which a leaving server gets nothing more.
    pub fn arrived(
        &mut self,
        gateway: G,
        sent: Instant,
        drain: Duration,
        now: Instant,
    ) -> Option<String> {
        let left = self.leaves.get(&gateway).filter(|told| sent > **told + drain);
        if let Some(told) = left {
            let after = (sent - *told).as_millis();
            return Some(format!(
                "gateway {gateway} was told that the server leaves, and sends it what came {after} \
                 ms later"
            ));
        }
        let pauses = self.pauses.get_mut(&gateway)?;
        let meant = pauses.iter_mut().filter(|pause| (pause.from..pause.end).contains(&now));
        let worst = meant.map(|pause| {
            pause.came += 1;
            pause.came
        });
        let came = worst.max()?;
        (came == ALL_THE_SAME + 1)
            .then(|| format!("gateway {gateway} was asked for a pause, and sends {came} requests"))
    }
}
