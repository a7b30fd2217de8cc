//! Tests of what lives as long as a request.

mod retry;
