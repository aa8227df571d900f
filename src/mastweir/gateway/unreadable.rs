//! Objects that could not be read: each is told once a revision.

use super::state::Gateway;
use crate::platform::objects::UnreadableObject;
use mastweir_core::revision::Revision;
use slog::warn;
use std::{cell::RefCell, collections::HashMap};

/// Objects whose last unreadable revision is remembered. Beyond it they are only counted:
/// another writer must not fill the log.
const REMEMBERED_MAX: usize = 256;

/// Which of them were told.
#[derive(Debug, Default)]
pub struct UnreadableLog(RefCell<HashMap<String, Revision>>);

impl UnreadableLog {
    /// Counts one, and says so unless that revision of it was told.
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
            "error" => reason, "remedy" => "it is passed over; see who wrote it");
    }
}
