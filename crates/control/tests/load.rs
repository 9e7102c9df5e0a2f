//! Tests that play a load on a fleet and check what clients get, and what it costs the owner.

#[expect(dead_code, reason = "the fixtures are shared with a benchmark")]
mod fleet;

use fleet::{Fleet, Load, load::submit_watches};

/// Number of workers of a large deployment, and of the perpetual jobs that fill most of them.
const WORKERS: usize = 240;
const WATCH_JOBS: u64 = 40;

/// Share of the jobs whose first task must start within [`FIRST_START_MS_MAX`].
const FIRST_START_SHARE: f64 = 0.95;
const FIRST_START_MS_MAX: u64 = 300;

/// Returns the delay within which the required share of a queue's jobs has started, in
/// milliseconds.
fn first_start_millis(fleet: &Fleet, queue: &str) -> u64 {
    let delays = fleet.first_start_millis(queue);
    delays[(delays.len() as f64 * FIRST_START_SHARE) as usize]
}

/// Guards against lookups that wait behind a backlog of plans: 23 lookups a second of 26 tasks each
/// beside four times the plans that find room.
#[test]
fn lookups_start_at_once_beside_a_backlog_of_plans() {
    let mut fleet = Fleet::new(WORKERS);
    submit_watches(&mut fleet, WATCH_JOBS);
    let load = Load {
        lookup_interval_ms: 43,
        plan_interval_ms: 70,
    };

    load.run(&mut fleet, 6_000);

    assert!(
        fleet.scheduler.load().waiting_idle > 1_000,
        "there is a backlog"
    );
    let delay_ms = first_start_millis(&fleet, "lookup");
    assert!(delay_ms <= FIRST_START_MS_MAX, "{delay_ms} ms");
}

/// Guards against placement whose cost is the product of the backlog and the hosts: it took seven
/// cores at this load, so the owner fell behind and the backlog grew. For each start it may score
/// every host once on average, however many tasks wait.
#[test]
fn cost_of_placement_does_not_grow_with_the_backlog() {
    let mut fleet = Fleet::new(WORKERS);
    submit_watches(&mut fleet, WATCH_JOBS);
    let load = Load {
        lookup_interval_ms: 43,
        plan_interval_ms: 30,
    };

    load.run(&mut fleet, 4_000);

    let state = fleet.scheduler.load();
    assert!(state.waiting_idle > 1_000, "there is a backlog");
    let scored_per_start = state.hosts_scored / fleet.starts;
    let most = WORKERS as u64;
    assert!(
        scored_per_start <= most,
        "{scored_per_start} hosts scored per start"
    );
}
