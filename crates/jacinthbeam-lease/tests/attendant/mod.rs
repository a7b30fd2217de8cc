//! The attendant of a backend server.

mod answer;
mod session;
