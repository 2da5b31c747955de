//! Discovery: the watch on the list of upstreams. It is the only call there is: a watch from version 0 begins with the
//! whole list.

use crate::connection::{Connection, FirstByte};
use crate::endpoint_list::{
    EndpointList, EndpointListReader, EndpointUpdate, WatchLine, WatchLines,
};
use crate::error_origin::ErrorOrigin;
use crate::rate_limited_log::RateLimitedLog;
use bytes::Bytes;
use frostkeel_policy::UpdateScope;
use frostkeel_settings::Names;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// A watch has a line to say every 2 s. Without one for this long it is dead, whatever its connection looks like; the
/// rest of the 6 s after which what it missed counts as told is for opening another.
pub const MAX_SILENCE: Duration = Duration::from_millis(3000);
/// A line that has begun and does not go on for this long has broken off: the list is called for anew while what it
/// told may still be learned within the grace of a drain.
const STALL_MOST: Duration = Duration::from_millis(500);
/// The longest that one line may take to come: no sends go by the list before it while it does.
const LINE_MOST: Duration = Duration::from_secs(12);
/// How long a call may take to be answered: discovery serves one after another, and fails those that wait too long.
const CALL_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long a connection to discovery may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Where discovery is, and how far this balancer has followed it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    reader: EndpointListReader,
    /// The version of the list in hand; 0: none.
    rev: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    /// Number of the watch in force.
    watches: Cell<u64>,
    warnings: RateLimitedLog,
}

type Failure = Box<dyn Error + Send + Sync>;

/// What has come of a watch, or of the call for one. The moments are those of the monotonic clock.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A list, changes, or that the watch is over.
    Update(EndpointUpdate),
    /// Nothing has come since then, and the watch or the call is given up.
    Silent(Instant),
    /// Discovery has ended the watch.
    Ended,
    /// Part of an answer or of a line has come, the first of it then, and not its end.
    Partial(Instant),
    /// The call made then was turned away.
    Refused(Instant),
    /// The call made then has met nobody, or was ended without an answer.
    Unreachable(Instant),
}

/// Discovery has turned a call away.
#[derive(Debug)]
struct Refused(StatusCode);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {}", self.0)
    }
}

impl Error for Refused {}

/// Discovery has taken a call and says nothing.
#[derive(Debug)]
struct Unanswered;

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a call was not answered")
    }
}

impl Error for Unanswered {}

/// Whether a call failed by this machine's fault, which says nothing of discovery.
fn is_machines_own(failure: &Failure) -> bool {
    failure
        .downcast_ref::<io::Error>()
        .is_some_and(|e| ErrorOrigin::of(e) != ErrorOrigin::Peer)
}

/// How far the lines of a watch have come.
struct Progress {
    last_line: Instant,
    last_byte: Instant,
    /// Since when part of a line has been in hand.
    line_began: Option<Instant>,
}

impl Progress {
    /// The answer has begun, and its first line is still to come.
    fn answered(at: Instant) -> Self {
        Self {
            last_line: at,
            last_byte: at,
            line_began: None,
        }
    }

    fn line_ended(&mut self) {
        self.last_line = self.last_byte;
        self.line_began = None;
    }

    /// Part of a line is in hand; whether it is the first part.
    fn line_begins(&mut self) -> bool {
        let begins = self.line_began.is_none();
        self.line_began.get_or_insert(self.last_byte);
        begins
    }

    /// When the watch is given up, should nothing come.
    fn read_until(&self) -> Instant {
        match self.line_began {
            None => self.last_line + MAX_SILENCE,
            Some(began) => (self.last_byte + STALL_MOST).min(began + LINE_MOST),
        }
    }

    /// Whether it is silence for which the watch is given up, not a line that has come to a stop.
    fn is_silent(&self) -> bool {
        self.line_began.is_none()
    }
}

impl Discovery {
    /// Discovery at an address; `names` turn zones and kinds into numbers.
    pub fn new(address: SocketAddr, names: Names) -> Self {
        Self {
            address: Cell::new(address),
            reader: EndpointListReader::new(names),
            rev: Cell::new(0),
            watch: RefCell::default(),
            watches: Cell::new(0),
            warnings: RateLimitedLog::default(),
        }
    }

    /// Reads a list and takes its version for the one in hand.
    fn take(&self, text: &[u8]) -> Result<EndpointList, Failure> {
        let list = self.reader.read(text)?;
        if let Some(reason) = &list.unreadable {
            self.warnings.warn(
                |suppressed| tracing::warn!(suppressed, error = %reason, "endpoint unreadable"),
            );
        }
        if !list.all && list.rev < self.rev.get() {
            return Err(format!(
                "changes of version {}, older than {}",
                list.rev,
                self.rev.get()
            )
            .into());
        }
        if !list.all && list.nameless > 0 {
            return Err("a change of an upstream that is not named".into());
        }
        self.rev.set(list.rev);
        tracing::info!(
            rev = list.rev,
            whole = list.all,
            entries = list.entries.len(),
            "list taken in"
        );
        Ok(list)
    }

    /// The list from the configuration, as [`UpdateScope::Cached`].
    pub fn known(&self, text: &str) -> EndpointUpdate {
        let mut update = EndpointUpdate {
            scope: UpdateScope::Cached,
            entries: Vec::new(),
        };
        if !text.is_empty() {
            match self.take(text.as_bytes()) {
                Ok(list) => update.entries = list.entries,
                Err(e) => tracing::warn!("the list known before the start is unreadable: {e}"),
            }
        }
        update
    }

    /// It is asked at another address from now on; whether it has been watched and so must be watched there.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address && self.watch.borrow().is_some()
    }

    /// The number of a watch that begins now, in place of the one before.
    pub fn begin_watch(&self) -> u64 {
        self.watches.set(self.watches.get() + 1);
        self.watches.get()
    }

    /// Remembers the task that watches, and ends the one before.
    pub fn watched_by(&self, task: AbortHandle) {
        if let Some(before) = self.watch.borrow_mut().replace(task) {
            before.abort();
        }
    }

    /// Watches the list until the watch ends, and tells what comes; the last word is that it has failed. A watch that
    /// another has taken the place of says nothing more, though its task may still run.
    pub async fn watch(&self, number: u64, mut tell: impl FnMut(DiscoveryEvent)) {
        let mut tell = |event| {
            if self.watches.get() == number {
                tell(event);
            }
        };
        let ended = self.follow(number, &mut tell).await;
        if self.watches.get() != number {
            tracing::info!(watch = number, "watch replaced");
            return;
        }
        match ended {
            Ok(()) => tracing::info!(watch = number, "watch ended by discovery"),
            Err(e) => tracing::warn!(watch = number, "watch failed: {e}"),
        }
        tell(DiscoveryEvent::Update(EndpointUpdate::failed()));
    }

    async fn follow(
        &self,
        number: u64,
        tell: &mut impl FnMut(DiscoveryEvent),
    ) -> Result<(), Failure> {
        let rev = self.rev.get();
        tracing::info!(watch = number, address = %self.address.get(), rev, "list call begins");
        let (began, first_byte) = (Instant::now(), FirstByte::default());
        let answer = match timeout(CALL_TIMEOUT, self.ask(rev, &first_byte)).await {
            Ok(answer) => answer,
            Err(_) => {
                tell(DiscoveryEvent::Silent(began));
                Err(Unanswered.into())
            }
        };
        match (&answer, first_byte.at()) {
            (Err(e), _) if e.is::<Refused>() => tell(DiscoveryEvent::Refused(began)),
            // Whatever has come of an answer was written there.
            (_, Some(since)) => tell(DiscoveryEvent::Partial(since)),
            (Err(e), None) if !e.is::<Unanswered>() && !is_machines_own(e) => {
                tell(DiscoveryEvent::Unreachable(began));
            }
            _ => (),
        }
        let (_connection, body) = answer?;
        tracing::info!(watch = number, "list call answered");
        self.follow_lines(number, body, Progress::answered(Instant::now()), tell)
            .await
    }

    /// Reads the lines of a watch until it ends.
    async fn follow_lines(
        &self,
        number: u64,
        mut body: Incoming,
        mut progress: Progress,
        tell: &mut impl FnMut(DiscoveryEvent),
    ) -> Result<(), Failure> {
        let (mut lines, mut answered) = (WatchLines::default(), false);
        loop {
            let frame = match timeout_at(progress.read_until(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(ended) => {
                    tell(DiscoveryEvent::Ended);
                    return ended.transpose().map(|_| ()).map_err(Failure::from);
                }
                Err(elapsed) => {
                    if progress.is_silent() {
                        tell(DiscoveryEvent::Silent(progress.last_line));
                    }
                    return Err(elapsed.into());
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            progress.last_byte = Instant::now();
            lines.push(&data);
            tracing::debug!(
                watch = number,
                bytes = data.len(),
                rev = self.rev.get(),
                "discovery sent"
            );
            while self.watches.get() == number {
                let line = self.next_line(&mut lines).inspect_err(|_| {
                    tell(DiscoveryEvent::Partial(progress.last_byte));
                })?;
                let Some(line) = line else { break };
                progress.line_ended();
                // A heartbeat in place of a first list says that nothing has changed.
                let first = (!answered).then(EndpointUpdate::unchanged);
                answered = true;
                if let Some(update) = line.or(first) {
                    tell(DiscoveryEvent::Update(update));
                }
            }
            if lines.has_begun() && progress.line_begins() {
                tell(DiscoveryEvent::Partial(progress.last_byte));
            }
        }
    }

    /// The next line of a watch, with what it tells of the list. One that can't be read may have told of a drain, so
    /// the whole list is asked for then.
    fn next_line(&self, lines: &mut WatchLines) -> Result<Option<Option<EndpointUpdate>>, Failure> {
        let read = lines
            .next_line()
            .map_err(Failure::from)
            .and_then(|line| match line {
                None => Ok(None),
                Some(WatchLine::Heartbeat) => Ok(Some(None)),
                Some(WatchLine::List(text)) => self.take(&text).map(|list| {
                    let scope = if list.all {
                        UpdateScope::Snapshot
                    } else {
                        UpdateScope::Delta
                    };
                    Some(Some(EndpointUpdate {
                        scope,
                        entries: list.entries,
                    }))
                }),
            });
        read.inspect_err(|_| self.rev.set(0))
    }

    /// Calls for a watch on what is newer than a version; `first_byte` learns when its answer begins.
    async fn ask(
        &self,
        rev: u64,
        first_byte: &FirstByte,
    ) -> Result<(Connection, Incoming), Failure> {
        let address = self.address.get();
        let opened = Connection::open_timed(address, (), first_byte.clone());
        let mut connection = timeout(CONNECT_TIMEOUT, opened).await??;
        let request = Request::get(format!("/registry/instances?stream=1&index={rev}"));
        let request = request
            .header(HOST, address.to_string())
            .body(Full::<Bytes>::default())?;
        let response = connection.send(request).await?;
        if response.status() != StatusCode::OK {
            return Err(Refused(response.status()).into());
        }
        Ok((connection, response.into_body()))
    }
}
