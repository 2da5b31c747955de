//! Executes writes one after another. The writes that arrive while the disk is busy share one
//! commit. Each write is acknowledged once it is durable and published to readers.

use crate::command::{Command, CommandError};
use crate::endpoint::DirtyEntry;
use crate::endpoint_registry::EndpointRegistry;
use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use frostkeel_store::{Change, Store, StoreError};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// The maximum number of writes in one commit.
const MAX_BATCH_SIZE: usize = 512;
/// The interval between two checks for expired leases.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The reason why a write failed, or why its result is unknown.
#[derive(Clone, Debug, Error)]
pub enum WriteError {
    /// The command was rejected, and the list is unchanged.
    #[error(transparent)]
    Rejected(#[from] CommandError),
    /// The disk is full. The changes stay in memory, and the next commit includes them.
    #[error("the disk is full and the write is not durable; retry it later")]
    DiskFull,
    /// A commit has failed for another reason, and the service stops.
    #[error("the disk has failed; it is unknown whether this write is durable")]
    DiskFailed,
}

/// A command, and the channel for its result.
pub struct WriteRequest {
    /// The command to apply to the endpoint list.
    pub command: Command,
    /// The revision of the list that the command is conditional on, or `None` if it is
    /// unconditional.
    pub expected_revision: Option<u64>,
    /// The channel that receives the revision after the write, or the error.
    pub reply: oneshot::Sender<Result<u64, WriteError>>,
}

/// The result of a command that was applied and is not durable yet.
struct AppliedWrite {
    result: Result<u64, CommandError>,
    reply: oneshot::Sender<Result<u64, WriteError>>,
}

/// The only task that changes the endpoint list and its store.
pub struct Writer {
    pub registry: EndpointRegistry,
    pub store: Store,
    pub published: Arc<PublishedView>,
    pub metrics: Arc<Metrics>,
    /// The zero point of the time that the registry is given.
    pub started_at: Instant,
}

impl Writer {
    /// Runs until the request channel is closed or the disk has failed.
    pub async fn run(
        mut self,
        mut requests: mpsc::Receiver<WriteRequest>,
    ) -> Result<(), StoreError> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut uncommitted = Vec::new();
        loop {
            let mut applied = Vec::new();
            tokio::select! {
                request = requests.recv() => match request {
                    None => return Ok(()),
                    Some(request) => self.apply_batch(request, &mut requests, &mut applied),
                },
                _ = ticks.tick() => self.expire_leases(),
            }
            uncommitted.extend(self.registry.extract_dirty_entries());
            let committed = self.commit(&mut uncommitted);
            self.reply_to(applied, &committed);
            match committed {
                Ok(()) => {}
                Err(StoreError::DiskFull) => {
                    tracing::warn!("disk full: writes are rejected, reads continue");
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Applies a request and those that are waiting, up to [`MAX_BATCH_SIZE`] in total.
    fn apply_batch(
        &mut self,
        first: WriteRequest,
        requests: &mut mpsc::Receiver<WriteRequest>,
        applied: &mut Vec<AppliedWrite>,
    ) {
        applied.push(self.apply(first));
        while applied.len() < MAX_BATCH_SIZE
            && let Ok(request) = requests.try_recv()
        {
            applied.push(self.apply(request));
        }
    }

    fn apply(&mut self, request: WriteRequest) -> AppliedWrite {
        let now = self.started_at.elapsed();
        let result = self
            .registry
            .apply(now, request.command, request.expected_revision);
        AppliedWrite {
            result,
            reply: request.reply,
        }
    }

    fn expire_leases(&mut self) {
        let was_self_preserving = self.registry.is_self_preserving();
        self.registry.tick(self.started_at.elapsed());
        match (was_self_preserving, self.registry.is_self_preserving()) {
            (false, true) => tracing::warn!(
                "self-preservation on, expired leases are retained: too many at once, or shortly \
                 after a pause; is it the network?"
            ),
            (true, false) => tracing::info!("self-preservation off"),
            _ => {}
        }
    }

    /// Makes changes durable, then publishes them. If the commit fails, they stay in `uncommitted`:
    /// the next commit includes them if the disk is full, and any other failure stops the service.
    fn commit(&mut self, uncommitted: &mut Vec<DirtyEntry>) -> Result<(), StoreError> {
        if uncommitted.is_empty() {
            return Ok(());
        }
        let revision = self.registry.revision();
        let changes: Vec<Change> = uncommitted.iter().map(store_change).collect();
        tokio::task::block_in_place(|| self.store.commit(revision, &changes))?;
        self.metrics.commits.inc();
        uncommitted.clear();
        self.published
            .apply(self.registry.changes_after(self.published.revision()));
        self.update_gauges();
        Ok(())
    }

    fn update_gauges(&self) {
        let counts = self.registry.counts();
        self.metrics.revision.set(self.registry.revision() as i64);
        self.metrics.ready.set(counts.ready as i64);
        self.metrics.terminating.set(counts.terminating as i64);
        self.metrics
            .self_preserving
            .set(i64::from(self.registry.is_self_preserving()));
    }

    fn reply_to(&self, applied: Vec<AppliedWrite>, committed: &Result<(), StoreError>) {
        for AppliedWrite { result, reply } in applied {
            let result = match (committed, result) {
                (_, Err(rejected)) => Err(rejected.into()),
                (Ok(()), Ok(revision)) => Ok(revision),
                (Err(StoreError::DiskFull), _) => Err(WriteError::DiskFull),
                (Err(_), _) => Err(WriteError::DiskFailed),
            };
            let counter = if result.is_ok() {
                &self.metrics.writes
            } else {
                &self.metrics.writes_rejected
            };
            counter.inc();
            // The client may have disconnected.
            let _ = reply.send(result);
        }
    }
}

fn store_change(dirty: &DirtyEntry) -> Change {
    let key = dirty.uid.clone();
    match &dirty.entry {
        None => Change::Delete { key },
        // Serialization cannot fail: an entry contains only strings and numbers.
        Some(entry) => Change::Put {
            key,
            value: serde_json::to_vec(entry).unwrap_or_default(),
        },
    }
}
