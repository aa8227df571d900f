//! `mastweir check`: validates a CSV file of customers without connecting to anything.

use super::{EXIT_DONE, table::read_input};
use argh::FromArgs;
use mastweir_core::table::customers_from_csv;

/// Check a sheet of customers without connecting to anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "check", example = "mastweir check customers.csv")]
pub struct Args {
    /// the sheet, or - for standard input
    #[argh(positional)]
    sheet: String,
}

/// Runs `mastweir check`, and returns its exit code.
pub fn exec(args: &Args) -> eyre::Result<i32> {
    let text = read_input(&args.sheet)?;
    let lines = mastweir::ops::table::parse_csv(&text)?;
    let customers = customers_from_csv(&lines)?;
    println!("{} rows, all good", customers.len());
    Ok(EXIT_DONE)
}
