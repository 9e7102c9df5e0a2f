//! Client for the platform's key-value service with a call budget, backoff and a circuit breaker.
//!
//! [`Client`] makes calls and opens a [`Watch`]. [`Throttle`], which combines a [`TokenBucket`]
//! with a [`CircuitBreaker`], and [`Backoff`] decide when a call may be sent. They do no I/O and
//! take the current time as an argument. `docs/platform.md` describes the protocol.

pub mod backoff;
pub mod builder;
pub mod change;
pub mod circuit_breaker;
pub mod client;
pub mod delete_outcome;
pub mod event;
pub mod expected;
pub mod item;
pub mod lease;
pub mod put_outcome;
pub mod range;
pub mod stamp;
pub mod throttle;
pub mod token_bucket;
pub mod watch;

pub use backoff::Backoff;
pub use builder::Builder;
pub use change::Change;
pub use circuit_breaker::CircuitBreaker;
pub use client::Client;
pub use delete_outcome::DeleteOutcome;
pub use event::Event;
pub use expected::Expected;
pub use item::Item;
pub use lease::Lease;
pub use put_outcome::PutOutcome;
pub use range::Range;
pub use stamp::Stamp;
pub use throttle::Throttle;
pub use token_bucket::TokenBucket;
pub use watch::Watch;
