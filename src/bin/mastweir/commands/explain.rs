//! `mastweir explain`.

use super::{EXIT_DONE, print_json};
use argh::FromArgs;
use mastweir::ops::explain::{ExplainOptions, explain};

/// Explain why a request went where it went, or why a group's map changed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "mastweir explain entry-1-00f3a2\nmastweir explain group g1"
)]
pub struct Args {
    /// id of a request from its x-request-id header, or 'group NAME'
    #[argh(positional)]
    subject: Vec<String>,
    /// base address of an entry; once for each
    #[argh(option)]
    entry: Vec<String>,
    /// the operators' key
    #[argh(option)]
    operator_key: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs it.
pub async fn exec(args: &Args) -> eyre::Result<i32> {
    let subject = args.subject.join(" ");
    let options = ExplainOptions {
        entries: &args.entry,
        operator_key: &args.operator_key,
        subject: &subject,
    };
    let decisions = explain(&options).await?;
    if args.json {
        print_json(&decisions)?;
        return Ok(EXIT_DONE);
    }
    for decision in decisions {
        println!("{}: {}", decision.what, decision.why);
    }
    Ok(EXIT_DONE)
}
