//! Detection of workers that fail every task and of jobs that fail on every worker.

use rstest::rstest;
use toucanquay_model::{Time, job, worker};
use toucanquay_policy::quarantine::{Admission, Quarantine, Settings};

fn worker(index: usize) -> worker::Id {
    worker::Id(format!("w{index}"))
}

fn job(name: &str) -> job::Id {
    job::Id::from(name)
}

fn quarantine(workers: usize) -> Quarantine {
    let mut quarantine = Quarantine::new(Settings::default());
    for index in 0..workers {
        quarantine.add_worker(&worker(index));
    }
    quarantine
}

/// Records two outcomes of each of the jobs `a`, `b` and `c` on each worker. `fails` returns
/// whether they are failures.
fn record_outcomes(
    quarantine: &mut Quarantine,
    workers: usize,
    fails: impl Fn(usize, &str) -> bool,
) {
    for name in ["a", "b", "c"] {
        for index in 0..workers {
            for _ in 0..2 {
                let is_success = !fails(index, name);
                quarantine.record_outcome(&worker(index), &job(name), is_success, Time::ZERO);
            }
        }
    }
}

/// Guards against jobs being classified as faulty because one worker fails everything.
#[test]
fn faulty_worker_is_quarantined_and_no_job_is_faulty() {
    let mut quarantine = quarantine(8);

    record_outcomes(&mut quarantine, 8, |index, _| index == 3);

    assert_eq!(
        quarantine.admission(&worker(3), Time::ZERO),
        Admission::Denied
    );
    assert_eq!(quarantine.quarantined().count(), 1);
    for name in ["a", "b", "c"] {
        assert!(!quarantine.is_job_faulty(&job(name), Time::ZERO), "{name}");
    }
}

/// Guards against quarantining workers because of a job that fails everywhere.
#[test]
fn faulty_job_is_detected_and_no_worker_is_quarantined() {
    let mut quarantine = quarantine(8);

    record_outcomes(&mut quarantine, 8, |_, name| name == "b");

    assert!(quarantine.is_job_faulty(&job("b"), Time::ZERO));
    assert!(!quarantine.is_job_faulty(&job("a"), Time::ZERO));
    assert_eq!(quarantine.quarantined().count(), 0);
}

/// Guards against quarantining a worker that happens to run little besides a job that fails
/// everywhere.
#[test]
fn failures_explained_by_the_job_quarantine_no_worker() {
    let mut quarantine = quarantine(8);

    for index in 0..8 {
        quarantine.record_outcome(&worker(index), &job("a"), true, Time::ZERO);
        for _ in 0..6 {
            quarantine.record_outcome(&worker(index), &job("b"), false, Time::ZERO);
        }
    }

    assert_eq!(quarantine.quarantined().count(), 0);
    assert!(quarantine.is_job_faulty(&job("b"), Time::ZERO));
}

/// Guards against quarantining the whole cell when everything fails, for instance because a
/// dependency of all tasks is down.
#[rstest]
#[case(1, 0)]
#[case(4, 1)]
#[case(11, 2)]
fn quarantined_share_is_limited(#[case] workers: usize, #[case] quarantined_max: usize) {
    let mut quarantine = quarantine(workers);

    for _ in 0..20 {
        record_outcomes(&mut quarantine, workers, |_, _| true);
    }

    assert!(quarantine.quarantined().count() <= quarantined_max);
}

/// Guards against classifying a job as faulty while no worker succeeds with any job.
#[test]
fn no_job_is_faulty_when_everything_fails() {
    let mut quarantine = quarantine(8);

    record_outcomes(&mut quarantine, 8, |_, _| true);

    for name in ["a", "b", "c"] {
        assert!(!quarantine.is_job_faulty(&job(name), Time::ZERO), "{name}");
    }
}

/// Guards against a recovered worker staying in quarantine, and against concurrent probes.
#[test]
fn successful_probes_end_a_quarantine() {
    let mut quarantine = quarantine(8);
    record_outcomes(&mut quarantine, 8, |index, _| index == 3);
    let bad = worker(3);
    let first = Time::from_millis(30_000);
    assert_eq!(
        quarantine.admission(&bad, Time::from_millis(29_999)),
        Admission::Denied
    );
    assert_eq!(quarantine.admission(&bad, first), Admission::Probe);

    quarantine.start_probe(&bad, first);
    assert_eq!(quarantine.admission(&bad, first), Admission::Denied);
    quarantine.record_outcome(&bad, &job("a"), true, Time::from_millis(31_000));
    let second = Time::from_millis(31_000);
    assert_eq!(quarantine.admission(&bad, second), Admission::Probe);
    quarantine.start_probe(&bad, second);
    quarantine.record_outcome(&bad, &job("a"), true, Time::from_millis(32_000));

    assert_eq!(
        quarantine.admission(&bad, Time::from_millis(32_000)),
        Admission::Allowed
    );
}

/// Guards against outcomes of tasks started before the quarantine that prolong or end it.
#[rstest]
#[case(true)]
#[case(false)]
fn only_probes_change_a_quarantine(#[case] is_success: bool) {
    let mut quarantine = quarantine(8);
    record_outcomes(&mut quarantine, 8, |index, _| index == 3);
    let bad = worker(3);

    for _ in 0..9 {
        quarantine.record_outcome(&bad, &job("a"), is_success, Time::from_millis(1_000));
    }

    assert_eq!(
        quarantine.admission(&bad, Time::from_millis(29_999)),
        Admission::Denied
    );
    assert_eq!(
        quarantine.admission(&bad, Time::from_millis(30_000)),
        Admission::Probe
    );
}

/// Guards against frequent probes of a worker that does not recover.
#[test]
fn failed_probes_increase_the_interval() {
    let mut quarantine = quarantine(8);
    record_outcomes(&mut quarantine, 8, |index, _| index == 3);
    let bad = worker(3);
    let mut probes = 0;

    for second in 0..3_600 {
        let now = Time::from_millis(second * 1_000);
        if quarantine.admission(&bad, now) == Admission::Probe {
            quarantine.start_probe(&bad, now);
            quarantine.record_outcome(&bad, &job("a"), false, now);
            probes += 1;
        }
    }

    assert!((3..=10).contains(&probes), "{probes}");
}
