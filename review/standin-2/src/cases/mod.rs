//! The cases.

mod cancel;
mod crashes;
mod gang;
mod heartbeat;
mod schedule;

use crate::{Outcome, record::Record};

/// Plays a case, with or without its disruption.
type Case = fn(Record, bool) -> Outcome;

/// Returns the case with this name.
pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "cancel" => cancel::run,
        "crashes" => crashes::run,
        "heartbeat" => heartbeat::run,
        "gang" => gang::run,
        "schedule" => schedule::run,
        _ => return None,
    })
}
