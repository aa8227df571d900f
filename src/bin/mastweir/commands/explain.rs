//! `mastweir explain`: explains a request by logs, or by the decisions that entry instances have
//! recorded.

use super::{EXIT_DONE, print_json};
use argh::FromArgs;
use mastweir::ops::{
    explain::{ExplainOptions, explain},
    logs::{TraceOptions, trace},
};
use std::path::PathBuf;

/// Explain why a request ended as it did, from logs, or, with --entry, why an entry sent it
/// where it went or a group's map changed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "mastweir explain 9c41d07be2a35f68 logs/*.jsonl\nmastweir explain --entry \
               http://127.0.0.1:8080 --operator-key operator group g1"
)]
pub struct Args {
    /// id of a request, or the fingerprint that its attempts share, then log files: none, or
    /// '-', for standard input; with --entry, the request's id, or 'group NAME'
    #[argh(positional)]
    subject: Vec<String>,
    /// base address of an entry; once for each
    #[argh(option)]
    entry: Vec<String>,
    /// the operators' key
    #[argh(option)]
    operator_key: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs `mastweir explain`, and returns its exit code.
pub async fn exec(args: &Args) -> eyre::Result<i32> {
    if args.entry.is_empty() { from_logs(args) } else { from_entries(args).await }
}

fn from_logs(args: &Args) -> eyre::Result<i32> {
    let Some((id, files)) = args.subject.split_first() else {
        eyre::bail!("no request's id; give one, and the log files of the gateways");
    };
    let files: Vec<PathBuf> = files.iter().map(PathBuf::from).collect();
    let trace = trace(TraceOptions { id, files: &files })?;
    if args.json {
        print_json(&trace)?;
        return Ok(EXIT_DONE);
    }
    for step in &trace.steps {
        println!("{:>10.3} {} {}: {}", step.at_s, step.instance, step.what, step.details);
    }
    println!("{}", trace.cause);
    Ok(EXIT_DONE)
}

async fn from_entries(args: &Args) -> eyre::Result<i32> {
    let subject = args.subject.join(" ");
    let Some(operator_key) = args.operator_key.as_deref() else {
        eyre::bail!("--entry needs --operator-key; give the operators' key");
    };
    let options = ExplainOptions { entries: &args.entry, operator_key, subject: &subject };
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
