//! Restoration of updates from differences.

use std::collections::BTreeMap;

use toucanquay_model::{
    Error, ErrorKind,
    session::{AttemptStatus, Update},
};

use super::{Change, Delta};

/// Owner's memory of what it has received in a session.
#[derive(Debug)]
pub struct Decoder {
    /// The last update, without its attempts and ends.
    last: Update,
    attempts: BTreeMap<u32, AttemptStatus>,
}

impl Decoder {
    /// Returns the decoder of a session that began with this update.
    #[must_use]
    pub fn new(first: &Update) -> Self {
        let slots = 0_u32..;
        Self {
            attempts: slots.zip(first.runs.iter().cloned()).collect(),
            last: Update {
                runs: Vec::new(),
                ends: Vec::new(),
                crashes: Vec::new(),
                ..first.clone()
            },
        }
    }

    /// Restores the update behind a difference. Its ends are those that were not sent before.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Protocol`] if the message names an attempt that is not listed.
    pub fn decode(&mut self, delta: Delta) -> Result<Update, Error> {
        for slot in delta.removed {
            if self.attempts.remove(&slot).is_none() {
                return Err(unknown_slot("removed", slot));
            }
        }
        for change in delta.changed {
            self.apply(change)?;
        }
        self.attempts.extend(delta.added);
        if let Some(worker) = delta.worker {
            self.last.worker = worker;
        }
        self.last.is_worker_silent = delta.is_worker_silent;
        self.last.number = delta.number;
        self.last.stamp = delta.stamp;
        self.last.epoch = delta.epoch;
        self.last.applied = delta.applied;
        self.last.is_settled = delta.is_settled;
        self.last.has_sample = delta.has_sample;
        Ok(Update {
            runs: self.attempts.values().cloned().collect(),
            ends: delta.ends,
            crashes: delta.crashes,
            ..self.last.clone()
        })
    }

    fn apply(&mut self, change: Change) -> Result<(), Error> {
        let slot = change.slot;
        let status = self.attempts.get_mut(&slot);
        change.apply(status.ok_or_else(|| unknown_slot("changed", slot))?);
        Ok(())
    }
}

fn unknown_slot(field: &str, slot: u32) -> Error {
    Error::new(ErrorKind::Protocol)
        .field(field)
        .value(slot)
        .expected("the slot of a listed attempt")
}
