//! Operators who publish from their folders.

mod publish {
    mod adopt;
    mod operator;
    mod race;
    mod session;
    mod synced;
}
