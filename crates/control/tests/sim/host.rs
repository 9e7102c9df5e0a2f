//! A worker host: its companion and its task runtime.

use toucanquay_control::agent::{Agent, Settings};
use toucanquay_model::{Resources, Time, worker};

use super::{clock::Clock, runtime::Runtime};

/// A worker host.
#[derive(Debug)]
pub struct Host {
    pub clock: Clock,
    pub capacity: Resources,
    /// Raised when the host is replaced; calls under way to the old one are lost.
    pub generation: u64,
    pub incarnation: u64,
    pub agent: Option<Agent>,
    pub runtime: Runtime,
    /// The report without answer: its sequence, and when it was sent by the host's clock.
    pub outstanding_report: Option<(u64, Time)>,
    pub restart_at: u64,
    /// Whether every task fails here.
    pub fails_all_tasks: bool,
    pub revision: u64,
    /// Violations that former companions counted.
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

    pub fn start_agent(&mut self, worker_index: usize, now: u64) {
        self.incarnation += 1;
        let worker = worker::Id(format!("w{worker_index}"));
        let settings = Settings::new(worker, self.incarnation, self.capacity);
        let mut agent = Agent::new(settings, self.clock.read(now));
        agent.configure(self.revision, self.revision);
        self.agent = Some(agent);
        self.outstanding_report = None;
    }

    pub fn stop_agent(&mut self, restart_at: u64) {
        if let Some(agent) = self.agent.take() {
            self.former_violations += agent.capacity_violations();
        }
        self.outstanding_report = None;
        self.restart_at = restart_at;
    }
}
