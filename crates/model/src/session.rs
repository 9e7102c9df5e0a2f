//! Messages between the owner and an agent, the companion's side of a session.
//!
//! The owner opens a session to each agent. It sends [`Orders`]; the agent sends an [`Update`]
//! with everything that it knows whenever something has changed, and at least every heartbeat.

mod attempt_status;
mod effect;
mod end;
mod ending;
mod orders;
mod profile;
mod rejection;
mod start;
mod stop;
mod update;
mod worker;

pub use attempt_status::{AttemptStatus, Phase};
pub use effect::InterferenceEffect;
pub use end::End;
pub use ending::Ending;
pub use orders::Orders;
pub use profile::Profile;
pub use rejection::Rejection;
pub use start::Start;
pub use stop::Stop;
pub use update::Update;
pub use worker::Worker;
