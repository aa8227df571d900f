//! Leases of groups' coordinators, as they lie in the store.
//!
//! Each era of the store has an object of its own for a lease: a write that is under way while
//! the store comes back from a copy can't pass for one of the new era, whatever revision it
//! names.

use super::{
    objects::{self, ReadSpec, UnreadableObject},
    store::{CALL_TIMEOUT, Store, StoreError},
};
use hyper::Method;
use mastweir_core::{revision::Revision, switch::first_epoch};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Kind of our own for leases.
const KIND: &str = "mastweir-leases";
/// Reads of a lease while the era changes under them.
const READ_ATTEMPTS: u32 = 3;

/// A lease, as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Fencing token of its holder.
    pub epoch: u64,
    /// Who holds it.
    pub holder: String,
    /// Revision of the object, for a conditional write.
    pub revision: Revision,
}

/// A group's lease, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// The era it is of.
    pub generation: u64,
    /// What lies there; none if it was never taken in that era.
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
    /// A group's lease in this era. One that can't be read is nobody's, and its epoch is
    /// taken for as many above the era's first as the revision of its last change: each time
    /// it is taken its epoch rises by one and that revision by one at least, so it was never
    /// higher.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
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

    /// Takes a lease over, under the condition that it is as it was read, in the era in which
    /// it was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another took it meanwhile.
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

    /// Deletes a lease's objects of earlier eras: nobody reads them any more.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn delete_older_leases(&self, name: &str, generation: u64) -> Result<(), StoreError> {
        let any: ReadSpec<String> = |name, _, _| Ok(name.to_owned());
        let listed = self.list(KIND, any).await?;
        let is_older =
            |other: &&String| lease_generation(name, other).is_some_and(|other| other < generation);
        for older in listed.items.iter().filter(is_older) {
            let path = format!("/objects/{KIND}/{older}");
            self.call(Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        }
        Ok(())
    }
}

/// Name of the object of a lease in an era.
fn lease_name(name: &str, generation: u64) -> String {
    if generation == 0 { name.to_owned() } else { format!("{name}.{generation}") }
}

/// The era of a lease's object, if it is one of that lease.
fn lease_generation(name: &str, object: &str) -> Option<u64> {
    let rest = object.strip_prefix(name)?;
    if rest.is_empty() { Some(0) } else { rest.strip_prefix('.')?.parse().ok() }
}
