//! A log and followers in virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use base::{LogOffset, LogPage, LogRecord, PublishId, TimePoint, TimeSpan};
use config::{
    ConfigFold, ConfigFollower, ConfigRecord, ConfigState, FileChange, FollowerAction,
    FollowerEvent, FollowerMember, FollowerSettings, PublishRecord,
};

/// Time of an exchange with the log or a peer.
const EXCHANGE: TimeSpan = TimeSpan::millis(5);
/// Time until a read in an outage fails.
const FAILURE: TimeSpan = TimeSpan::millis(100);

/// A log with retention and outages.
#[derive(Default)]
pub struct BenchLog {
    pub texts: Vec<(TimePoint, Arc<str>)>,
    pub first: usize,
    pub down: bool,
    /// Longest page that an exchange can carry, in bytes; 0 for any.
    pub max_page_bytes: usize,
}

impl BenchLog {
    pub fn append(&mut self, now: TimePoint, text: Arc<str>) -> LogOffset {
        self.texts.push((now, text));
        LogOffset(self.texts.len() as u64)
    }

    /// Expires all records before `offset`.
    pub fn trim(&mut self, offset: LogOffset) {
        self.first = offset.0 as usize - 1;
    }

    fn page(&self, now: TimePoint, from: LogOffset, max: usize) -> LogPage {
        let start = (from.0.max(1) as usize - 1).max(self.first);
        let records = self.texts.iter().enumerate().skip(start).take(max);
        LogPage {
            first: LogOffset(self.first as u64 + 1),
            next: LogOffset(self.texts.len() as u64 + 1),
            records: records
                .map(|(at, (appended, text))| LogRecord {
                    offset: LogOffset(at as u64 + 1),
                    text: Arc::clone(text),
                    age_ms: now.since(*appended).as_millis(),
                })
                .collect(),
        }
    }
}

/// One follower and its read in flight.
pub struct BenchNode {
    pub follower: ConfigFollower,
    pub alive: bool,
    pub in_force: Vec<LogOffset>,
    pub reads: u64,
    pub checkpoints: u64,
    poll: Option<(LogOffset, usize, TimePoint)>,
}

/// Followers, a log, and the pending events.
#[derive(Default)]
pub struct Bench {
    pub now: TimePoint,
    pub log: BenchLog,
    pub nodes: Vec<BenchNode>,
    /// Digests and deltas reach peers.
    pub peers_connected: bool,
    truth: RefCell<ConfigFold>,
    events: BTreeMap<(TimePoint, u64), (usize, FollowerEvent)>,
    count: u64,
}

impl Bench {
    pub fn new(nodes: usize, places: usize) -> Self {
        let mut bench = Self { peers_connected: true, ..Self::default() };
        for _ in 0..nodes {
            bench.add_node();
        }
        let members = bench.members(places);
        for node in 0..nodes {
            bench.feed(node, FollowerEvent::Members(members.clone()));
        }
        bench
    }

    pub fn members(&self, places: usize) -> Vec<FollowerMember> {
        let member = |at: usize| FollowerMember {
            vm: format!("vm-{at}").parse().unwrap(),
            place: format!("place-{}", at % places).parse().unwrap(),
        };
        (0..self.nodes.len()).map(member).collect()
    }

    pub fn add_node(&mut self) -> usize {
        let at = self.nodes.len();
        let settings = FollowerSettings {
            seed: at as u64 + 1,
            vm: format!("vm-{at}").parse().unwrap(),
            retention: TimeSpan::seconds(3_600),
        };
        self.nodes.push(BenchNode {
            follower: ConfigFollower::new(settings),
            alive: true,
            in_force: Vec::new(),
            reads: 0,
            checkpoints: 0,
            poll: None,
        });
        self.feed(at, FollowerEvent::Tick);
        at
    }

    pub fn publish(&mut self, path: &str, text: &str) -> LogOffset {
        let record = self.record(path, text);
        self.log.append(self.now, record.encode())
    }

    /// A publish of one file by somebody who has read the whole log.
    pub fn record(&self, path: &str, text: &str) -> ConfigRecord {
        let change = FileChange {
            path: Arc::from(path),
            base: self.truth().version(path),
            text: Some(Arc::from(text)),
        };
        ConfigRecord::Publish(PublishRecord {
            id: PublishId(self.log.texts.len() as u64),
            author: Arc::from("shift"),
            note: Arc::from(""),
            files: vec![change],
        })
    }

    /// The true state.
    pub fn truth(&self) -> ConfigState {
        let mut fold = self.truth.borrow_mut();
        while let Some((_, text)) = self.log.texts.get(fold.offset().0 as usize) {
            let next = fold.next();
            fold.apply(next, text);
        }
        (**fold.state()).clone()
    }

    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TimeSpan::millis(1);
            self.end_polls();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (node, event) = entry.remove();
                self.feed(node, event);
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].follower.next_wake() <= self.now {
                    self.feed(node, FollowerEvent::Tick);
                }
            }
            if self.peers_connected && self.now.0.is_multiple_of(TimeSpan::millis(500).0) {
                self.send_digests();
            }
        }
    }

    fn send_digests(&mut self) {
        let alive = |bench: &Self, node: usize| bench.nodes[node].alive;
        let best = (0..self.nodes.len()).filter(|node| alive(self, *node));
        let best = best.map(|node| self.nodes[node].follower.accepted()).max();
        for node in 0..self.nodes.len() {
            self.feed(node, FollowerEvent::PeerOffset(best.unwrap_or_default()));
        }
    }

    pub fn feed(&mut self, node: usize, event: FollowerEvent) {
        if !self.nodes[node].alive {
            return;
        }
        let state = Arc::clone(self.nodes[node].follower.state());
        let actions = self.nodes[node].follower.handle(self.now, event);
        let after = self.nodes[node].follower.state();
        assert!(after.offset >= state.offset, "node {node} went back");
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: FollowerAction) {
        match action {
            FollowerAction::Read { from, wait, max } => {
                assert!(self.nodes[node].poll.is_none(), "one read at a time");
                self.nodes[node].reads += 1;
                self.nodes[node].poll = Some((from, max, self.now + wait));
            }
            FollowerAction::RequestDelta { above } => {
                let peers =
                    self.nodes.iter().enumerate().filter(|(at, peer)| *at != node && peer.alive);
                let best = peers.max_by_key(|(_, peer)| peer.follower.state().offset);
                let delta = best
                    .filter(|_| self.peers_connected)
                    .map(|(_, peer)| Arc::new(peer.follower.state().delta(above)));
                self.later(EXCHANGE, node, FollowerEvent::PeerDelta(delta));
            }
            FollowerAction::WriteCheckpoint(text) => {
                self.nodes[node].checkpoints += 1;
                if !self.log.down {
                    self.log.append(self.now, text);
                }
                self.later(EXCHANGE, node, FollowerEvent::CheckpointEnded);
            }
            FollowerAction::InForce(offset) => {
                let earlier = self.nodes[node].in_force.last().copied().unwrap_or_default();
                assert!(offset >= earlier, "node {node} reverts");
                self.nodes[node].in_force.push(offset);
            }
        }
    }

    fn end_polls(&mut self) {
        for node in 0..self.nodes.len() {
            let Some((from, max, deadline)) = self.nodes[node].poll else { continue };
            let event = if self.log.down {
                FollowerEvent::ReadFailed
            } else {
                let page = self.log.page(self.now, from, max);
                if page.records.is_empty() && self.now < deadline {
                    continue;
                }
                let bytes: usize = page.records.iter().map(|record| record.text.len()).sum();
                if self.log.max_page_bytes > 0 && bytes > self.log.max_page_bytes {
                    FollowerEvent::ReadFailed
                } else {
                    FollowerEvent::Page(page)
                }
            };
            self.nodes[node].poll = None;
            let delay = if self.log.down { FAILURE } else { EXCHANGE };
            self.later(delay, node, event);
        }
    }

    fn later(&mut self, delay: TimeSpan, node: usize, event: FollowerEvent) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), (node, event));
    }
}
