mod ask;
mod forward;
