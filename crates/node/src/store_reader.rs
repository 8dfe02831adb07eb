//! Reads of the store whose answers belong to its newest era.

use std::rc::Rc;

use base::prelude::*;
use platform::{KeyedListing, PlatformError, StoreClient, StoreTopic};
use serving::{AnswerUse, StoreCursor};

use crate::context::NodeContext;

/// A listing of the newest era.
pub struct EraListing {
    /// Entries of the topic.
    pub listing: KeyedListing,
    /// Where to read later changes.
    pub end: StoreCursor,
}

/// Reads topics of the store.
pub struct StoreReader {
    context: Rc<NodeContext>,
    client: StoreClient,
}

impl StoreReader {
    /// Creates a reader.
    #[must_use]
    pub fn new(context: &Rc<NodeContext>, client: StoreClient) -> Self {
        Self { context: Rc::clone(context), client }
    }

    /// Reads the changes from `cursor` on, or lists the topic if that is `None`. Returns `None`
    /// if the cursor is void, so that the topic must be listed.
    ///
    /// # Errors
    /// [`PlatformError`], also for a listing of an older era that arrived late.
    pub async fn read_or_list(
        &self,
        topic: StoreTopic,
        cursor: Option<StoreCursor>,
        wait: TimeSpan,
    ) -> platform::Result<Option<EraListing>> {
        let asked_in = self.context.newest_era();
        if cursor.is_some_and(|cursor| cursor.era != asked_in) {
            self.record_drop(topic, cursor, "older era");
            return Ok(None);
        }
        let offset = cursor.map(|cursor| cursor.offset);
        let Some(listing) = self.client.read_or_list(topic, offset, wait).await? else {
            self.record_drop(topic, cursor, "records are gone");
            return Ok(None);
        };
        let answer_use = self.context.store_era.borrow().judge(cursor, asked_in, listing.era);
        match answer_use {
            AnswerUse::Apply(era) => {
                let end = StoreCursor { era, offset: listing.end };
                Ok(Some(EraListing { listing, end }))
            }
            AnswerUse::ListAgain => {
                self.record_drop(topic, cursor, "answer of another era");
                Ok(None)
            }
            AnswerUse::Discard => Err(PlatformError::InvalidResponse {
                step: "listing of a topic",
                peer: self.context.settings.store,
                reason: "it belongs to an older era of the store",
            }),
        }
    }

    fn record_drop(&self, topic: StoreTopic, cursor: Option<StoreCursor>, reason: &str) {
        let Some(cursor) = cursor else { return };
        let (era, offset) = (cursor.era.0, cursor.offset.0);
        tracing::info!(event = "cursor_dropped", %topic, era, offset, reason);
        self.context.metrics.cursors_dropped.inc();
    }
}
