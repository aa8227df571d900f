//! Command-line flags and environment variables of all commands.
//!
//! Each flag `--some-flag` can be set by the variable `MASTWEIR_SOME_FLAG` instead; the flag
//! takes precedence. Variables are converted to flags before the command line is parsed, so both
//! are checked in the same way and with the same messages.

use argh::FromArgs;
use std::{collections::HashMap, env, net::SocketAddr, process, str::FromStr};

const PREFIX: &str = "MASTWEIR_";
/// Exit code for invalid settings.
pub const EXIT_SETTINGS: i32 = 2;
const EXIT_FAILURE: i32 = 1;
/// Path of standard input, for arguments that name a file.
pub const STDIN: &str = "/dev/stdin";
/// The usual short form of [`STDIN`], which `argh` would reject as an unknown flag.
const STDIN_SHORT: &str = "-";

/// Parses the command line and the environment. Exits the process if they are invalid or ask
/// for help.
pub fn read<T: FromArgs>(name: &str, flags: &[&str]) -> T {
    let expand_stdin =
        |argument: String| if argument == STDIN_SHORT { STDIN.to_owned() } else { argument };
    let arguments: Vec<String> = env::args().skip(1).map(expand_stdin).collect();
    let vars: HashMap<String, String> =
        env::vars().filter(|(name, _)| name.starts_with(PREFIX)).collect();
    let arguments = with_variables(arguments, &vars, flags);
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match T::from_args(&[name], &arguments) {
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

/// Adds each of `flags` whose variable is set and that isn't on the command line. The flags are
/// inserted after the first argument, which is the command, since a subcommand with its own flags
/// may follow.
pub fn with_variables(
    mut arguments: Vec<String>,
    vars: &HashMap<String, String>,
    flags: &[&str],
) -> Vec<String> {
    for flag in flags {
        let Some(value) = vars.get(&variable(flag)) else { continue };
        let long = format!("--{flag}");
        if arguments.contains(&long) {
            continue;
        }
        let position = arguments.len().min(1);
        arguments.splice(position..position, [long, value.clone()]);
    }
    arguments
}

/// Returns the name of the variable that sets a flag.
pub fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

/// Prints an error with its causes in one line and returns the exit code.
pub fn report(name: &str, error: &eyre::Report) -> i32 {
    eprintln!("{name}: {error:#}");
    if error.downcast_ref::<SettingsError>().is_some() { EXIT_SETTINGS } else { EXIT_FAILURE }
}

/// Parses the address that a flag names.
///
/// # Errors
///
/// The text is not an IP address with a port.
pub fn addr(flag: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    let remedy = "give an IP number and a port, as in 10.0.0.1:7100";
    text.parse().map_err(|_| SettingsError::new(flag, text, "is no address", remedy))
}

/// Checks the base URL that a flag names.
///
/// # Errors
///
/// The text is not an HTTP URL with an IP address and a port.
pub fn base_url(flag: &'static str, text: &str) -> Result<String, SettingsError> {
    let rest = text.strip_prefix("http://").unwrap_or_default();
    let host = rest.split('/').next().unwrap_or_default();
    if SocketAddr::from_str(host).is_ok() {
        return Ok(text.to_owned());
    }
    let remedy = "give http:// with an IP number and a port, as in http://10.0.0.1:7000";
    Err(SettingsError::new(flag, text, "is no base address", remedy))
}

/// A flag or variable with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("reading --{flag}: {value:?} {problem}; {remedy} (or set {})", variable(flag))]
pub struct SettingsError {
    /// Name without dashes.
    pub flag: &'static str,
    pub value: String,
    pub problem: &'static str,
    /// What to enter instead.
    pub remedy: &'static str,
}

impl SettingsError {
    /// Creates an error for a flag's value.
    pub fn new(
        flag: &'static str,
        value: &str,
        problem: &'static str,
        remedy: &'static str,
    ) -> Self {
        Self { flag, value: value.to_owned(), problem, remedy }
    }
}
