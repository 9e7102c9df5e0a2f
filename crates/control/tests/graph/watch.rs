//! Check that perpetual tasks run wherever there is room, by the users' rule.

use std::collections::{BTreeMap, BTreeSet};

use toucanquay_control::scheduler::Event;
use toucanquay_model::graph::Task;

/// Processors of a worker, and of a task.
const PROCESSORS: usize = 16;
const TASK_PROCESSORS: usize = 2;

/// Time since its last run, in milliseconds, after which a task must run again.
const AWAY_MS: u64 = 6_000;

/// Time without a run, in milliseconds, that breaks the rule if there is room throughout.
const ABSENCE_MS: u64 = 3_000;

/// Time without faults before that, in milliseconds.
const CALM_MS: u64 = 4_000;

/// What was seen of perpetual tasks and of the room on workers.
#[derive(Debug, Default)]
pub struct Watch {
    calm_since: u64,
    /// When each task ran last, or was submitted.
    ran_at: BTreeMap<Task, u64>,
    /// Since when each worker has had room for a task.
    room_since: BTreeMap<String, u64>,
    /// Last wait that the owner has reported for each task.
    waits: BTreeMap<Task, String>,
}

impl Watch {
    /// Keeps the waits that the owner reports.
    pub fn record_waits(&mut self, events: Vec<Event>) {
        for event in events {
            if let Event::Waiting { task, .. } = &event {
                self.waits.insert(*task, format!("{event:?}"));
            }
        }
    }

    /// Checks the tasks that must run against what the workers run.
    ///
    /// # Panics
    ///
    /// Panics if a task breaks the rule.
    pub fn check(
        &mut self,
        tasks: &BTreeSet<Task>,
        workers: &[(&str, BTreeSet<Task>)],
        is_calm: bool,
        now: u64,
    ) {
        if !is_calm {
            self.calm_since = now;
        }
        self.record_room(workers, now);
        self.ran_at.retain(|task, _| tasks.contains(task));
        for task in tasks {
            let is_running = workers.iter().any(|(_, running)| running.contains(task));
            let ran_at = self.ran_at.entry(*task).or_insert(now);
            if is_running {
                *ran_at = now;
            }
        }
        let room = self.room_since.iter().min_by_key(|(_, since)| **since);
        let Some((host, room_since)) = room else {
            return;
        };
        for (task, ran_at) in &self.ran_at {
            let absent_from = (ran_at + AWAY_MS).max(self.calm_since + CALM_MS);
            let is_broken = now >= absent_from.max(*room_since) + ABSENCE_MS;
            assert!(
                !is_broken,
                "{task} ran last at {ran_at} ms, and doesn't run at {now} ms, calm since {} ms; \
                 {host} has had room since {room_since} ms; the owner says {:?}",
                self.calm_since,
                self.waits.get(task)
            );
        }
    }

    fn record_room(&mut self, workers: &[(&str, BTreeSet<Task>)], now: u64) {
        let has_room =
            |running: &BTreeSet<Task>| (running.len() + 1) * TASK_PROCESSORS <= PROCESSORS;
        let with_room = workers.iter().filter(|(_, running)| has_room(running));
        let names: BTreeSet<&str> = with_room.map(|(name, _)| *name).collect();
        self.room_since
            .retain(|name, _| names.contains(name.as_str()));
        for name in names {
            self.room_since.entry(name.to_owned()).or_insert(now);
        }
    }
}
