//! Requests that a companion has begun, finished or tombstoned.
//!
//! A [`Ledger`] belongs to one incarnation of a companion and lives in memory only. It makes two
//! statements true: a request id runs at most once, and "not run" is said only about a request
//! that has not begun and never will.

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

/// Time for which a finished request is remembered, in milliseconds.
pub const FINISHED_TTL_MS: u64 = 60_000;

/// Time for which a finished request with an idempotency key is remembered, in milliseconds.
pub const KEYED_TTL_MS: u64 = 600_000;

/// Time for which a tombstone is remembered, in milliseconds.
pub const TOMBSTONE_TTL_MS: u64 = 600_000;

/// Largest response that is kept for replay, in bytes of headers and body.
pub const RESPONSE_BYTES_MAX: usize = 65_536;

/// Bytes of all responses kept for replay. With this limit and those on records, the ledger stays
/// within a quarter of the companion's memory target of 256 MB.
pub const RESPONSES_BYTES_MAX: usize = 32 << 20;

/// Finished requests remembered at once: one minute of 4,000 requests per second.
pub const FINISHED_MAX: usize = 1 << 18;

/// Tombstones remembered at once. One that is forgotten early could let its request run, so at
/// this limit a new one is answered "unknown" instead.
pub const TOMBSTONES_MAX: usize = 1 << 16;

/// Entry incarnations of which a horizon is kept before expired ones are dropped.
pub const WATERMARKS_MAX: usize = 1 << 12;

/// Time for which the horizon of an entry's incarnation is kept after its last change, in
/// milliseconds. Claims of idempotency keys last as long, so nobody asks for an older request.
pub const WATERMARK_TTL_MS: u64 = 86_400_000;
