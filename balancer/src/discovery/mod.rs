//! The client of discovery, the service that publishes the endpoint list. The list is received on a watch: one HTTP
//! response that discovery keeps open, with one line for each snapshot, delta or heartbeat. There is no separate call
//! for the list, because a watch that is requested from revision 0 starts with a snapshot.

mod endpoint_list;
mod error;
mod watch_lines;
mod watch_progress;

pub use endpoint_list::{
    EndpointEntry, EndpointList, EndpointListError, EndpointListReader, EndpointUpdate, EntryError,
    MAX_LIST_BYTES,
};
pub use error::DiscoveryError;
pub use watch_lines::{WatchLine, WatchLines};
pub use watch_progress::MAX_SILENCE;

use crate::connection::{Connection, FirstByte};
use crate::memory_budget::{MemoryBudget, MemoryUse};
use crate::rate_limited_log::RateLimitedLog;
use bytes::Bytes;
use frostkeel_policy::UpdateScope;
use frostkeel_settings::Names;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};
use watch_progress::WatchProgress;

/// The timeout of a call for a watch, until its response head. Discovery serves calls one after another, and fails
/// those that wait too long.
const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// The timeout for establishing a connection to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The number of copies of a list that is being received: its text, in a buffer that doubles as it grows, and its parsed
/// entries.
const LIST_COPIES: usize = 3;

/// The number of a watch, unique within the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchId(u64);

/// An event of a watch, or of the call for a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// An update of the endpoint list, or the failure of the call for a watch, or the end of the watch.
    Update(EndpointUpdate),
    /// The watch or the call has timed out: no line, or no response, has been received since this time.
    Silent(Instant),
    /// Discovery has ended the watch.
    Ended,
    /// Part of a response or of a line has been received; its first byte was received at this time.
    Partial(Instant),
    /// Discovery rejected the call that was made at this time, or closed its connection without a response.
    Rejected(Instant),
    /// The call that was made at this time did not reach discovery.
    Unreachable(Instant),
}

/// The parsed content of one line of a watch.
enum WatchMessage {
    Heartbeat,
    Update(EndpointUpdate),
}

/// The client of discovery, which knows its address and the revision of the current list.
pub struct Discovery {
    address: Cell<SocketAddr>,
    reader: EndpointListReader,
    /// The revision of the current list; 0 if there is none.
    revision: Cell<u64>,
    /// The task that runs the current watch; `None` before the first watch.
    watch_task: RefCell<Option<AbortHandle>>,
    current_watch: Cell<WatchId>,
    memory: Arc<MemoryBudget>,
    entry_log: RateLimitedLog,
}

impl Discovery {
    /// Creates a client of discovery; the position of a zone or kind in `names` is its id. The lists that it receives
    /// are reserved in `memory`.
    pub fn new(address: SocketAddr, names: Names, memory: &Arc<MemoryBudget>) -> Self {
        Self {
            memory: Arc::clone(memory),
            address: Cell::new(address),
            reader: EndpointListReader::new(names),
            revision: Cell::new(0),
            watch_task: RefCell::default(),
            current_watch: Cell::default(),
            entry_log: RateLimitedLog::default(),
        }
    }

    /// Parses `text`, the list in the configuration, into an update with [`UpdateScope::Cached`]. The update has no
    /// entries if the text is empty or unreadable.
    pub fn cached_list(&self, text: &str) -> EndpointUpdate {
        let mut update = EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: Vec::new(),
        };
        if !text.is_empty() {
            match self.accept_list(text.as_bytes()) {
                Ok(list) => update.entries = list.entries,
                Err(error) => tracing::warn!(%error, "configured endpoint list unreadable"),
            }
        }
        update
    }

    /// Sets the address of discovery. Returns whether the address has changed after a watch was started; that watch
    /// must then be replaced.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address && self.watch_task.borrow().is_some()
    }

    /// Returns the number of a new watch, which becomes the current one. The previous watch reports no further events.
    pub fn begin_watch(&self) -> WatchId {
        let watch = WatchId(self.current_watch.get().0 + 1);
        self.current_watch.set(watch);
        watch
    }

    /// Sets the task that runs the watch, and aborts the previous one.
    pub fn set_watch_task(&self, task: AbortHandle) {
        if let Some(previous) = self.watch_task.borrow_mut().replace(task) {
            previous.abort();
        }
    }

    /// Aborts the watch.
    pub fn stop(&self) {
        if let Some(task) = self.watch_task.borrow_mut().take() {
            task.abort();
        }
    }

    /// Runs a watch until it ends, and passes its events to `report`. The last event is an update with
    /// [`UpdateScope::Failed`]. A watch that has been replaced reports no further events, even if its task still runs.
    pub async fn watch(&self, watch: WatchId, mut report: impl FnMut(DiscoveryEvent)) {
        let mut report = |event| {
            if self.is_current(watch) {
                report(event);
            }
        };
        let result = self.run_watch(watch, &mut report).await;
        if !self.is_current(watch) {
            tracing::info!(watch = watch.0, "watch replaced");
            return;
        }
        match result {
            Ok(()) => tracing::info!(watch = watch.0, "watch ended"),
            Err(error) => tracing::warn!(watch = watch.0, %error, "watch failed"),
        }
        report(DiscoveryEvent::Update(EndpointUpdate::failed()));
    }

    fn is_current(&self, watch: WatchId) -> bool {
        self.current_watch.get() == watch
    }

    async fn run_watch(
        &self,
        watch: WatchId,
        report: &mut impl FnMut(DiscoveryEvent),
    ) -> Result<(), DiscoveryError> {
        let revision = self.revision.get();
        tracing::info!(watch = watch.0, discovery = %self.address.get(), revision, "watch requested");
        let (requested_at, first_byte) = (Instant::now(), FirstByte::default());
        let call = timeout(CALL_TIMEOUT, self.request_watch(revision, &first_byte)).await;
        let response = call.unwrap_or_else(|elapsed| Err(DiscoveryError::Unresponsive(elapsed)));
        report_call(
            response.as_ref().err(),
            requested_at,
            first_byte.at(),
            report,
        );
        let (_connection, body) = response?;
        tracing::info!(watch = watch.0, "watch opened");
        self.read_watch(watch, body, report).await
    }

    /// Requests a watch on changes after `revision`; `first_byte` records when the response starts.
    async fn request_watch(
        &self,
        revision: u64,
        first_byte: &FirstByte,
    ) -> Result<(Connection, Incoming), DiscoveryError> {
        let address = self.address.get();
        let opened = Connection::open_timed(address, (), first_byte.clone());
        let opened = timeout(CONNECT_TIMEOUT, opened)
            .await
            .map_err(DiscoveryError::ConnectTimeout)?;
        let mut connection = opened.map_err(DiscoveryError::Connect)?;
        let request = Request::get(format!("/registry/instances?stream=1&index={revision}"));
        let request = request
            .header(HOST, address.to_string())
            .body(Full::<Bytes>::default())?;
        let response = connection.send(request).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Rejected(response.status()));
        }
        Ok((connection, response.into_body()))
    }

    /// Reads the lines of a watch until it ends, and reports its events.
    async fn read_watch(
        &self,
        watch: WatchId,
        mut body: Incoming,
        report: &mut impl FnMut(DiscoveryEvent),
    ) -> Result<(), DiscoveryError> {
        let mut progress = WatchProgress::new(Instant::now());
        let mut lines = WatchLines::default();
        let mut is_first_line = true;
        // The balancer cannot do without its list, so clients have less memory while one is received.
        let mut reservation = self.memory.force_reserve(MemoryUse::Exchange, 0);
        while let Some(data) = next_data(&mut body, &progress, report).await? {
            progress.on_bytes();
            lines.push(&data);
            reservation.resize(LIST_COPIES * lines.buffered_bytes());
            let (bytes, revision) = (data.len(), self.revision.get());
            tracing::debug!(watch = watch.0, bytes, revision, "watch data received");
            while self.is_current(watch) {
                let message = self.next_message(&mut lines).inspect_err(|_| {
                    report(DiscoveryEvent::Partial(progress.last_byte_at()));
                })?;
                let Some(message) = message else { break };
                progress.on_line();
                match message {
                    WatchMessage::Update(update) => report(DiscoveryEvent::Update(update)),
                    // If the first line is a heartbeat, the current list is confirmed without changes.
                    WatchMessage::Heartbeat if is_first_line => {
                        report(DiscoveryEvent::Update(EndpointUpdate::unchanged()));
                    }
                    WatchMessage::Heartbeat => {}
                }
                is_first_line = false;
            }
            reservation.resize(LIST_COPIES * lines.buffered_bytes());
            if lines.has_partial_list() && progress.on_partial_line() {
                report(DiscoveryEvent::Partial(progress.last_byte_at()));
            }
        }
        Ok(())
    }

    /// Parses the next complete line of a watch; `None` if more data is needed. After an unreadable line, which may
    /// have contained a drain, the revision is set to 0, so that the next watch starts with a snapshot.
    fn next_message(&self, lines: &mut WatchLines) -> Result<Option<WatchMessage>, DiscoveryError> {
        let line = lines.next_line().map_err(DiscoveryError::from);
        let message = line.and_then(|line| match line {
            None => Ok(None),
            Some(WatchLine::Heartbeat) => Ok(Some(WatchMessage::Heartbeat)),
            Some(WatchLine::List(text)) => self.accept_list(&text).map(|list| {
                let scope = if list.is_snapshot {
                    UpdateScope::Snapshot
                } else {
                    UpdateScope::Delta
                };
                Some(WatchMessage::Update(EndpointUpdate {
                    scope,
                    entries: list.entries,
                }))
            }),
        });
        message.inspect_err(|_| self.revision.set(0))
    }

    /// Parses a list and makes its revision the current one.
    fn accept_list(&self, text: &[u8]) -> Result<EndpointList, DiscoveryError> {
        let list = self.reader.read(text)?;
        if let Some(error) = &list.first_error {
            self.entry_log
                .warn(|suppressed| tracing::warn!(suppressed, %error, "endpoint unreadable"));
        }
        let current = self.revision.get();
        if !list.is_snapshot && list.revision < current {
            return Err(DiscoveryError::OutdatedRevision {
                received: list.revision,
                current,
            });
        }
        if !list.is_snapshot && list.missing_uid_count > 0 {
            return Err(DiscoveryError::ChangeWithoutUid);
        }
        self.revision.set(list.revision);
        let EndpointList {
            revision,
            is_snapshot,
            ref entries,
            ..
        } = list;
        tracing::info!(
            revision,
            is_snapshot,
            endpoints = entries.len(),
            "endpoint list received"
        );
        Ok(list)
    }
}

/// Reports the events that follow from the result of the call for a watch.
fn report_call(
    error: Option<&DiscoveryError>,
    requested_at: Instant,
    first_byte_at: Option<Instant>,
    report: &mut impl FnMut(DiscoveryEvent),
) {
    if matches!(error, Some(DiscoveryError::Unresponsive(_))) {
        report(DiscoveryEvent::Silent(requested_at));
    }
    match (error, first_byte_at) {
        (Some(DiscoveryError::Rejected(_)), _) => report(DiscoveryEvent::Rejected(requested_at)),
        // Even one byte of a response shows that discovery is reachable.
        (_, Some(since)) => report(DiscoveryEvent::Partial(since)),
        (Some(error), None) if error.is_unreachable() => {
            report(DiscoveryEvent::Unreachable(requested_at))
        }
        (Some(DiscoveryError::Http(_)), None) => report(DiscoveryEvent::Rejected(requested_at)),
        _ => {}
    }
}

/// Waits for the next data of a watch; `None` if discovery has ended the watch.
async fn next_data(
    body: &mut Incoming,
    progress: &WatchProgress,
    report: &mut impl FnMut(DiscoveryEvent),
) -> Result<Option<Bytes>, DiscoveryError> {
    loop {
        match timeout_at(progress.times_out_at(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(error))) => {
                report(DiscoveryEvent::Ended);
                return Err(error.into());
            }
            Ok(None) => {
                report(DiscoveryEvent::Ended);
                return Ok(None);
            }
            Err(elapsed) => {
                if let Some(since) = progress.silent_since() {
                    report(DiscoveryEvent::Silent(since));
                }
                return Err(DiscoveryError::Stalled(elapsed));
            }
        }
    }
}
