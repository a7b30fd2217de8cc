//! Tests of placement, in the tree of `src`.

mod accept;
mod convert;
mod evict;
mod found;
mod hot;
mod join;
mod progress;
mod property;
mod rebalance;
mod support;
