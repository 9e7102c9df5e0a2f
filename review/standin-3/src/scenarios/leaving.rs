//! A worker is emptied and taken away while the machine of its companion stands still.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::{job, keep_logs};
use crate::{
    json::object,
    record::Record,
    system::System,
    worker::{Program, Started},
};

const ID: &str = "71c2aa3bd0e94f15";
/// Time for which a draining worker serves on after the acknowledgement, and a little longer.
const DRAIN: Duration = Duration::from_millis(3_500);
/// Time after which a worker ends whose deregistration isn't acknowledged.
const PATIENCE: Duration = Duration::from_millis(5_000);
const FREEZE: Duration = Duration::from_millis(2_500);
/// Overlap of two runs that is not counted, for the time that the end of a process takes.
const OVERLAP_MIN: Duration = Duration::from_millis(100);

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let system = System::start(3, 11, record)?;
    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 3_500_u64.into()),
        ("memMb", 6_400_u64.into()),
        ("estimateMs", 14_000_u64.into()),
    ]);
    let program = Program {
        count: 1,
        is_gang: false,
        is_perpetual: false,
        has_checkpoints: false,
        work: Duration::from_millis(14_000),
    };
    system.workers.know(ID, 0, program);
    if !system.submit(ID, &job("a long task", vec![step])) {
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    let index = system.workers.worker_of(&format!("{ID}.0.0.0"))?;
    if !system.workers.drain(index, DRAIN) {
        return None;
    }
    thread::sleep(DRAIN);
    let companion = &system.companions[index];
    if has_trouble {
        record.write(&format!("{} stands still", companion.name));
        companion.signal("-STOP");
        thread::sleep(Duration::from_millis(300));
    }
    let leaving = system.workers.clone();
    let left = thread::spawn(move || leaving.leave(index, PATIENCE));
    if has_trouble {
        thread::sleep(FREEZE - Duration::from_millis(300));
        companion.signal("-CONT");
        record.write(&format!("{} runs again", companion.name));
    }
    left.join().ok()?;
    let deadline = Instant::now() + Duration::from_secs(25);
    let mut state = String::new();
    while Instant::now() < deadline && state != "done" {
        thread::sleep(Duration::from_millis(500));
        state = system.state(0, ID);
    }
    record.write(&format!("client: the job is {state}"));
    keep_logs(&system, folder);
    let started = system.workers.lock().started.clone();
    Some(is_never_twice(&started, record))
}

/// Returns whether no task had two runs at the same time.
fn is_never_twice(started: &[Started], record: &Record) -> bool {
    let now = Instant::now();
    let mut is_kept = true;
    for (index, first) in started.iter().enumerate() {
        for second in &started[index + 1..] {
            let end = first
                .ended_at
                .unwrap_or(now)
                .min(second.ended_at.unwrap_or(now));
            let overlap = end.saturating_duration_since(first.at.max(second.at));
            if first.task != second.task || overlap < OVERLAP_MIN {
                continue;
            }
            record.write(&format!(
                "{} ran on {} from {:.3} and on {} from {:.3}, for {} ms at the same time",
                first.task,
                first.worker,
                record.seconds(first.at),
                second.worker,
                record.seconds(second.at),
                overlap.as_millis(),
            ));
            is_kept = false;
        }
    }
    is_kept
}
