//! Tests of mastweir, a file a feature.

mod path;
