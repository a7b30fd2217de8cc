//! What lives for one request: its message, its body on the way out and on the way in.

pub(crate) mod receive;
pub(crate) mod send;
pub(crate) mod wire;
