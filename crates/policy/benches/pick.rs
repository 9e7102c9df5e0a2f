//! Benchmarks routing decisions by the number of upstreams.

use std::{collections::VecDeque, hint::black_box};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_model::Time;
use toucanquay_policy::route::{Balancer, Decision, Key, Outcome, Request, Zone};

/// Numbers of upstreams and of the zones over which they are distributed.
const SIZES: [(usize, usize); 4] = [(11, 3), (200, 3), (2_000, 9), (22_000, 18)];

/// Number of requests that an upstream handles concurrently.
const SLOTS: u32 = 8;

/// Interval between requests, in microseconds.
const INTERARRIVAL_MICROS: u64 = 10;

/// Returns a balancer with 60 % of all slots in use, and the requests in flight.
fn loaded(upstreams: usize, zones: usize, rng: &mut StdRng) -> (Balancer, VecDeque<Key>) {
    let mut balancer = Balancer::new("0");
    for upstream in 0..upstreams {
        balancer.insert_warm(&(upstream % zones).to_string(), SLOTS, Time::ZERO);
    }
    let mut sent = VecDeque::new();
    while sent.len() * 10 < upstreams * SLOTS as usize * 6 {
        let request = Request::new(Time::NEVER);
        if let Decision::Send(key) = balancer.admit(&request, Time::ZERO, rng.random()) {
            sent.push_back(key);
        }
    }
    (balancer, sent)
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for (upstreams, zones) in SIZES {
        let mut rng = StdRng::seed_from_u64(1);
        let (balancer, _) = loaded(upstreams, zones, &mut rng);
        let router = balancer.router();
        let local_zone: Zone = router.iter().next().expect("there are upstreams").1.zone();
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| router.pick(local_zone, &[], Time::ZERO, black_box(rng.random())));
        });
    }
    group.finish();
}

/// Benchmarks admitting and finishing a request, with the tick that follows.
fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit_finish_tick");
    for (upstreams, zones) in SIZES {
        let mut rng = StdRng::seed_from_u64(1);
        let (mut balancer, mut sent) = loaded(upstreams, zones, &mut rng);
        let mut now = Time::ZERO;
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                now = now.plus_micros(INTERARRIVAL_MICROS);
                let request = Request::new(now.plus_millis(100));
                if let Decision::Send(key) = balancer.admit(&request, now, rng.random()) {
                    sent.push_back(key);
                }
                let key = sent.pop_front().expect("requests are in flight");
                balancer.finish(key, Outcome::Succeeded, 10_000, now);
                black_box(balancer.tick(now, rng.random()))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pick, admit);
criterion_main!(benches);
