//! `mastweir table`: reads and edits the rows of the table, one at a time or as CSV.

use super::{EXIT_DONE, EXIT_PARTIAL, print_json, table_options};
use argh::FromArgs;
use eyre::WrapErr;
use mastweir::{
    ops::{
        EntryClient,
        table::{self, Accepted, TableOptions},
    },
    util::settings::STDIN,
};
use mastweir_core::table::{Row, RowKey};
use std::{fs, io, str::FromStr, time::Duration};

/// Read and write the table.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "table",
    example = "mastweir table --platform http://10.0.0.1:7000 set quaystep weight=3 inflight=40\n\
               mastweir table export > customers.csv\n\
               mastweir table import - < customers.csv"
)]
pub struct Args {
    /// base address of the object API
    #[argh(option, default = "String::new()")]
    platform: String,
    /// bearer token for the object API
    #[argh(option, default = "String::new()")]
    token: String,
    /// your name, for other operators
    #[argh(option, default = "String::from(\"operator\")")]
    operator: String,
    /// base address of an entry, for 'wait'; once for each
    #[argh(option)]
    entry: Vec<String>,
    /// the operators' key, for 'wait'
    #[argh(option, default = "String::new()")]
    operator_key: String,
    /// only say what would be done
    #[argh(switch)]
    dry_run: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(ListArgs),
    Get(GetArgs),
    Set(SetArgs),
    Add(AddArgs),
    Remove(RemoveArgs),
    Import(ImportArgs),
    Export(ExportArgs),
    Diff(DiffArgs),
    Wait(WaitArgs),
}

/// List all rows as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Show one row as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArgs {
    /// the row, as in customer.quaystep
    #[argh(positional)]
    key: String,
}

/// Change columns of a customer's row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct SetArgs {
    /// name of the customer
    #[argh(positional)]
    customer: String,
    /// what to change, as in weight=3
    #[argh(positional)]
    assignments: Vec<String>,
}

/// Add a row from JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// name of the row, as in quaystep
    #[argh(positional)]
    name: String,
    /// file with the row, or - for standard input
    #[argh(positional)]
    file: String,
}

/// Remove a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// the row, as in customer.quaystep
    #[argh(positional)]
    key: String,
}

/// Write a sheet of customers; rows that are not in it stay.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
struct ImportArgs {
    /// the sheet as CSV, or - for standard input
    #[argh(positional)]
    sheet: String,
}

/// Print all customers as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct ExportArgs {}

/// Print what importing a sheet would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffArgs {
    /// the sheet as CSV, or - for standard input
    #[argh(positional)]
    sheet: String,
}

/// Wait until a version is in force at all entries that answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct WaitArgs {
    /// the version, as the writing command printed it
    #[argh(positional)]
    version: u64,
    /// seconds to wait (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Runs `mastweir table`, and returns its exit code.
pub async fn exec(args: &Args) -> eyre::Result<i32> {
    let options = table_options(&args.platform, &args.token, &args.operator, args.dry_run);
    match &args.command {
        Command::List(_) => print_json(&table::list(&options).await?)?,
        Command::Get(get) => {
            print_json(&table::get(&options, &RowKey::from_str(&get.key)?).await?)?;
        }
        Command::Set(set) => {
            print_accepted(&table::set(&options, &set.customer, &set.assignments).await?);
        }
        Command::Add(add) => add_row(&options, add).await?,
        Command::Remove(remove) => {
            let key = RowKey::from_str(&remove.key)?;
            print_accepted(&table::delete_row(&options, &key).await?);
        }
        Command::Import(import) => {
            let text = read_input(&import.sheet)?;
            print_all(&table::import(&options, &text).await?);
        }
        Command::Export(_) => print!("{}", table::export(&options).await?),
        Command::Diff(diff) => {
            let text = read_input(&diff.sheet)?;
            let options = TableOptions { dry_run: true, ..options };
            print_all(&table::import(&options, &text).await?);
        }
        Command::Wait(wait) => return wait_for_rollout(args, wait).await,
    }
    Ok(EXIT_DONE)
}

/// Reads a file, or standard input for `-`.
pub fn read_input(file: &str) -> eyre::Result<String> {
    if file == STDIN {
        return Ok(io::read_to_string(io::stdin())?);
    }
    fs::read_to_string(file).wrap_err_with(|| format!("reading {file}"))
}

async fn add_row(options: &TableOptions<'_>, add: &AddArgs) -> eyre::Result<()> {
    let text = read_input(&add.file)?;
    let row: Row = serde_json::from_str(&text)
        .wrap_err("reading the row: give JSON such as 'mastweir table get' prints under 'row'")?;
    print_accepted(&table::write_row(options, &add.name, &row, None).await?);
    Ok(())
}

async fn wait_for_rollout(args: &Args, wait: &WaitArgs) -> eyre::Result<i32> {
    let client = EntryClient::new(&args.entry, &args.operator_key)?;
    let limit = Duration::from_secs(wait.seconds);
    let rollout = table::wait(&client, wait.version, limit).await?;
    print_json(&rollout)?;
    let is_complete = rollout.behind.is_empty() && rollout.unreachable.is_empty();
    Ok(if is_complete { EXIT_DONE } else { EXIT_PARTIAL })
}

fn print_all(accepted: &[Accepted]) {
    accepted.iter().for_each(print_accepted);
    println!("{} rows differ", accepted.len());
}

fn print_accepted(accepted: &Accepted) {
    let changes = accepted.changes.join(", ");
    match accepted.version {
        0 => println!("{}: would change: {changes}", accepted.key),
        version => println!("{}: accepted at version {version}: {changes}", accepted.key),
    }
}
