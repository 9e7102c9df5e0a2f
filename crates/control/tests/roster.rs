//! Tests of the membership of upstreams.

use rstest::{fixture, rstest};
use toucanquay_control::roster::{Roster, Settings, UpdateResult, UpstreamStatus};
use toucanquay_model::{Resources, Time, upstream::Announcement, worker};

fn announcement(incarnation: u64) -> Announcement {
    Announcement {
        worker: worker::Id::from("w"),
        incarnation,
        service: "lookup".to_owned(),
        team: "desk".to_owned(),
        zone: "a".to_owned(),
        rack: "r1".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 8,
        connections: 64,
        capacity: Resources::ZERO,
        cell: 0,
    }
}

fn healthy_status() -> UpstreamStatus {
    UpstreamStatus {
        is_healthy: true,
        ..UpstreamStatus::default()
    }
}

/// Returns a roster with incarnation 2 of one upstream.
#[fixture]
fn roster() -> Roster {
    let mut roster = Roster::new(Settings::default());
    roster.announce(announcement(2), Time::ZERO);
    roster
}

/// Guards against requests to an upstream before a heartbeat has reported it as healthy.
#[rstest]
fn upstream_is_available_after_its_first_heartbeat(mut roster: Roster) {
    let before = roster.available_members("lookup").count();

    roster.heartbeat(&worker::Id::from("w"), 2, 1, healthy_status(), Time::ZERO);

    assert_eq!((before, roster.available_members("lookup").count()), (0, 1));
}

/// Guards against a late heartbeat that restores the status of a former incarnation.
#[rstest]
fn late_heartbeats_are_ignored(mut roster: Roster) {
    let worker = worker::Id::from("w");
    roster.announce(announcement(3), Time::ZERO);
    roster.heartbeat(&worker, 3, 5, healthy_status(), Time::ZERO);

    let older = roster.heartbeat(&worker, 2, 9, UpstreamStatus::default(), Time::ZERO);
    let reordered = roster.heartbeat(&worker, 3, 4, UpstreamStatus::default(), Time::ZERO);
    let announced = roster.announce(announcement(2), Time::ZERO);

    assert_eq!([older, reordered, announced], [UpdateResult::Stale; 3]);
    assert_eq!(roster.available_members("lookup").count(), 1);
}

/// Guards against routing to a worker that is gone, and against a member that can't return after
/// its connection is restored.
#[rstest]
fn silent_upstream_expires_and_may_return(mut roster: Roster) {
    let worker = worker::Id::from("w");

    let expired = roster.remove_expired(Time::from_millis(3_000));
    let unknown = roster.heartbeat(&worker, 2, 1, healthy_status(), Time::from_millis(3_001));
    let joined = roster.announce(announcement(2), Time::from_millis(3_002));

    assert_eq!(expired.len(), 1);
    assert_eq!(
        [unknown, joined],
        [UpdateResult::Unknown, UpdateResult::Joined]
    );
}

/// Guards against a delayed message that adds an upstream again after it has left.
#[rstest]
fn upstream_that_left_stays_away(mut roster: Roster) {
    let worker = worker::Id::from("w");

    let left = roster.leave(&worker, 2, Time::ZERO);
    let late = roster.announce(announcement(2), Time::from_millis(1));
    let restarted = roster.announce(announcement(3), Time::from_millis(2));

    assert!(left);
    assert_eq!(
        [late, restarted],
        [UpdateResult::Stale, UpdateResult::Joined]
    );
}
