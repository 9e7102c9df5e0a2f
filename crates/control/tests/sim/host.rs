//! Worker host with its companion and its task runtime.

use toucanquay_control::agent::{Agent, Settings};
use toucanquay_model::{Resources, Time, worker};

use super::{clock::Clock, runtime::Runtime};

/// Simulated worker host.
#[derive(Debug)]
pub struct Host {
    pub clock: Clock,
    pub capacity: Resources,
    /// Incremented when the host is replaced. Calls in flight to an earlier generation are lost.
    pub generation: u64,
    /// Number of times that the companion has been started.
    pub incarnation: u64,
    /// State machine of the companion, or `None` while the companion is down.
    pub agent: Option<Agent>,
    pub runtime: Runtime,
    /// Sequence number of the report that awaits a response, and when it was sent by the host's
    /// clock.
    pub outstanding_report: Option<(u64, Time)>,
    /// Simulated time at which a stopped companion starts again.
    pub restart_at: u64,
    /// Whether every task on this host fails.
    pub fails_all_tasks: bool,
    /// Configuration revision that the companion holds, also after a restart.
    pub revision: u64,
    /// Capacity violations that earlier incarnations of the companion counted.
    pub former_violations: u64,
}

impl Host {
    pub fn new(clock: Clock, capacity: Resources) -> Self {
        Self {
            clock,
            capacity,
            generation: 0,
            incarnation: 0,
            agent: None,
            runtime: Runtime::default(),
            outstanding_report: None,
            restart_at: 0,
            fails_all_tasks: false,
            revision: 1,
            former_violations: 0,
        }
    }

    /// Starts a new incarnation of the companion.
    pub fn start_agent(&mut self, worker_index: usize, now: u64) {
        self.incarnation += 1;
        let worker = worker::Id(format!("w{worker_index}"));
        let settings = Settings::new(worker, self.incarnation, self.capacity);
        let mut agent = Agent::new(settings, self.clock.read(now));
        agent.configure(self.revision, self.revision);
        self.agent = Some(agent);
        self.outstanding_report = None;
    }

    /// Stops the companion, to be started again at `restart_at`. The task runtime keeps running.
    pub fn stop_agent(&mut self, restart_at: u64) {
        if let Some(agent) = self.agent.take() {
            self.former_violations += agent.capacity_violations();
        }
        self.outstanding_report = None;
        self.restart_at = restart_at;
    }
}
