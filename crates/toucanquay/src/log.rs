//! The program's log.

use slog::{Drain, Logger, o};

/// Returns a logger that writes one key=value line an event to standard error.
pub fn stderr(level: slog::Level) -> Logger {
    let lines = slog_logfmt::Logfmt::new(std::io::stderr()).build().fuse();
    let lines = slog::LevelFilter::new(lines, level).fuse();
    let drain = slog_async::Async::new(lines).build().fuse();
    Logger::root(drain, o!())
}
