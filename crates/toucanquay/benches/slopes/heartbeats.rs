//! Cost of the heartbeats of many companions at one entry.

use std::{net::SocketAddr, time::Duration};

use tokio::{task::JoinSet, time::Instant};
use toucanquay_model::{Resources, upstream::Announcement};
use toucanquay_standin::Store;
use toucanquay_wire::{Frame, Pool, codec, heartbeat::Heartbeat};

use super::entry_process::EntryProcess;

/// Numbers of companions to measure.
const COMPANIONS: [u64; 4] = [0, 100, 200, 400];

/// Interval between heartbeats of a companion.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Duration of each measurement.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(8);

/// Prints the processor and memory usage of the entry for each number of companions.
pub async fn run() {
    println!(
        "heartbeats: companions, processor %, memory KB, frame bytes in and out per heartbeat"
    );
    for companions in COMPANIONS {
        let store = Store::start().await.expect("the store starts");
        let entry = EntryProcess::start(store.address());
        let address = entry.address("peer");
        let mut tasks = JoinSet::new();
        for number in 0..companions {
            tasks.spawn(send_heartbeats(address, number, companions));
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL * 3).await;
        let (seconds_before, started_at) = (entry.processor_seconds(), Instant::now());
        tokio::time::sleep(MEASUREMENT_WINDOW).await;
        let used_seconds = entry.processor_seconds() - seconds_before;
        let processor_percent = 100.0 * used_seconds / started_at.elapsed().as_secs_f64();
        let (sent, received) = frame_sizes(address).await;
        println!(
            "heartbeats: {companions}, {processor_percent:.3}, {}, {sent} and {received}",
            entry.memory_kb()
        );
    }
}

/// Sends the heartbeats of companion `number` out of `companions`. Never returns.
async fn send_heartbeats(entry: SocketAddr, number: u64, companions: u64) {
    // Starts are staggered over the interval, since real companions are not synchronized.
    tokio::time::sleep(HEARTBEAT_INTERVAL * u32::try_from(number).unwrap_or(0) / companions as u32)
        .await;
    let pool = Pool::new();
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    for sequence in 1.. {
        ticks.tick().await;
        let frame = Frame::Heartbeat(heartbeat(number, sequence));
        let deadline = Instant::now() + HEARTBEAT_INTERVAL;
        let _ = pool.call(entry, &frame, deadline).await;
    }
}

/// Returns the encoded sizes of a heartbeat without an announcement and of its reply.
async fn frame_sizes(entry: SocketAddr) -> (usize, usize) {
    let frame = Frame::Heartbeat(heartbeat(0, u64::from(u32::MAX)));
    let deadline = Instant::now() + HEARTBEAT_INTERVAL;
    let reply = Pool::new().call(entry, &frame, deadline).await;
    let encoded_length = |frame: &Frame| codec::encode(frame).map_or(0, |bytes| bytes.len());
    (
        encoded_length(&frame),
        reply.map_or(0, |reply| encoded_length(&reply)),
    )
}

fn heartbeat(number: u64, sequence: u64) -> Heartbeat {
    let worker = format!("worker-{number:05}");
    let announcement = Announcement {
        worker: worker.as_str().into(),
        incarnation: 1,
        service: format!("service-{}", number % 10),
        team: "team".to_owned(),
        zone: "a".to_owned(),
        rack: "1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        slots: 8,
        connections: 64,
        capacity: Resources::ZERO,
        cell: 0,
    };
    Heartbeat {
        worker: worker.as_str().into(),
        incarnation: 1,
        sequence,
        announcement: (sequence == 1).then_some(announcement),
        revision: 0,
        revision_known: 0,
        in_flight: 1,
        is_healthy: true,
        is_leaving: false,
        is_drained: false,
        tasks: 14,
    }
}
