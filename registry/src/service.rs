//! A list service from its start to its end.

use crate::config::Config;
use crate::endpoint::PersistedEntry;
use crate::endpoint_registry::EndpointRegistry;
use crate::http::{Reading, Writing};
use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use crate::writer::Writer;
use frostkeel_store::{Owner, Store, StoreError, StoredRecord};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Why a list service cannot start, or had to end.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// Its folder.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An entry in it.
    #[error("the entry of {uid:?} cannot be read: {reason}; restore the folder from a copy")]
    Entry {
        /// Whose.
        uid: String,
        /// Why.
        reason: String,
    },
    /// An address.
    #[error("{what} address {address}: {source}")]
    Address {
        /// Which.
        what: &'static str,
        /// As configured.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A part of it has ended.
    #[error("a part of the service has ended: {0}")]
    Ended(String),
}

/// Runs a list service until its disk fails; needs a runtime with several threads.
pub async fn run(config: Config) -> Result<(), ServiceError> {
    let owner = Owner {
        fleet: config.fleet.clone(),
        process: config.name.clone(),
    };
    let (store, kept) = tokio::task::block_in_place(|| Store::open(&config.folder, &owner))?;
    let mut entries: Vec<PersistedEntry> = Vec::new();
    for StoredRecord {
        key: uid,
        value: bytes,
    } in &kept.records
    {
        let entry: PersistedEntry =
            serde_json::from_slice(bytes).map_err(|e| ServiceError::Entry {
                uid: uid.clone(),
                reason: e.to_string(),
            })?;
        entries.push(entry);
    }
    let count = entries.len();
    let list = || {
        EndpointRegistry::restore(
            config.rules(),
            Duration::ZERO,
            kept.revision,
            entries.clone(),
        )
    };
    let published = Arc::new(PublishedView::new(list()));
    let metrics = Arc::new(Metrics::default());
    let bind = async |what, address| {
        let bound = TcpListener::bind(address).await;
        bound.map_err(|source| ServiceError::Address {
            what,
            address,
            source,
        })
    };
    let (read, write) = (
        bind("read", config.read).await?,
        bind("write", config.write).await?,
    );
    let shown = |listener: &TcpListener, or| listener.local_addr().unwrap_or(or);
    tracing::info!(
        read = %shown(&read, config.read),
        write = %shown(&write, config.write),
        version = kept.revision,
        entries = count,
        "serving"
    );
    let (jobs, waiting) = mpsc::channel(config.limits.writes);
    let writer = Writer {
        registry: list(),
        store,
        published: Arc::clone(&published),
        metrics: Arc::clone(&metrics),
        started_at: Instant::now(),
    };
    let reading = Reading::new(Arc::clone(&published), Arc::clone(&metrics), &config.limits);
    let writing = Writing::new(published, metrics, jobs, config.name.clone());
    let mut parts: JoinSet<Result<(), StoreError>> = JoinSet::new();
    parts.spawn(writer.run(waiting));
    parts.spawn(async move {
        reading.serve(read).await;
        Ok(())
    });
    parts.spawn(async move {
        writing.serve(write).await;
        Ok(())
    });
    match parts.join_next().await {
        Some(Ok(Err(e))) => Err(e.into()),
        Some(Err(e)) => Err(ServiceError::Ended(e.to_string())),
        Some(Ok(Ok(()))) | None => Err(ServiceError::Ended("unasked".into())),
    }
}
