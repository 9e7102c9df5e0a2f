//! Expected room on the hosts of one rack.

use std::{cmp::Reverse, collections::BinaryHeap};

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::{Claim, Room};

/// Expected room on the hosts of one rack, less what is promised to tasks that wait for it.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    rooms: Vec<Room>,
}

impl Forecast {
    /// Creates the forecast of a rack with these rooms.
    #[must_use]
    pub fn new(rooms: impl IntoIterator<Item = Room>) -> Self {
        Self {
            rooms: rooms.into_iter().collect(),
        }
    }

    /// Returns a room by its index.
    pub fn room_mut(&mut self, index: usize) -> Option<&mut Room> {
        self.rooms.get_mut(index)
    }

    /// Promises a place to each task of a claim, and returns the time from which the last of them is
    /// expected to have one. Returns `None` and promises nothing if one has none at `latest`.
    ///
    /// Tasks that ask later get what is left, so each one knows of those that wait before it.
    pub fn promise(&mut self, claim: &Claim, now: Time, latest: Time) -> Option<Time> {
        let mut places = claim.places.clone();
        let mut heap: BinaryHeap<Reverse<(Time, usize)>> = BinaryHeap::new();
        for (index, room) in self.rooms.iter().enumerate() {
            let free_at = room.free_at(&claim.demand);
            if let Some(at) = free_at.filter(|_| places.get(index).is_some_and(|left| *left > 0)) {
                heap.push(Reverse((at.max(now), index)));
            }
        }
        let mut promised: SmallVec<[(usize, Time); 16]> = SmallVec::new();
        let mut last_at = now;
        while promised.len() < claim.tasks {
            let place = heap.pop().filter(|Reverse((at, _))| *at <= latest);
            let Some(Reverse((at, index))) = place else {
                for (index, end_at) in promised {
                    self.rooms[index].withdraw(&claim.demand, end_at);
                }
                return None;
            };
            last_at = last_at.max(at);
            let end_at = at.plus_micros(claim.run_micros);
            self.rooms[index].promise(&claim.demand, end_at);
            promised.push((index, end_at));
            places[index] -= 1;
            let next_at = self.rooms[index].free_at(&claim.demand);
            if let Some(next_at) = next_at.filter(|_| places[index] > 0) {
                heap.push(Reverse((next_at.max(now), index)));
            }
        }
        Some(last_at)
    }
}
