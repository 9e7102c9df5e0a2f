//! The load that many clients put on the store.

use std::time::Duration;

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use toucanquay_standin::Store;
use toucanquay_store::Client;

const CLIENTS: usize = 40;
const CALLS_PER_SECOND: u32 = 10;

fn clients(store: &Store) -> Vec<Client> {
    (0..CLIENTS)
        .map(|number| {
            Client::builder(store.address(), format!("entry-{number}"))
                .calls_per_second(CALLS_PER_SECOND)
                .call_deadline(Duration::from_millis(900))
                .build()
                .unwrap()
        })
        .collect()
}

/// Starts four tasks per client, each of which calls the store in a loop.
fn spawn_callers(clients: &[Client]) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for client in clients.iter().cycle().take(4 * clients.len()) {
        let client = client.clone();
        callers.spawn(async move {
            loop {
                let _ = client.get("a").await;
                sleep(Duration::from_millis(1)).await;
            }
        });
    }
    callers
}

/// Guards against a store that its clients overload when it recovers from an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recovery_after_an_outage_stays_within_the_budget() {
    let store = Store::start().await.unwrap();
    let clients = clients(&store);
    store.set_down(true);
    let _callers = spawn_callers(&clients);
    sleep(Duration::from_millis(1_500)).await;

    let before = store.calls_total();
    let outage_observed_from = Instant::now();
    sleep(Duration::from_secs(4)).await;
    let during = store.calls_total() - before;
    let outage_peak = store.max_calls_within(outage_observed_from, Duration::from_millis(100));
    let recovered_at = Instant::now();
    store.set_down(false);
    sleep(Duration::from_secs(6)).await;

    let peak = store.max_calls_within(recovered_at, Duration::from_millis(100));
    let second_peak = store.max_calls_within(recovered_at, Duration::from_secs(1));
    let available = clients
        .iter()
        .filter(|client| client.is_available())
        .count();
    println!("calls in 4 s of outage: {during}, most in 100 ms: {outage_peak}");
    println!(
        "after the return, most in 100 ms: {peak}, in 1 s: {second_peak}, available: {available}"
    );
    let rate = CLIENTS * CALLS_PER_SECOND as usize;
    assert_eq!(available, CLIENTS);
    assert!(during <= 8 * CLIENTS as u64, "probes: {during}");
    assert!(second_peak <= rate + CLIENTS, "in 1 s: {second_peak}");
    assert!(peak <= rate / 10 + CLIENTS, "in 100 ms: {peak}");
}

/// Guards against a client that sends the calls that accumulated during an outage in one burst.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_client_sends_no_burst() {
    let store = Store::start().await.unwrap();
    let client = &clients(&store)[..1];
    store.set_down(true);
    let _callers = spawn_callers(client);
    sleep(Duration::from_millis(2_500)).await;
    store.set_down(false);

    let probes = store.calls_total();
    while store.calls_total() == probes {
        sleep(Duration::from_millis(1)).await;
    }
    let recovered_at = Instant::now();
    sleep(Duration::from_millis(500)).await;

    let calls = store.max_calls_within(recovered_at, Duration::from_millis(500));
    println!("calls in the first 500 ms after the return: {calls}");
    assert!(calls <= CALLS_PER_SECOND as usize / 2 + 1, "{calls} calls");
}

/// Guards against a client that exceeds its budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_stays_within_its_budget() {
    let store = Store::start().await.unwrap();
    let clients = &clients(&store)[..1];
    let started_at = Instant::now();
    let _callers = spawn_callers(clients);

    sleep(Duration::from_secs(3)).await;

    let calls = store.calls_total();
    let seconds = started_at.elapsed().as_secs_f64();
    let calls_max = f64::from(CALLS_PER_SECOND) * (seconds + 1.0);
    assert!(
        calls as f64 <= calls_max + 1.0,
        "{calls} calls in {seconds} s"
    );
    assert!(calls >= 30, "{calls} calls in {seconds} s");
}
