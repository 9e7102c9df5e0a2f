//! Tests of the order in which jobs are placed and recorded at a peak.

#[expect(dead_code, reason = "not every test uses all fixtures")]
mod graph;

use graph::{accepted_job, at, attempt_status, cores, end, orders, owner, step, task, update};
use toucanquay_control::scheduler::{Commit, Scheduler, Settings};
use toucanquay_model::{
    graph::{AcceptedJob, Id, State, Step},
    session::{Ending, Phase, Start},
};

/// Returns a job whose steps run one after the other.
fn chain(steps: Vec<Step>) -> AcceptedJob {
    let after_previous = |(index, step): (u16, Step)| Step {
        after: index.checked_sub(1).into_iter().collect(),
        ..step
    };
    accepted_job((0..).zip(steps).map(after_previous).collect())
}

/// Returns a step of one task that fills the test worker.
fn whole_worker() -> Step {
    Step {
        demand: cores(16),
        ..step(1)
    }
}

/// Starts a task on `h1`, ends it, and returns the orders that follow.
fn starts_after_end(
    scheduler: &mut Scheduler,
    started: &Start,
    number: u64,
    millis: u64,
) -> Vec<Start> {
    let mut done = update("h1", number);
    done.ends
        .push(end(number, started.task, started.attempt, Ending::Done));
    scheduler.update(&done, at(millis));
    orders(scheduler, "h1", at(millis + 1)).starts
}

/// Guards against jobs that all end late at a peak because each one waits between its steps for
/// jobs that have yet to begin.
#[test]
fn started_job_comes_before_unstarted_ones() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(
        Id::new(2),
        chain(vec![whole_worker(), whole_worker()]),
        at(0),
    );
    let first = orders(&mut scheduler, "h1", at(1)).starts;
    // It has the earlier objective.
    scheduler.accept(Id::new(1), chain(vec![whole_worker()]), at(2));

    let next = starts_after_end(&mut scheduler, &first[0], 2, 100);

    assert_eq!(next[0].task, task(2, 1, 0));
}

/// Guards against jobs that begin when they can only be late, and make others late.
#[test]
fn job_that_can_meet_its_objective_comes_before_one_that_cannot() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), chain(vec![whole_worker()]), at(0));
    let first = orders(&mut scheduler, "h1", at(1)).starts;
    // The chain takes 1 s, its objective is 3 s. After 2.5 s too little time is left.
    scheduler.accept(Id::new(2), chain(vec![whole_worker()]), at(0));
    let mut fresh = chain(vec![whole_worker()]);
    fresh.unix_ms += 2_400;
    scheduler.accept(Id::new(3), fresh, at(2_400));
    scheduler.set_wall_clock(5_002_500, at(2_500));

    let next = starts_after_end(&mut scheduler, &first[0], 2, 2_500);

    assert_eq!(next[0].task, task(3, 0, 0));
}

/// Guards against a started job that keeps its place although its remaining steps can't end in
/// time.
#[test]
fn started_job_that_must_be_late_comes_after_others() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(
        Id::new(1),
        chain(vec![whole_worker(), whole_worker()]),
        at(0),
    );
    let first = orders(&mut scheduler, "h1", at(1)).starts;
    // The objective of job 1 is 5 s; its second step takes 1 s.
    let mut fresh = chain(vec![whole_worker()]);
    fresh.unix_ms += 4_500;
    scheduler.accept(Id::new(2), fresh, at(4_500));
    scheduler.set_wall_clock(5_004_700, at(4_700));

    let next = starts_after_end(&mut scheduler, &first[0], 2, 4_700);

    assert_eq!(next[0].task, task(2, 0, 0));
}

/// Guards against small tasks that are spread over all workers, so that a larger one fits nowhere.
#[test]
fn small_tasks_leave_room_for_a_large_one() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(4)]), at(0));
    scheduler.tick(at(1));
    let large = Step {
        demand: cores(12),
        ..step(1)
    };
    scheduler.accept(Id::new(2), accepted_job(vec![large]), at(2));

    let mut starts = orders(&mut scheduler, "h1", at(3)).starts;
    starts.extend(orders(&mut scheduler, "h2", at(3)).starts);

    assert_eq!(starts.len(), 5, "{starts:?}");
}

/// Guards against a stage that waits although a host has become free, because the search that found
/// no host is remembered.
#[test]
fn waiting_task_starts_when_a_host_becomes_free() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(
        Id::new(1),
        accepted_job(vec![Step {
            tasks: 2,
            ..whole_worker()
        }]),
        at(0),
    );
    scheduler.accept(Id::new(2), accepted_job(vec![whole_worker()]), at(0));
    let running = orders(&mut scheduler, "h1", at(1)).starts;
    let elsewhere = orders(&mut scheduler, "h2", at(1)).starts;
    for millis in 2..20 {
        scheduler.tick(at(millis));
    }

    let next = starts_after_end(&mut scheduler, &running[0], 2, 100);

    assert_eq!((running.len(), elsewhere.len()), (1, 1));
    assert_eq!(next[0].task, task(2, 0, 0));
}

/// Guards against attempt numbers that are used up by a gang that fits nowhere.
#[test]
fn gang_that_does_not_fit_uses_no_attempt_numbers() {
    let mut scheduler = owner(1, &["h1"]);
    let gang = Step {
        is_gang: true,
        ..step(9)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));
    for millis in 1..2_000 {
        scheduler.tick(at(millis));
    }
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(2_000));

    let starts = orders(&mut scheduler, "h1", at(2_001)).starts;

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].attempt % (1 << 20), 1);
}

/// Returns a scheduler in which `jobs` jobs of 60 tasks each have one ended task.
fn scheduler_with_changes(jobs: u64) -> Scheduler {
    let mut scheduler = owner(1, &["h1"]);
    for job in 1..=jobs {
        let small = Step {
            demand: cores(0),
            ..step(60)
        };
        scheduler.accept(Id::new(job), accepted_job(vec![small]), at(0));
    }
    orders(&mut scheduler, "h1", at(1));
    end_tasks(&mut scheduler, jobs, 0, 2);
    scheduler
}

/// Ends the task with this index in each job.
fn end_tasks(scheduler: &mut Scheduler, jobs: u64, index: u32, millis: u64) {
    let mut update = update("h1", u64::from(index) + 2);
    update.applied = 1;
    for job in 1..=jobs {
        let number = u64::from(index) * jobs + job;
        update
            .ends
            .push(end(number, task(job, 0, index), 0, Ending::Done));
        for other in index + 1..60 {
            update
                .runs
                .push(attempt_status(task(job, 0, other), 0, Phase::Running));
        }
    }
    scheduler.update(&update, at(millis));
}

fn recorded(commit: Option<Commit>) -> Vec<Id> {
    let records = commit.map(|commit| commit.records).unwrap_or_default();
    records.into_iter().map(|(id, _, _)| id).collect()
}

/// Guards against jobs whose progress is never recorded while others change all the time: their
/// ends are not acknowledged, and their workers list them again and again.
#[test]
fn job_that_changes_all_the_time_does_not_delay_the_record_of_others() {
    const JOBS: u64 = 40;
    let mut scheduler = scheduler_with_changes(JOBS);
    let mut seen = std::collections::BTreeSet::new();
    for round in 1..=4 {
        let now = at(u64::from(round) * 100);
        seen.extend(recorded(scheduler.next_commit(now)));
        scheduler.commit_succeeded(u64::from(round));
        end_tasks(&mut scheduler, JOBS, round, u64::from(round) * 100 + 1);
    }

    assert_eq!(seen.len(), JOBS as usize, "each job is recorded: {seen:?}");
}

/// Guards against an ended job that clients see as running because records of others come first.
#[test]
fn ended_job_is_recorded_first() {
    let mut scheduler = scheduler_with_changes(40);
    scheduler.cancel(Id::new(40), at(3));

    let first = recorded(scheduler.next_commit(at(100)));

    assert_eq!(first[0], Id::new(40));
    assert_eq!(scheduler.job_state(Id::new(40)), Some(State::Cancelled));
}

/// Guards against records that fall behind because each commit waits although the next one is
/// full.
#[test]
fn full_commit_does_not_wait() {
    let mut scheduler = scheduler_with_changes(40);
    let first = recorded(scheduler.next_commit(at(100)));
    scheduler.commit_succeeded(1);

    let second = recorded(scheduler.next_commit(at(101)));
    scheduler.commit_succeeded(2);
    let rest = recorded(scheduler.next_commit(at(102)));

    let most = Settings::default().commit_jobs_max;
    assert_eq!((first.len(), second.len()), (most, most));
    assert!(rest.is_empty(), "a commit that isn't full waits");
}
