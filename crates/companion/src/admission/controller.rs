//! Admission control for one upstream.

use std::{
    collections::VecDeque,
    mem,
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::sync::watch;
use toucanquay_control::ledger::{Decision as LedgerDecision, Ledger, Outcome, Request};
use toucanquay_model::{Error, ErrorKind, Incarnation, request, request::Verdict};
use toucanquay_wire::Clock;

use super::{Decision, Permit};
use crate::Meters;

/// Maximum number of latencies kept for the next usage report. Further samples would only refine
/// the percentiles.
const LATENCIES_MAX: usize = 65_536;

/// Admission control for one upstream: assigns slots and records requests in the ledger.
#[derive(Debug)]
pub struct AdmissionController {
    inner: Mutex<Inner>,
    slots: u32,
    /// Number of slots for watches. Their indexes follow those of the other slots.
    watch_slots: u32,
    in_flight: watch::Sender<u32>,
    clock: Clock,
    meters: Meters,
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// Free slots in FIFO order: the slot that has been free longest is taken first, since its
    /// connection is most likely to be idle again.
    free_slots: VecDeque<usize>,
    /// Free slots for watches, in FIFO order.
    free_watch_slots: VecDeque<usize>,
    is_stopping: bool,
    is_leaving: bool,
    latencies_micros: Vec<u32>,
    in_flight_max: u32,
}

impl AdmissionController {
    /// Creates admission control for `slots` slots and `watch_slots` additional slots for watches.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        slots: u32,
        watch_slots: u32,
        clock: Clock,
        meters: Meters,
    ) -> Self {
        let slot_count = (slots + watch_slots) as usize;
        let inner = Inner {
            ledger: Ledger::new(incarnation),
            free_slots: (0..slots as usize).collect(),
            free_watch_slots: (slots as usize..slot_count).collect(),
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

    /// Decides whether a request may run, and assigns it a slot if so.
    ///
    /// A watch takes a watch slot if any are configured, and an ordinary slot otherwise.
    #[must_use]
    pub fn admit(self: &Arc<Self>, request: Request, is_watch: bool) -> Decision {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.ledger.begin(request, now) {
            LedgerDecision::Run => {}
            LedgerDecision::Replay(response) => return Decision::Replay(response),
            other => return Decision::Refused(rejection(&other, request.is_keyed)),
        }
        match inner.take_slot(is_watch && self.watch_slots > 0) {
            Ok(slot) => {
                self.publish_in_flight(&mut inner);
                drop(inner);
                Decision::Run(Permit::new(self.clone(), request.id, slot, now))
            }
            Err(error) => {
                inner.ledger.finish(request.id, Outcome::NotRun, now);
                Decision::Refused(error)
            }
        }
    }

    /// Refuses a request permanently unless it has already started, and returns what is known of
    /// it.
    #[must_use]
    pub fn tombstone(&self, id: request::Id, incarnation: Incarnation) -> Verdict {
        let now = self.clock.now();
        self.lock().ledger.tombstone(id, incarnation, now)
    }

    /// Sets whether the upstream's team is leaving, and returns the previous value. New requests
    /// are refused while it is.
    pub fn set_leaving(&self, is_leaving: bool) -> bool {
        mem::replace(&mut self.lock().is_leaving, is_leaving)
    }

    /// Refuses new requests from now on because the companion is stopping.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
    }

    /// Returns whether new requests are refused, because the team is leaving or the companion is
    /// stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let inner = self.lock();
        inner.is_leaving || inner.is_stopping
    }

    /// Returns the number of slots in use by requests other than watches.
    #[must_use]
    pub fn request_slots_in_use(&self) -> u32 {
        self.slots_in_use(&self.lock())
    }

    /// Returns the number of requests in flight, including watches.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        *self.in_flight.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // Fails only when the sender is dropped, and `self` owns the sender.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Returns the latencies of completed requests in microseconds and the maximum number of
    /// requests in flight since the previous call. Watches are not counted.
    #[must_use]
    pub fn take_latencies(&self) -> (Vec<u32>, u32) {
        let mut inner = self.lock();
        let in_flight = self.slots_in_use(&inner);
        let in_flight_max = mem::replace(&mut inner.in_flight_max, in_flight);
        (mem::take(&mut inner.latencies_micros), in_flight_max)
    }

    pub(super) fn release(
        &self,
        id: request::Id,
        slot: usize,
        started_at: toucanquay_model::Time,
        outcome: Outcome,
    ) {
        let now = self.clock.now();
        let micros = now.micros_since(started_at);
        self.meters.record_request(&outcome, micros);
        let mut inner = self.lock();
        let is_watch = slot >= self.slots as usize;
        let is_complete = matches!(outcome, Outcome::Complete(_)) && !is_watch;
        if is_complete && inner.latencies_micros.len() < LATENCIES_MAX {
            let micros = u32::try_from(micros).unwrap_or(u32::MAX);
            inner.latencies_micros.push(micros);
        }
        inner.ledger.finish(id, outcome, now);
        if is_watch {
            inner.free_watch_slots.push_back(slot);
        } else {
            inner.free_slots.push_back(slot);
        }
        self.publish_in_flight(&mut inner);
    }

    fn publish_in_flight(&self, inner: &mut Inner) {
        let slots_in_use = self.slots_in_use(inner);
        let in_flight = slots_in_use + self.watch_slots_in_use(inner);
        assert!(
            in_flight as usize == inner.ledger.running_requests(),
            "each running request must occupy exactly one slot"
        );
        inner.in_flight_max = inner.in_flight_max.max(slots_in_use);
        self.meters.set_in_flight(in_flight);
        self.meters.set_ledger_records(inner.ledger.len());
        self.in_flight.send_replace(in_flight);
    }

    fn slots_in_use(&self, inner: &Inner) -> u32 {
        let free_slots = u32::try_from(inner.free_slots.len()).unwrap_or(u32::MAX);
        self.slots
            .checked_sub(free_slots)
            .expect("free slots must not exceed the configured slots")
    }

    fn watch_slots_in_use(&self, inner: &Inner) -> u32 {
        let free_slots = u32::try_from(inner.free_watch_slots.len()).unwrap_or(u32::MAX);
        self.watch_slots
            .checked_sub(free_slots)
            .expect("free watch slots must not exceed the configured watch slots")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("the admission lock must not be poisoned")
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
        let free_slots = if is_watch {
            &mut self.free_watch_slots
        } else {
            &mut self.free_slots
        };
        free_slots
            .pop_front()
            .ok_or_else(|| Error::new(ErrorKind::Overloaded).context("all slots are in use"))
    }
}

/// Returns the error for a request that the ledger does not allow to run.
fn rejection(decision: &LedgerDecision, is_keyed: bool) -> Error {
    let (kind, context) = match decision {
        LedgerDecision::Running if is_keyed => (ErrorKind::KeyInUse, "the request is running"),
        LedgerDecision::Running => (ErrorKind::OutcomeUnknown, "the request is running"),
        LedgerDecision::Tombstoned => (ErrorKind::DeadlineBeforeSend, "the request was tombstoned"),
        // A keyed request may be a retry of a request that the previous incarnation has run.
        LedgerDecision::WrongIncarnation if is_keyed => {
            (ErrorKind::OutcomeUnknown, "the companion was restarted")
        }
        LedgerDecision::WrongIncarnation => {
            (ErrorKind::PeerUnavailable, "the companion was restarted")
        }
        LedgerDecision::Finished => (
            ErrorKind::OutcomeUnknown,
            "the request has run, but its response was not kept",
        ),
        LedgerDecision::Run | LedgerDecision::Replay(_) | LedgerDecision::Unknown => {
            (ErrorKind::OutcomeUnknown, "the request may have run before")
        }
    };
    Error::new(kind).context(context)
}
