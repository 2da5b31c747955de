//! The body of a watch: a line for each update, and an empty line as a heartbeat while nothing
//! changes.

use crate::metrics::Metrics;
use crate::published_view::PublishedView;
use bytes::{Bytes, BytesMut};
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendTimeoutError;
use tokio::time::{sleep, timeout};

/// The interval of heartbeats on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Changes within this time of each other share a line.
const COALESCING_DELAY: Duration = Duration::from_millis(5);
/// The number of lines that a client may be behind.
pub(super) const MAX_UNREAD_LINES: usize = 8;
/// The time for which a client may be that far behind.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) type Line = Result<Frame<Bytes>, Infallible>;

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The client has disconnected, or the service stops.
    Closed,
    /// The client did not read for too long.
    SlowReader,
}

/// The sending side of a watch.
pub(super) struct WatchStream {
    pub(super) published: Arc<PublishedView>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) lines: mpsc::Sender<Line>,
}

impl WatchStream {
    /// Sends all changes after a revision, in their order, until the watch ends.
    pub(super) async fn run(self, mut revision: Option<u64>) -> WatchEnd {
        let mut revisions = self.published.subscribe();
        loop {
            let update = self.published.update_since(revision);
            let has_changed = revision != Some(update.revision);
            let mut line = BytesMut::with_capacity(update.json.len() + 1);
            if has_changed {
                line.extend_from_slice(&update.json);
                self.metrics.watch_updates.inc();
            }
            line.extend_from_slice(b"\n");
            if let Err(end) = self.send(line.freeze()).await {
                return end;
            }
            revision = Some(update.revision);
            let next_revision = revisions.wait_for(|current| *current != update.revision);
            tokio::select! {
                changed = timeout(KEEP_ALIVE_INTERVAL, next_revision) => {
                    if let Ok(Err(_)) = changed {
                        return WatchEnd::Closed;
                    }
                }
                () = self.lines.closed() => return WatchEnd::Closed,
            }
            sleep(COALESCING_DELAY).await;
        }
    }

    async fn send(&self, line: Bytes) -> Result<(), WatchEnd> {
        if self.lines.is_closed() {
            return Err(WatchEnd::Closed);
        }
        let sent = self
            .lines
            .send_timeout(Ok(Frame::data(line)), SLOW_READER_TIMEOUT)
            .await;
        sent.map_err(|e| match e {
            SendTimeoutError::Closed(_) => WatchEnd::Closed,
            SendTimeoutError::Timeout(_) => WatchEnd::SlowReader,
        })
    }
}
