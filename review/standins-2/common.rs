//! What the cases share: the record, HTTP messages, the balancer's process and its configuration, and the stand-ins for
//! upstreams, discovery and clients. Only the standard library is used, and every address is a loopback address.
#![allow(dead_code)]

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The result of a case, which becomes its exit code.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn code(self) -> i32 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::CouldNotRun => 2,
        }
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// `record.txt`: one line for each thing that was sent, answered or run, with the seconds since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:9.3} {text}", self.now());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The surroundings of a case: the root of the repository, the folder of the case, and a temporary folder.
pub struct Case {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place (`TROUBLE` is not 0).
    pub has_trouble: bool,
}

impl Case {
    pub fn begin() -> io::Result<Self> {
        let variable = |name: &str| {
            std::env::var_os(name)
                .map(PathBuf::from)
                .ok_or_else(|| io::Error::other(format!("{name} is not set")))
        };
        let folder = variable("CASE_DIR")?;
        let record = Record {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            start: Instant::now(),
        };
        let case = Self {
            root: variable("ROOT")?,
            temporary: variable("CASE_TMP")?,
            record: Arc::new(record),
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        };
        case.record
            .line(&format!("case begins, disruption: {}", case.has_trouble));
        Ok(case)
    }

    /// Returns the command `run` of the deploy file.
    pub fn run_command(&self) -> io::Result<String> {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
        line.and_then(|rest| rest.split('"').next())
            .map(str::to_owned)
            .ok_or_else(|| io::Error::other("deploy/balancer.toml has no run command"))
    }

    pub fn end(&self, verdict: Verdict, why: &str) -> ! {
        let word = match verdict {
            Verdict::Held => "the rule held",
            Verdict::Broken => "THE RULE WAS BROKEN",
            Verdict::CouldNotRun => "the case could not run",
        };
        self.record.line(&format!("{word}: {why}"));
        println!("{word}: {why}");
        std::process::exit(verdict.code())
    }
}

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that takes longer than this ends its processes and counts as one that could not run.
const LONGEST_S: f64 = 112.0;

/// Runs the body of a case, ends all its processes, and exits with its verdict.
pub fn main_of(body: impl FnOnce(&Case) -> io::Result<(Verdict, String)>) {
    thread::spawn(|| {
        sleep_s(LONGEST_S);
        for id in lock(&STARTED).iter() {
            let command = format!("kill -KILL {id}");
            let _ = Command::new("/bin/sh")
                .args(["-c", &command])
                .stderr(Stdio::null())
                .status();
        }
        println!("the case could not run: it took longer than {LONGEST_S} s");
        std::process::exit(Verdict::CouldNotRun.code())
    });
    let case = match Case::begin() {
        Ok(case) => case,
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2)
        }
    };
    match body(&case) {
        Ok((verdict, why)) => case.end(verdict, &why),
        Err(error) => case.end(Verdict::CouldNotRun, &error.to_string()),
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

pub fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Returns an address that is free now, for a program that binds it itself.
pub fn free_address() -> io::Result<SocketAddr> {
    Ok(listen()?.1)
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------------------------------

/// A request or a response that was read completely.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8(line).map_err(|_| broken("a line is no text"))?;
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the first line and the headers of a message; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some(Message {
        start,
        headers,
        body: Vec::new(),
    }))
}

/// Reads a message with its body; `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length").map(str::to_owned);
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken("chunk"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        let length: usize = length.parse().map_err(|_| broken("length"))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn write_response(
    stream: &mut impl Write,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| broken("no answer"))
}

// ---------------------------------------------------------------------------------------------------------------------
// Processes
// ---------------------------------------------------------------------------------------------------------------------

/// A process that the case started. It is killed when this is dropped.
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts `command` with `/bin/sh -c` from the root; its output goes to `log`.
    pub fn start(
        case: &Case,
        command: &str,
        variables: &[(&str, String)],
        log: &Path,
    ) -> io::Result<Self> {
        let output = File::create(log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&case.root)
            .envs(
                variables
                    .iter()
                    .map(|(name, value)| (*name, value.as_str())),
            )
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        lock(&STARTED).push(child.id());
        Ok(Self { child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, for example `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.id());
        let status = Command::new("/bin/sh")
            .args(["-c", &command])
            .stderr(Stdio::null())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("{command} failed")))
        }
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        match self.child.try_wait() {
            Ok(Some(status)) => Some(status.to_string()),
            _ => None,
        }
    }

    /// Returns the memory of the process in KiB, as `/proc` gives it under a name such as `VmRSS` or `VmHWM`.
    pub fn memory_kib(&self, name: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let value = line.and_then(|line| line.split_whitespace().next());
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        lock(&STARTED).retain(|id| *id != self.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.signal("CONT");
        self.kill();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The balancer and its configuration
// ---------------------------------------------------------------------------------------------------------------------

/// An upstream as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"guro-dc\",\"model\":\"std-2c\",\"pod_group\":1,\"state\":\"{}\",\
             \"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.state, self.boot_ms
        )
    }
}

pub fn list_json(revision: u64, is_complete: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"rev\":{revision},\"all\":{is_complete},\"targets\":[{}]}}",
        entries.join(",")
    )
}

/// The settings of WIRE's example, which are those of the co-operative's site, with one balancer.
pub fn settings_json(tenants: &[(&str, f64)]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, allowance)| {
            format!("{{\"allowance_per_s\":{allowance:.1},\"name\":\"{name}\",\"share\":0.1}}")
        })
        .collect();
    SETTINGS.replace("PARTIES", &tenants.join(","))
}

pub const TENANTS: [(&str, f64); 9] = [
    ("gyeonggi", 31.0),
    ("seoul", 31.0),
    ("busan", 21.0),
    ("incheon", 16.0),
    ("daegu", 15.0),
    ("daejeon", 15.0),
    ("gwangju", 13.0),
    ("ulsan", 11.0),
    ("jeju", 10.0),
];

const SETTINGS: &str = r#"{"balancers":1,
"classes":[
{"aim_ms":1200.0,"dedup_scope":"all","effect":"idempotent","hard_limit_ms":3000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"station-status","streamed":false,"worth":1.0},
{"aim_ms":1500.0,"dedup_scope":"all","effect":"idempotent","hard_limit_ms":6000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"session-meter","streamed":false,"worth":2.0},
{"aim_ms":2500.0,"dedup_scope":"all","effect":"deduplicated","hard_limit_ms":6000.0,"key_ttl_ms":12000.0,"late_worth":0.0,"name":"session-start","streamed":false,"worth":10.0},
{"aim_ms":2000.0,"dedup_scope":"all","effect":"at_most_once","hard_limit_ms":6000.0,"key_ttl_ms":5000.0,"late_worth":0.0,"name":"session-settle","streamed":false,"worth":10.0}],
"clients":{"marks_retry":true},"discovery":"subscribe","extra":{"warm_keys":true},"failure_domains":["guro-dc"],
"goal":{"whole":0.4,"worst_class":0.2,"worst_tenant":0.25,"worst_window":0.15},
"guarantees":{"answer_slack_ms":20.0,"ask_every_ms":10000.0,"cold_from":0.12,"cold_ms":23000.0,"drain_grace_ms":1000.0,"fall_multiple":3.0,"overload_for_ms":2000.0},
"kind_of_service":"proxy",
"limits":{"cancelling":true,"conn_idle_ms":5000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":10.0,"cpu_us_per_s":15000,"max_retry_after_ms":2000.0,"max_streams":1,"may_probe":false,"most_held":20000,"peers":true,"retry_after":true,"second_copies":true,"try_limit":3},
"locality":0,"me":0,"over_share_worth":0.2,"parties":[PARTIES],
"prices":{"connection":0.03,"cross_zone":0.0,"discovery":0.01,"handshake":0.03,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.02},
"skus":["std-2c","wide-3c"],"telemetry":{"fields":["load_share","concurrent"],"how":"inline"},"tick_ms":5.0,"tier":0,"tiers":["session-web"],"weight_kind":"nominal","worth_by":"request"}"#;

/// What a balancer is told.
pub struct Deployment {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub known: String,
    pub settings: String,
}

impl Deployment {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.listen, self.discovery, self.memory_mb, self.sockets, self.known, self.settings
        )
    }

    /// Writes the configuration file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let new = path.with_extension("new");
        fs::write(&new, self.json())?;
        fs::rename(new, path)
    }

    /// Starts the balancer with the command of the deploy file, and waits until it is ready.
    pub fn start(&self, case: &Case) -> io::Result<Program> {
        let file = case.temporary.join("config.json");
        self.write(&file)?;
        let private = case.temporary.join("balancer-tmp");
        fs::create_dir_all(&private)?;
        let variables = [
            ("NODE_NAME", "n0".to_owned()),
            ("NODE_LISTEN", self.listen.to_string()),
            ("NODE_DISCOVERY", self.discovery.to_string()),
            ("NODE_CONFIG", file.display().to_string()),
            ("TMPDIR", private.display().to_string()),
        ];
        let log = case.temporary.join("balancer.log");
        let mut program = Program::start(case, &case.run_command()?, &variables, &log)?;
        for _ in 0..300 {
            if let Some(status) = program.ended() {
                let log = fs::read_to_string(&log).unwrap_or_default();
                return Err(io::Error::other(format!(
                    "the balancer ended: {status}: {log}"
                )));
            }
            let second = Duration::from_secs(1);
            if call(self.listen, "GET", "/health/ready", "", second)
                .is_ok_and(|answer| answer.status() == 200)
            {
                case.record
                    .line(&format!("balancer ready, process {}", program.id()));
                return Ok(program);
            }
            sleep_s(0.1);
        }
        Err(io::Error::other("the balancer is not ready after 30 s"))
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Upstreams
// ---------------------------------------------------------------------------------------------------------------------

/// A request that has arrived at an upstream with its last byte.
pub struct Arrival {
    pub at: f64,
    pub uid: String,
    pub class: String,
    pub id: String,
}

/// A session node: it serves each request after `work_s`, and reports its load.
pub struct Node {
    pub uid: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

#[derive(Clone, Copy)]
pub struct NodeWork {
    pub work_s: f64,
    pub answer_bytes: usize,
}

impl Node {
    pub fn start(
        uid: &str,
        work: NodeWork,
        record: &Arc<Record>,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let (listener, address) = listen()?;
        let (name, record, shared) = (uid.to_owned(), Arc::clone(record), Arc::clone(arrivals));
        let in_flight = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, shared) =
                    (name.clone(), Arc::clone(&record), Arc::clone(&shared));
                let in_flight = Arc::clone(&in_flight);
                let _ = thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn(move || {
                        let _ = serve_node(stream, &name, work, &record, &shared, &in_flight);
                    });
            }
        });
        Ok(Self {
            uid: uid.to_owned(),
            address,
            arrivals: Arc::clone(arrivals),
        })
    }

    pub fn entry(&self, state: &'static str) -> Entry {
        Entry {
            uid: self.uid.clone(),
            address: self.address,
            state,
            boot_ms: 0,
        }
    }
}

fn serve_node(
    stream: TcpStream,
    uid: &str,
    work: NodeWork,
    record: &Record,
    arrivals: &Mutex<Vec<Arrival>>,
    in_flight: &AtomicUsize,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let id = request.header("x-correlation-id").unwrap_or("").to_owned();
        if id.is_empty() {
            write_response(&mut writer, "404 Not Found", "", b"")?;
            continue;
        }
        let class = request.path().trim_start_matches('/').split('/').next();
        let class = class.unwrap_or("").to_owned();
        record.line(&format!("{uid} got {class} {id}"));
        lock(arrivals).push(Arrival {
            at: record.now(),
            uid: uid.to_owned(),
            class,
            id: id.clone(),
        });
        let busy = in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        sleep_s(work.work_s);
        in_flight.fetch_sub(1, Ordering::SeqCst);
        let mut body = format!("{id} served by {uid}").into_bytes();
        body.resize(body.len().max(work.answer_bytes), b'.');
        let load = format!(
            "X-Backend-Load: inflight={busy},util={:.2}\r\n",
            (busy as f64 / 20.0).min(1.0)
        );
        write_response(&mut writer, "200 OK", &load, &body)?;
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------------------------------

/// A client with one connection, which it keeps while it stays open.
pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

/// A request of a client.
pub struct Ask<'a> {
    pub class: &'a str,
    pub tenant: &'a str,
    pub id: &'a str,
    pub time_left_ms: u64,
    pub body: &'a [u8],
}

impl Ask<'_> {
    /// Returns the request as it is written; a class that is safe to repeat uses GET and has no body.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head().into_bytes();
        if !self.is_read() {
            bytes.extend_from_slice(self.body);
        }
        bytes
    }

    fn is_read(&self) -> bool {
        matches!(self.class, "station-status" | "session-meter")
    }

    fn head(&self) -> String {
        let is_read = self.is_read();
        let method = if is_read { "GET" } else { "POST" };
        let key = if self.class == "session-start" {
            format!("Idempotency-Key: key-{}\r\n", self.id)
        } else {
            String::new()
        };
        let length = if is_read {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", self.body.len())
        };
        format!(
            "{method} /{} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {}\r\nX-Account: {}\r\nCookie: user=7f3a9c21e0b4d655\r\n\
             X-Time-Left-Ms: {}\r\n{key}{length}\r\n",
            self.class, self.id, self.tenant, self.time_left_ms
        )
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    fn open(&self) -> io::Result<(TcpStream, BufReader<TcpStream>)> {
        let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok((stream, reader))
    }

    /// Sends a request and reads its answer. If a kept connection ends without an answer, the request is sent once more
    /// on a new one, as PROTOCOL says.
    pub fn ask(&mut self, ask: &Ask<'_>) -> io::Result<Message> {
        let kept = self.connection.is_some();
        match self.ask_once(ask) {
            Err(_) if kept => {
                self.connection = None;
                self.ask_once(ask)
            }
            answer => answer,
        }
    }

    fn ask_once(&mut self, ask: &Ask<'_>) -> io::Result<Message> {
        let (mut stream, mut reader) = match self.connection.take() {
            Some(connection) => connection,
            None => self.open()?,
        };
        stream.write_all(&ask.bytes())?;
        let answer = read_message(&mut reader)?
            .ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.connection = Some((stream, reader));
        }
        Ok(answer)
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Discovery
// ---------------------------------------------------------------------------------------------------------------------

/// How discovery treats new calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// Calls are answered at once.
    Sound,
    /// Calls wait in line for this many milliseconds and then end in 503, because they have waited too long.
    Crowded(u64),
    /// Calls and open watches get nothing.
    Silent,
}

pub struct DiscoveryState {
    pub mode: Mode,
    pub revision: u64,
    /// The entries with the revision of their last change.
    pub entries: Vec<(u64, Entry)>,
    /// Raised to end all open watches.
    pub watch_generation: u64,
}

/// Discovery: `GET /registry/instances`, with or without a watch.
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: Vec<Entry>) -> io::Result<Self> {
        let (listener, address) = listen()?;
        let state = DiscoveryState {
            mode: Mode::Sound,
            revision: 41,
            entries: entries.into_iter().map(|entry| (41, entry)).collect(),
            watch_generation: 0,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, record) = (Arc::clone(&state), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record) = (Arc::clone(&shared), Arc::clone(&record));
                thread::spawn(move || {
                    let _ = serve_discovery(stream, &shared, &record);
                });
            }
        });
        Ok(Self { address, state })
    }

    pub fn change(&self, change: impl FnOnce(&mut DiscoveryState)) {
        change(&mut lock(&self.state.0));
        self.state.1.notify_all();
    }

    /// Sets the state of some upstreams in one revision.
    pub fn set_states(&self, uids: &[&str], state: &'static str) {
        self.change(|shared| {
            shared.revision += 1;
            let revision = shared.revision;
            for (changed_at, entry) in &mut shared.entries {
                if uids.contains(&entry.uid.as_str()) {
                    entry.state = state;
                    *changed_at = revision;
                }
            }
        });
    }
}

fn serve_discovery(
    stream: TcpStream,
    shared: &(Mutex<DiscoveryState>, Condvar),
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        record.line(&format!("discovery got {}", request.path()));
        let mode = lock(&shared.0).mode;
        match mode {
            Mode::Sound => {}
            Mode::Crowded(wait_ms) => {
                sleep_s(wait_ms as f64 / 1e3);
                record.line(&format!(
                    "discovery answers 503 after {wait_ms} ms in line to {}",
                    request.path()
                ));
                write_response(&mut writer, "503 Service Unavailable", "", b"")?;
                continue;
            }
            Mode::Silent => {
                let mut state = lock(&shared.0);
                while state.mode == Mode::Silent {
                    state = shared
                        .1
                        .wait(state)
                        .unwrap_or_else(|poisoned| poisoned.into_inner());
                }
                return Ok(());
            }
        }
        if !request.path().contains("stream=1") {
            let state = lock(&shared.0);
            let entries: Vec<Entry> = state
                .entries
                .iter()
                .map(|(_, entry)| entry.clone())
                .collect();
            let list = list_json(state.revision, true, &entries);
            drop(state);
            write_response(&mut writer, "200 OK", "", list.as_bytes())?;
            continue;
        }
        let index = request.path().split("index=").nth(1);
        let index = index.and_then(|index| index.parse().ok()).unwrap_or(0);
        return serve_watch(&mut writer, shared, index, record);
    }
    Ok(())
}

fn serve_watch(
    writer: &mut TcpStream,
    shared: &(Mutex<DiscoveryState>, Condvar),
    mut index: u64,
    record: &Record,
) -> io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let generation = lock(&shared.0).watch_generation;
    let mut heartbeat_at = Instant::now() + Duration::from_secs(2);
    let mut is_first = true;
    loop {
        let mut state = lock(&shared.0);
        while state.mode == Mode::Silent {
            state = shared
                .1
                .wait(state)
                .unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        if state.watch_generation != generation {
            record.line("discovery ends a watch");
            return writer.write_all(b"0\r\n\r\n");
        }
        let line = if is_first || state.revision != index {
            // The first line holds what changed after `index`, which may be nothing.
            is_first = false;
            let is_complete = index < 41;
            let changed = state
                .entries
                .iter()
                .filter(|(at, _)| is_complete || *at > index);
            let changed: Vec<Entry> = changed.map(|(_, entry)| entry.clone()).collect();
            index = state.revision;
            list_json(index, is_complete, &changed) + "\n"
        } else if Instant::now() >= heartbeat_at {
            "\n".to_owned()
        } else {
            let wait = heartbeat_at.saturating_duration_since(Instant::now());
            let waited = shared
                .1
                .wait_timeout(state, wait.max(Duration::from_millis(1)));
            drop(waited);
            continue;
        };
        drop(state);
        if line.len() > 1 {
            record.line(&format!("discovery writes to a watch: {}", line.trim_end()));
        }
        writer.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
        heartbeat_at = Instant::now() + Duration::from_secs(2);
    }
}

/// Counts of the answers to clients.
#[derive(Default)]
pub struct Answers {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub none: AtomicU64,
}

impl Answers {
    pub fn count(&self, answer: &io::Result<Message>) -> &'static str {
        let (counter, word) = match answer {
            Ok(answer) => match answer.status() {
                200 => (&self.served, "served"),
                429 | 503 => (&self.refused, "refused"),
                _ => (&self.failed, "failed"),
            },
            Err(_) => (&self.none, "no answer"),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        word
    }

    pub fn text(&self) -> String {
        let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        format!(
            "{} served, {} refused, {} failed, {} without an answer",
            get(&self.served),
            get(&self.refused),
            get(&self.failed),
            get(&self.none)
        )
    }
}

/// Clients that send a request each `pause_s`, until `stop` is set.
pub fn start_clients(
    address: SocketAddr,
    count: usize,
    pause_s: f64,
    record: &Arc<Record>,
    answers: &Arc<Answers>,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let classes = [
        "station-status",
        "session-meter",
        "session-start",
        "session-settle",
    ];
    let start = |number: usize| {
        let (record, answers) = (Arc::clone(record), Arc::clone(answers));
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut client = Client::new(address);
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                let class = classes[(sent + number) % classes.len()];
                let id = format!("{number:04x}-{sent:08x}");
                let ask = Ask {
                    class,
                    tenant: TENANTS[number % TENANTS.len()].0,
                    id: &id,
                    time_left_ms: 2000,
                    body: b"{\"session\":1}",
                };
                record.line(&format!("client {number} sends {class} {id}"));
                let answer = client.ask(&ask);
                let word = answers.count(&answer);
                record.line(&format!("client {number} gets {id} {word}"));
                sent += 1;
                sleep_s(pause_s);
            }
        })
    };
    (0..count).map(start).collect()
}
