//! Benchmark of an entry's cost per companion and per forwarded request.
//!
//! `cargo bench -p toucanquay --bench slopes` starts an entry process, sends it heartbeats of
//! simulated companions, and reads its processor time and memory from `/proc`. It then compares
//! requests through an entry and a companion with direct requests to the same upstream. The
//! argument `requests` skips the heartbeats.

mod entry_process;
mod heartbeats;
mod requests;

#[tokio::main]
async fn main() {
    // `cargo test --benches` does not pass `--bench`, and only checks that the benchmark builds.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    if !std::env::args().any(|argument| argument == "requests") {
        heartbeats::run().await;
    }
    requests::run().await;
}
