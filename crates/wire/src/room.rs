//! Room for frames that aren't whole.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::time::Duration;

use crate::{PeerLimits, RefusalLog};

/// Size up to which a frame is taken beyond the limit, in bytes, up to twice the limit in all, so
/// that large frames don't keep small ones out.
const SMALL_BYTES: usize = 16_384;

/// Bytes of frames that aren't whole, over all streams of a listener.
#[derive(Debug, Clone)]
pub(crate) struct Room {
    used: Arc<AtomicUsize>,
    limits: PeerLimits,
    refusals: RefusalLog,
}

/// What one stream takes of the [`Room`]. It is given back when the value is dropped.
#[derive(Debug)]
pub(crate) struct Part {
    room: Room,
    bytes: usize,
}

impl Room {
    pub(crate) fn new(limits: PeerLimits, refusals: RefusalLog) -> Self {
        Self {
            used: Arc::new(AtomicUsize::new(0)),
            limits,
            refusals,
        }
    }

    /// Returns a part that takes nothing yet.
    pub(crate) fn part(&self) -> Part {
        Part {
            room: self.clone(),
            bytes: 0,
        }
    }
}

impl Part {
    /// Time within which the first part of a frame or the next one must come.
    pub(crate) const fn timeout(&self) -> Duration {
        self.room.limits.timeout
    }

    /// Records that the stream is refused.
    pub(crate) fn refuse(&self, kind: &'static str) {
        self.room.refusals.record(kind);
    }

    /// Changes what the stream takes. Returns whether there is room for it.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let used = &self.room.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let growth = bytes - self.bytes;
        let total = used.fetch_add(growth, Ordering::Relaxed) + growth;
        self.bytes = bytes;
        let max = self.room.limits.frame_bytes;
        total <= max || (bytes <= SMALL_BYTES && total <= max.saturating_mul(2))
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.room.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
