//! Why a request went where it went, or a group's map changed.

use super::EntryClient;
use crate::entry::Decision;

/// What to explain.
#[derive(Clone, Copy, Debug)]
pub struct ExplainOptions<'a> {
    /// Base addresses of entries.
    pub entries: &'a [String],
    /// The operators' key.
    pub operator_key: &'a str,
    /// Id of a request, or `group NAME`.
    pub subject: &'a str,
}

/// Decisions on the subject, from all entries that answer.
///
/// # Errors
///
/// No entry knows of the subject, or none answers.
pub async fn explain(options: &ExplainOptions<'_>) -> eyre::Result<Vec<Decision>> {
    let client = EntryClient::new(options.entries, options.operator_key)?;
    let mut decisions = Vec::new();
    let mut silent = 0;
    for entry in client.entries() {
        match client.explain(entry, options.subject).await {
            Ok(found) => decisions.extend(found),
            Err(_) => silent += 1,
        }
    }
    let subject = options.subject;
    eyre::ensure!(
        !decisions.is_empty(),
        "explaining {subject}: none of the entries knows it ({silent} did not answer); an entry \
         keeps its last 4096 decisions, older ones are in its log"
    );
    Ok(decisions)
}
