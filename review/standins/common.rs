//! What the cases share: a record of the run, a balancer as a separate process, and stand-ins for discovery,
//! upstreams and clients after the protocol page. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit status if the rule held, if it was broken, and if the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the seconds since its start.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Arc::new(Self { started_at: Instant::now(), file }))
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started_at.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Whether the run has its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A message with a head and a body.
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection. Bytes behind a message stay for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut space = [0; 16384];
        let count = self.stream.read(&mut space)?;
        self.buffer.extend_from_slice(&space[..count]);
        Ok(count)
    }

    /// Reads the next message; `None` at the end of the stream.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Ok(Some(Message { first_line, headers, body }))
    }
}

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"guro-dc","model":"std-2c","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.state, self.boot_ms
        )
    }
}

pub fn list_json(revision: u64, is_whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{revision},"all":{is_whole},"targets":[{}]}}"#, entries.join(","))
}

/// What a stand-in upstream does with a request that it has read.
pub struct Work {
    pub id: String,
    pub target: String,
    pub key: String,
    pub time_left_ms: String,
}

/// A stand-in for the process of an upstream. Once `has_ended` is set its connections break and new ones are refused.
pub struct Process {
    pub has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Process {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { has_ended: AtomicBool::new(false), connections: Mutex::default() })
    }

    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// A stand-in upstream in a process that never ends.
pub fn start_upstream<F>(serve: F) -> io::Result<SocketAddr>
where
    F: Fn(&Work, &mut TcpStream) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    start_process(&Process::new(), serve)
}

/// A stand-in upstream: `serve` gets each request whose last byte has arrived, and returns the body of the answer.
pub fn start_process<F>(process: &Arc<Process>, serve: F) -> io::Result<SocketAddr>
where
    F: Fn(&Work, &mut TcpStream) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let process = Arc::clone(process);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        let _ = listener.set_nonblocking(true);
        while !process.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            if let Ok(connection) = stream.try_clone() {
                process.connections.lock().unwrap().push(connection);
            }
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(message)) = reader.next() {
                    let work = Work {
                        id: message.header("x-correlation-id").to_owned(),
                        target: message.first_line.clone(),
                        key: message.header("idempotency-key").to_owned(),
                        time_left_ms: message.header("x-time-left-ms").to_owned(),
                    };
                    let Some(body) = serve(&work, &mut reader.stream) else { break };
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Backend-Load: util=0.20,inflight=1\r\n\r\n",
                        body.len()
                    );
                    let answer = [head.as_bytes(), &body].concat();
                    if reader.stream.write_all(&answer).is_err() {
                        break;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// The list of a stand-in for discovery, and its changes.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<(u64, Vec<Entry>, Vec<(u64, Entry)>)>,
    changed: Condvar,
    /// Whether discovery is cut off: open watches say nothing, and calls get no answer.
    pub is_silent: AtomicBool,
    /// How long discovery takes to answer a call, in milliseconds.
    pub answers_after_ms: AtomicU64,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new((41, entries, Vec::new())),
            changed: Condvar::new(),
            is_silent: AtomicBool::new(false),
            answers_after_ms: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(discovery)
    }

    pub fn whole_list(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.0, true, &state.1)
    }

    /// Changes the state of one upstream.
    pub fn change(&self, uid: &str, to: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let revision = state.0;
        let Some(entry) = state.1.iter_mut().find(|entry| entry.uid == uid) else { return };
        entry.state = to;
        let entry = entry.clone();
        state.2.push((revision, entry));
        self.record.note(&format!("discovery: revision {revision}: {uid} is {to}"));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        let Ok(Some(call)) = reader.next() else { return };
        let is_answered = !self.is_silent.load(Ordering::SeqCst);
        self.record.note(&format!("discovery: called: {} (answered: {is_answered})", call.first_line));
        while self.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(self.answers_after_ms.load(Ordering::SeqCst)));
        if !call.first_line.contains("stream=1") {
            let list = self.whole_list();
            let _ = write!(reader.stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            return;
        }
        let index = call.first_line.split("index=").nth(1).unwrap_or("0");
        let digits: String = index.chars().take_while(char::is_ascii_digit).collect();
        let mut known: u64 = digits.parse().unwrap_or(0);
        if reader.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut is_first = true;
        loop {
            let line = {
                let mut state = self.state.lock().unwrap();
                if !is_first && state.0 == known {
                    state = self.changed.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
                }
                let line = if is_first && known < 41 {
                    list_json(state.0, true, &state.1)
                } else if is_first || state.0 > known {
                    let changes: Vec<Entry> =
                        state.2.iter().filter(|(revision, _)| *revision > known).map(|(_, entry)| entry.clone()).collect();
                    list_json(state.0, false, &changes)
                } else {
                    String::new()
                };
                known = state.0;
                line
            };
            is_first = false;
            while self.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if reader.stream.write_all(chunk.as_bytes()).is_err() {
                self.record.note("discovery: the caller has gone");
                return;
            }
            if !line.is_empty() {
                self.record.note(&format!("discovery: told revision {known}"));
            }
        }
    }
}

/// A balancer, started with the run command of the deploy file. It ends with this value.
pub struct Balancer {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

impl Balancer {
    pub fn start(discovery: SocketAddr, known: &str, settings: &str, sockets: u32, memory_mb: u32) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("frostkeel-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config)?;
        let deploy = std::fs::read_to_string("deploy/balancer.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or("");
        let run = run.split('"').next().unwrap_or("");
        let log = File::create(folder.join("balancer.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let balancer = Self { child, address, folder };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if balancer.is_ready() {
                return Ok(balancer);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the balancer is not ready"))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let call = b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        stream.write_all(call).is_ok()
            && matches!(Reader::new(stream).next(), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// Returns a figure of `/proc/PID/status` in kB.
    pub fn status_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a correlation id that no other request of the run has.
pub fn fresh_id() -> String {
    format!("9b1f{:012x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// Returns the head of a request. With `length` it is a POST with an idempotency key.
pub fn request_head(class: &str, id: &str, time_left_ms: u64, key: Option<&str>, length: Option<usize>) -> String {
    let method = if length.is_some() { "POST" } else { "GET" };
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = length.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: seoul\r\nX-Time-Left-Ms: {time_left_ms}\r\n{key}{length}\r\n"
    )
}

/// Settings like those of `seoul-main`, with one tenant.
pub fn settings() -> String {
    r#"{"balancers":1,"classes":[
{"aim_ms":1200.0,"dedup_scope":"all","effect":"idempotent","hard_limit_ms":3000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"station-status","streamed":false,"worth":1.0},
{"aim_ms":1500.0,"dedup_scope":"all","effect":"idempotent","hard_limit_ms":6000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"session-meter","streamed":false,"worth":2.0},
{"aim_ms":2500.0,"dedup_scope":"all","effect":"deduplicated","hard_limit_ms":6000.0,"key_ttl_ms":12000.0,"late_worth":0.0,"name":"session-start","streamed":false,"worth":10.0},
{"aim_ms":2000.0,"dedup_scope":"all","effect":"at_most_once","hard_limit_ms":6000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"session-settle","streamed":false,"worth":10.0}],
"clients":{"marks_retry":true},"discovery":"subscribe","extra":{"warm_keys":true},"failure_domains":["guro-dc"],
"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.25,"worst_window":0.15},
"guarantees":{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":0.12,"cold_ms":23000.0,"drain_grace_ms":1000.0,"fall_multiple":3.0,"overload_for_ms":2000.0},
"kind_of_service":"proxy",
"limits":{"cancelling":true,"conn_idle_ms":5000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":10.0,"cpu_us_per_s":15000,"max_retry_after_ms":2000.0,"max_streams":1,"may_probe":false,"most_held":20000,"peers":true,"retry_after":true,"second_copies":true,"try_limit":3},
"locality":0,"me":0,"over_share_worth":0.2,"parties":[{"allowance_per_s":150.0,"name":"seoul","share":1.0}],
"prices":{"connection":0.03,"cross_zone":0.0,"discovery":0.01,"handshake":0.03,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.02},
"skus":["std-2c","wide-3c"],"telemetry":{"fields":["load_share","concurrent"],"how":"inline"},
"tick_ms":5.0,"tier":0,"tiers":["session-web"],"weight_kind":"nominal","worth_by":"request"}"#
        .replace('\n', "")
}
