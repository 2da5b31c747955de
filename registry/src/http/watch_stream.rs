//! The body of the response to a watch: a line for each update, and an empty line as a heartbeat
//! while nothing changes.

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

/// The interval of the heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The delay before the next line, so that changes in quick succession share one line.
const COALESCING_DELAY: Duration = Duration::from_millis(5);
/// The maximum number of lines that wait for the client to read them.
pub(super) const MAX_UNREAD_LINES: usize = 8;
/// The time after which a watch is closed if its client does not read and [`MAX_UNREAD_LINES`] are
/// waiting.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) type Line = Result<Frame<Bytes>, Infallible>;

/// The reason why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The client has disconnected, or the service stops.
    Closed,
    /// The client did not read the watch within [`SLOW_READER_TIMEOUT`].
    SlowReader,
}

/// The sending side of a watch.
pub(super) struct WatchStream {
    pub(super) published: Arc<PublishedView>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) lines: mpsc::Sender<Line>,
}

impl WatchStream {
    /// Sends the changes after `revision`, or the complete list if it is `None` or too old, and
    /// then all later changes until the watch ends.
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
                changed = timeout(HEARTBEAT_INTERVAL, next_revision) => {
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
