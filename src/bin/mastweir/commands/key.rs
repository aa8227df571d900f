//! `mastweir key`: prints the hash of a key.

use super::EXIT_DONE;
use argh::FromArgs;
use mastweir::util::settings::STDIN;
use mastweir_core::table::hash_key;
use std::io;

/// Print the hash of a key, which rows and settings hold instead of the key.
#[derive(FromArgs)]
#[argh(subcommand, name = "key", example = "echo -n KEY | mastweir key hash -")]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Hash(HashArgs),
}

/// Print the hash of a key.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
struct HashArgs {
    /// the key, or - to read it from standard input
    #[argh(positional)]
    key: String,
}

/// Runs `mastweir key`, and returns its exit code.
pub fn exec(args: &Args) -> eyre::Result<i32> {
    let Command::Hash(args) = &args.command;
    let key = if args.key == STDIN {
        io::read_to_string(io::stdin())?.trim_end_matches('\n').to_owned()
    } else {
        args.key.clone()
    };
    println!("{}", hash_key(&key));
    Ok(EXIT_DONE)
}
