//! Lists the quarantines in the platform's store, and lifts them.

use crate::{
    net::http::Pool,
    platform::{
        quarantine::{QuarantineReport, StoredQuarantine, Subject},
        store::Store,
    },
};
use mastweir_core::gateway::Fingerprint;
use std::{fmt, net::SocketAddr, rc::Rc};
use tokio::task::LocalSet;

#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptions {
    /// Address of the platform's store.
    pub store: SocketAddr,
}

/// The quarantine can't be lifted.
#[derive(Debug, thiserror::Error)]
pub enum LiftError {
    #[error("{0:?} is no fingerprint; give the 16 digits that `mastweir quarantine` shows")]
    Malformed(String),
    #[error("no prompt part or request {0} is quarantined; see `mastweir quarantine`")]
    Unknown(Fingerprint),
}

/// A quarantine as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined {
    pub subject: Subject,
    /// Number of servers that crashed.
    pub crashes: usize,
    /// Seconds since the quarantine was written.
    pub age_s: u32,
}

impl fmt::Display for Quarantined {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, fingerprint) = match self.subject {
            Subject::Request(request) => ("request", request),
            Subject::Part(part) => ("part", part),
        };
        write!(f, "{kind:8} {fingerprint}  {} crashes, {} s ago", self.crashes, self.age_s)
    }
}

/// Lists the quarantines in force.
///
/// # Errors
///
/// The store does not answer.
pub async fn list(options: &QuarantineOptions) -> eyre::Result<Vec<Quarantined>> {
    let stored = with_store(options, async |store| Ok(store.quarantines().await?.items)).await?;
    let mut all: Vec<Quarantined> = stored.iter().filter_map(in_force).collect();
    all.sort_by_key(|quarantined| (quarantined.subject, quarantined.age_s));
    Ok(all)
}

/// Lifts the quarantine of a prompt part or request. Gateways send it again, until further servers
/// crash.
///
/// # Errors
///
/// [`LiftError`], or the store does not answer or was changed meanwhile.
pub async fn lift(options: &QuarantineOptions, fingerprint: &str) -> eyre::Result<()> {
    let malformed = || LiftError::Malformed(fingerprint.to_owned());
    let fingerprint = u64::from_str_radix(fingerprint, 16).map(Fingerprint);
    let fingerprint = fingerprint.map_err(|_| malformed())?;
    let subjects = [Subject::Part(fingerprint), Subject::Request(fingerprint)];
    with_store(options, async |store| {
        let stored = store.quarantines().await?.items;
        let quarantined = stored.iter().find(|stored| subjects.contains(&stored.report.subject()));
        let quarantined = quarantined.ok_or(LiftError::Unknown(fingerprint))?;
        Ok(store.lift_quarantine(quarantined).await?)
    })
    .await
}

/// Runs a task that uses the store's client, whose connections belong to one thread.
async fn with_store<T>(
    options: &QuarantineOptions,
    act: impl AsyncFnOnce(&Store) -> eyre::Result<T>,
) -> eyre::Result<T> {
    let store = Store::new(options.store, Rc::new(Pool::default()));
    LocalSet::new().run_until(act(&store)).await
}

fn in_force(stored: &StoredQuarantine) -> Option<Quarantined> {
    let (crashes, age_ms) = match &stored.report {
        QuarantineReport::Request(report) => (report.crashes.len(), report.age_ms),
        QuarantineReport::Part(report) => (report.crashes.len(), report.age_ms),
    };
    let quarantined =
        Quarantined { subject: stored.report.subject(), crashes, age_s: age_ms / 1_000 };
    (!stored.report.is_expired() && !stored.report.is_lifted()).then_some(quarantined)
}
