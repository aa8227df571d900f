//! HTTP client for the operators' paths (`/-/`) of entry instances.

use crate::entry::{Decision, EntryStatus};
use eyre::WrapErr;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client for the operators' paths of several entry instances.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client,
    entries: Vec<String>,
    key: String,
}

impl EntryClient {
    /// Creates a client for the entry instances at these base addresses.
    ///
    /// # Errors
    ///
    /// `entries` is empty, or the HTTP client can't be created.
    pub fn new(entries: &[String], key: &str) -> eyre::Result<Self> {
        eyre::ensure!(
            !entries.is_empty(),
            "reaching entries: none was named; give --entry http://IP:PORT, once for each"
        );
        let client = Client::builder().timeout(CALL_TIMEOUT).build()?;
        let entries = entries.iter().map(|base| base.trim_end_matches('/').to_owned()).collect();
        Ok(Self { client, entries, key: key.to_owned() })
    }

    /// Returns the base addresses of the entry instances.
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Fetches the status of an entry instance.
    ///
    /// # Errors
    ///
    /// The instance can't be reached, or refuses the key.
    pub async fn status(&self, entry: &str) -> eyre::Result<EntryStatus> {
        self.get(entry, "status").await
    }

    /// Fetches the recent decisions of an entry instance on a subject.
    ///
    /// # Errors
    ///
    /// The instance can't be reached, or refuses the key.
    pub async fn explain(&self, entry: &str, subject: &str) -> eyre::Result<Vec<Decision>> {
        self.get(entry, &format!("explain/{}", subject.replace(' ', "%20"))).await
    }

    async fn get<T: DeserializeOwned>(&self, entry: &str, path: &str) -> eyre::Result<T> {
        let url = format!("{entry}/-/{path}");
        self.fetch(self.client.get(url)).await.wrap_err_with(|| format!("asking entry {entry}"))
    }

    async fn fetch<T: DeserializeOwned>(&self, request: RequestBuilder) -> eyre::Result<T> {
        let response = request.bearer_auth(&self.key).send().await?;
        let status = response.status();
        eyre::ensure!(status != 401, "the key is not the operators'; check --operator-key");
        eyre::ensure!(status.is_success(), "it answers {status}; look at its log");
        Ok(response.json().await?)
    }
}
