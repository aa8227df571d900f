//! Leases of group coordinators in the platform's store, used by sidecars.
//!
//! The sidecar that holds a group's lease coordinates the group; the lease's epoch is the
//! fencing token. Each generation of the store uses a separate object for the same lease. So a
//! write that is under way while the store is restored from a copy can't change the lease of
//! the new generation, even if the revision that the write expects occurs there too.

use super::{
    objects::{self, ReadSpec, UnreadableObject},
    store::{CALL_TIMEOUT, Store, StoreError},
};
use hyper::Method;
use mastweir_core::{revision::Revision, switch::first_epoch};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Kind of the lease objects, which only mastweir writes.
const KIND: &str = "mastweir-leases";
/// Attempts to read a lease while the store's generation keeps changing.
const READ_ATTEMPTS: u32 = 3;

/// A lease's object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Fencing token of the holder.
    pub epoch: u64,
    /// Name of the holder's instance; empty if the object can't be decoded.
    pub holder: String,
    /// Revision of the object, for conditional writes.
    pub revision: Revision,
}

/// A group's lease as read in one generation of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSnapshot {
    pub generation: u64,
    /// `None` if the lease was never taken in this generation.
    pub stored: Option<StoredLease>,
}

#[derive(Debug, Serialize, Deserialize)]
struct LeaseSpec {
    epoch: u64,
    holder: String,
}

fn read_lease(_name: &str, revision: Revision, spec: &str) -> serde_json::Result<StoredLease> {
    let LeaseSpec { epoch, holder } = serde_json::from_str(spec)?;
    Ok(StoredLease { epoch, holder, revision })
}

impl Store {
    /// Reads a group's lease in the store's current generation. A lease that can't be decoded
    /// is returned without a holder; its epoch is the generation's first epoch plus the
    /// object's revision. The real epoch isn't higher, since taking a lease raises the epoch by
    /// one and the revision by at least one.
    ///
    /// # Errors
    ///
    /// [`StoreError::GenerationChanged`] if the generation changed during each attempt, and the
    /// other variants of [`StoreError`].
    pub async fn lease(&self, name: &str) -> Result<LeaseSnapshot, StoreError> {
        for _ in 0..READ_ATTEMPTS {
            let generation = self.generation();
            let path = format!("/objects/{KIND}/{}", lease_name(name, generation));
            let answer = self.call(Method::GET, &path, None, CALL_TIMEOUT).await;
            if self.generation() != generation {
                continue;
            }
            let body = match answer {
                Err(StoreError::Refused { status: 404 }) => {
                    return Ok(LeaseSnapshot { generation, stored: None });
                }
                other => other?.body,
            };
            let lease = objects::read_one(&body, generation, read_lease)?;
            let stored = lease.unwrap_or_else(|UnreadableObject { revision, .. }| StoredLease {
                epoch: first_epoch(generation) + revision.number,
                holder: String::new(),
                revision,
            });
            return Ok(LeaseSnapshot { generation, stored: Some(stored) });
        }
        Err(StoreError::GenerationChanged)
    }

    /// Takes a lease if neither the lease nor the store's generation has changed since
    /// `previous` was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the lease has changed since `previous` was read.
    pub async fn take_lease(
        &self,
        name: &str,
        epoch: u64,
        holder: &str,
        previous: &LeaseSnapshot,
    ) -> Result<(), StoreError> {
        let name = lease_name(name, previous.generation);
        let spec = LeaseSpec { epoch, holder: holder.to_owned() };
        let (method, path, metadata) = match &previous.stored {
            None => (Method::POST, format!("/objects/{KIND}"), json!({ "name": name })),
            Some(stored) => {
                let metadata = json!({ "name": name, "revision": stored.revision.number });
                (Method::PUT, format!("/objects/{KIND}/{name}"), metadata)
            }
        };
        let body = json!({ "metadata": metadata, "spec": spec });
        let answered = self.call(method, &path, Some(&body), CALL_TIMEOUT).await?;
        if answered.generation == previous.generation {
            Ok(())
        } else {
            Err(StoreError::GenerationChanged)
        }
    }

    /// Deletes a lease's objects of earlier generations, which are no longer read.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn delete_older_leases(&self, name: &str, generation: u64) -> Result<(), StoreError> {
        let read_name: ReadSpec<String> = |name, _, _| Ok(name.to_owned());
        let listed = self.list(KIND, read_name).await?;
        let is_older =
            |other: &&String| lease_generation(name, other).is_some_and(|other| other < generation);
        for older in listed.items.iter().filter(is_older) {
            let path = format!("/objects/{KIND}/{older}");
            self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        }
        Ok(())
    }
}

/// Returns the name of a lease's object in a generation.
fn lease_name(name: &str, generation: u64) -> String {
    if generation == 0 { name.to_owned() } else { format!("{name}.{generation}") }
}

/// Returns the generation of an object if the object belongs to the lease.
fn lease_generation(name: &str, object: &str) -> Option<u64> {
    let rest = object.strip_prefix(name)?;
    if rest.is_empty() { Some(0) } else { rest.strip_prefix('.')?.parse().ok() }
}
