//! When to move an expert, and where to.
