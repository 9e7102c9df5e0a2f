//! How long a task waits for a place near its data.
//!
//! A task that runs on another rack than its data takes longer by a known factor. A [`Forecast`]
//! tells when the rack is expected to have room for the tasks of a step, knowing those that wait
//! before them. A [`Prospect`] decides from that, and from what a wait costs the job, whether they
//! start elsewhere at once or wait until a deadline.

mod balance;
mod bound;
mod claim;
mod decision;
mod forecast;
mod patience;
mod prospect;
mod reason;
mod room;

use balance::Balance;
pub use bound::Bound;
pub use claim::Claim;
pub use decision::Decision;
pub use forecast::Forecast;
pub use patience::Patience;
pub use prospect::Prospect;
pub use reason::Reason;
pub use room::Room;
