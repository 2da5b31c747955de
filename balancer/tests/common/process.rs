//! The balancer as a child process of the test.

use super::{
    Client, Discovery, LIVENESS_REQUEST, READINESS_REQUEST, RawPeer, TestConfig, Upstream,
};
use super::{Watch, wait_until};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The number of log lines, counted from the end of the log, that are shown if the test fails.
const RETAINED_LOG_LINES: usize = 60;
/// The number of clock ticks per second. A clock tick is the unit of the CPU times in
/// `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

type LogLines = Arc<Mutex<VecDeque<String>>>;

/// A running balancer process, which is killed when dropped.
pub struct BalancerProcess {
    child: Child,
    /// The address at which the balancer accepts clients.
    pub address: SocketAddr,
    config_path: PathBuf,
    /// The last lines of the log, which are printed if the test fails.
    log_lines: LogLines,
}

impl TestConfig {
    /// Starts a balancer with this configuration and waits until it listens.
    pub fn start(&self) -> BalancerProcess {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("frostkeel-balancer-{}-{number}.json", std::process::id());
        let config_path = std::env::temp_dir().join(name);
        std::fs::write(&config_path, self.to_json()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_frostkeel-balancer"));
        command
            .env("NODE_CONFIG", &config_path)
            .env("NODE_LOG", "info")
            .stderr(Stdio::piped());
        if !self.syscall_faults.is_empty() {
            command.env("LD_PRELOAD", syscall_faults_library());
            let faults = self.syscall_faults.iter();
            command.envs(faults.map(|(name, value)| (name, value)));
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let address = read_listen_address(&mut log);
        BalancerProcess {
            child,
            address,
            config_path,
            log_lines: retain_log_lines(log),
        }
    }
}

/// Reads the log up to the line with the balancer's listen address, and returns that address.
fn read_listen_address(log: &mut impl BufRead) -> SocketAddr {
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        assert_ne!(
            log.read_line(&mut line).unwrap(),
            0,
            "the balancer exited before it logged its listen address"
        );
    }
    let value = line.split("listen=").nth(1);
    let address = value.and_then(|rest| rest.split(' ').next()).unwrap();
    address.trim().parse().unwrap()
}

/// Reads the rest of the log in a thread and retains its last lines. If the log were not read, the
/// pipe would fill and block the balancer.
fn retain_log_lines(log: BufReader<ChildStderr>) -> LogLines {
    let log_lines = LogLines::default();
    let retained = Arc::clone(&log_lines);
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let mut retained = retained.lock().unwrap();
            retained.push_back(line);
            if retained.len() > RETAINED_LOG_LINES {
                retained.pop_front();
            }
        }
    });
    log_lines
}

/// Returns the path of the preloaded library that makes system calls fail. Cargo builds it into the
/// folder of the test binaries.
fn syscall_faults_library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let path = test.with_file_name("libfrostkeel_syscall_faults.so");
    assert!(path.exists(), "{} is not built", path.display());
    path
}

impl BalancerProcess {
    pub fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn connect_with_small_buffer(&self) -> Client {
        Client::connect_with_small_buffer(self.address)
    }

    /// Sends a request on a new connection and returns the status of its response.
    pub fn status_of(&self, request: &str) -> u16 {
        self.connect().exchange(request).status()
    }

    /// Sends a request repeatedly until its response has this status.
    pub fn wait_for_status(&self, request: &str, status: u16) {
        wait_until(&format!("the status is {status}"), || {
            self.status_of(request) == status
        });
    }

    /// Requests the balancer's liveness twice. The balancer has then processed the events that
    /// reached it before.
    pub fn round_trip(&self) {
        for _ in 0..2 {
            assert_eq!(self.status_of(LIVENESS_REQUEST), 200);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until the balancer, after SIGTERM, reports that it is not ready.
    pub fn wait_until_draining(&self) {
        self.wait_for_status(READINESS_REQUEST, 503);
    }

    /// Suspends the process with SIGSTOP. When it resumes, all events that occurred while it was
    /// suspended are pending at the same time.
    pub fn suspend(&self) {
        self.signal("STOP");
        let stat = self.proc_path("stat");
        wait_until("the process is stopped", || {
            std::fs::read_to_string(&stat).unwrap().contains(") T ")
        });
    }

    /// Resumes the suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Returns the CPU time that the process has used, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(self.proc_path("stat")).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        let [user, system] = [11, 12].map(|field| fields[field].parse::<f64>().unwrap());
        (user + system) / CLOCK_TICKS_PER_S
    }

    /// Returns the peak resident memory of the process, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes = peak.trim().trim_end_matches(" kB");
        kilobytes.parse::<f64>().unwrap() / 1024.0
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_path("fd")).unwrap().count()
    }

    /// Sets the descriptor limit of the process to its lowest free descriptor, so that it cannot
    /// open another one.
    pub fn exhaust_descriptors(&self) {
        let descriptors = self.proc_path("fd");
        let is_open = |fd: &u64| descriptors.join(fd.to_string()).exists();
        self.limit_descriptors((0..).find(|fd| !is_open(fd)).unwrap());
    }

    /// Sets the descriptor limit of the process while it runs.
    pub fn limit_descriptors(&self, max: u64) {
        let pid = self.child.id().to_string();
        let limit = format!("--nofile={max}:");
        let status = Command::new("prlimit")
            .args(["--pid", &pid, &limit])
            .status();
        assert!(status.expect("prlimit (util-linux) must run").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        self.replace_configuration(text);
        self.signal("HUP");
    }

    /// Replaces the configuration file without a signal.
    pub fn replace_configuration(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut exit_status = None;
        wait_until("the balancer exits", || {
            exit_status = self.child.try_wait().unwrap();
            exit_status.is_some()
        });
        exit_status.unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(command).status();
        assert!(status.unwrap().success());
    }

    /// Returns the path of a file of the process under `/proc`.
    fn proc_path(&self, file: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(file)
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
        if std::thread::panicking() {
            let lines = self.log_lines.lock().unwrap();
            let indented: String = lines.iter().map(|line| format!("  {line}\n")).collect();
            eprintln!("last lines of the balancer's log:\n{indented}");
        }
    }
}

/// A balancer that has sent its first poll for the endpoint list and waits for the response.
pub struct PollingBalancer {
    pub process: BalancerProcess,
    pub discovery: RawPeer,
    /// The connection of the first poll, whose request has been read.
    pub poll: TcpStream,
}

impl PollingBalancer {
    pub fn start(upstream: &Upstream) -> Self {
        let discovery = RawPeer::start();
        let mut config = TestConfig::with_upstreams(&[upstream.address]);
        config.discovery = discovery.address;
        config.watches_discovery_directly = true;
        let process = config.start();
        let poll = discovery.next_connection_with_request();
        Self {
            process,
            discovery,
            poll,
        }
    }
}

/// A balancer with an open watch.
pub struct WatchingBalancer {
    pub process: BalancerProcess,
    pub discovery: Discovery,
    pub watch: Watch,
}

impl WatchingBalancer {
    /// Starts a balancer whose configuration contains these upstreams, and waits for its watch.
    pub fn start(upstreams: &[SocketAddr]) -> Self {
        Self::start_with(TestConfig::with_upstreams(upstreams))
    }

    /// Starts a balancer with this configuration, except that it polls a new stand-in for
    /// discovery.
    pub fn start_with(mut config: TestConfig) -> Self {
        let discovery = Discovery::start();
        config.discovery = discovery.address;
        config.watches_discovery_directly = true;
        let process = config.start();
        let watch = discovery.next_watch();
        Self {
            process,
            discovery,
            watch,
        }
    }
}
