//! Admission of requests to one upstream.

use std::{
    collections::VecDeque,
    mem,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::watch;
use toucanquay_control::ledger::{Decision, Ledger, Outcome, Request};
use toucanquay_model::{Error, ErrorKind, Incarnation, request, request::Verdict};
use toucanquay_wire::Clock;

use super::{Entered, Permit};
use crate::Meters;

/// Latencies kept until the next report of usage. More would only refine the percentiles.
const LATENCIES_MAX: usize = 65_536;

/// Admission of requests to one upstream.
#[derive(Debug)]
pub struct Admission {
    inner: Mutex<Inner>,
    slots: u32,
    /// Slots for watches, which follow the other ones.
    watch_slots: u32,
    in_flight: watch::Sender<u32>,
    clock: Clock,
    meters: Meters,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// Free slots. The one that was free longest comes first, since its connection is idle again.
    free: VecDeque<usize>,
    /// Free slots for watches.
    free_watches: VecDeque<usize>,
    is_stopping: bool,
    is_leaving: bool,
    latencies_micros: Vec<u32>,
    in_flight_max: u32,
}

impl Admission {
    /// Returns admission to `slots` slots and `watch_slots` further ones for watches.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        slots: u32,
        watch_slots: u32,
        clock: Clock,
        meters: Meters,
    ) -> Self {
        let end = (slots + watch_slots) as usize;
        let inner = Inner {
            ledger: Ledger::new(incarnation),
            free: (0..slots as usize).collect(),
            free_watches: (slots as usize..end).collect(),
            is_stopping: false,
            is_leaving: false,
            latencies_micros: Vec::new(),
            in_flight_max: 0,
        };
        Self {
            inner: Mutex::new(inner),
            slots,
            watch_slots,
            in_flight: watch::Sender::new(0),
            clock,
            meters,
        }
    }

    /// Decides on a request that has arrived. A watch takes a slot for watches if there are any.
    #[must_use]
    pub fn enter(self: &Arc<Self>, request: Request, is_watch: bool) -> Entered {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.ledger.begin(request, now) {
            Decision::Run => {}
            Decision::Replay(response) => return Entered::Replay(response),
            known => return Entered::Refused(refusal(&known, request.is_keyed)),
        }
        match inner.take_slot(is_watch && self.watch_slots > 0) {
            Ok(slot) => {
                self.publish(&mut inner);
                drop(inner);
                Entered::Run(Permit::new(self.clone(), request.id, slot, now))
            }
            Err(error) => {
                inner.ledger.finish(request.id, Outcome::NotRun, now);
                Entered::Refused(error)
            }
        }
    }

    /// Refuses a request from now on unless it has begun, and says what is known of it.
    #[must_use]
    pub fn tombstone(&self, id: request::Id, incarnation: Incarnation) -> Verdict {
        let now = self.clock.now();
        self.lock().ledger.tombstone(id, incarnation, now)
    }

    /// Sets whether the upstream's team is leaving, which refuses new requests, and returns what
    /// it was before.
    pub fn set_leaving(&self, is_leaving: bool) -> bool {
        mem::replace(&mut self.lock().is_leaving, is_leaving)
    }

    /// Refuses new requests from now on, since the companion stops.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }

    /// Tells whether new requests are refused because the upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let inner = self.lock();
        inner.is_leaving || inner.is_stopping
    }

    /// Returns the slots in use by requests other than watches.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.slots_used(&self.lock())
    }

    /// Returns the requests in flight, watches included.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        *self.in_flight.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender is a field of this value, so waiting can't fail.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Returns the latencies of requests that ended, in microseconds, and the most that were in
    /// flight, since the last call.
    #[must_use]
    pub fn take_latencies(&self) -> (Vec<u32>, u32) {
        let mut inner = self.lock();
        let in_flight = self.slots_used(&inner);
        let in_flight_max = mem::replace(&mut inner.in_flight_max, in_flight);
        (mem::take(&mut inner.latencies_micros), in_flight_max)
    }

    pub(super) fn leave(
        &self,
        id: request::Id,
        slot: usize,
        begun: toucanquay_model::Time,
        outcome: Outcome,
    ) {
        let now = self.clock.now();
        let micros = now.micros_since(begun);
        self.meters.finished(&outcome, micros);
        let mut inner = self.lock();
        let is_watch = slot >= self.slots as usize;
        let is_whole = matches!(outcome, Outcome::Complete(_)) && !is_watch;
        if is_whole && inner.latencies_micros.len() < LATENCIES_MAX {
            let micros = u32::try_from(micros).unwrap_or(u32::MAX);
            inner.latencies_micros.push(micros);
        }
        inner.ledger.finish(id, outcome, now);
        if is_watch {
            inner.free_watches.push_back(slot);
        } else {
            inner.free.push_back(slot);
        }
        self.publish(&mut inner);
    }

    fn publish(&self, inner: &mut Inner) {
        let slots_used = self.slots_used(inner);
        let in_flight = slots_used + self.watches(inner);
        assert!(
            in_flight as usize == inner.ledger.running_requests(),
            "each running request holds exactly one slot"
        );
        inner.in_flight_max = inner.in_flight_max.max(slots_used);
        self.meters.in_flight(in_flight);
        self.meters.ledger(inner.ledger.len());
        self.in_flight.send_replace(in_flight);
    }

    fn slots_used(&self, inner: &Inner) -> u32 {
        let free = u32::try_from(inner.free.len()).unwrap_or(u32::MAX);
        self.slots
            .checked_sub(free)
            .expect("no more slots are free than there are")
    }

    fn watches(&self, inner: &Inner) -> u32 {
        let free = u32::try_from(inner.free_watches.len()).unwrap_or(u32::MAX);
        self.watch_slots
            .checked_sub(free)
            .expect("no more slots are free than there are")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no holder of this lock panics while it changes the state")
    }
}

impl Inner {
    fn take_slot(&mut self, is_watch: bool) -> Result<usize, Error> {
        if self.is_stopping {
            return Err(Error::new(ErrorKind::ShuttingDown).context("the companion is stopping"));
        }
        if self.is_leaving {
            return Err(Error::new(ErrorKind::Leaving));
        }
        let free = if is_watch {
            &mut self.free_watches
        } else {
            &mut self.free
        };
        free.pop_front()
            .ok_or_else(|| Error::new(ErrorKind::Overloaded).context("all slots are in use"))
    }
}

/// Returns the error for a request that the ledger does not let run.
fn refusal(begin: &Decision, is_keyed: bool) -> Error {
    let (kind, context) = match begin {
        Decision::Running if is_keyed => (ErrorKind::KeyInUse, "the request is running"),
        Decision::Running => (ErrorKind::OutcomeUnknown, "the request is running"),
        Decision::Tombstoned => (ErrorKind::DeadlineBeforeSend, "the request was tombstoned"),
        // A keyed request may be a retry of one that the earlier incarnation has run.
        Decision::WrongIncarnation if is_keyed => {
            (ErrorKind::OutcomeUnknown, "the companion was restarted")
        }
        Decision::WrongIncarnation => (ErrorKind::PeerUnavailable, "the companion was restarted"),
        Decision::Finished => (
            ErrorKind::OutcomeUnknown,
            "it has run, its answer was not kept",
        ),
        Decision::Run | Decision::Replay(_) | Decision::Unknown => {
            (ErrorKind::OutcomeUnknown, "it may have run before")
        }
    };
    Error::new(kind).context(context)
}
