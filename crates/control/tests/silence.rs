//! Tests of the record of silent hosts.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{accepted_job, at, orders, step, update};
use rstest::rstest;
use toucanquay_control::{
    scheduler::{RestoredJob, Scheduler, Settings},
    silence::{Tracker, Unreached},
};
use toucanquay_model::{Time, graph::Id};

/// Returns hosts that have been unreached since `at(0)`, with the time by which their leases end.
fn unreached(hosts: &[(&str, Time)]) -> Vec<Unreached> {
    let named = hosts.iter();
    named
        .map(|(host, lease_end)| Unreached {
            host: (*host).to_owned(),
            since: at(0),
            lease_end: *lease_end,
        })
        .collect()
}

/// Guards against a host that gets orders while a record that names it is being written or removed.
#[test]
fn host_is_named_until_a_record_without_it_is_written() {
    let mut tracker = Tracker::new(5, []);
    let first = tracker.next_record(&unreached(&[("h1", at(6_400))]), 4, at(1_500));
    let is_named_at_once = tracker.may_name("h1");
    tracker.record_written(6);
    let second = tracker.next_record(&[], 4, at(1_600));
    let is_named_meanwhile = tracker.may_name("h1");
    tracker.record_written(7);

    let first = first.expect("a record");
    assert_eq!((first.revision, first.remaining_ms["h1"]), (5, 4_900));
    assert_eq!(second.expect("a record").revision, 6);
    assert!(is_named_at_once && is_named_meanwhile);
    assert!(!tracker.may_name("h1"));
}

/// Guards against a host that is no longer regarded as named after a write that was rejected.
#[test]
fn host_stays_named_after_a_rejected_record() {
    let hosts = unreached(&[("h2", at(6_400))]);
    let mut tracker = Tracker::new(5, ["h1".to_owned()]);
    let _ = tracker.next_record(&hosts, 4, at(250));
    tracker.record_rejected(9);
    let is_named = tracker.may_name("h1") && tracker.may_name("h2");

    let again = tracker.next_record(&hosts, 4, at(300));

    assert!(is_named);
    assert_eq!(again.expect("a record").revision, 9);
}

/// Guards against many writes while hosts fall silent one after another, or return.
#[rstest]
#[case::fallen_silent_soon(&["h1", "h2"], 749, false)]
#[case::fallen_silent_later(&["h1", "h2"], 750, true)]
#[case::returned_soon(&[], 299, false)]
#[case::returned_later(&[], 300, true)]
fn further_changes_are_recorded_together(
    #[case] hosts: &[&str],
    #[case] millis: u64,
    #[case] is_due: bool,
) {
    let lease_end = at(6_400);
    let mut tracker = Tracker::default();
    let _ = tracker.next_record(&unreached(&[("h1", lease_end)]), 4, at(250));
    tracker.record_written(1);
    let hosts: Vec<_> = hosts.iter().map(|host| (*host, lease_end)).collect();

    let record = tracker.next_record(&unreached(&hosts), 4, at(millis));

    assert_eq!(record.is_some(), is_due);
}

/// Guards against hosts that are recorded as silent while an owner is opening its sessions.
#[rstest]
#[case::few(4, 250, true)]
#[case::most(3, 999, false)]
#[case::most_for_long(3, 1_000, true)]
fn hosts_are_silent_later_if_most_are_unreached(
    #[case] hosts: usize,
    #[case] millis: u64,
    #[case] is_due: bool,
) {
    let mut tracker = Tracker::default();
    let both = unreached(&[("h1", at(6_400)), ("h2", at(6_400))]);

    let record = tracker.next_record(&both, hosts, at(millis));

    assert_eq!(record.is_some(), is_due);
}

/// Guards against a record that outgrows what the store takes, so that none of its hosts ever gets
/// orders again.
#[test]
fn record_names_a_bounded_number_of_hosts() {
    let names: Vec<String> = (0..3_000).map(|number| format!("h{number}")).collect();
    let hosts: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), at(6_400)))
        .collect();
    let mut tracker = Tracker::default();

    let record = tracker.next_record(&unreached(&hosts), 10_000, at(250));

    assert_eq!(record.expect("a record").remaining_ms.len(), 1_000);
    assert!(!tracker.may_name("h999"));
}

/// Guards against a new owner that forgets which hosts the former one has recorded, because it has
/// itself not tried for long to reach them.
#[test]
fn host_that_a_former_owner_has_recorded_stays_recorded() {
    let mut tracker = Tracker::new(5, ["h1".to_owned()]);

    let record = tracker.next_record(&unreached(&[("h1", at(6_400))]), 4, at(100));

    assert_eq!(record, None);
    assert!(tracker.may_name("h1"));
}

/// Returns a new owner that has inherited a job with one task, and has heard `h1`, but not `h2`.
fn owner_that_awaits_a_host() -> Scheduler {
    let hosts = ["h1".to_owned(), "h2".to_owned()];
    let mut scheduler = Scheduler::new(Settings::default(), 2, hosts, at(0));
    scheduler.extend_ownership(at(100_000));
    let job = accepted_job(vec![step(1)]);
    scheduler.restore(Id::new(1), job, RestoredJob::default(), at(0));
    scheduler.connect("h1");
    scheduler.update(&update("h1", 1), at(1));
    scheduler
}

/// Guards against inherited jobs that wait for a host longer than its lease can last.
#[rstest]
#[case::while_it_lasts(1_999, 0)]
#[case::after_its_end(2_000, 1)]
fn owner_waits_for_a_silent_host_until_its_lease_has_ended(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.end_leases_by("h2", at(2_000));

    assert_eq!(
        orders(&mut scheduler, "h1", at(millis)).starts.len(),
        starts
    );
}

/// Guards against leases that are counted from the takeover, although the former owner had stopped
/// giving orders before.
#[rstest]
#[case::while_they_last(5_999, 0)]
#[case::after_their_end(6_000, 1)]
fn leases_count_from_the_last_orders_of_the_former_owner(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut scheduler = owner_that_awaits_a_host();
    let acted_until = Time::from_micros(at(0).as_micros() - 400_000);

    scheduler.end_orders_by(acted_until);

    assert_eq!(
        orders(&mut scheduler, "h1", at(millis)).starts.len(),
        starts
    );
}

/// Guards against a record that lets a host's lease end before one that this owner has granted.
#[test]
fn lease_end_covers_what_this_owner_and_a_former_one_have_granted() {
    let mut scheduler = owner_that_awaits_a_host();
    scheduler.end_leases_by("h2", at(2_000));
    let inherited = scheduler.lease_end_bound("h2");
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(500));

    let granted = scheduler.lease_end_bound("h2");

    assert_eq!((inherited, granted), (at(2_000), at(6_900)));
}
