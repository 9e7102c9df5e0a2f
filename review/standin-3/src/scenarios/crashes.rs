//! Workers crash and start again, time after time, while jobs run.

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use super::{job, keep_logs};
use crate::{json::Json, record::Record, system::System, worker::Program};

const WORKERS: usize = 11;
const LASTING_JOBS: u64 = 6;
/// Interval between jobs that end.
const JOB_INTERVAL: Duration = Duration::from_millis(250);
/// Width of the widest job.
const WIDTH_MAX: u64 = 24;
/// Number of disruptions, and the shortest and the longest time between two of them.
const CRASHES: u32 = 40;
const CRASH_INTERVAL_MIN_MS: u64 = 200;
const CRASH_INTERVAL_MAX_MS: u64 = 1_400;
/// Time from a crash until the worker is back.
const DOWN: Duration = Duration::from_millis(700);
/// Share of the workers that crash at a time.
const SHARE: f64 = 0.14;

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let system = System::start(3, WORKERS, record)?;
    let mut jobs = Vec::new();
    for number in 0..LASTING_JOBS {
        let id = format!("a0000000000000{number:02x}");
        submit(&system, &id, 6, true).then(|| jobs.push(id));
    }
    let mut random = 0x2545_f491_4f6c_dd1d_u64;
    let mut next_crash_at = Instant::now() + Duration::from_secs(2);
    let mut crashes = 0;
    let mut backs: Vec<(Instant, usize)> = Vec::new();
    let mut next_job_at = Instant::now();
    let mut number = 0;
    while crashes < CRASHES || !backs.is_empty() {
        let now = Instant::now();
        if let Some(position) = backs.iter().position(|(at, _)| now >= *at) {
            let (_, index) = backs.remove(position);
            system.workers.begin(index);
        }
        if now >= next_crash_at && crashes < CRASHES {
            let spread_ms = CRASH_INTERVAL_MAX_MS - CRASH_INTERVAL_MIN_MS;
            let pause_ms = CRASH_INTERVAL_MIN_MS + draw(&mut random, spread_ms);
            next_crash_at += Duration::from_millis(pause_ms);
            crashes += 1;
            // 0.14 of 11 workers are one or two.
            let wanted = WORKERS as f64 * SHARE;
            let extra = (draw(&mut random, 1_000) as f64) < (wanted.fract() * 1_000.0);
            for _ in 0..wanted as usize + usize::from(extra) {
                let index = draw(&mut random, WORKERS as u64) as usize;
                if has_trouble && system.workers.is_up(index) {
                    system.workers.end(index, "crashes");
                    backs.push((now + DOWN, index));
                }
            }
        }
        if now >= next_job_at && crashes < CRASHES {
            next_job_at += JOB_INTERVAL;
            number += 1;
            let id = format!("b00000000000{number:04x}");
            let count = 1 + draw(&mut random, WIDTH_MAX);
            submit(&system, &id, count, false).then(|| jobs.push(id));
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(12));
    keep_logs(&system, folder);
    let mut states: BTreeMap<String, u64> = BTreeMap::new();
    let mut is_kept = true;
    let started = system.workers.lock().started.clone();
    for id in &jobs {
        let state = system.state(0, id);
        if state == "failed" {
            let runs = started
                .iter()
                .filter(|start| start.task.starts_with(id.as_str()));
            let failed = runs.clone().filter(|start| start.how == "failed").count();
            let lost = runs.filter(|start| start.how == "lost").count();
            record.write(&format!(
                "client: GET {id}: failed; of its runs {failed} ended failed, {lost} were lost with \
                 their worker"
            ));
            is_kept &= failed >= 2;
        }
        *states.entry(state).or_default() += 1;
    }
    record.write(&format!(
        "client: states of {} accepted jobs: {states:?}",
        jobs.len()
    ));
    Some(is_kept)
}

fn submit(system: &System, id: &str, count: u64, is_perpetual: bool) -> bool {
    let (cpu, work_ms) = if is_perpetual {
        (6_400, 1_000_000)
    } else {
        (480, 680)
    };
    let mut step = vec![
        ("count".to_owned(), count.into()),
        ("cpu".to_owned(), Json::from(cpu as u64)),
        ("memMb".to_owned(), 900_u64.into()),
        ("estimateMs".to_owned(), 680_u64.into()),
    ];
    if is_perpetual {
        step.push(("perpetual".to_owned(), true.into()));
    }
    let program = Program {
        count,
        is_gang: false,
        is_perpetual,
        has_checkpoints: false,
        work: Duration::from_millis(work_ms),
    };
    system.workers.know(id, 0, program);
    system.submit(id, &job("a job", vec![Json::Object(step)]))
}

/// Returns the next number of a fixed sequence, below a limit.
fn draw(state: &mut u64, below: u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 16) % below
}
