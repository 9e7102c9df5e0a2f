//! Fake store that can be unavailable, be slow, and lose responses after a call took effect.

use std::collections::BTreeMap;

use toucanquay_control::cell;

/// Segments, epoch and owner lease of one cell.
#[derive(Debug, Default)]
pub struct Store {
    /// Text and revision of each segment.
    pub segments: BTreeMap<u32, (String, u64)>,
    /// Revision of the last write to any segment.
    pub revision: u64,
    /// Epoch of the last process that acquired the owner lease.
    pub epoch: u64,
    /// Process that last held the owner lease, and the simulated time at which the lease expires.
    pub holder: Option<(usize, u64)>,
    /// Simulated time until which every call fails.
    pub down_until: u64,
    /// Simulated time until which calls are slow.
    pub slow_until: u64,
}

/// Call from an owner to the store.
#[derive(Debug, Clone)]
pub enum Call {
    /// Renews the owner lease.
    Renew { epoch: u64 },
    /// Acquires the owner lease under a new epoch.
    Acquire,
    /// Writes the new epoch into a segment, so that writes of earlier owners conflict.
    RaiseEpoch { number: u32, epoch: u64 },
    /// Writes a segment if its revision is the expected one.
    Write {
        write: cell::Write,
        epoch: u64,
        expected: u64,
    },
}

/// Response to a call.
#[derive(Debug, Clone)]
pub enum Response {
    Renewed(bool),
    Acquired(Option<u64>),
    EpochRaised {
        text: String,
        revision: u64,
        is_new: bool,
    },
    EpochRefused,
    Written {
        revision: u64,
    },
    Conflict {
        epoch: u64,
        revision: u64,
    },
    /// The call failed. It had no effect if `is_certain`; otherwise that is unknown.
    Failed {
        is_certain: bool,
    },
}

/// Duration of the owner lease.
pub const LEASE_MICROS: u64 = 10_000_000;

impl Store {
    /// Returns whether a process holds the owner lease.
    pub fn is_held(&self, now: u64) -> bool {
        self.holder.is_some_and(|(_, until)| now < until)
    }

    /// Carries out a call of the process `owner`.
    pub fn call(&mut self, owner: usize, call: &Call, now: u64) -> Response {
        match call {
            Call::Renew { epoch } => {
                let is_holder = self.is_held(now)
                    && self.epoch == *epoch
                    && self.holder.is_some_and(|(holder, _)| holder == owner);
                if is_holder {
                    self.holder = Some((owner, now + LEASE_MICROS));
                }
                Response::Renewed(is_holder)
            }
            Call::Acquire if self.is_held(now) => Response::Acquired(None),
            Call::Acquire => {
                self.epoch += 1;
                self.holder = Some((owner, now + LEASE_MICROS));
                Response::Acquired(Some(self.epoch))
            }
            Call::RaiseEpoch { number, epoch } => self.raise_epoch(*number, *epoch),
            Call::Write {
                write, expected, ..
            } => self.write(write, *expected),
        }
    }

    fn raise_epoch(&mut self, number: u32, epoch: u64) -> Response {
        let old = self.segments.get(&number).map(|(text, _)| text.as_str());
        let is_new = old.is_none();
        match cell::raise_epoch(old, epoch) {
            Ok(text) => {
                self.revision += 1;
                self.segments.insert(number, (text.clone(), self.revision));
                Response::EpochRaised {
                    text,
                    revision: self.revision,
                    is_new,
                }
            }
            Err(_) => Response::EpochRefused,
        }
    }

    fn write(&mut self, write: &cell::Write, expected: u64) -> Response {
        let current = self.segments.get(&write.segment);
        let revision = current.map_or(0, |(_, revision)| *revision);
        if revision != expected {
            return Response::Conflict {
                epoch: current.map_or(0, |(text, _)| segment_epoch(text)),
                revision,
            };
        }
        self.revision += 1;
        let value = (write.value.clone(), self.revision);
        self.segments.insert(write.segment, value);
        Response::Written {
            revision: self.revision,
        }
    }
}

/// Returns the epoch in the text of a segment.
fn segment_epoch(text: &str) -> u64 {
    let value: serde_json::Value = serde_json::from_str(text).expect("a segment is JSON");
    value["epoch"]
        .as_u64()
        .expect("a segment has a numeric epoch")
}
