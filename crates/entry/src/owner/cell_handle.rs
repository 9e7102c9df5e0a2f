//! Shared access to the cell of the owner.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use foldhash::fast::RandomState;
use tokio::sync::{Notify, oneshot};
use toucanquay_control::cell::{Cell, Token, Write};
use toucanquay_model::{
    Error, ErrorKind, Time,
    exchange::{Command, Report},
    job::{Call, Reply},
    worker,
};
use toucanquay_wire::Clock;

/// The cell, with the calls and reports that wait for its replies.
#[derive(Debug)]
pub struct CellHandle {
    clock: Clock,
    inner: Mutex<Inner>,
    wake_signal: Notify,
}

#[derive(Debug)]
struct Inner {
    cell: Cell,
    last_token: Token,
    calls: HashMap<Token, oneshot::Sender<Reply>, RandomState>,
    reports: HashMap<worker::Id, oneshot::Sender<Command>, RandomState>,
}

impl CellHandle {
    /// Returns the handle of a cell that was taken over.
    #[must_use]
    pub fn new(cell: Cell, clock: Clock) -> Self {
        let inner = Inner {
            cell,
            last_token: 0,
            calls: HashMap::default(),
            reports: HashMap::default(),
        };
        Self {
            clock,
            inner: Mutex::new(inner),
            wake_signal: Notify::new(),
        }
    }

    /// Passes a companion's report to the cell and returns the cell's command for that companion.
    /// The cell delays a command that is not urgent.
    ///
    /// Returns `None` if the report is not for this owner, or if the role ends during the wait.
    pub async fn exchange(&self, report: Report) -> Option<Command> {
        let receiver = {
            let mut inner = self.lock();
            if !inner.cell.receive_report(&report, self.clock.now()) {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            // A companion that sends a new report no longer waits for the reply to the last one.
            inner.reports.insert(report.worker, sender);
            receiver
        };
        self.wake();
        receiver.await.ok()
    }

    /// Executes a call about jobs. Replies to changes once they are durable.
    ///
    /// Returns `None` if the role ends during the wait.
    pub async fn job(&self, call: &Call) -> Option<Reply> {
        let receiver = match call {
            Call::List => return Some(Reply::Many(self.lock().cell.job_statuses())),
            Call::Show(id) => {
                let unknown = || Error::new(ErrorKind::UnknownJob).field("id").value(id);
                let status = self.lock().cell.job_status(id);
                return Some(status.map_or_else(|| Reply::Refused(unknown()), Reply::One));
            }
            Call::Submit(spec) => {
                let (token, receiver) = self.register_call();
                let now = self.clock.now();
                self.lock().cell.submit(spec.clone(), token, now);
                receiver
            }
            Call::Cancel(id) => {
                let (token, receiver) = self.register_call();
                let now = self.clock.now();
                self.lock().cell.cancel(id, token, now);
                receiver
            }
        };
        self.wake();
        receiver.await.ok()
    }

    /// Wakes the cell's run loop.
    pub fn wake(&self) {
        self.wake_signal.notify_one();
    }

    pub(super) async fn wait_woken(&self) {
        self.wake_signal.notified().await;
    }

    /// Runs `operation` on the locked cell with the current time.
    pub(super) fn with_cell<T>(&self, operation: impl FnOnce(&mut Cell, Time) -> T) -> T {
        let now = self.clock.now();
        operation(&mut self.lock().cell, now)
    }

    /// Advances the cell, sends the pending replies and returns the writes that are due.
    pub(super) fn step(&self) -> Vec<Write> {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.cell.tick(now);
        for (token, reply) in inner.cell.take_answers(now) {
            if let Some(sender) = inner.calls.remove(&token) {
                // A caller that has disconnected may retry; the job id makes the retry idempotent.
                let _ = sender.send(reply);
            }
        }
        for (worker, command) in inner.cell.take_commands(now) {
            if let Some(sender) = inner.reports.remove(&worker) {
                // If the companion has disconnected, its next report shows that it lacks the
                // grants.
                let _ = sender.send(command);
            }
        }
        inner.cell.take_writes(now)
    }

    fn register_call(&self) -> (Token, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        inner.last_token += 1;
        let token = inner.last_token;
        inner.calls.insert(token, sender);
        (token, receiver)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}
