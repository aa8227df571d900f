//! What is played: sizes, callers and faults, as a file has them.

use serde::Deserialize;

/// Gateways and servers at most: addresses and ids have room for them.
const GATEWAYS_MAX: usize = 410;
const SERVERS_MAX: usize = 400;
/// Longest run, in seconds.
const SECONDS_MAX: f64 = 600.0;
/// Most requests a second, over all gateways.
const REQUESTS_MAX: f64 = 20_000.0;

/// A scenario that can't be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadScenario {
    /// It is not in its format.
    #[error("malformed scenario: {detail}; correct that line")]
    Malformed {
        /// What and where.
        detail: String,
    },
    /// A value can't be.
    #[error("scenario: {field} can't be {value}; {remedy}")]
    BadValue {
        /// The field.
        field: String,
        /// The value.
        value: String,
        /// What to give instead.
        remedy: &'static str,
    },
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A server names a limit.
    Limit {
        /// The server.
        server: usize,
        /// Requests a second.
        per_s: f64,
    },
    /// A server turns requests away and asks for a pause.
    Pause {
        /// The server.
        server: usize,
    },
    /// A server says in its answers that it leaves.
    Leave {
        /// The server.
        server: usize,
    },
    /// A gateway is killed, and starts again at the end.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// A gateway stands still.
    Freeze {
        /// The gateway.
        gateway: usize,
    },
    /// A hall's gateways are cut off from the other gateways. All reach all servers.
    CutHall {
        /// The hall.
        hall: usize,
    },
    /// The same for a single gateway.
    CutGateway {
        /// The gateway.
        gateway: usize,
    },
    /// Words between gateways are lost.
    Lossy {
        /// In a hundred.
        pct: u32,
    },
    /// All callers come through one gateway.
    Through {
        /// The gateway.
        gateway: usize,
    },
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Strike {
    /// Seconds since the start.
    pub at: f64,
    /// How long, in seconds.
    pub for_s: f64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// What is played.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Gateways.
    pub gateways: usize,
    /// Halls, over which gateways and servers are dealt out in turn.
    pub halls: usize,
    /// Servers, of one service.
    pub servers: usize,
    /// How long.
    pub seconds: f64,
    /// Requests a second over all gateways.
    pub requests_s: f64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Strike>,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// [`BadScenario`] names the line, or the field and what to give instead.
    pub fn read(text: &str) -> Result<Self, BadScenario> {
        let scenario: Self = toml::from_str(text)
            .map_err(|error| BadScenario::Malformed { detail: error.to_string() })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), BadScenario> {
        let Self { gateways, halls, servers, seconds, requests_s, faults } = self;
        within("gateways", *gateways, 1, GATEWAYS_MAX)?;
        within("halls", *halls, 1, *gateways)?;
        within("servers", *servers, 1, SERVERS_MAX)?;
        positive("seconds", *seconds, SECONDS_MAX)?;
        positive("requests_s", *requests_s, REQUESTS_MAX)?;
        for (number, strike) in faults.iter().enumerate() {
            self.check_strike(number, strike)?;
        }
        Ok(())
    }

    fn check_strike(&self, number: usize, strike: &Strike) -> Result<(), BadScenario> {
        let field = |name: &str| format!("faults[{number}].{name}");
        let Strike { at, for_s, fault } = *strike;
        if !(0.0..=self.seconds).contains(&at) {
            return Err(bad(&field("at"), &at, "give a time before the end of the run"));
        }
        positive(&field("for_s"), for_s, SECONDS_MAX)?;
        match fault {
            Fault::Limit { server, per_s } => {
                within(&field("server"), server, 0, self.servers - 1)?;
                if !per_s.is_finite() || per_s < 0.0 {
                    return Err(bad(&field("per_s"), &per_s, "give a number from 0 on"));
                }
                Ok(())
            }
            Fault::Pause { server } | Fault::Leave { server } => {
                within(&field("server"), server, 0, self.servers - 1)
            }
            Fault::Kill { gateway }
            | Fault::Freeze { gateway }
            | Fault::CutGateway { gateway }
            | Fault::Through { gateway } => {
                within(&field("gateway"), gateway, 0, self.gateways - 1)
            }
            Fault::CutHall { hall } => within(&field("hall"), hall, 0, self.halls - 1),
            Fault::Lossy { pct } => within(&field("pct"), pct as usize, 0, 100),
        }
    }
}

fn bad(field: &str, value: &impl ToString, remedy: &'static str) -> BadScenario {
    BadScenario::BadValue { field: field.to_owned(), value: value.to_string(), remedy }
}

fn within(field: &str, value: usize, least: usize, most: usize) -> Result<(), BadScenario> {
    let remedy = if value < least { "give a larger one" } else { "give one that there is" };
    if (least..=most).contains(&value) { Ok(()) } else { Err(bad(field, &value, remedy)) }
}

fn positive(field: &str, value: f64, most: f64) -> Result<(), BadScenario> {
    let fits = value > 0.0 && value <= most;
    if fits { Ok(()) } else { Err(bad(field, &value, "give one above 0, of minutes at most")) }
}
