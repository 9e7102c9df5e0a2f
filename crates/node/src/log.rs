//! The log.

use std::{
    io::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{Drain, Level, Logger, Record, o};
use slog_async::OverflowStrategy;

/// Lines that wait to be written; what exceeds them is dropped and counted.
const QUEUE_CAPACITY: usize = 512;

/// Returns a log that writes one line of key=value pairs for each event to standard output.
///
/// A process that can't write goes on: lines are dropped, and their number is logged later.
pub fn stdout(level: Level) -> Logger {
    let lines = slog_logfmt::Logfmt::new(std::io::stdout())
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let lines = slog::LevelFilter::new(lines, level).fuse();
    let drain = slog_async::Async::new(lines)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
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
