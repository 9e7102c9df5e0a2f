//! Tasks that wait for a worker.

use std::collections::BTreeMap;

use toucanquay_model::{Resources, job::Urgency};

use super::{
    key::{JobKey, TaskKey, WorkerKey},
    room::Room,
};

/// Tasks that wait for a worker, by urgency and then in the order of submission.
///
/// Placement is first-fit. The tasks of one job have the same demand, so the first one that fits
/// nowhere ends the search for its job, and a job that never fits costs one search.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    lines: BTreeMap<(Urgency, u64), Line>,
}

/// The waiting tasks of one job.
#[derive(Debug, Clone)]
struct Line {
    job: JobKey,
    demand: Resources,
    /// Worker to avoid, by task.
    tasks: BTreeMap<u32, Option<WorkerKey>>,
}

impl Queue {
    /// Adds a task of the job that has place `rank`.
    pub(super) fn push(
        &mut self,
        rank: (Urgency, u64),
        task: TaskKey,
        demand: Resources,
        avoid: Option<WorkerKey>,
    ) {
        let line = self.lines.entry(rank).or_insert_with(|| Line {
            job: task.job,
            demand,
            tasks: BTreeMap::new(),
        });
        line.tasks.insert(task.index, avoid);
    }

    /// Removes one task.
    pub(super) fn remove(&mut self, rank: (Urgency, u64), index: u32) {
        if let Some(line) = self.lines.get_mut(&rank) {
            line.tasks.remove(&index);
            if line.tasks.is_empty() {
                self.lines.remove(&rank);
            }
        }
    }

    /// Removes all tasks of a job.
    pub(super) fn remove_job(&mut self, rank: (Urgency, u64)) {
        self.lines.remove(&rank);
    }

    /// Takes out up to `most` tasks that fit into `rooms` and that `admit` lets pass.
    pub(super) fn assign(
        &mut self,
        rooms: &mut [Room],
        most: usize,
        mut admit: impl FnMut(JobKey) -> bool,
    ) -> Vec<(TaskKey, WorkerKey)> {
        let mut assigned = Vec::new();
        for line in self.lines.values_mut() {
            line.assign(rooms, most, &mut admit, &mut assigned);
            if assigned.len() >= most {
                break;
            }
        }
        self.lines.retain(|_, line| !line.tasks.is_empty());
        assigned
    }
}

impl Line {
    fn assign(
        &mut self,
        rooms: &mut [Room],
        most: usize,
        admit: &mut impl FnMut(JobKey) -> bool,
        assigned: &mut Vec<(TaskKey, WorkerKey)>,
    ) {
        let before = assigned.len();
        for (index, avoid) in &self.tasks {
            let Some(room) = find(rooms, self.demand, *avoid) else {
                break;
            };
            if assigned.len() >= most || !admit(self.job) {
                break;
            }
            room.free = room.free.saturating_sub(&self.demand);
            let task = TaskKey {
                job: self.job,
                index: *index,
            };
            assigned.push((task, room.worker));
        }
        for (task, _) in &assigned[before..] {
            self.tasks.remove(&task.index);
        }
    }
}

/// Returns the first room that fits, other than the one to avoid if there is a choice.
fn find(rooms: &mut [Room], demand: Resources, avoid: Option<WorkerKey>) -> Option<&mut Room> {
    let fits = |room: &Room| demand.fits(&room.free);
    let place = rooms
        .iter()
        .position(|room| Some(room.worker) != avoid && fits(room))
        .or_else(|| rooms.iter().position(fits))?;
    rooms.get_mut(place)
}
