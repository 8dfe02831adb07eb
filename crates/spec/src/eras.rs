//! A store that comes back once from a copy: an operator who writes versions of a
//! configuration, two nodes that read them, and one of these that may be cut off from the store
//! and hears only from the other.

use base::prelude::*;
use serving::{AnswerUse, EraView, StoreCursor};

use crate::{ModelRun, explore};

/// A variant of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraVariant {
    /// As the product does it.
    Sound,
    /// A cursor is an offset alone.
    CursorWithoutEra,
    /// Changes that a node passes on name offsets without their era.
    UpdateWithoutEra,
    /// What the store lists replaces what a node knows.
    ListReplaces,
}

impl EraVariant {
    /// All of them.
    pub const ALL: [Self; 4] =
        [Self::Sound, Self::CursorWithoutEra, Self::UpdateWithoutEra, Self::ListReplaces];

    fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::CursorWithoutEra => "cursor without era",
            Self::UpdateWithoutEra => "update of a node without era",
            Self::ListReplaces => "list replaces what is known",
        }
    }
}

/// Versions that the operator writes; the second may get the offset of the first again.
const VERSIONS: u8 = 2;
/// Era of the store before it comes back.
const FIRST_ERA: StoreEra = StoreEra(1);
/// The node that always reaches the store.
const READER: usize = 0;
/// The node that may be cut off.
const FOLLOWER: usize = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EraStep {
    /// The operator writes the next version, and the store acknowledges it.
    Write,
    /// The operator writes the newest version again, since the store has lost it.
    WriteAgain,
    /// The store makes a copy.
    Copy,
    /// The store comes back from the copy.
    Return,
    /// A node sends a read.
    Ask(usize),
    /// The store answers it.
    Answer(usize),
    /// The answer arrives.
    Receive(usize),
    /// The follower is cut off from the store.
    CutOff,
    /// A heartbeat, with era and version, arrives at the given node.
    Hear(usize),
    /// The follower takes over the reader's position.
    Fetch,
    /// The reader's last changes arrive at the follower.
    ReceiveUpdate,
}

/// A read on its way.
#[derive(Debug, Clone, Hash)]
struct NodeRead {
    cursor: Option<StoreCursor>,
    asked_in: StoreEra,
    answer: Option<StoreAnswer>,
}

#[derive(Debug, Clone, Hash)]
struct StoreAnswer {
    era: StoreEra,
    /// Versions and the offset after them; `None` if the store does not have the position.
    page: Option<(Vec<u8>, LogOffset)>,
}

/// Changes that the reader passes on.
#[derive(Debug, Clone, Hash)]
struct NodeUpdate {
    from: StoreCursor,
    end: LogOffset,
    versions: Vec<u8>,
}

#[derive(Debug, Clone, Hash, Default)]
struct EraNode {
    view: EraView,
    cursor: Option<StoreCursor>,
    /// Version in force; 0 before the first.
    version: u8,
    /// Highest version that was in force.
    highest: u8,
    read: Option<NodeRead>,
}

impl EraNode {
    fn observe(&mut self, era: StoreEra) {
        self.view.observe(TimePoint::default(), era);
    }

    fn take(&mut self, version: u8) {
        self.version = self.version.max(version);
        self.highest = self.highest.max(self.version);
    }
}

#[derive(Debug, Clone, Hash)]
struct EraWorld {
    era: StoreEra,
    log: Vec<u8>,
    copied: Option<usize>,
    written: u8,
    is_cut_off: bool,
    nodes: [EraNode; 2],
    update: Option<NodeUpdate>,
}

impl EraWorld {
    fn end(&self) -> LogOffset {
        LogOffset(self.log.len() as u64)
    }

    /// The answer to a read that the store processes now.
    fn answer(&self, cursor: Option<StoreCursor>) -> StoreAnswer {
        let versions = match cursor {
            None => Some(self.log.last().copied().into_iter().collect()),
            Some(cursor) => self.log.get(cursor.offset.0 as usize..).map(<[u8]>::to_vec),
        };
        StoreAnswer { era: self.era, page: versions.map(|versions| (versions, self.end())) }
    }
}

/// Searches one variant.
#[must_use]
pub fn check_eras(variant: EraVariant) -> ModelRun {
    let start = EraWorld {
        era: FIRST_ERA,
        log: Vec::new(),
        copied: None,
        written: 0,
        is_cut_off: false,
        nodes: Default::default(),
        update: None,
    };
    explore(
        "eras",
        (variant.name(), variant != EraVariant::Sound),
        start,
        enabled,
        move |world, step| apply(variant, world, *step),
        violated,
    )
}

fn enabled(world: &EraWorld) -> Vec<EraStep> {
    let mut steps = Vec::new();
    if world.written < VERSIONS {
        steps.push(EraStep::Write);
    }
    let has_returned = world.era > FIRST_ERA;
    if has_returned && !world.log.contains(&world.written) {
        steps.push(EraStep::WriteAgain);
    }
    if !has_returned {
        steps.push(if world.copied.is_none() { EraStep::Copy } else { EraStep::Return });
    }
    for (number, node) in world.nodes.iter().enumerate() {
        let reaches_store = number == READER || !world.is_cut_off;
        match &node.read {
            None if reaches_store => steps.push(EraStep::Ask(number)),
            Some(NodeRead { answer: None, .. }) if reaches_store => {
                steps.push(EraStep::Answer(number));
            }
            Some(NodeRead { answer: Some(_), .. }) => steps.push(EraStep::Receive(number)),
            _ => (),
        }
        steps.push(EraStep::Hear(number));
    }
    if !world.is_cut_off {
        steps.push(EraStep::CutOff);
    }
    if world.nodes[READER].cursor.is_some() {
        steps.push(EraStep::Fetch);
    }
    if world.update.is_some() {
        steps.push(EraStep::ReceiveUpdate);
    }
    steps
}

fn apply(variant: EraVariant, world: &EraWorld, step: EraStep) -> EraWorld {
    let mut next = world.clone();
    match step {
        EraStep::Write => {
            next.written += 1;
            next.log.push(next.written);
        }
        EraStep::WriteAgain => next.log.push(world.written),
        EraStep::Copy => next.copied = Some(world.log.len()),
        EraStep::Return => {
            next.log.truncate(world.copied.unwrap_or(0));
            next.era = world.era.next();
        }
        EraStep::Ask(node) => ask(variant, &mut next.nodes[node]),
        EraStep::Answer(node) => {
            if let Some(read) = &mut next.nodes[node].read {
                read.answer = Some(world.answer(read.cursor));
            }
        }
        EraStep::Receive(node) => receive(variant, &mut next, node),
        EraStep::CutOff => next.is_cut_off = true,
        EraStep::Hear(node) => {
            let (era, version) =
                (world.nodes[1 - node].view.newest(), world.nodes[1 - node].version);
            next.nodes[node].observe(era);
            next.nodes[node].take(version);
        }
        EraStep::Fetch => fetch(&mut next),
        EraStep::ReceiveUpdate => receive_update(variant, &mut next),
    }
    next
}

fn ask(variant: EraVariant, node: &mut EraNode) {
    let asked_in = node.view.newest();
    let is_kept =
        |cursor: &StoreCursor| variant == EraVariant::CursorWithoutEra || cursor.era == asked_in;
    let cursor = node.cursor.filter(is_kept);
    node.read = Some(NodeRead { cursor, asked_in, answer: None });
}

fn receive(variant: EraVariant, world: &mut EraWorld, number: usize) {
    let node = &mut world.nodes[number];
    let Some(NodeRead { cursor, asked_in, answer: Some(answer) }) = node.read.take() else {
        return;
    };
    node.observe(answer.era);
    let judged = match variant {
        EraVariant::CursorWithoutEra => AnswerUse::Apply(node.view.newest()),
        _ => node.view.judge(cursor, asked_in, Some(answer.era)),
    };
    let (AnswerUse::Apply(era), Some((versions, end))) = (judged, answer.page) else {
        node.cursor = None;
        return;
    };
    if variant == EraVariant::ListReplaces && cursor.is_none() {
        node.version = versions.last().copied().unwrap_or(node.version);
    }
    for version in &versions {
        node.take(*version);
    }
    node.cursor = Some(StoreCursor { era, offset: end });
    if let Some(from) = cursor.filter(|_| number == READER) {
        world.update = Some(NodeUpdate { from, end, versions });
    }
}

/// The follower takes the reader's state, if its offset belongs to the era that it knows.
fn fetch(world: &mut EraWorld) {
    let (version, cursor) = (world.nodes[READER].version, world.nodes[READER].cursor);
    let follower = &mut world.nodes[FOLLOWER];
    if cursor.is_some_and(|cursor| cursor.era == follower.view.newest()) {
        follower.take(version);
        follower.cursor = cursor;
    }
}

/// The follower applies changes, unless there is a gap to what it has.
fn receive_update(variant: EraVariant, world: &mut EraWorld) {
    let Some(update) = world.update.take() else { return };
    let follower = &mut world.nodes[FOLLOWER];
    if variant != EraVariant::UpdateWithoutEra {
        follower.observe(update.from.era);
    }
    let newest = follower.view.newest();
    let has_era = |era: StoreEra| variant == EraVariant::UpdateWithoutEra || era == newest;
    let Some(cursor) = follower.cursor.filter(|cursor| has_era(cursor.era)) else { return };
    let follows = update.from.offset <= cursor.offset && cursor.offset <= update.end;
    if follows && has_era(update.from.era) {
        for version in &update.versions {
            follower.take(*version);
        }
        follower.cursor = Some(StoreCursor { era: newest, offset: update.end });
    }
}

fn violated(world: &EraWorld) -> Option<&'static str> {
    for node in &world.nodes {
        if node.version < node.highest {
            return Some("a configuration went back");
        }
        let Some(cursor) = node.cursor.filter(|cursor| cursor.era == world.era) else { continue };
        let Some(read) = world.log.get(..cursor.offset.0 as usize) else {
            return Some("a position lies past the end of its era");
        };
        if read.iter().any(|version| *version > node.version) {
            return Some("a node has read past a version that it does not have");
        }
    }
    None
}
