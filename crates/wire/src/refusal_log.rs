//! Counters and bounded log lines about refused callers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use metrics::counter;
use slog::{Logger, info};
use tokio::time::{Duration, Instant};

/// Time for which a kind has no other line in the log.
const WINDOW: Duration = Duration::from_secs(60);

/// Counts the refused callers of a listener, and logs one line for each kind in a [`WINDOW`]. Clones
/// share the windows.
#[derive(Debug, Clone)]
pub struct RefusalLog {
    listener: &'static str,
    log: Option<Logger>,
    windows: Arc<Mutex<HashMap<&'static str, Window>>>,
}

/// Lines of one kind.
#[derive(Debug)]
struct Window {
    ends_at: Instant,
    /// Number of refusals without a line since the last one.
    suppressed: u64,
}

impl RefusalLog {
    /// Creates the log of a listener. Without a logger, refused callers are only counted.
    #[must_use]
    pub fn new(listener: &'static str, log: Option<Logger>) -> Self {
        Self {
            listener,
            log,
            windows: Arc::default(),
        }
    }

    /// Records a refused caller.
    pub fn record(&self, kind: &'static str) {
        counter!("toucanquay_callers_refused_total", "listener" => self.listener, "kind" => kind)
            .increment(1);
        let now = Instant::now();
        let mut windows = self
            .windows
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it");
        let window = windows.entry(kind).or_insert(Window {
            ends_at: now,
            suppressed: 0,
        });
        if now < window.ends_at {
            window.suppressed += 1;
            return;
        }
        window.ends_at = now + WINDOW;
        let suppressed = std::mem::take(&mut window.suppressed);
        if let Some(log) = &self.log {
            info!(log, "caller_refused"; "listener" => self.listener, "kind" => kind,
                "suppressed" => suppressed);
        }
    }
}
