//! Objects of the store, as lists and watches bring them.
//!
//! Each object is read by itself. One that another writer left in a form that is not that
//! of the pages is named as [`UnreadableObject`], and the others hold. Only an answer whose frame
//! can't be read fails as a whole.
//!
//! What is read is of one era of the store, which the answer's headers name.

use mastweir_core::revision::Revision;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Longest reason that is kept of why an object can't be read, in bytes: it may quote
/// what another writer put there.
const REASON_CHARS_MAX: usize = 200;

/// An object that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableObject {
    /// Its name; empty if not even that can be read.
    pub name: String,
    /// Revision of its last change; of number zero if it can't be read.
    pub revision: Revision,
    /// Why.
    pub reason: String,
}

impl UnreadableObject {
    fn new(meta: Metadata, generation: u64, error: &serde_json::Error) -> Self {
        let Metadata { name, revision } = meta;
        let revision = Revision::new(generation, revision);
        Self { name, revision, reason: error.to_string().chars().take(REASON_CHARS_MAX).collect() }
    }
}

/// Objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList<T> {
    /// Those that can be read.
    pub items: Vec<T>,
    /// The others.
    pub unreadable: Vec<UnreadableObject>,
    /// The store's revision.
    pub revision: Revision,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<T> {
    /// It is like this now.
    Updated(T),
    /// The object of that name is gone.
    Deleted(String),
    /// It can't be read any more, and names nothing.
    Unreadable(UnreadableObject),
}

/// Changes of a kind, up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes<T> {
    /// In order.
    pub changes: Vec<Change<T>>,
    /// Where to go on.
    pub revision: Revision,
}

/// Reads an object's body, given its name and the revision of its last change.
pub type ReadSpec<T> = fn(&str, Revision, &str) -> serde_json::Result<T>;

/// What names an object.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Metadata {
    #[serde(default)]
    pub(super) name: String,
    #[serde(default)]
    pub(super) revision: u64,
}

#[derive(Debug, Deserialize)]
struct Object<'a> {
    #[serde(borrow)]
    metadata: Option<&'a RawValue>,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct ListPage<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    /// A revision of the store, not a time.
    timestamp: u64,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// A revision of the store, not a time.
    timestamp: u64,
}

#[derive(Debug, Deserialize)]
struct WatchEvent<'a> {
    #[serde(default)]
    deleted: bool,
    #[serde(borrow)]
    object: &'a RawValue,
}

/// One page of a list, and the name behind which the next one begins.
#[derive(Debug)]
pub struct DecodedPage<T> {
    /// The page.
    pub listed: ObjectList<T>,
    /// Where the next page begins; none if this is the last.
    pub next: Option<String>,
}

/// Reads a page of a list.
///
/// # Errors
///
/// The answer as a whole is not in the format of the pages.
pub fn read_page<T>(
    body: &[u8],
    generation: u64,
    read: ReadSpec<T>,
) -> serde_json::Result<DecodedPage<T>> {
    let text = String::from_utf8_lossy(body);
    let page: ListPage<'_> = serde_json::from_str(&text)?;
    let revision = Revision::new(generation, page.timestamp);
    let mut listed = ObjectList { items: Vec::new(), unreadable: Vec::new(), revision };
    let mut last = None;
    for item in page.items {
        let name = match read_object(item, generation, read) {
            Ok((name, item)) => {
                listed.items.push(item);
                name
            }
            Err(unread) => {
                let name = unread.name.clone();
                listed.unreadable.push(unread);
                name
            }
        };
        last = Some(name).filter(|name| !name.is_empty()).or(last);
    }
    let next = last.filter(|_| page.has_more);
    Ok(DecodedPage { listed, next })
}

/// Reads what a watch brought.
///
/// # Errors
///
/// The answer as a whole is not in the format of the pages.
pub fn read_changes<T>(
    body: &[u8],
    generation: u64,
    read: ReadSpec<T>,
) -> serde_json::Result<Changes<T>> {
    let text = String::from_utf8_lossy(body);
    let watched: WatchAnswer<'_> = serde_json::from_str(&text)?;
    let changes =
        watched.events.into_iter().map(|event| read_event(event, generation, read)).collect();
    Ok(Changes { changes, revision: Revision::new(generation, watched.timestamp) })
}

/// Reads a single object: what it holds, or that it can't be read.
///
/// # Errors
///
/// The answer as a whole is no JSON.
pub fn read_one<T>(
    body: &[u8],
    generation: u64,
    read: ReadSpec<T>,
) -> serde_json::Result<Result<T, UnreadableObject>> {
    let text = String::from_utf8_lossy(body);
    let object: &RawValue = serde_json::from_str(&text)?;
    Ok(read_object(object, generation, read).map(|(_, item)| item))
}

fn read_event<T>(event: &RawValue, generation: u64, read: ReadSpec<T>) -> Change<T> {
    let event: WatchEvent<'_> = match serde_json::from_str(event.get()) {
        Ok(event) => event,
        Err(error) => {
            return Change::Unreadable(UnreadableObject::new(
                Metadata::default(),
                generation,
                &error,
            ));
        }
    };
    if event.deleted {
        return match read_meta(event.object, generation) {
            Ok((meta, _)) => Change::Deleted(meta.name),
            Err(unread) => Change::Unreadable(unread),
        };
    }
    match read_object(event.object, generation, read) {
        Ok((_, item)) => Change::Updated(item),
        Err(unread) => Change::Unreadable(unread),
    }
}

fn read_object<T>(
    object: &RawValue,
    generation: u64,
    read: ReadSpec<T>,
) -> Result<(String, T), UnreadableObject> {
    let (meta, spec) = read_meta(object, generation)?;
    match read(&meta.name, Revision::new(generation, meta.revision), spec) {
        Ok(item) => Ok((meta.name, item)),
        Err(error) => Err(UnreadableObject::new(meta, generation, &error)),
    }
}

/// What names an object, and its body.
fn read_meta(object: &RawValue, generation: u64) -> Result<(Metadata, &str), UnreadableObject> {
    let unnamed = |error| UnreadableObject::new(Metadata::default(), generation, &error);
    let object: Object<'_> = serde_json::from_str(object.get()).map_err(unnamed)?;
    let meta = object.metadata.map_or("null", RawValue::get);
    let meta: Metadata = serde_json::from_str(meta).map_err(unnamed)?;
    if meta.name.is_empty() {
        let error = serde::de::Error::missing_field("name");
        return Err(unnamed(error));
    }
    Ok((meta, object.spec.map_or("null", RawValue::get)))
}
