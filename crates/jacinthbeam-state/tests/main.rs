//! Tests of the fold, in the same tree as `src/`.

mod apply;
mod load;
mod property;

mod record;
mod session;
mod snapshot;
mod support;
