//! Processor time of the owner's state machine at 240, 1,000 and 5,000 workers, without messages
//! and the store: with room for all tasks, and with a backlog of plans that find no room.

#[path = "../tests/fleet/mod.rs"]
#[expect(dead_code, reason = "the fixtures are shared with tests")]
mod fleet;

use fleet::{Cost, Fleet, Load, load::submit_watches};

/// Length of a measurement, in milliseconds.
const RUN_MS: u64 = 3_000;

/// Time until the number of running tasks is steady, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

fn main() {
    println!("workers load starts/s updates_ms ticks_ms orders_ms commits_ms core_percent");
    for (workers, watches) in [(240, 47), (1_000, 196), (5_000, 980)] {
        for (name, factor) in [("steady", 1), ("double", 2), ("backlog", 12)] {
            let load = Load {
                lookup_interval_ms: (46 / factor.min(2)).max(1),
                plan_interval_ms: (280 / factor).max(1),
            };
            print_cost(workers, watches, name, load);
        }
    }
}

fn print_cost(workers: usize, watches: u64, name: &str, load: Load) {
    let mut fleet = Fleet::new(workers);
    submit_watches(&mut fleet, watches);
    load.run(&mut fleet, WARM_UP_MS);
    let starts_before = fleet.starts;
    fleet.cost = Cost::default();
    load.run(&mut fleet, RUN_MS);
    let cost = fleet.cost;
    let seconds = RUN_MS as f64 / 1e3;
    let millis = |duration: std::time::Duration| duration.as_secs_f64() * 1e3 / seconds;
    println!(
        "{workers} {name} {:.0} {:.1} {:.1} {:.1} {:.1} {:.1}",
        (fleet.starts - starts_before) as f64 / seconds,
        millis(cost.updates),
        millis(cost.ticks),
        millis(cost.orders),
        millis(cost.commits),
        millis(cost.total()) / 10.0,
    );
}
