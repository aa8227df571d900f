//! The operators' side of an entry's `/-/` paths.

use crate::entry::{Decision, EntryStatus};
use eyre::WrapErr;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use std::time::Duration;

const CALL_TIME: Duration = Duration::from_secs(3);

/// Entries, as an operator reaches them.
#[derive(Clone, Debug)]
pub struct EntryClient {
    client: Client,
    entries: Vec<String>,
    key: String,
}

impl EntryClient {
    /// A client for entries at these base addresses.
    ///
    /// # Errors
    ///
    /// No client can be made, or no entry was named.
    pub fn new(entries: &[String], key: &str) -> eyre::Result<Self> {
        eyre::ensure!(
            !entries.is_empty(),
            "reaching entries: none was named; give --entry http://IP:PORT, once for each"
        );
        let client = Client::builder().timeout(CALL_TIME).build()?;
        let entries = entries.iter().map(|base| base.trim_end_matches('/').to_owned()).collect();
        Ok(Self { client, entries, key: key.to_owned() })
    }

    /// Base addresses of the entries.
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// An entry's status.
    ///
    /// # Errors
    ///
    /// It can't be reached, or the key is not the operators'.
    pub async fn status(&self, entry: &str) -> eyre::Result<EntryStatus> {
        self.get(entry, "status").await
    }

    /// An entry's decisions on a subject.
    ///
    /// # Errors
    ///
    /// It can't be reached, or the key is not the operators'.
    pub async fn explain(&self, entry: &str, subject: &str) -> eyre::Result<Vec<Decision>> {
        self.get(entry, &format!("explain/{}", subject.replace(' ', "%20"))).await
    }

    async fn get<T: DeserializeOwned>(&self, entry: &str, path: &str) -> eyre::Result<T> {
        let url = format!("{entry}/-/{path}");
        self.read(self.client.get(url)).await.wrap_err_with(|| format!("asking entry {entry}"))
    }

    async fn read<T: DeserializeOwned>(&self, request: RequestBuilder) -> eyre::Result<T> {
        let response = request.bearer_auth(&self.key).send().await?;
        let status = response.status();
        eyre::ensure!(status != 401, "the key is not the operators'; check --operator-key");
        eyre::ensure!(status.is_success(), "it answers {status}; look at its log");
        Ok(response.json().await?)
    }
}
