//! Scheduler events for the log.

use smallvec::SmallVec;
use toucanquay_model::graph::{Id, State, Task};
use toucanquay_policy::locality::{Bound, Reason};

use super::{Loss, Wait};

/// Change of the scheduler's state that is worth logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job has ended.
    JobOver {
        /// Identifier that the client chose for the job.
        job: Id,
        /// Its final state.
        state: State,
        /// Reason of the failure, if it failed.
        reason: Option<String>,
    },
    /// A job was cancelled that the owner doesn't know yet.
    CancelledEarly {
        /// Identifier that the client chose for the job.
        job: Id,
    },
    /// The owner has adopted an attempt that a former owner started.
    Adopted {
        /// Task of the adopted attempt.
        task: Task,
        /// Number that the former owner gave the attempt.
        attempt: u64,
        /// Name of the host that the attempt runs on.
        host: String,
    },
    /// An attempt failed.
    Failed {
        /// Task whose attempt failed.
        task: Task,
        /// Number of failed attempts of the task so far; of a perpetual task, since it last ran for
        /// long.
        failures: u32,
        /// Name of the host that the attempt ran on. The next attempt prefers other hosts.
        host: String,
    },
    /// The attempts on a worker are lost.
    WorkerLost {
        /// Name of the worker's host.
        host: String,
        /// Reason of the loss.
        reason: Loss,
        /// Number of attempts that were lost with the worker.
        attempts: usize,
    },
    /// A worker crashed soon after it had started an attempt.
    Suspected {
        /// Task of the attempt.
        task: Task,
        /// Number of the attempt.
        attempt: u64,
        /// Name of the worker's host.
        host: String,
        /// Number of workers that have crashed soon after they had started the task.
        crashes: usize,
        /// Number of suspects that this crash counts for.
        suspects: usize,
    },
    /// A worker has outlived the start of a suspect task.
    Cleared {
        /// Task that is no longer a suspect.
        task: Task,
    },
    /// A worker has begun to drain.
    Draining {
        /// Name of the worker's host.
        host: String,
        /// Number of attempts that are stopped to continue elsewhere.
        moved: usize,
    },
    /// An attempt is stopped to continue elsewhere, because the tasks beside it leave it too little
    /// speed.
    Moved {
        /// Task that continues from its checkpoint.
        task: Task,
        /// Number of the attempt that is stopped.
        attempt: u64,
        /// Name of the host that the attempt leaves.
        host: String,
    },
    /// An attempt is stopped to continue elsewhere, because its host is slow.
    MovedFromSlowHost {
        /// Task that continues from its checkpoint.
        task: Task,
        /// Number of the attempt that is stopped.
        attempt: u64,
        /// Name of the host that the attempt leaves.
        host: String,
        /// Speed of the host as a ratio to that of the others, in percent.
        speed_percent: u32,
    },
    /// A second attempt of a late task is started.
    CopyStarted {
        /// Task that is late.
        task: Task,
        /// Number of the second attempt.
        attempt: u64,
        /// Name of the host that the second attempt starts on.
        host: String,
        /// Name of the host of the first attempt.
        first_host: String,
        /// Time since the start of the first attempt in milliseconds.
        elapsed_ms: u64,
        /// Usual duration of an attempt in milliseconds.
        typical_ms: u64,
    },
    /// A second attempt was done before the first one.
    CopyWon {
        /// Task that is done.
        task: Task,
        /// Number of the second attempt.
        attempt: u64,
        /// Name of its host.
        host: String,
    },
    /// A second attempt is stopped, because the first one is done.
    CopyLost {
        /// Task that is done.
        task: Task,
        /// Number of the second attempt.
        attempt: u64,
        /// Name of its host.
        host: String,
    },
    /// An attempt of a perpetual task is stopped to continue elsewhere, so that another
    /// perpetual task fits on its host.
    MadeRoom {
        /// Task that is moved.
        task: Task,
        /// Number of the attempt that is stopped.
        attempt: u64,
        /// Name of the host that the attempt leaves.
        host: String,
        /// Name of the host that has room for the task.
        new_host: String,
        /// Job of the task that waits for room.
        job: Id,
    },
    /// A perpetual task doesn't run.
    Waiting {
        /// Task that doesn't run.
        task: Task,
        /// Time since it last ran, or could first be placed, in milliseconds.
        waited_ms: u64,
        /// What it waits for.
        wait: Wait,
    },
    /// Tasks wait for the rack that holds their data, or a gang for one rack, although there is room
    /// elsewhere.
    RackWaitBegun {
        /// First task of the step.
        task: Task,
        /// Number of tasks that wait.
        tasks: usize,
        /// Label of the rack.
        rack: String,
        /// Time until the deadline in milliseconds.
        remaining_ms: u64,
        /// What sets the deadline.
        bound: Bound,
    },
    /// Tasks no longer wait for a rack.
    RackWaitEnded {
        /// First task of the step.
        task: Task,
        /// Time for which they have waited in milliseconds.
        waited_ms: u64,
        /// Why they start anywhere; `None` if all have started on the rack.
        far: Option<Reason>,
    },
    /// Tasks were started on other racks than the one that holds their data.
    PlacedFar {
        /// First task of the step.
        task: Task,
        /// Number of tasks.
        tasks: usize,
        /// Label of the rack that holds their data.
        rack: String,
        /// Why they didn't wait, or no longer.
        reason: Reason,
    },
    /// A host is kept for a perpetual task that fits nowhere.
    Kept {
        /// Name of the host.
        host: String,
        /// Job of the task.
        job: Id,
    },
    /// A host is no longer kept for perpetual tasks.
    Released {
        /// Name of the host.
        host: String,
    },
    /// More perpetual tasks don't run than are reported at once.
    WaitsSuppressed {
        /// Number of tasks that were due to be reported and weren't.
        tasks: usize,
    },
    /// A zone is evacuated: nothing is started there any more.
    Evacuated {
        /// Name of the zone.
        zone: String,
        /// Number of its hosts.
        hosts: usize,
        /// Number of attempts there, which go on.
        attempts: usize,
    },
    /// A zone is no longer evacuated.
    TakenBack {
        /// Name of the zone.
        zone: String,
        /// Number of its hosts.
        hosts: usize,
    },
    /// Nothing is started because evacuations have not been confirmed for too long.
    EvacuationsOutdated {
        /// Time since the last confirmation in milliseconds; `None` without one.
        age_ms: Option<u64>,
    },
    /// Evacuations are confirmed again, after a time without.
    EvacuationsConfirmed,
    /// Tasks of a job fit only on hosts in evacuated zones.
    JobEvacuated {
        /// Identifier of the waiting job.
        job: Id,
        /// Index of the first such step.
        step: usize,
        /// Zone of a host that they would fit on.
        zone: String,
    },
    /// The owner waits for the hosts that may run tasks of inherited jobs.
    TakeoverWaiting {
        /// Time since the takeover in milliseconds.
        waited_ms: u64,
        /// Number of hosts that have not reported.
        hosts: usize,
        /// Names of some of them.
        names: SmallVec<[String; 4]>,
        /// Number of inherited jobs with waiting tasks.
        jobs: usize,
    },
    /// The owner places the tasks of inherited jobs from now on.
    TakeoverCompleted {
        /// Time since the takeover in milliseconds.
        waited_ms: u64,
        /// Number of hosts that had not reported when the longest possible lease ended.
        unreported: usize,
    },
}
