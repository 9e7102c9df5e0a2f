//! Durations of tasks and speeds of hosts, learned from attempts that have ended.
//!
//! Estimates are rough, a few tasks take several times as long as the others, and hosts differ. What
//! a task should take is learned in two places: from the tasks of the same step that are done
//! ([`Siblings`]), and from the ratio of durations to estimates of earlier tasks that run the same
//! program ([`Ratios`]). [`Forecast`] tells from these how long a running attempt will still take,
//! and a new one. Whether a second attempt of a late task ends before the first one, [`Trials`]
//! learns: a task that is long by itself is long again elsewhere.

mod forecast;
mod ratios;
mod siblings;
mod speed;
mod trials;

pub use forecast::Forecast;
pub use ratios::Ratios;
pub use siblings::Siblings;
pub use speed::Speed;
pub use trials::Trials;
