//! Fixtures: the real programs as separate processes, with stand-ins in the test's process.

#![expect(
    dead_code,
    reason = "each test file is a crate of its own and uses a part of the fixtures"
)]

pub mod cluster;
pub mod process;
pub mod transcript;

use std::time::Duration;

use tokio::time::Instant;

/// Longest wait for a state that must come about. It only bounds a failing run.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `look` gives a value.
///
/// # Panics
///
/// When that takes longer than the tests' patience.
pub async fn eventually<T, F>(condition: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "did not come about: {condition}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
