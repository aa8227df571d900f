//! Settings from flags and environment variables.
//!
//! Each flag `--some-flag` may be given as `MASTWEIR_SOME_FLAG` instead; a flag
//! beats its variable. Variables are turned into flags before the command line
//! is read, so both are checked in the same way and by the same messages.

use argh::FromArgs;
use std::{collections::HashMap, env, net::SocketAddr, process, str::FromStr};

const PREFIX: &str = "MASTWEIR_";
/// Exit code for settings that can't be.
pub const EXIT_SETTINGS: i32 = 2;
const EXIT_FAILURE: i32 = 1;
/// What stands for standard input in an argument that names a file.
pub const STDIN: &str = "/dev/stdin";
/// What people write for it. `argh` takes it for a flag that it does not know.
const STDIN_SHORT: &str = "-";

/// Reads the process's command line and environment; ends it if they are bad.
pub fn read<T: FromArgs>(name: &str, flags: &[&str]) -> T {
    let stdin = |word: String| if word == STDIN_SHORT { STDIN.to_owned() } else { word };
    let words: Vec<String> = env::args().skip(1).map(stdin).collect();
    let vars: HashMap<String, String> =
        env::vars().filter(|(name, _)| name.starts_with(PREFIX)).collect();
    let words = with_variables(words, &vars, flags);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match T::from_args(&[name], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            print!("{}", exit.output);
            process::exit(0);
        }
        Err(exit) => {
            eprint!("{name}: {}", exit.output);
            eprintln!("see '{name} --help'");
            process::exit(EXIT_SETTINGS);
        }
    }
}

/// Adds a flag for each variable whose flag is among `flags` and not given.
/// They go behind the first word, the command: what follows may be a command of
/// that one, with flags of its own.
pub fn with_variables(
    mut words: Vec<String>,
    vars: &HashMap<String, String>,
    flags: &[&str],
) -> Vec<String> {
    for flag in flags {
        let Some(value) = vars.get(&variable(flag)) else { continue };
        let long = format!("--{flag}");
        if words.contains(&long) {
            continue;
        }
        let behind = words.len().min(1);
        words.splice(behind..behind, [long, value.clone()]);
    }
    words
}

/// Name of the variable that stands for a flag.
pub fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

/// Prints an error with its causes in one line, and gives the exit code.
pub fn report(name: &str, error: &eyre::Report) -> i32 {
    eprintln!("{name}: {error:#}");
    if error.downcast_ref::<SettingsError>().is_some() { EXIT_SETTINGS } else { EXIT_FAILURE }
}

/// An address.
///
/// # Errors
///
/// The text is none.
pub fn addr(flag: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    let remedy = "give an IP number and a port, as in 10.0.0.1:7100";
    text.parse().map_err(|_| SettingsError::new(flag, text, "is no address", remedy))
}

/// A base address for HTTP.
///
/// # Errors
///
/// The text is none.
pub fn base_url(flag: &'static str, text: &str) -> Result<String, SettingsError> {
    let rest = text.strip_prefix("http://").unwrap_or_default();
    let host = rest.split('/').next().unwrap_or_default();
    if SocketAddr::from_str(host).is_ok() {
        return Ok(text.to_owned());
    }
    let remedy = "give http:// with an IP number and a port, as in http://10.0.0.1:7000";
    Err(SettingsError::new(flag, text, "is no base address", remedy))
}

/// A setting that can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("reading --{flag}: {value:?} {problem}; {remedy} (or set {})", variable(flag))]
pub struct SettingsError {
    /// The flag, without dashes.
    pub flag: &'static str,
    /// What was given.
    pub value: String,
    /// What is wrong.
    pub problem: &'static str,
    /// What to give instead.
    pub remedy: &'static str,
}

impl SettingsError {
    /// An error for a flag's value.
    pub fn new(
        flag: &'static str,
        value: &str,
        problem: &'static str,
        remedy: &'static str,
    ) -> Self {
        Self { flag, value: value.to_owned(), problem, remedy }
    }
}
