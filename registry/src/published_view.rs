//! The durable endpoint list as readers see it. An update that several readers need is encoded once
//! and cached.

use crate::endpoint::EndpointChange;
use crate::endpoint_registry::EndpointRegistry;
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The maximum number of encoded deltas in the cache.
const MAX_CACHED_DELTAS: usize = 64;

/// An encoded update, and the revision of a reader's list after it.
#[derive(Clone)]
pub struct EncodedUpdate {
    pub revision: u64,
    pub json: Bytes,
}

struct CachedDelta {
    from_revision: u64,
    update: EncodedUpdate,
}

struct Inner {
    registry: EndpointRegistry,
    snapshot: Option<EncodedUpdate>,
    deltas: VecDeque<CachedDelta>,
}

/// The endpoint list as readers see it, which contains durable changes only.
pub struct PublishedView {
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
}

impl PublishedView {
    /// Creates the view of a list that was restored from the store.
    pub fn new(registry: EndpointRegistry) -> Self {
        let revision = watch::Sender::new(registry.revision());
        let inner = Inner {
            registry,
            snapshot: None,
            deltas: VecDeque::new(),
        };
        Self {
            inner: Mutex::new(inner),
            revision,
        }
    }

    /// Returns a receiver that is notified when the revision changes.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the revision that readers see.
    pub fn revision(&self) -> u64 {
        *self.revision.borrow()
    }

    /// Publishes changes that have become durable.
    pub fn apply(&self, changes: Vec<EndpointChange>) {
        let revision = {
            let mut inner = self.lock();
            inner.registry.replicate(changes);
            inner.registry.revision()
        };
        self.revision.send_replace(revision);
    }

    /// Returns the encoded update for a reader that has the list at `revision`, or for a reader
    /// without a list if `revision` is `None`.
    pub fn update_since(&self, revision: Option<u64>) -> EncodedUpdate {
        let mut inner = self.lock();
        if let Some(cached) = inner.cached(revision) {
            return cached;
        }
        inner.encode(revision)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn cached(&self, since: Option<u64>) -> Option<EncodedUpdate> {
        let current = self.registry.revision();
        let cached = match since {
            None => self.snapshot.as_ref(),
            Some(since) => {
                let is_match = |delta: &&CachedDelta| {
                    delta.from_revision == since && delta.update.revision == current
                };
                self.deltas.iter().find(is_match).map(|delta| &delta.update)
            }
        };
        cached.filter(|update| update.revision == current).cloned()
    }

    fn encode(&mut self, since: Option<u64>) -> EncodedUpdate {
        let update = self.registry.update_since(since);
        let is_snapshot = update.is_snapshot;
        // Serialization cannot fail: an update contains only strings, numbers and booleans.
        let json = Bytes::from(serde_json::to_vec(&update).unwrap_or_default());
        let encoded = EncodedUpdate {
            revision: update.revision,
            json,
        };
        match since {
            Some(from_revision) if !is_snapshot => {
                self.cache_delta(CachedDelta {
                    from_revision,
                    update: encoded.clone(),
                });
            }
            _ => self.snapshot = Some(encoded.clone()),
        }
        encoded
    }

    fn cache_delta(&mut self, delta: CachedDelta) {
        if self.deltas.len() >= MAX_CACHED_DELTAS {
            self.deltas.pop_front();
        }
        self.deltas.push_back(delta);
    }
}
