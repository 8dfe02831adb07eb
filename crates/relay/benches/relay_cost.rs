//! CPU time per relayed token, and resident memory per relay with and without buffered tokens.

use std::fs;

use base::{AttemptNumber, prelude::*};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use relay::{ReadNumber, RelayEvent, RelayLimits, RelaySettings, StreamToken, TokenRelay};

/// Tokens relayed per iteration of the time benchmark.
const TOKENS: u32 = 1_000;
/// Number of relays over which the memory measurement is averaged.
const MEMORY_RELAYS: u64 = 10_000;
/// Tokens buffered by each relay of the memory measurement.
const MEMORY_TOKENS: u32 = 100;
const PAGE_BYTES: u64 = 4_096;

/// A relay whose attempt 0 was placed.
fn placed_relay() -> TokenRelay {
    let mut relay = TokenRelay::new(RelaySettings {
        generation: GenerationId(1),
        streamed: true,
        continues_from_prefix: true,
        has_prompt: true,
        deadline: TimePoint::NEVER,
        detached_deadline: None,
        limits: RelayLimits::default(),
    });
    let runner = "engine".parse().expect("a valid name");
    relay.handle(TimePoint::default(), RelayEvent::Placed { runner });
    relay
}

fn token_event(index: u32) -> RelayEvent {
    let token = StreamToken {
        generation: GenerationId(1),
        attempt: AttemptNumber(0),
        index: TokenIndex(index),
        text: Arc::from("token "),
    };
    RelayEvent::Token { read: ReadNumber(0), token }
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Average resident bytes of a relay that buffers `tokens` tokens.
fn memory_per_relay(tokens: u32) -> u64 {
    let before = resident_bytes();
    let filled_relay = |_| {
        let mut relay = placed_relay();
        for index in 0..tokens {
            relay.handle(TimePoint::default(), token_event(index));
        }
        relay
    };
    let relays: Vec<TokenRelay> = (0..MEMORY_RELAYS).map(filled_relay).collect();
    let bytes = resident_bytes().saturating_sub(before) / MEMORY_RELAYS;
    drop(relays);
    bytes
}

fn relay_cost(criterion: &mut Criterion) {
    // Runs first: relays that reuse freed pages would not raise the resident size.
    println!(
        "memory per relay with {MEMORY_TOKENS} tokens: {} bytes",
        memory_per_relay(MEMORY_TOKENS)
    );
    criterion.bench_function("relay/1000 tokens", |bencher| {
        bencher.iter_batched(
            placed_relay,
            |mut relay| {
                for index in 0..TOKENS {
                    relay.handle(TimePoint::default(), token_event(index));
                }
                relay
            },
            BatchSize::SmallInput,
        );
    });
    println!("size of a relay without tokens: {} bytes", size_of::<TokenRelay>());
}

criterion_group!(benches, relay_cost);
criterion_main!(benches);
