//! The cases.

mod cancel;
mod clock;
mod heartbeat;
mod removals;
mod schedule;

use crate::{Outcome, record::Record};

/// Plays a case, with or without its disruption.
type Case = fn(Record, bool) -> Outcome;

/// Returns the case with this name.
pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "schedule" => schedule::run,
        "cancel" => cancel::run,
        "clock" => clock::run,
        "heartbeat" => heartbeat::run,
        "removals" => removals::run,
        _ => return None,
    })
}
