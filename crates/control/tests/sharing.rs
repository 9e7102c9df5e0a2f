//! Tests of the owner's part in interference: placement of latency-sensitive tasks and of tasks
//! that use idle processors, and the effects that are sent to companions.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{accepted_job, at, cores, orders, owner, step, update};
use toucanquay_control::scheduler::Scheduler;
use toucanquay_model::graph::{Id, Step};

/// Returns a step with one latency-sensitive task.
fn sensitive_step() -> Step {
    Step {
        image: Some("feed".to_owned()),
        latency_target_ms: Some(50),
        is_perpetual: true,
        ..step(1)
    }
}

/// Returns a step with one task that uses idle processors.
fn idle_step() -> Step {
    Step {
        image: Some("plan".to_owned()),
        uses_idle: true,
        ..step(1)
    }
}

/// Returns an owner with a worker of 4 processors on `small` and one of 8 on `large`.
fn owner_with_two_worker_sizes() -> Scheduler {
    let mut scheduler = owner(1, &["large", "small"]);
    for (host, processors) in [("small", 4), ("large", 8)] {
        let mut update = update(host, 2);
        if let Some(worker) = &mut update.worker {
            worker.capacity.processors_milli = cores(processors).processors_milli;
        }
        scheduler.update(&update, at(1));
    }
    scheduler
}

fn accept(scheduler: &mut Scheduler, job: u64, step: Step) {
    scheduler.accept(Id::new(job), accepted_job(vec![step]), at(2));
    scheduler.tick(at(2));
}

/// Guards against losing the idle processors of a large worker to a single sensitive task.
#[test]
fn first_sensitive_task_goes_where_it_affects_fewer_processors() {
    let mut scheduler = owner_with_two_worker_sizes();

    accept(&mut scheduler, 1, sensitive_step());
    accept(&mut scheduler, 2, sensitive_step());

    let small = orders(&mut scheduler, "small", at(3));
    let large = orders(&mut scheduler, "large", at(3));
    assert_eq!((small.starts.len(), large.starts.len()), (2, 0));
}

/// Guards against a companion that has no estimates to pace by: the effects between the images on
/// its worker are sent with the start.
#[test]
fn effects_are_told_with_the_start() {
    let mut scheduler = owner(1, &["h1"]);

    accept(&mut scheduler, 1, sensitive_step());
    accept(&mut scheduler, 2, idle_step());

    let orders = orders(&mut scheduler, "h1", at(3));
    let images: Vec<u32> = orders
        .starts
        .iter()
        .map(|start| start.profile.image)
        .collect();
    let [effect] = orders.effects.as_slice() else {
        panic!("expected effects of one pair of images, got {orders:?}");
    };
    assert_eq!(images, [effect.sensitive, effect.other]);
    assert!(effect.percent > 0 && effect.deviation_percent > 0);
}

/// Guards against placing a task that uses idle processors beside a sensitive task while another
/// worker has none.
#[test]
fn task_that_uses_idle_processors_goes_where_nobody_feels_it() {
    let mut scheduler = owner_with_two_worker_sizes();
    accept(&mut scheduler, 1, sensitive_step());

    accept(&mut scheduler, 2, idle_step());

    let small = orders(&mut scheduler, "small", at(3));
    let large = orders(&mut scheduler, "large", at(3));
    assert_eq!((small.starts.len(), large.starts.len()), (1, 1));
}
