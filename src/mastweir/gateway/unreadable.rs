//! Logs objects of the store that a gateway can't read, once per revision.

use super::state::Gateway;
use crate::platform::objects::UnreadableObject;
use mastweir_core::revision::Revision;
use slog::warn;
use std::{cell::RefCell, collections::HashMap};

/// Number of objects whose last unreadable revision is remembered. More of them are counted
/// but not logged, so that a faulty writer can't fill the log.
const REMEMBERED_MAX: usize = 256;

/// The last logged revision of each unreadable object, by name.
#[derive(Debug, Default)]
pub struct UnreadableLog(RefCell<HashMap<String, Revision>>);

impl UnreadableLog {
    /// Counts an unreadable object, and logs it unless that revision was logged before.
    pub fn log(&self, gateway: &Gateway, kind: &'static str, object: &UnreadableObject) {
        gateway.metrics.count("objects_unread_total", kind);
        let UnreadableObject { name, revision, reason } = object;
        let mut reported = self.0.borrow_mut();
        let is_reported = reported.get(name).is_some_and(|known| known == revision);
        if is_reported || (reported.len() >= REMEMBERED_MAX && !reported.contains_key(name)) {
            return;
        }
        reported.insert(name.clone(), *revision);
        warn!(gateway.log, "object not read"; "kind" => kind, "name" => name, "revision" => %revision,
            "error" => reason, "remedy" => "the object is skipped; find out who wrote it");
    }
}
