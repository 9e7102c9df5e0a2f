//! Points in time on a monotonic clock.

use serde::{Deserialize, Serialize};

/// A point in time on the monotonic clock of a process, in microseconds.
///
/// Clocks of different processes have different origins, so a `Time` is meaningful only to the
/// process that took it from its clock; see `docs/design.md`.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
///
/// let now = Time::from_millis(5);
/// let deadline = now.plus_millis(10);
/// assert_eq!(deadline.micros_since(now), 10_000);
/// assert_eq!(now.micros_since(deadline), 0);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// A deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates the time `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the time `millis` milliseconds after the origin, or [`Time::NEVER`] on overflow.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time `micros` microseconds later, or [`Time::NEVER`] on overflow.
    #[must_use]
    pub const fn plus_micros(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time `millis` milliseconds later, or [`Time::NEVER`] on overflow.
    #[must_use]
    pub const fn plus_millis(self, millis: u64) -> Self {
        self.plus_micros(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds elapsed since `earlier`, or zero if `earlier` is the later time.
    #[must_use]
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
