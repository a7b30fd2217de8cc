//! What lives as long as one request.

pub mod answer;
pub mod body;
pub mod call;
pub mod entered;
pub mod run;
pub mod serve;
