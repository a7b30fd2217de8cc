//! Logs of the programs, by `simplelog`, on standard error.

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging at a level. A second call has no effect.
pub fn start(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("jacinthbeam")
        .build();
    // Only the first logger of a process counts; tests start more than one program in it.
    let _ = TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never);
}
