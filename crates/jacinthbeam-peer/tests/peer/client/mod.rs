mod ask;
mod forward;
mod silence;
mod unreachable;
