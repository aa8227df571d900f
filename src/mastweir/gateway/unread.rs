//! Objects that could not be read: each is told once a revision.

use crate::{platform::objects::Unread, util::tally::Tally};
use slog::{Logger, warn};
use std::collections::HashMap;

/// Objects whose last unreadable revision is remembered. Beyond it they are only counted:
/// another writer must not fill the log.
const NOTED_MAX: usize = 256;

/// Which of them were told.
#[derive(Debug, Default)]
pub struct Noted(HashMap<String, u64>);

impl Noted {
    /// Counts one, and says so unless that revision of it was told.
    pub fn note(&mut self, kind: &'static str, unread: &Unread, log: &Logger, tally: &Tally) {
        tally.count("objects_unread_total", kind);
        let Unread { name, revision, reason } = unread;
        let is_known = self.0.get(name).is_some_and(|told| told == revision);
        if is_known || (self.0.len() >= NOTED_MAX && !self.0.contains_key(name)) {
            return;
        }
        self.0.insert(name.clone(), *revision);
        warn!(log, "object not read"; "kind" => kind, "name" => name, "revision" => revision,
            "error" => reason, "remedy" => "it is passed over; see who wrote it");
    }
}
