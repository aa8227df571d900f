//! Explains a request's route or a change of a group's expert map by the decisions that entry
//! instances have recorded.

use super::EntryClient;
use crate::entry::Decision;

#[derive(Clone, Copy, Debug)]
pub struct ExplainOptions<'a> {
    /// Base addresses of entry instances.
    pub entries: &'a [String],
    /// The operators' key.
    pub operator_key: &'a str,
    /// Request id, or `group NAME`.
    pub subject: &'a str,
}

/// Returns the decisions on the subject from all entry instances that answer.
///
/// # Errors
///
/// No entry instance that answers has a decision on the subject.
pub async fn explain(options: &ExplainOptions<'_>) -> eyre::Result<Vec<Decision>> {
    let client = EntryClient::new(options.entries, options.operator_key)?;
    let mut decisions = Vec::new();
    let mut unreachable = 0;
    for entry in client.entries() {
        match client.explain(entry, options.subject).await {
            Ok(found) => decisions.extend(found),
            Err(_) => unreachable += 1,
        }
    }
    let subject = options.subject;
    eyre::ensure!(
        !decisions.is_empty(),
        "explaining {subject}: none of the entries knows it ({unreachable} did not answer); an \
         entry keeps its last 4096 decisions, older ones are in its log"
    );
    Ok(decisions)
}
