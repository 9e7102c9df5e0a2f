//! Client for the platform's key-value service with a call budget, backoff and a circuit breaker.
//!
//! [`Client`] makes calls and opens a [`Watch`]. [`Throttle`], made of a
//! [`Budget`] and a [`Breaker`], and [`Backoff`] decide when a call may be sent; they do no I/O and
//! take the time as an argument. The protocol is
//! described in `docs/platform.md`.

pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod builder;
pub mod change;
pub mod client;
pub mod delete;
pub mod event;
pub mod expected;
pub mod item;
pub mod lease;
pub mod put;
pub mod range;
pub mod stamp;
pub mod throttle;
pub mod watch;

pub use backoff::Backoff;
pub use breaker::Breaker;
pub use budget::Budget;
pub use builder::Builder;
pub use change::Change;
pub use client::Client;
pub use delete::Delete;
pub use event::Event;
pub use expected::Expected;
pub use item::Item;
pub use lease::Lease;
pub use put::Put;
pub use range::Range;
pub use stamp::Stamp;
pub use throttle::Throttle;
pub use watch::Watch;
