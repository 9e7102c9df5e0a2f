//! Request ledger of a companion: which requests it has begun, finished or tombstoned.
//!
//! A [`Ledger`] belongs to one incarnation of a companion and is kept in memory only. It ensures
//! that a request id runs at most once, and that "not run" is reported only for a request that has
//! not begun and never will.

mod decision;
mod outcome;
mod record;
mod request;
mod response;
mod table;
mod watermark;

pub use decision::Decision;
pub use outcome::Outcome;
pub use request::Request;
pub use response::Response;
pub use table::Ledger;

/// Retention of a finished request, in milliseconds.
pub const FINISHED_TTL_MS: u64 = 60_000;

/// Retention of a finished request with an idempotency key, in milliseconds.
pub const KEYED_TTL_MS: u64 = 600_000;

/// Retention of a tombstone, in milliseconds.
pub const TOMBSTONE_TTL_MS: u64 = 600_000;

/// Largest response that is retained for replay, in bytes of headers and body.
pub const RESPONSE_BYTES_MAX: usize = 65_536;

/// Limit on the total size of responses retained for replay, in bytes. Together with the limits on
/// records, it keeps the ledger within a quarter of the companion's memory target of 256 MB.
pub const RESPONSES_BYTES_MAX: usize = 32 << 20;

/// Maximum number of retained finished requests: one minute at 4,000 requests per second.
pub const FINISHED_MAX: usize = 1 << 18;

/// Maximum number of retained tombstones. At this limit, a new one is answered with "unknown": if
/// an old one was evicted instead, its request could still run.
pub const TOMBSTONES_MAX: usize = 1 << 16;

/// Number of watermarks at which expired ones are removed. There is one for each entry incarnation.
pub const WATERMARKS_MAX: usize = 1 << 12;

/// Retention of an entry incarnation's watermark after its last change, in milliseconds. Claims of
/// idempotency keys last as long, so no entry asks about an older request.
pub const WATERMARK_TTL_MS: u64 = 86_400_000;
