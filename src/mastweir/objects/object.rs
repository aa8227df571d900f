//! Objects of the object API, as they are encoded in JSON.

use mastweir_core::outcome::Binding;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A collection of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// Rows of the table of customers and drains.
    Rows,
    /// First submissions under plain keys.
    Keys,
    /// Leases of group coordinators.
    Leases,
    /// The platform's list of instances, which lags behind their actual state.
    Instances,
}

impl Collection {
    /// Returns the collection's name in URL paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rows => "rows",
            Self::Keys => "keys",
            Self::Leases => "leases",
            Self::Instances => "instances",
        }
    }
}

/// Metadata of an object or a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Unique in the collection.
    pub name: String,
    /// Version, which rises with each write to any object. Empty before the first write.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub resource_version: String,
}

/// The last write of an object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastWrite {
    /// Name of the writing operator or process.
    pub by: String,
    /// Random id of the write. A writer whose answer was lost finds out by it whether the write
    /// was applied.
    pub operation: String,
}

/// An object with content `T`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    pub metadata: Metadata,
    #[serde(default)]
    pub written: LastWrite,
    pub spec: T,
}

impl<T> Object<T> {
    /// Returns the version as a number; 0 if it is empty or malformed.
    pub fn version(&self) -> u64 {
        self.metadata.resource_version.parse().unwrap_or(0)
    }
}

/// All objects of a collection at one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List<T> {
    /// Holds the version.
    pub metadata: Metadata,
    pub items: Vec<Object<T>>,
}

/// Role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Accepts callers' requests.
    Entry,
    /// Runs an engine and an agent.
    Server,
}

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    Live,
    /// Will be stopped.
    Leaving,
}

/// The ranks of a group that run on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    pub name: String,
    /// First of the server's ranks.
    pub first: u16,
    /// Number of ranks on the server.
    pub ranks: u16,
    /// Number of ranks in the group.
    pub of: u16,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSpec {
    pub role: InstanceRole,
    pub hall: String,
    /// Address of mastweir's process for channels.
    pub tcp: SocketAddr,
    /// Address of mastweir's process for datagrams.
    pub udp: SocketAddr,
    /// Address of an entry for callers and operators; `None` for servers.
    pub http: Option<SocketAddr>,
    pub state: InstanceState,
    /// Services that a server provides; empty for entries.
    pub services: Vec<String>,
    /// `None` if the instance is in no rank group.
    pub group: Option<GroupSpec>,
}

/// The first submission under a plain key. It fixes where the operation may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeySpec {
    pub service: String,
    /// Bindings in the order in which they are tried.
    pub bindings: Vec<Binding>,
}
