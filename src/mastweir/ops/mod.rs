//! Operations behind the command line programs: running the daemons, editing the table, and
//! querying entry instances and logs. Each operation takes its settings as an options struct.

pub mod daemon;
pub mod drain;
pub mod explain;
pub mod gateway;
pub mod logs;
pub mod quarantine;
pub mod status;
pub mod table;

mod entry_client;
mod settings_file;

pub use entry_client::EntryClient;
