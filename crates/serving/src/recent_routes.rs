//! What is known of the routes that were used last.

use std::collections::BTreeMap;

use base::prelude::*;

/// Number of routes that are kept. Of more, the least recently used is dropped.
const MAX_ROUTES: usize = 256;

/// What is known of one route.
#[derive(Debug, Default)]
struct RecentRoute<T> {
    used_at: TimePoint,
    value: T,
}

/// What is known of each of the routes that were used last.
#[derive(Debug, Default)]
pub(crate) struct RecentRoutes<T> {
    routes: BTreeMap<Arc<str>, RecentRoute<T>>,
}

impl<T: Default> RecentRoutes<T> {
    /// What is known of a route, which is used now; the default for one that was not kept.
    pub(crate) fn get_or_insert(&mut self, now: TimePoint, route: &Arc<str>) -> &mut T {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, known)| known.used_at);
            if let Some(oldest) = oldest.map(|(name, _)| Arc::clone(name)) {
                self.routes.remove(&oldest);
            }
        }
        let known = self.routes.entry(Arc::clone(route)).or_default();
        known.used_at = now;
        &mut known.value
    }

    /// What is known of a route, which is used now; `None` if it is not kept.
    pub(crate) fn get_used(&mut self, now: TimePoint, route: &str) -> Option<&mut T> {
        let known = self.routes.get_mut(route)?;
        known.used_at = now;
        Some(&mut known.value)
    }

    /// What is known of a route, without a use of it; `None` if it is not kept.
    pub(crate) fn get(&self, route: &str) -> Option<&T> {
        self.routes.get(route).map(|known| &known.value)
    }

    /// Number of routes that are kept.
    pub(crate) fn len(&self) -> usize {
        self.routes.len()
    }
}
