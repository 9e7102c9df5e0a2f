//! Load of short lookups, wide plans that use idle processors, and perpetual sensitive tasks.

use toucanquay_model::{
    Resources,
    graph::{Queue, Step},
};

use super::{Fleet, POOL};

/// Number of tasks in a step of a lookup, a plan and a watch.
const LOOKUP_TASKS: u32 = 13;
const PLAN_TASKS: u32 = 40;
const WATCH_TASKS: u32 = 24;

/// Number of different images of plans and of watches.
const PLAN_IMAGES: u64 = 30;
const WATCH_IMAGES: u64 = 16;

/// Interval between two arrivals, in milliseconds. Zero means that none arrive.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub lookup_interval_ms: u64,
    pub plan_interval_ms: u64,
}

impl Load {
    /// Runs the load on a fleet for a time.
    pub fn run(&self, fleet: &mut Fleet, millis: u64) {
        let first_ms = fleet.now.as_millis();
        let (mut lookups, mut plans) = (0, 0);
        while fleet.now.as_millis() < first_ms + millis {
            let elapsed_ms = fleet.now.as_millis() - first_ms;
            while self.lookup_interval_ms > 0 && lookups * self.lookup_interval_ms <= elapsed_ms {
                lookups += 1;
                submit_lookup(fleet);
            }
            while self.plan_interval_ms > 0 && plans * self.plan_interval_ms <= elapsed_ms {
                plans += 1;
                submit_plan(fleet, plans);
            }
            fleet.step();
        }
    }
}

/// Fills the workers with perpetual sensitive tasks, 24 in a job.
pub fn submit_watches(fleet: &mut Fleet, jobs: u64) {
    for job in 0..jobs {
        let step = Step {
            tasks: WATCH_TASKS,
            demand: demand(6_400, 13_000),
            estimate_ms: 10_000_000,
            is_perpetual: true,
            image: Some(format!("watch-{}", job % WATCH_IMAGES)),
            latency_target_ms: Some(50),
            ..Step::default()
        };
        fleet.submit("watch", queue(0, 2.2), vec![step]);
    }
}

fn submit_lookup(fleet: &mut Fleet) {
    let step = Step {
        tasks: LOOKUP_TASKS,
        demand: demand(1_400, 2_800),
        estimate_ms: 540,
        ..Step::default()
    };
    let second = Step {
        after: [0].into_iter().collect(),
        ..step.clone()
    };
    fleet.submit("lookup", queue(0, 1.5), vec![step, second]);
}

fn submit_plan(fleet: &mut Fleet, number: u64) {
    let step = Step {
        tasks: PLAN_TASKS,
        demand: demand(3_500, 6_400),
        estimate_ms: 2_300,
        has_checkpoints: true,
        uses_idle: true,
        image: Some(format!("plan-{}", number % PLAN_IMAGES)),
        ..Step::default()
    };
    let second = Step {
        after: [0].into_iter().collect(),
        ..step.clone()
    };
    fleet.submit("plan", queue(2, 2.0), vec![step, second]);
}

const fn demand(processors_milli: u32, memory_mb: u32) -> Resources {
    Resources {
        processors_milli,
        memory_mb,
        accelerators: 0,
    }
}

fn queue(priority: u32, stretch: f64) -> Queue {
    Queue {
        pool: POOL.to_owned(),
        priority,
        attempts_max: 4,
        stretch,
        slack_ms: 1_000,
    }
}
