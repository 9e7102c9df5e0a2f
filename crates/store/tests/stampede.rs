//! The load that many clients put on the store.

use std::{sync::mpsc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use toucanquay_standin::Store;
use toucanquay_store::Client;

const CLIENTS: usize = 40;
const CALLS_PER_SECOND: u32 = 10;

/// Time for which the process of the clients stands still.
const STANDSTILL: Duration = Duration::from_millis(400);

/// Steps in which the clock of a test advances.
const TICK: Duration = Duration::from_millis(5);

/// Turns that the runtime gets per step: a call and its response take a handful of them.
const YIELDS_PER_TICK: u32 = 16;

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

/// Returns the number of calls that the budgets of all clients grant in `time` after an outage, with
/// a probe of each client.
fn calls_granted_in(time: Duration) -> usize {
    let rate = CLIENTS * CALLS_PER_SECOND as usize;
    (rate as f64 * time.as_secs_f64()) as usize + CLIENTS
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

/// Returns a store that is down, its clients and the callers of these.
async fn start_outage() -> (Store, Vec<Client>, JoinSet<()>) {
    let store = Store::start().await.unwrap();
    let clients = clients(&store);
    store.set_down(true);
    let callers = spawn_callers(&clients);
    (store, clients, callers)
}

/// Clock of a test, which stands still while messages are on their way, however loaded the machine
/// is. The calls and the time of their arrival follow this clock.
#[derive(Debug)]
struct TestClock {
    /// A blocking task, until the end of the test, keeps the runtime from advancing its clock.
    _blocker: mpsc::Sender<()>,
}

impl TestClock {
    fn start() -> Self {
        tokio::time::pause();
        let (blocker, unblocked) = mpsc::channel();
        tokio::task::spawn_blocking(move || unblocked.recv());
        Self { _blocker: blocker }
    }

    /// Lets `time` pass, with time for each message to arrive in between.
    async fn run(&self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.skip(TICK).await;
        }
    }

    /// Lets `time` pass at once, as for a process that stands still.
    async fn skip(&self, time: Duration) {
        tokio::time::advance(time).await;
        for _ in 0..YIELDS_PER_TICK {
            tokio::task::yield_now().await;
        }
    }
}

/// Guards against a store that its clients overload when it recovers from an outage.
#[tokio::test]
async fn recovery_after_an_outage_stays_within_the_budget() {
    let clock = TestClock::start();
    let (store, clients, _callers) = start_outage().await;
    clock.run(Duration::from_millis(1_500)).await;

    let before = store.calls_total();
    let outage_observed_from = Instant::now();
    clock.run(Duration::from_secs(4)).await;
    let during = store.calls_total() - before;
    let outage_peak = store.max_calls_within(outage_observed_from, Duration::from_millis(100));
    let recovered_at = Instant::now();
    store.set_down(false);
    clock.run(Duration::from_secs(6)).await;

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

/// Guards against clients on several threads that send more than their budget after an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recovery_on_several_threads_stays_within_the_budget() {
    let (store, clients, _callers) = start_outage().await;
    sleep(Duration::from_millis(1_500)).await;
    let before_outage = store.calls_total();
    sleep(Duration::from_secs(4)).await;

    let before = store.calls_total();
    let recovered_at = Instant::now();
    store.set_down(false);
    for _ in 0..60 {
        sleep(Duration::from_millis(100)).await;
        let calls = (store.calls_total() - before) as usize;
        let granted = calls_granted_in(recovered_at.elapsed());
        assert!(calls <= granted, "{calls} calls, {granted} granted");
    }

    let during = before - before_outage;
    assert!(during <= 8 * CLIENTS as u64, "probes: {during}");
    assert!(clients.iter().all(Client::is_available));
}

/// Guards against clients that send more after a standstill of their process than they missed.
#[tokio::test]
async fn standstill_after_an_outage_adds_only_the_calls_that_it_held_up() {
    let clock = TestClock::start();
    let (store, _clients, _callers) = start_outage().await;
    clock.run(Duration::from_millis(1_500)).await;
    let recovered_at = Instant::now();
    store.set_down(false);
    clock.run(Duration::from_secs(3)).await;

    clock.skip(STANDSTILL).await;
    clock.run(Duration::from_millis(1_500)).await;

    let second_peak = store.max_calls_within(recovered_at, Duration::from_secs(1));
    let calls = store.max_calls_within(recovered_at, recovered_at.elapsed());
    println!("most in 1 s: {second_peak}, in all: {calls}");
    let second_peak_max = calls_granted_in(Duration::from_secs(1) + STANDSTILL);
    assert!(
        calls <= calls_granted_in(recovered_at.elapsed()),
        "in all: {calls}"
    );
    assert!(second_peak <= second_peak_max, "in 1 s: {second_peak}");
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
