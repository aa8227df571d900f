//! Measures.

fn main() {}
