//! A fake store that can be down, be slow and lose answers after the effect.

use std::collections::BTreeMap;

use toucanquay_control::cell;

/// Segments, the owner key and the holder lease of one cell.
#[derive(Debug, Default)]
pub struct Store {
    pub segments: BTreeMap<u32, (String, u64)>,
    pub revision: u64,
    pub epoch: u64,
    /// The owner that holds the lease, and until when.
    pub holder: Option<(usize, u64)>,
    pub down_until: u64,
    pub slow_until: u64,
}

/// A call of an owner.
#[derive(Debug, Clone)]
pub enum Call {
    Renew {
        epoch: u64,
    },
    Acquire,
    RaiseEpoch {
        number: u32,
        epoch: u64,
    },
    Write {
        write: cell::Write,
        epoch: u64,
        expected: u64,
    },
}

/// The answer to a call.
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
    /// The call failed; it surely had no effect, or that is not known.
    Failed {
        is_certain: bool,
    },
}

pub const LEASE_MICROS: u64 = 10_000_000;

impl Store {
    pub fn is_held(&self, now: u64) -> bool {
        self.holder.is_some_and(|(_, until)| now < until)
    }

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

fn segment_epoch(text: &str) -> u64 {
    let value: serde_json::Value = serde_json::from_str(text).expect("segment is JSON");
    value["epoch"].as_u64().expect("epoch is a number")
}
