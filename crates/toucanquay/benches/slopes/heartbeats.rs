//! Heartbeats of many companions at one entry.

use std::{net::SocketAddr, time::Duration};

use tokio::{task::JoinSet, time::Instant};
use toucanquay_model::{Resources, upstream::Announcement};
use toucanquay_standin::Store;
use toucanquay_wire::{Frame, Pool, codec, heartbeat::Heartbeat};

use super::program::Program;

/// Numbers of companions that are measured.
const COMPANIONS: [u64; 4] = [0, 100, 200, 400];

/// Time between two heartbeats of a companion.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the entry is measured.
const WINDOW: Duration = Duration::from_secs(8);

/// Prints the entry's use of processor and memory for each number of companions.
pub async fn run() {
    println!("heartbeats: companions, processor %, memory KB, frame bytes in and out a beat");
    for companions in COMPANIONS {
        let store = Store::start().await.expect("the store starts");
        let entry = Program::entry(store.address());
        let address = entry.address("peer");
        let mut tasks = JoinSet::new();
        for number in 0..companions {
            tasks.spawn(send(address, number, companions));
        }
        tokio::time::sleep(INTERVAL * 3).await;
        let (before, began) = (entry.processor_seconds(), Instant::now());
        tokio::time::sleep(WINDOW).await;
        let used = entry.processor_seconds() - before;
        let share = 100.0 * used / began.elapsed().as_secs_f64();
        let (sent, received) = sizes(address).await;
        println!(
            "heartbeats: {companions}, {share:.3}, {}, {sent} and {received}",
            entry.memory_kb()
        );
    }
}

async fn send(entry: SocketAddr, number: u64, of: u64) {
    // The beats are spread over the interval, as those of real companions are.
    tokio::time::sleep(INTERVAL * u32::try_from(number).unwrap_or(0) / of as u32).await;
    let pool = Pool::new();
    let mut ticks = tokio::time::interval(INTERVAL);
    for sequence in 1.. {
        ticks.tick().await;
        let frame = Frame::Heartbeat(beat(number, sequence));
        let deadline = Instant::now() + INTERVAL;
        let _ = pool.call(entry, &frame, deadline).await;
    }
}

/// Returns the encoded sizes of a heartbeat and its reply.
async fn sizes(entry: SocketAddr) -> (usize, usize) {
    let frame = Frame::Heartbeat(beat(0, u64::from(u32::MAX)));
    let deadline = Instant::now() + INTERVAL;
    let reply = Pool::new().call(entry, &frame, deadline).await;
    let length = |frame: &Frame| codec::encode(frame).map_or(0, |bytes| bytes.len());
    (length(&frame), reply.map_or(0, |reply| length(&reply)))
}

fn beat(number: u64, sequence: u64) -> Heartbeat {
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
