//! Decoding of lists and watches of the platform's store, in gateways and sidecars.
//!
//! Each object is decoded separately: a malformed object becomes an [`UnreadableObject`] and
//! doesn't affect the others. Decoding fails only if the enclosing list or watch is malformed.
//!
//! Revisions count within one generation of the store. The answer's headers name the
//! generation, so callers pass it in.

use mastweir_core::revision::Revision;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Characters of an error message to keep. The message may quote any part of the object.
const REASON_CHARS_MAX: usize = 200;

/// An object that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableObject {
    /// Empty if the name can't be decoded either.
    pub name: String,
    /// Revision of the last change; its number is 0 if it can't be decoded.
    pub revision: Revision,
    /// The decoder's error message, shortened.
    pub reason: String,
}

impl UnreadableObject {
    fn new(meta: Metadata, generation: u64, error: &serde_json::Error) -> Self {
        let Metadata { name, revision } = meta;
        let revision = Revision::new(generation, revision);
        Self { name, revision, reason: error.to_string().chars().take(REASON_CHARS_MAX).collect() }
    }
}

/// All objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList<T> {
    pub items: Vec<T>,
    pub unreadable: Vec<UnreadableObject>,
    /// Revision of the store from which a watch continues the list.
    pub revision: Revision,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<T> {
    /// The object was created or changed.
    Updated(T),
    /// Name of the deleted object.
    Deleted(String),
    /// The object's new content, or the event itself, can't be decoded.
    Unreadable(UnreadableObject),
}

/// Changes of the objects of a kind, up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes<T> {
    /// The changes in the order in which they were made.
    pub changes: Vec<Change<T>>,
    /// Revision from which to continue the watch.
    pub revision: Revision,
}

/// Decodes an object's `spec`, given the object's name and the revision of its last change.
pub type ReadSpec<T> = fn(&str, Revision, &str) -> serde_json::Result<T>;

/// The part of an object's metadata that is used.
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
    /// Despite the name, a revision of the store.
    timestamp: u64,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// Despite the name, a revision of the store.
    timestamp: u64,
}

#[derive(Debug, Deserialize)]
struct WatchEvent<'a> {
    #[serde(default)]
    deleted: bool,
    #[serde(borrow)]
    object: &'a RawValue,
}

/// One page of a list.
#[derive(Debug)]
pub struct DecodedPage<T> {
    pub listed: ObjectList<T>,
    /// Name of the object after which the next page begins; `None` on the last page.
    pub next: Option<String>,
}

/// Decodes a page of a list.
///
/// # Errors
///
/// The enclosing JSON object is malformed.
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

/// Decodes the answer to a watch.
///
/// # Errors
///
/// The enclosing JSON object is malformed.
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

/// Decodes a single object.
///
/// # Errors
///
/// The body is not JSON.
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

/// Returns an object's metadata and its undecoded `spec`.
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
