//! Starts the registry service and runs its tasks.

use crate::config::Config;
use crate::endpoint::PersistedEntry;
use crate::endpoint_registry::EndpointRegistry;
use crate::http::{ReadApi, WriteApi, serve};
use crate::published_view::PublishedView;
use crate::writer::Writer;
use frostkeel_store::{Owner, Snapshot, Store, StoreError, StoredRecord};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time::Instant;

/// The reason why the service cannot start, or why it stopped.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// The store cannot be opened, or a commit failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A persisted entry cannot be parsed.
    #[error(
        "the stored entry of {uid:?} cannot be parsed: {source}; restore the folder from a copy"
    )]
    Entry {
        /// The uid of the endpoint, which is the key of the stored record.
        uid: String,
        /// The reason why the entry cannot be parsed.
        source: serde_json::Error,
    },
    /// A listening address cannot be bound.
    #[error("cannot listen on the {interface} address {address}: {source}")]
    Bind {
        /// The interface to be served at the address: `read` or `write`.
        interface: &'static str,
        /// The address in the configuration, which cannot be bound.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A task of the service has panicked.
    #[error("a task of the service has failed: {0}")]
    TaskFailed(#[source] JoinError),
    /// A task has ended without an error, although it has to run for as long as the service.
    #[error("a task of the service has ended unexpectedly")]
    TaskEnded,
}

/// The bound listeners of both interfaces.
struct Listeners {
    read: TcpListener,
    write: TcpListener,
}

/// Runs the service until the first of its tasks ends, which happens only on a fault, for example
/// of the disk. Requires a multi-threaded runtime.
pub async fn run(config: Config) -> Result<(), ServiceError> {
    let owner = Owner {
        fleet: config.fleet.clone(),
        process: config.name.clone(),
    };
    let opened = tokio::task::block_in_place(|| Store::open(&config.folder, &owner));
    let (store, snapshot) = opened?;
    let entries = parse_entries(&snapshot)?;
    let listeners = Listeners {
        read: bind("read", config.read_address).await?,
        write: bind("write", config.write_address).await?,
    };
    log_start(&config, &listeners, &snapshot);
    let restore = || {
        let policy = config.policy();
        EndpointRegistry::restore(policy, Duration::ZERO, snapshot.revision, entries.clone())
    };
    let published = Arc::new(PublishedView::new(restore()));
    let writer = Writer {
        registry: restore(),
        store,
        published,
        metrics: Arc::default(),
        started_at: Instant::now(),
    };
    run_tasks(&config, writer, listeners).await
}

fn parse_entries(snapshot: &Snapshot) -> Result<Vec<PersistedEntry>, ServiceError> {
    let parse = |StoredRecord { key, value }: &StoredRecord| {
        serde_json::from_slice(value).map_err(|source| ServiceError::Entry {
            uid: key.clone(),
            source,
        })
    };
    snapshot.records.iter().map(parse).collect()
}

async fn bind(interface: &'static str, address: SocketAddr) -> Result<TcpListener, ServiceError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| ServiceError::Bind {
        interface,
        address,
        source,
    })
}

/// Logs the start with the bound addresses, because the operating system chooses the port if 0 is
/// configured.
fn log_start(config: &Config, listeners: &Listeners, snapshot: &Snapshot) {
    tracing::info!(
        read = %listeners.read.local_addr().unwrap_or(config.read_address),
        write = %listeners.write.local_addr().unwrap_or(config.write_address),
        version = snapshot.revision,
        entries = snapshot.records.len(),
        "serving"
    );
}

/// Runs the writer and both interfaces until the first of them ends. The others are then aborted.
async fn run_tasks(
    config: &Config,
    writer: Writer,
    listeners: Listeners,
) -> Result<(), ServiceError> {
    let (published, metrics) = (Arc::clone(&writer.published), Arc::clone(&writer.metrics));
    let (requests, pending_requests) = mpsc::channel(config.limits.max_pending_writes);
    let read_api = ReadApi::new(Arc::clone(&published), Arc::clone(&metrics), &config.limits);
    let write_api = WriteApi::new(published, metrics, requests, config.name.clone());
    let mut tasks: JoinSet<Result<(), StoreError>> = JoinSet::new();
    tasks.spawn(writer.run(pending_requests));
    tasks.spawn(async move {
        serve(listeners.read, read_api).await;
        Ok(())
    });
    tasks.spawn(async move {
        serve(listeners.write, write_api).await;
        Ok(())
    });
    match tasks.join_next().await {
        Some(Ok(Err(e))) => Err(e.into()),
        Some(Err(e)) => Err(ServiceError::TaskFailed(e)),
        Some(Ok(Ok(()))) | None => Err(ServiceError::TaskEnded),
    }
}
