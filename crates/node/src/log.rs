//! Structured logging to standard output.

use std::{
    io::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{Drain, Level, Logger, Record, o};
use slog_async::OverflowStrategy;

/// Maximum number of buffered lines. Further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 512;

/// Creates a logger that writes each event to standard output as one line of key=value pairs.
///
/// Logging never blocks the process: if output stalls, lines are dropped and their number is logged
/// later.
pub fn stdout(level: Level) -> Logger {
    let formatter = slog_logfmt::Logfmt::new(std::io::stdout())
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let filter = slog::LevelFilter::new(formatter, level).fuse();
    let drain = slog_async::Async::new(filter)
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
