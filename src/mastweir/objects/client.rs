//! HTTP client of the object API.

use super::{Collection, LastWrite, List, Metadata, Object};
use futures_util::{Stream, StreamExt, TryStreamExt};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio_util::{
    codec::{FramedRead, LinesCodec},
    io::StreamReader,
};

const GROUP_PATH: &str = "apis/mastweir.dev/v1";
/// Timeout of a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Seconds for which the API keeps a watch open. Long, since each start of a watch counts as a
/// call.
const WATCH_SECS: u64 = 300;
/// Most bytes of a line, which is one event of a watch.
const LINE_MAX: usize = 1 << 20;

/// Why a call to the object API failed.
#[derive(Debug, thiserror::Error)]
pub enum ObjectError {
    /// The object was written since the given version.
    #[error("writing {0}: it has changed since it was read; read it again")]
    Conflict(String),
    /// An object of this name exists already.
    #[error("creating {0}: it exists already; update it instead")]
    Exists(String),
    /// No object of this name exists.
    #[error("reading {0}: there is no such object; check the name with 'mastweir table list'")]
    NotFound(String),
    /// The API no longer keeps changes as old as the given version.
    #[error("watching {0}: the version is too old; list again")]
    VersionTooOld(&'static str),
    /// The API answered with another error status.
    #[error("calling the object API: status {0}; check --platform and --token")]
    Status(StatusCode),
    /// There was no complete answer; a write may have been applied.
    #[error("calling the object API: {0}; a write may have been applied, read the object again")]
    NoResponse(#[from] reqwest::Error),
}

impl ObjectError {
    /// Returns whether a write that failed in this way may have been applied.
    pub fn is_outcome_unknown(&self) -> bool {
        match self {
            Self::NoResponse(error) => !error.is_connect(),
            Self::Status(status) => status.is_server_error(),
            _ => false,
        }
    }
}

/// An event of a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "UPPERCASE")]
pub enum WatchEvent<T> {
    Added(Object<T>),
    Modified(Object<T>),
    /// The object's version is that of the deletion.
    Deleted(Object<T>),
}

/// Events of a running watch. The stream ends when the API closes the watch.
pub type Watcher<T> = Pin<Box<dyn Stream<Item = Result<WatchEvent<T>, io::Error>> + Send>>;

/// A client of the object API. Clones share connections and the call counter.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    client: Client,
    base: String,
    token: String,
    calls: Arc<AtomicU64>,
}

impl ObjectClient {
    /// Creates a client for the API at the URL `base`.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be set up.
    pub fn new(base: &str, token: &str) -> eyre::Result<Self> {
        let client = Client::builder().connect_timeout(CALL_TIMEOUT).build()?;
        let base = base.trim_end_matches('/').to_owned();
        Ok(Self { client, base, token: token.to_owned(), calls: Arc::default() })
    }

    /// Returns the number of calls so far, watches included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Lists the objects of a collection.
    ///
    /// # Errors
    ///
    /// [`ObjectError`].
    pub async fn list<T: DeserializeOwned>(
        &self,
        collection: Collection,
    ) -> Result<List<T>, ObjectError> {
        let response = self.send(self.request(Method::GET, collection, None)).await?;
        Ok(check(response, collection.as_str())?.json().await?)
    }

    /// Checks that the API answers, by listing one object.
    ///
    /// # Errors
    ///
    /// [`ObjectError`].
    pub async fn probe(&self, collection: Collection) -> Result<(), ObjectError> {
        let request = self.request(Method::GET, collection, None).query(&[("limit", "1")]);
        check(self.send(request).await?, collection.as_str())?.bytes().await?;
        Ok(())
    }

    /// Watches a collection for changes after a version.
    ///
    /// # Errors
    ///
    /// [`ObjectError::VersionTooOld`] if the collection must be listed again first.
    pub async fn watch<T: DeserializeOwned + Send + 'static>(
        &self,
        collection: Collection,
        version: u64,
    ) -> Result<Watcher<T>, ObjectError> {
        let query = [
            ("watch", "1".to_owned()),
            ("resourceVersion", version.to_string()),
            ("timeoutSeconds", WATCH_SECS.to_string()),
        ];
        let request = self.request(Method::GET, collection, None).query(&query);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let response = request.timeout(Duration::from_secs(WATCH_SECS + 10)).send().await?;
        if response.status() == StatusCode::GONE {
            return Err(ObjectError::VersionTooOld(collection.as_str()));
        }
        let bytes = check(response, collection.as_str())?.bytes_stream();
        let reader = StreamReader::new(Box::pin(bytes.map_err(io::Error::other)));
        let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(LINE_MAX));
        let events = lines.map(|line| {
            let line = line.map_err(io::Error::other)?;
            serde_json::from_str(&line).map_err(io::Error::other)
        });
        Ok(Box::pin(events))
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`ObjectError`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        collection: Collection,
        name: &str,
    ) -> Result<Object<T>, ObjectError> {
        let response = self.send(self.request(Method::GET, collection, Some(name))).await?;
        Ok(check(response, name)?.json().await?)
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Exists`] if an object of this name exists.
    pub async fn create<T: Serialize + DeserializeOwned>(
        &self,
        collection: Collection,
        object: &Object<T>,
    ) -> Result<Object<T>, ObjectError> {
        let name = &object.metadata.name;
        let request = self.request(Method::POST, collection, None).json(object);
        let response = self.send(request).await?;
        if response.status() == StatusCode::CONFLICT {
            return Err(ObjectError::Exists(name.clone()));
        }
        Ok(check(response, name)?.json().await?)
    }

    /// Replaces an object if its stored version is still the one in `object`.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Conflict`] if the version has changed.
    pub async fn update<T: Serialize + DeserializeOwned>(
        &self,
        collection: Collection,
        object: &Object<T>,
    ) -> Result<Object<T>, ObjectError> {
        let name = &object.metadata.name;
        let request = self.request(Method::PUT, collection, Some(name)).json(object);
        Ok(check(self.send(request).await?, name)?.json().await?)
    }

    /// Deletes an object if its version is still `version`.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Conflict`] if the version has changed.
    pub async fn delete(
        &self,
        collection: Collection,
        name: &str,
        version: u64,
    ) -> Result<(), ObjectError> {
        let query = [("resourceVersion", version.to_string())];
        let request = self.request(Method::DELETE, collection, Some(name)).query(&query);
        check(self.send(request).await?, name)?;
        Ok(())
    }

    fn request(&self, method: Method, what: Collection, name: Option<&str>) -> RequestBuilder {
        let path = format!("{}/{GROUP_PATH}/{}", self.base, what.as_str());
        let path = name.map_or(path.clone(), |name| format!("{path}/{name}"));
        self.client.request(method, path).bearer_auth(&self.token)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, ObjectError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(request.timeout(CALL_TIMEOUT).send().await?)
    }
}

impl<T> Object<T> {
    /// Creates an object that isn't stored yet. `by` and `operation` are those of [`LastWrite`].
    pub fn new(name: &str, by: &str, operation: &str, spec: T) -> Self {
        let metadata = Metadata { name: name.to_owned(), resource_version: String::new() };
        let written = LastWrite { by: by.to_owned(), operation: operation.to_owned() };
        Self { metadata, written, spec }
    }
}

fn check(response: Response, name: &str) -> Result<Response, ObjectError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(ObjectError::Conflict(name.to_owned())),
        StatusCode::NOT_FOUND => Err(ObjectError::NotFound(name.to_owned())),
        status => Err(ObjectError::Status(status)),
    }
}
