//! Analysis of the logs of gateways and sidecars, for `mastweir explain` and
//! `mastweir report`: the trace of one request, and a summary of how requests ended.
//!
//! Both read only log lines in JSON, from any number of processes and in any order of files.
//! A line may be prefixed with a time in seconds and a process name. Lines that can't be
//! parsed are counted and skipped.

mod line;
mod plot;
mod report;
mod trace;

pub use plot::{PlotOptions, plot};
pub use report::{Report, ReportOptions, Second, report};
pub use trace::{RequestTrace, TraceOptions, TraceStep, trace};

use eyre::WrapErr;
use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

/// Calls `each` with every line of the files. Reads standard input for the path `-`, and if
/// there are no files.
pub(crate) fn read_lines(files: &[PathBuf], mut each: impl FnMut(&str)) -> eyre::Result<()> {
    if files.is_empty() {
        return read_from(io::stdin().lock(), &mut each).wrap_err("reading standard input");
    }
    for path in files {
        if path == Path::new("-") {
            read_from(io::stdin().lock(), &mut each).wrap_err("reading standard input")?;
            continue;
        }
        let file = File::open(path).wrap_err_with(|| {
            format!("opening {}; check that the file is there and readable", path.display())
        })?;
        read_from(BufReader::new(file), &mut each)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
    }
    Ok(())
}

fn read_from(mut reader: impl BufRead, each: &mut impl FnMut(&str)) -> io::Result<()> {
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        each(String::from_utf8_lossy(&bytes).trim_end());
        bytes.clear();
    }
    Ok(())
}
