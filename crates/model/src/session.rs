//! Messages of a session between the owner and an agent, which runs in the companion.
//!
//! The owner opens a session to each agent and sends [`Orders`]. The agent sends its complete state
//! as an [`Update`] after every change, and at least once per heartbeat interval.

mod attempt_status;
mod crash;
mod effect;
mod end;
mod ending;
mod orders;
mod profile;
mod rejection;
mod start;
mod stop;
mod suspect;
mod update;
mod worker;

pub use attempt_status::{AttemptStatus, Phase};
pub use crash::Crash;
pub use effect::InterferenceEffect;
pub use end::End;
pub use ending::Ending;
pub use orders::Orders;
pub use profile::Profile;
pub use rejection::Rejection;
pub use start::Start;
pub use stop::Stop;
pub use suspect::Suspect;
pub use update::Update;
pub use worker::Worker;
