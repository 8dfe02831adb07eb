//! What can happen next.

use base::prelude::*;
use config::{ConfigFold, ConfigRecord};

use super::ConfigVariant;
use super::world::ConfigWorld;

#[derive(Debug, Clone)]
pub(super) enum ConfigStep {
    /// An operator publishes by what a reader has in force.
    Publish(usize),
    /// A reader writes a checkpoint, which may be appended much later.
    Checkpoint(usize),
    Append(Arc<str>),
    /// An append takes effect, its answer is lost, and it is repeated.
    AppendTwice(Arc<str>),
    Expire,
    Read(usize),
    /// A reader takes the state of the other one.
    TakePeer(usize),
    Restart(usize),
}

pub(super) fn enabled(world: &ConfigWorld) -> Vec<ConfigStep> {
    let mut steps = Vec::new();
    for reader in 0..world.readers.len() {
        steps.extend([ConfigStep::Read(reader), ConfigStep::TakePeer(reader)]);
        if world.left.publishes > 0 {
            steps.push(ConfigStep::Publish(reader));
        }
        if world.left.checkpoints > 0 && world.readers[reader].offset().0 > 0 {
            steps.push(ConfigStep::Checkpoint(reader));
        }
        if world.left.restarts > 0 {
            steps.push(ConfigStep::Restart(reader));
        }
    }
    for text in &world.wire {
        steps.push(ConfigStep::Append(text.clone()));
        if world.left.repeats > 0 {
            steps.push(ConfigStep::AppendTwice(text.clone()));
        }
    }
    if world.left.expiries > 0 && world.expired < world.records.len() {
        steps.push(ConfigStep::Expire);
    }
    steps
}

pub(super) fn apply(world: &ConfigWorld, step: &ConfigStep, variant: ConfigVariant) -> ConfigWorld {
    let mut next = world.clone();
    let mut restarted = None;
    match step {
        ConfigStep::Publish(reader) => next.publish(*reader),
        ConfigStep::Checkpoint(reader) => next.checkpoint(*reader),
        ConfigStep::Append(text) => {
            next.wire.remove(text);
            next.records.push(text.clone());
        }
        ConfigStep::AppendTwice(text) => {
            next.left.repeats -= 1;
            next.records.push(text.clone());
        }
        ConfigStep::Expire => {
            next.left.expiries -= 1;
            next.expired += 1;
        }
        ConfigStep::Read(reader) => read(&mut next, *reader, variant),
        ConfigStep::TakePeer(reader) => {
            let peer = next.readers[1 - *reader].state().clone();
            let fold = &mut next.readers[*reader];
            if variant == ConfigVariant::AnyPeerState {
                *fold = ConfigFold::new();
            }
            fold.adopt(&peer.delta(fold.offset()));
        }
        ConfigStep::Restart(reader) => {
            next.left.restarts -= 1;
            next.readers[*reader] = ConfigFold::new();
            restarted = Some(*reader);
        }
    }
    next.check(&world.readers, restarted);
    next
}

/// The next record, or a checkpoint if that one is gone.
fn read(next: &mut ConfigWorld, reader: usize, variant: ConfigVariant) {
    let offset = next.readers[reader].next();
    if let Some(text) = next.record(offset).cloned() {
        let fold = &mut next.readers[reader];
        if variant == ConfigVariant::AnyBase
            && let Ok(ConfigRecord::Publish(mut publish)) = ConfigRecord::decode(&text)
        {
            let file = &mut publish.files[0];
            file.base = fold.state().version(&file.path);
            fold.apply_record(offset, &ConfigRecord::Publish(publish));
            return;
        }
        fold.apply(offset, &text);
        return;
    }
    let first = next.first();
    for (at, mut checkpoint) in next.checkpoints() {
        if variant == ConfigVariant::GapAfterCheckpoint && checkpoint.state.offset < first {
            checkpoint.state.offset = LogOffset(first.0 - 1);
        }
        next.readers[reader].start_from(&checkpoint, at, first);
    }
}
