//! Objects as the API holds them.

use mastweir_core::outcome::Binding;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Collections that mastweir uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// Rows of the table.
    Rows,
    /// First submissions under plain keys.
    Keys,
    /// Leases of coordinators.
    Leases,
    /// The platform's list of instances; it lags.
    Instances,
}

impl Collection {
    /// Its name in paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rows => "rows",
            Self::Keys => "keys",
            Self::Leases => "leases",
            Self::Instances => "instances",
        }
    }
}

/// What the API knows of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Name, unique in the collection.
    pub name: String,
    /// Version; rises with each write to any object.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resource_version: String,
}

/// Who wrote an object last, and in which operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastWrite {
    /// Name of the operator or process.
    pub by: String,
    /// Drawn for each write: after a lost reply, reading it back tells whether
    /// the write landed.
    pub operation: String,
}

/// An object with content `T`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    /// What the API knows of it.
    pub metadata: Metadata,
    /// Who wrote it.
    #[serde(default)]
    pub written: LastWrite,
    /// Its content.
    pub spec: T,
}

impl<T> Object<T> {
    /// Its version as a number; 0 if it has none.
    pub fn version(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }
}

/// A collection at a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List<T> {
    /// The version is in here.
    pub metadata: Metadata,
    /// The objects.
    pub items: Vec<Object<T>>,
}

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// An entry instance.
    Entry,
    /// A server with an agent in its slot.
    Server,
}

/// What the platform thinks of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// The part of a rank group that a server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Name of the group.
    pub name: String,
    /// Its first rank here.
    pub first: u16,
    /// Ranks here.
    pub ranks: u16,
    /// Ranks of the whole group.
    pub of: u16,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSpec {
    /// What it is for.
    pub role: InstanceRole,
    /// Its data hall.
    pub hall: String,
    /// Where our process on it listens for channels.
    pub tcp: SocketAddr,
    /// Where our process on it listens for datagrams.
    pub udp: SocketAddr,
    /// Where an entry serves callers and operators.
    pub http: Option<SocketAddr>,
    /// What the platform thinks of it.
    pub state: InstanceState,
    /// Services that a server serves.
    pub services: Vec<String>,
    /// The rank group that it is part of.
    pub group: Option<GroupSpec>,
}

/// The first submission under a plain key: where its operation may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeySpec {
    /// Name of the service.
    pub service: String,
    /// Places to try in this order.
    pub bindings: Vec<Binding>,
}
