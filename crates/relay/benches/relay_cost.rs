//! Cost of a token, and memory of a relay by the tokens that it keeps.

use std::fs;

use base::{AttemptNumber, prelude::*};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use relay::{ReadNumber, RelayEvent, RelayLimits, RelaySettings, StreamToken, TokenRelay};

const TOKENS: u32 = 1_000;
/// Relays of the memory figure.
const MEMORY_RELAYS: u64 = 10_000;
const MEMORY_TOKENS: u32 = 100;
const PAGE_BYTES: u64 = 4_096;

fn reading() -> TokenRelay {
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

fn token(index: u32) -> RelayEvent {
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

/// Resident bytes of a relay that keeps `tokens` tokens.
fn memory(tokens: u32) -> u64 {
    let before = resident_bytes();
    let fill = |_| {
        let mut relay = reading();
        for index in 0..tokens {
            relay.handle(TimePoint::default(), token(index));
        }
        relay
    };
    let relays: Vec<TokenRelay> = (0..MEMORY_RELAYS).map(fill).collect();
    let bytes = resident_bytes().saturating_sub(before) / MEMORY_RELAYS;
    drop(relays);
    bytes
}

fn bench(criterion: &mut Criterion) {
    // The fuller ones first, so that freed pages are not counted as unused.
    println!("memory: {} bytes with {MEMORY_TOKENS} tokens", memory(MEMORY_TOKENS));
    criterion.bench_function("relay/1000 tokens", |bencher| {
        bencher.iter_batched(
            reading,
            |mut relay| {
                for index in 0..TOKENS {
                    relay.handle(TimePoint::default(), token(index));
                }
                relay
            },
            BatchSize::SmallInput,
        );
    });
    println!("a relay without tokens: {} bytes", size_of::<TokenRelay>());
}

criterion_group!(benches, bench);
criterion_main!(benches);
