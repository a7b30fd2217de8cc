//! Tests of what lives as long as a connection.

mod silence;
