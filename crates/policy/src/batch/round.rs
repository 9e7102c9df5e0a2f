//! One round of placement over the workers' rooms.

use smallvec::SmallVec;
use toucanquay_model::{Resources, worker};

use super::{Room, order::Key};

/// Weight of a worker's load against its price. It is small, so that the load decides only between
/// workers whose prices are close.
const LOAD_WEIGHT: f64 = 0.1;

/// Rooms, claims and misses during one call of [`Backlog::assign`](super::Backlog::assign).
pub(super) struct Round<'a, Price> {
    rooms: &'a mut [Room],
    claims: SmallVec<[(usize, Key); 4]>,
    /// Reservations that fitted no room; whatever is at least as large is not tried again.
    misses: SmallVec<[Resources; 8]>,
    /// Reservations and kinds for which every fitting room had no price; starts only raise prices.
    refusals: SmallVec<[(Resources, String); 4]>,
    offset: usize,
    candidates: usize,
    price: Price,
}

impl<'a, Price: Fn(&Room, &str) -> Option<f64>> Round<'a, Price> {
    pub fn new(
        rooms: &'a mut [Room],
        claims: &[(Key, worker::Id)],
        candidates: usize,
        offset: usize,
        price: Price,
    ) -> Self {
        let find = |(key, worker): &(Key, worker::Id)| {
            let room = rooms.iter().position(|room| room.worker == *worker)?;
            Some((room, *key))
        };
        let claims = claims.iter().filter_map(find).collect();
        let offset = offset % rooms.len().max(1);
        Self {
            rooms,
            claims,
            misses: SmallVec::new(),
            refusals: SmallVec::new(),
            offset,
            candidates,
            price,
        }
    }

    /// Returns the room in which the job's next task should start, if there is one.
    pub fn pick(&mut self, key: Key, reservation: &Resources, kind: &str) -> Option<usize> {
        if let Some(room) = self.claimed(key, reservation, kind) {
            return Some(room);
        }
        if self.misses.iter().any(|miss| miss.fits(reservation)) {
            return None;
        }
        let is_refused =
            |(refused, name): &(Resources, String)| name == kind && refused.fits(reservation);
        if self.refusals.iter().any(is_refused) {
            return None;
        }
        let (best, has_fit) = self.scan(reservation, kind);
        if !has_fit {
            self.misses.push(*reservation);
        } else if best.is_none() {
            self.refusals.push((*reservation, kind.to_owned()));
        }
        best
    }

    /// Takes `reservation` from a room.
    pub fn take(&mut self, room: usize, reservation: &Resources) {
        let free = &mut self.rooms[room].free;
        *free = free
            .checked_sub(reservation)
            .expect("a picked room holds the reservation");
        self.offset = (room + 1) % self.rooms.len();
    }

    /// Returns the worker that a job which fits no room should wait for: the one with most free.
    pub fn claimable(&self, reservation: &Resources, kind: &str) -> Option<worker::Id> {
        let is_claimed = |index: usize| self.claims.iter().any(|(room, _)| *room == index);
        let candidates = self
            .rooms
            .iter()
            .enumerate()
            .filter(|(index, room)| reservation.fits(&room.capacity) && !is_claimed(*index))
            .filter(|(_, room)| (self.price)(room, kind).is_some());
        let room = candidates
            .max_by_key(|(_, room)| (room.free.processors_milli, room.free.memory_mb))?
            .1;
        Some(room.worker.clone())
    }

    /// Keeps a worker for a job during the rest of the round.
    pub fn claim(&mut self, key: Key, worker: &worker::Id) {
        if let Some(room) = self.rooms.iter().position(|room| room.worker == *worker) {
            self.claims.push((room, key));
        }
    }

    pub const fn offset(&self) -> usize {
        self.offset
    }

    fn claimed(&self, key: Key, reservation: &Resources, kind: &str) -> Option<usize> {
        let (index, _) = self.claims.iter().find(|(_, owner)| *owner == key)?;
        let room = &self.rooms[*index];
        let is_open = reservation.fits(&room.free) && (self.price)(room, kind).is_some();
        is_open.then_some(*index)
    }

    /// Returns the cheapest room among the first fitting ones, and whether any room fits.
    fn scan(&self, reservation: &Resources, kind: &str) -> (Option<usize>, bool) {
        let mut best: Option<(f64, usize)> = None;
        let mut fitting = 0;
        let order = (self.offset..self.rooms.len()).chain(0..self.offset);
        for index in order {
            let room = &self.rooms[index];
            let is_claimed = self.claims.iter().any(|(claimed, _)| *claimed == index);
            if !reservation.fits(&room.free) || is_claimed {
                continue;
            }
            fitting += 1;
            if let Some(price) = (self.price)(room, kind) {
                let score = price - LOAD_WEIGHT * room.share_after(reservation);
                if best.is_none_or(|(lowest, _)| score < lowest) {
                    best = Some((score, index));
                }
            }
            if fitting >= self.candidates && best.is_some() {
                break;
            }
        }
        (best.map(|(_, index)| index), fitting > 0)
    }
}
