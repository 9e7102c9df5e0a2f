//! Logging to standard error.

use std::{
    io::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{Drain, Level, Logger, Record, o};

/// Returns a logger that writes one line of `key=value` pairs per event to standard error.
///
/// Each line starts with the event name, the wall-clock time in milliseconds and the level, so that
/// the lines of all processes can be merged into one timeline.
pub fn stderr(level: Level) -> Logger {
    let formatter = slog_logfmt::Logfmt::new(std::io::stderr())
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let filter = slog::LevelFilter::new(formatter, level).fuse();
    let drain = slog_async::Async::new(filter).build().fuse();
    Logger::root(drain, o!())
}

fn write_prefix(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = since_epoch.map_or(0, |time| time.as_millis());
    let level = record.level().as_str().to_lowercase();
    write!(
        line,
        "event={} unix_ms={unix_ms} level={level} ",
        record.msg()
    )?;
    Ok(())
}
