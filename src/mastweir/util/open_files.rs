//! Limit of the files that the process may have open, of which each connection takes one.

use rustix::{
    io,
    process::{Resource, getrlimit, setrlimit},
};

/// Raises the limit as far as the process may, and returns it. `None` stands for no limit.
///
/// # Errors
///
/// The operating system refuses; the limit is as before.
pub fn raise_limit() -> io::Result<Option<u64>> {
    let mut limit = getrlimit(Resource::Nofile);
    if limit.current != limit.maximum {
        limit.current = limit.maximum;
        setrlimit(Resource::Nofile, limit)?;
    }
    Ok(limit.current)
}

/// Returns the limit of the files that the process may have open; `None` if there is none.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}
