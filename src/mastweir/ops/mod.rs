//! What operators do, one operation a module, each with its `…Options`.

pub mod daemon;
