//! The models that an engine has, is loading, and was ordered to have.

use std::collections::BTreeSet;

use base::prelude::*;
use serde::Deserialize;

/// Body of `POST /orders`.
#[derive(Debug, Clone, Deserialize)]
pub struct ModelOrder {
    /// Fencing number of the order's giver.
    pub fence: u64,
    /// Models that should be loaded.
    pub models: Vec<ModelName>,
}

/// Models of one engine.
#[derive(Debug, Clone, Default)]
pub struct ModelTable {
    /// Models that answer calls.
    pub loaded: BTreeSet<ModelName>,
    /// Models on their way from the weight store.
    pub loading: BTreeSet<ModelName>,
    /// Highest fencing number accepted.
    pub fence: u64,
    wanted: BTreeSet<ModelName>,
}

impl ModelTable {
    /// A table with these models.
    pub fn new(models: &[ModelName]) -> Self {
        let loaded: BTreeSet<ModelName> = models.iter().cloned().collect();
        Self { wanted: loaded.clone(), loaded, ..Self::default() }
    }

    /// Takes an accepted order; gives the models to load and those it unloaded.
    pub fn order(&mut self, order: &ModelOrder) -> (Vec<ModelName>, Vec<ModelName>) {
        self.fence = self.fence.max(order.fence);
        self.wanted = order.models.iter().cloned().collect();
        let missing =
            self.wanted.iter().filter(|m| !self.loaded.contains(m) && !self.loading.contains(m));
        let missing: Vec<ModelName> = missing.cloned().collect();
        let unwanted: Vec<ModelName> = self.loaded.difference(&self.wanted).cloned().collect();
        self.loading.extend(missing.iter().cloned());
        self.loaded.retain(|model| self.wanted.contains(model));
        (missing, unwanted)
    }

    /// Ends a transfer; the model is there if it came and is still wanted.
    pub fn end_load(&mut self, model: &ModelName, came: bool) {
        self.loading.remove(model);
        if came && self.wanted.contains(model) {
            self.loaded.insert(model.clone());
        }
    }
}
