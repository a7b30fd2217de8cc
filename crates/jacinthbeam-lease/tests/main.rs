//! Tests of the ownership protocol.

mod attendant;
mod property;
mod support;
