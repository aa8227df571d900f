//! `mastweir status`: prints the state of the fleet as each entry instance sees it.

use super::{EXIT_DONE, EXIT_PARTIAL, print_json};
use argh::FromArgs;
use mastweir::{
    entry::EntryStatus,
    ops::status::{StatusOptions, status},
};

/// Show entries, servers, shares and groups as the entries see them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status", example = "mastweir status --entry http://10.0.0.1:8080")]
pub struct Args {
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

/// Runs `mastweir status`, and returns its exit code.
pub async fn exec(args: &Args) -> eyre::Result<i32> {
    let options = StatusOptions { entries: &args.entry, operator_key: &args.operator_key };
    let fleet = status(&options).await?;
    if args.json {
        print_json(&fleet)?;
    } else {
        fleet.entries.iter().for_each(print_entry);
        for entry in &fleet.unreachable {
            eprintln!("{}: {}", entry.entry, entry.error);
        }
    }
    Ok(if fleet.unreachable.is_empty() { EXIT_DONE } else { EXIT_PARTIAL })
}

fn print_entry(entry: &EntryStatus) {
    let state = if entry.ready { "ready" } else { "not ready" };
    println!("entry {} in {}: {state}, table at version {}", entry.name, entry.hall, entry.table);
    for server in &entry.servers {
        let state = match (server.leaving, server.ejected, server.reported) {
            (true, _, _) => "leaving",
            (_, true, _) => "ejected",
            (_, _, false) => "silent",
            _ => "open",
        };
        println!(
            "  server {:16} {:12} {state:8} {:3} run {:3} wait  skew {:.2}",
            server.name,
            server.service,
            server.running,
            server.waiting,
            f64::from(server.skew) / 1e3
        );
    }
    for share in &entry.shares {
        println!(
            "  customer {:16} promised {:5.1}%  asks {} units/s fleet-wide, {:.0}% is let in",
            share.customer,
            share.promised_pct,
            share.fleet_rate,
            share.chance * 100.0
        );
    }
    for group in &entry.groups {
        println!("  group {} map {} {}", group.name, group.map, group.progress);
    }
}
