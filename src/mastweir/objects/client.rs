//! The client of a Kubernetes-style object API.

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
/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a watch is left open; the API counts each opening as a call.
const WATCH_SECS: u64 = 300;
/// Bytes of one line of a watch at most.
const LINE_MAX: usize = 1 << 20;

/// Why a call to the object API brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum ObjectError {
    /// Another write came first.
    #[error("writing {0}: it has changed since it was read; read it again")]
    Conflict(String),
    /// There is such an object already.
    #[error("creating {0}: it exists already; update it instead")]
    Exists(String),
    /// There is no such object.
    #[error("reading {0}: there is no such object; check the name with 'mastweir table list'")]
    NotFound(String),
    /// The version to watch from is too old.
    #[error("watching {0}: the version is too old; list again")]
    VersionTooOld(&'static str),
    /// The API said no.
    #[error("calling the object API: status {0}; check --platform and --token")]
    Status(StatusCode),
    /// No answer: a write may have landed or not.
    #[error("calling the object API: {0}; a write may have landed, read it back")]
    NoResponse(#[from] reqwest::Error),
}

impl ObjectError {
    /// Whether a write may have landed all the same.
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
    /// A new object.
    Added(Object<T>),
    /// A changed object.
    Modified(Object<T>),
    /// A deleted object, at the version of its deletion.
    Deleted(Object<T>),
}

/// A running watch.
pub type Watcher<T> = Pin<Box<dyn Stream<Item = Result<WatchEvent<T>, io::Error>> + Send>>;

/// The object API.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    client: Client,
    base: String,
    token: String,
    calls: Arc<AtomicU64>,
}

impl ObjectClient {
    /// A client for the API at `base`.
    ///
    /// # Errors
    ///
    /// No client can be made.
    pub fn new(base: &str, token: &str) -> eyre::Result<Self> {
        let client = Client::builder().connect_timeout(CALL_TIMEOUT).build()?;
        let base = base.trim_end_matches('/').to_owned();
        Ok(Self { client, base, token: token.to_owned(), calls: Arc::default() })
    }

    /// Calls made so far, watches included.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Lists a collection.
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

    /// Asks whether the API answers, at the price of a read of one object.
    ///
    /// # Errors
    ///
    /// [`ObjectError`].
    pub async fn probe(&self, collection: Collection) -> Result<(), ObjectError> {
        let request = self.request(Method::GET, collection, None).query(&[("limit", "1")]);
        check(self.send(request).await?, collection.as_str())?.bytes().await?;
        Ok(())
    }

    /// Watches a collection from a version on.
    ///
    /// # Errors
    ///
    /// [`ObjectError::VersionTooOld`] asks for a list first.
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

    /// Creates an object, if there is none of the name.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Exists`] if there is.
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

    /// Replaces an object, if its version is still the one given in it.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Conflict`] if it is not.
    pub async fn update<T: Serialize + DeserializeOwned>(
        &self,
        collection: Collection,
        object: &Object<T>,
    ) -> Result<Object<T>, ObjectError> {
        let name = &object.metadata.name;
        let request = self.request(Method::PUT, collection, Some(name)).json(object);
        Ok(check(self.send(request).await?, name)?.json().await?)
    }

    /// Deletes an object, if its version is still `version`.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Conflict`] if it is not.
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
    /// A new object, not written yet.
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
