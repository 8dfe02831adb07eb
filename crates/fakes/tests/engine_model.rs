//! The engine's step: memory, preemption, cancellation, cache and determinism.

use base::{AttemptNumber, prelude::*};
use fakes::engine::{AttemptKey, EngineModel, EngineRequest, EngineSettings};

fn key(number: u64) -> AttemptKey {
    AttemptKey { generation: GenerationId(number), attempt: AttemptNumber(0) }
}

fn request(number: u64, priority: u8, prompt: u32, length: u32) -> EngineRequest {
    EngineRequest {
        key: key(number),
        priority,
        prompt_tokens: TokenCount(prompt),
        prefix: number % 2,
        prefix_tokens: TokenCount(prompt / 2),
        length: TokenCount(length),
        produced: TokenCount(0),
    }
}

fn engine(blocks: u32) -> EngineModel {
    let settings = EngineSettings { total_blocks: BlockCount(blocks), ..EngineSettings::default() };
    EngineModel::new("engine-1".parse().unwrap(), 1, settings)
}

/// Runs to idleness; gives how many tokens each of `count` generations got.
fn run(engine: &mut EngineModel, count: u64) -> Vec<u32> {
    let mut now = TimePoint::default();
    let mut tokens = vec![0; count as usize];
    while !engine.is_idle() {
        let result = engine.step(now);
        assert!(result.until > now, "a step that takes no time would never end");
        now = result.until;
        for token in result.tokens {
            let produced = &mut tokens[token.key.generation.0 as usize];
            assert_eq!(token.index.0, *produced, "tokens come once and in order");
            *produced += 1;
        }
    }
    tokens
}

#[test]
fn every_generation_completes_through_preemptions() {
    let mut engine = engine(20);
    for number in 0..8 {
        engine.admit(request(number, (number % 3) as u8, 60, 100)).unwrap();
    }
    assert_eq!(run(&mut engine, 8), vec![100; 8]);
    assert!(engine.preemptions() > 0);
    assert!(engine.recomputed() > 0);
    assert_eq!(engine.report().used_blocks, BlockCount(0));
}

#[test]
fn the_least_urgent_and_latest_one_is_preempted() {
    let mut engine = engine(10);
    engine.admit(request(0, 0, 60, 80)).unwrap();
    engine.admit(request(1, 2, 60, 80)).unwrap();
    let mut now = TimePoint::default();
    let preempted = loop {
        let result = engine.step(now);
        now = result.until;
        if let Some(&key) = result.preempted.first() {
            break key;
        }
    };
    assert_eq!(preempted, key(1));
}

#[test]
fn a_cancelled_one_gives_its_memory_back() {
    let mut engine = engine(64);
    engine.admit(request(0, 1, 60, 80)).unwrap();
    let first = engine.step(TimePoint::default());
    engine.step(first.until);
    assert_eq!(engine.cancel(key(0)), Some(TokenCount(2)));
    assert_eq!(engine.cancel(key(0)), None);
    assert_eq!(engine.report().used_blocks, BlockCount(0));
}

#[test]
fn tiny_prompts_and_continuations_complete() {
    let mut engine = engine(64);
    engine.admit(request(0, 1, 1, 3)).unwrap();
    let continued = EngineRequest { produced: TokenCount(3), ..request(1, 1, 5, 4) };
    engine.admit(continued).unwrap();
    let first = engine.step(TimePoint::default());
    let indexes: Vec<u32> = first.tokens.iter().map(|token| token.index.0).collect();
    assert_eq!(indexes, vec![0, 3]);
}

#[test]
fn a_prefix_is_cached_and_published_once() {
    let mut engine = engine(64);
    engine.admit(request(0, 1, 60, 2)).unwrap();
    engine.admit(request(2, 1, 60, 2)).unwrap();
    run(&mut engine, 3);
    let events = engine.take_cache_events();
    assert_eq!(events.len(), 1);
    assert!(events[0].stored);
    engine.clear_cache();
    assert!(!engine.take_cache_events()[0].stored);
}
