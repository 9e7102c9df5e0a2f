//! Large scheduled jobs come at once. The platform kills a process that exceeds its memory, and
//! starts it again.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::keep_logs;
use crate::{
    json::{Json, object},
    record::Record,
    system::System,
    worker::Program,
};

const WORKERS: usize = 4;
const JOBS: u64 = 30;
/// Time over which the jobs come.
const BURST: Duration = Duration::from_millis(4_000);
const INTERVAL_MS: u64 = 2_000;
/// Occurrences of a job: one each 2 s for a day, and without the disruption for four minutes.
const TIMES: u64 = 43_200;
const TIMES_CALM: u64 = 120;
/// `memoryMb` of a front machine.
const MEMORY_MB: u64 = 260;
/// Time between two looks at the memory of the processes.
const POLL: Duration = Duration::from_millis(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const DURATION: Duration = Duration::from_secs(70);
/// `finish_s`: time after the end of the traffic from which on the jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running while the turn of a task has come, 3 s. The turn comes
/// at the latest one interval, 2 s, after the last run.
const IDLE_MAX: Duration = Duration::from_secs(5);

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let mut system = System::start(3, WORKERS, record)?;
    let begun_at = Instant::now();
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()?
        .as_millis() as u64;
    let times = if has_trouble { TIMES } else { TIMES_CALM };
    let mut ends = vec![0; system.entries.len()];
    let mut accepted = 0;
    for number in 0..JOBS {
        accepted += u64::from(submit(&system, number, times, now_ms + 5_000));
        let next_at = Instant::now() + BURST / JOBS as u32;
        while Instant::now() < next_at {
            kill_over_memory(&mut system, &mut ends, record);
            thread::sleep(POLL);
        }
    }
    let calm_from = Instant::now() + FINISH;
    let mut next_report_at = Instant::now();
    while begun_at.elapsed() < DURATION {
        thread::sleep(POLL);
        kill_over_memory(&mut system, &mut ends, record);
        if Instant::now() >= next_report_at {
            next_report_at += Duration::from_secs(5);
            let memory: Vec<u64> = system
                .entries
                .iter()
                .map(|entry| entry.memory_mb())
                .collect();
            let starts = system.workers.lock().started.len();
            record.write(&format!("memory {memory:?} MB, {starts} starts so far"));
        }
    }
    record.write(&format!(
        "{accepted} of {JOBS} jobs accepted; ends of the entries' processes: {ends:?}"
    ));
    keep_logs(&system, folder);
    let idle = longest_idle(&system, calm_from);
    record.write(&format!(
        "from 14 s after the last job on, no task ran for {} ms on end, although each job has a time \
         every 2 s and the workers are idle",
        idle.as_millis()
    ));
    (accepted > 0).then_some(idle < IDLE_MAX)
}

/// Returns the longest time without a running task from a time until now.
fn longest_idle(system: &System, from: Instant) -> Duration {
    let mut started = system.workers.lock().started.clone();
    started.sort_by_key(|start| start.at);
    let (mut idle_since, mut longest) = (from, Duration::ZERO);
    for start in started {
        longest = longest.max(start.at.saturating_duration_since(idle_since));
        idle_since = idle_since.max(start.ended_at.unwrap_or_else(Instant::now));
    }
    longest.max(Instant::now().saturating_duration_since(idle_since))
}

fn submit(system: &System, number: u64, times: u64, start_at_ms: u64) -> bool {
    let id = format!("a0000000000000{number:02x}");
    let program = Program {
        count: 1,
        is_gang: false,
        is_perpetual: false,
        has_checkpoints: false,
        work: Duration::from_millis(200),
    };
    system.workers.know(&id, 0, program);
    let step = object([
        ("count", 1_u64.into()),
        ("cpu", 500_u64.into()),
        ("memMb", 100_u64.into()),
        ("estimateMs", 200_u64.into()),
    ]);
    let job = object([
        ("spec", "a check each two seconds".into()),
        ("steps", Json::List(vec![step])),
        ("times", times.into()),
        ("startAtMs", start_at_ms.into()),
        ("intervalMs", INTERVAL_MS.into()),
    ]);
    system.submit(&id, &job)
}

/// Kills each entry that exceeds its memory, as the platform does, and starts it again.
fn kill_over_memory(system: &mut System, ends: &mut [u32], record: &Record) {
    for (entry, ends) in system.entries.iter_mut().zip(ends) {
        let memory_mb = entry.memory_mb();
        if memory_mb > MEMORY_MB {
            record.write(&format!("{} has {memory_mb} MB and is killed", entry.name));
            entry.kill();
            *ends += 1;
            thread::sleep(RESTART_DELAY);
            entry.restart();
        }
    }
}
