//! What is in force, folded from the log as a steward does it.

use base::{LogOffset, LogPage, PublishId, TimeSpan};
use config::{ConfigFollower, FollowerAction, FollowerEvent, FollowerSettings, HistoryEntry};
use kernel::{MonotonicClock, sleep};
use platform::{LogClient, Result as PlatformResult};

use crate::{Result, YardError};

/// The log's stream of published files.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Name under which the command line follows the log; it is no machine.
const READER_NAME: &str = "yard";
/// Time between two looks for a checkpoint.
const GAP_PAUSE: TimeSpan = TimeSpan::millis(500);
/// A retention so long that this reader never wants to write a checkpoint for its age.
const NO_RETENTION: TimeSpan = TimeSpan(u64::MAX);

/// Reads the log to its end, again and again.
pub(crate) struct ConfigReader {
    client: LogClient,
    clock: MonotonicClock,
    follower: ConfigFollower,
    /// A read that the follower wants and that was not done yet.
    pending: Option<(LogOffset, usize)>,
}

impl ConfigReader {
    /// A reader that has read nothing.
    pub fn new(client: LogClient) -> Self {
        let settings = FollowerSettings {
            seed: rand::random(),
            vm: READER_NAME.parse().expect("the name is an identifier"),
            retention: NO_RETENTION,
        };
        let follower = ConfigFollower::new(settings);
        Self { client, clock: MonotonicClock::new(), follower, pending: None }
    }

    /// The state as of the last read.
    pub fn follower(&self) -> &ConfigFollower {
        &self.follower
    }

    /// The history as it is shown.
    pub fn history(&self) -> Vec<config::HistoryLine> {
        self.follower.history().lines(self.clock.now())
    }

    /// The record of a publish, if it was read.
    pub fn find(&self, id: PublishId) -> Option<&HistoryEntry> {
        self.follower.history().entries().find(|entry| entry.id == id)
    }

    /// Reads up to the end of the log; where records have expired it waits within `limit`
    /// for a steward to write a checkpoint.
    ///
    /// # Errors
    /// As [`read_on`](Self::read_on).
    pub async fn read_within(&mut self, limit: TimeSpan) -> Result<()> {
        let deadline = self.clock.now() + limit;
        loop {
            match self.read_on().await {
                Err(YardError::LogGap(peer)) if self.clock.now() < deadline => {
                    eprintln!(
                        "records of the log at {peer} have expired; waiting for a checkpoint"
                    );
                    sleep(GAP_PAUSE.into()).await;
                }
                outcome => return outcome,
            }
        }
    }

    /// Reads up to the end of the log.
    ///
    /// # Errors
    /// [`YardError::Platform`], and [`YardError::LogGap`] if what is in force cannot be
    /// told from the log.
    pub async fn read_on(&mut self) -> Result<()> {
        loop {
            let Some((from, max)) = self.pending.take() else {
                self.tell(FollowerEvent::Tick);
                if self.pending.is_none() {
                    sleep(self.follower.next_wake().since(self.clock.now()).into()).await;
                }
                continue;
            };
            let page = self.read(from, max).await;
            let page = match page {
                Ok(page) => page,
                Err(error) => {
                    self.tell(FollowerEvent::ReadFailed);
                    return Err(error.into());
                }
            };
            self.tell(FollowerEvent::Page(page));
            if self.follower.has_gap() {
                return Err(YardError::LogGap(self.client.peer()));
            }
            if self.follower.is_caught_up() {
                return Ok(());
            }
        }
    }

    async fn read(&self, from: LogOffset, max: usize) -> PlatformResult<LogPage> {
        self.client.read(CONFIG_STREAM, from, TimeSpan(0), max).await
    }

    fn tell(&mut self, event: FollowerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.follower.handle(self.clock.now(), event) {
                match action {
                    FollowerAction::Read { from, max, .. } => self.pending = Some((from, max)),
                    // It has no peers, and writes nothing but publish records.
                    FollowerAction::RequestDelta { .. } => {
                        events.push(FollowerEvent::PeerDelta(None));
                    }
                    FollowerAction::WriteCheckpoint(_) => {
                        events.push(FollowerEvent::CheckpointEnded);
                    }
                    FollowerAction::InForce(_) => (),
                }
            }
        }
    }
}
