//! The registry by its command line: a real process with its folder, written to, read, killed and started again.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

#[path = "common/command.rs"]
mod command;
#[path = "common/folder.rs"]
mod folder;

use command::{FROSTKEEL, run_frostkeel};
use folder::empty_folder;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

struct Service {
    child: Child,
    read: String,
    write: String,
}

impl Drop for Service {
    fn drop(&mut self) {
        // SIGKILL: acknowledged writes must survive it.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(folder: &Path, name: &str) -> PathBuf {
    let file = folder.join(format!("{name}.toml"));
    let data = folder.join("data");
    let text = format!(
        "fleet = \"tests\"\nname = {name:?}\nread = \"127.0.0.1:0\"\nwrite = \"127.0.0.1:0\"\nfolder = {data:?}\n"
    );
    std::fs::write(&file, text).expect("written");
    file
}

fn start(folder: &Path) -> Service {
    let mut child = Command::new(FROSTKEEL)
        .args(["--log", "info", "registry", "--config"])
        .arg(config(folder, "r0"))
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
    let serving = lines
        .find_map(|line| line.ok().filter(|line| line.contains("serving")))
        .expect("it serves");
    std::thread::spawn(move || lines.for_each(drop));
    let field = |name: &str| {
        let value = serving.split(' ').find_map(|word| word.strip_prefix(name));
        value
            .unwrap_or_else(|| panic!("{name} in {serving}"))
            .to_owned()
    };
    Service {
        child,
        read: field("read="),
        write: field("write="),
    }
}

struct Response {
    status: u16,
    body: String,
}

fn call(address: &str, head: &str, body: &str) -> Response {
    let mut stream = TcpStream::connect(address).expect("it listens");
    let length = body.len();
    let fields = format!("host: r\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{head} HTTP/1.1\r\n{fields}\r\n\r\n{body}").expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let (_, body) = text.split_once("\r\n\r\n").expect("a head");
    Response {
        status: status.expect("a status"),
        body: body.to_owned(),
    }
}

/// The endpoint list as readers get it.
fn list(service: &Service) -> String {
    call(&service.read, "GET /registry/instances", "").body
}

/// Registers u1 to u3, drains u2 and removes u3; checks what is accepted and what is rejected.
fn write_endpoints(service: &Service) {
    for n in 1..=3 {
        let body = format!(
            r#"{{"endpoint":"10.0.0.{n}:80","boot_ms":{n},"ttl_s":60,"az":"a","model":"m"}}"#
        );
        let response = call(&service.write, &format!("PUT /upstreams/u{n}"), &body);
        assert_eq!(
            (response.status, response.body.trim()),
            (200, format!(r#"{{"rev":{n}}}"#).as_str())
        );
    }
    let too_long = "x".repeat(20_000);
    for (head, body, status) in [
        ("POST /upstreams/u1/renew", r#"{"boot_ms":1}"#, 200),
        ("POST /upstreams/u1/renew", r#"{"boot_ms":7}"#, 409),
        ("POST /upstreams/u9/renew", r#"{"boot_ms":7}"#, 404),
        ("PUT /upstreams/u1", "nonsense", 400),
        ("PUT /upstreams/u1", &too_long, 413),
    ] {
        assert_eq!(
            call(&service.write, head, body).status,
            status,
            "{head} {body:.20}"
        );
    }
    let drained = run_frostkeel(&["drain", "u2", "--write", &service.write]);
    assert!(drained.status.success());
    assert_eq!(call(&service.write, "DELETE /upstreams/u3", "").status, 200);
}

/// The error of a second registry on the same folder.
fn error_of_second_registry(folder: &Path, name: &str) -> String {
    let config = config(folder, name);
    let output = run_frostkeel(&["registry", "--config", config.to_str().expect("a path")]);
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Watches from revision 5 and checks that the next change is received.
fn assert_watch_resumes(service: &Service) {
    let mut watch = TcpStream::connect(&service.read).expect("it listens");
    let request = "GET /registry/instances?stream=1&index=5 HTTP/1.1\r\nhost: r\r\n\r\n";
    watch.write_all(request.as_bytes()).expect("written");
    let weight = r#"{"capacity_hint":2.5}"#;
    assert_eq!(
        call(&service.write, "PUT /upstreams/u1/weight", weight).status,
        200
    );
    let mut lines = BufReader::new(watch).lines().map_while(Result::ok);
    let change = lines.find(|line| line.contains("rev")).expect("a change");
    let is_of_u1 = change.starts_with(r#"{"rev":6,"all":false,"targets":[{"uid":"u1""#);
    assert!(is_of_u1 && change.contains("2.5"), "{change}");
}

#[test]
fn acknowledged_writes_survive_a_kill_and_watches_resume() {
    let folder = empty_folder("registry");
    let service = start(&folder);
    write_endpoints(&service);
    let expected = r#"{"rev":5,"all":true,"targets":[{"uid":"u1","endpoint":"10.0.0.1:80","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":1},{"uid":"u2","endpoint":"10.0.0.2:80","az":"a","model":"m","pod_group":0,"state":"Terminating","capacity_hint":1.0,"boot_ms":2}]}"#;
    assert_eq!(list(&service), expected);

    let error = error_of_second_registry(&folder, "r0");
    assert!(error.contains("in use by another process"), "{error}");
    drop(service);
    let error = error_of_second_registry(&folder, "r1");
    assert!(error.contains("belongs to r0"), "{error}");

    let service = start(&folder);
    assert_eq!(list(&service), expected, "after a kill");
    let printed = run_frostkeel(&["list", "--read", &service.read]);
    assert!(String::from_utf8_lossy(&printed.stdout).contains("Terminating"));
    assert_watch_resumes(&service);
    let metrics = call(&service.write, "GET /metrics", "").body;
    assert!(
        metrics.contains("frostkeel_registry_version 6"),
        "{metrics}"
    );
}

/// An agent registers its command, drains it at SIGTERM, and takes it off the list.
#[test]
fn agent_keeps_its_command_on_the_endpoint_list() {
    let folder = empty_folder("agent");
    let service = start(&folder);
    let list = || list(&service);
    let wait_for = |text: &str| {
        let start = std::time::Instant::now();
        while !list().contains(text) {
            assert!(
                start.elapsed().as_secs() < 30,
                "timed out waiting for {text}: {}",
                list()
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    let agent = |command: &[&str]| {
        Command::new(FROSTKEEL)
            .args([
                "agent",
                "--write",
                &service.write,
                "--uid",
                "a1",
                "--endpoint",
                "10.0.0.1:80",
            ])
            .args(["--ttl-s", "1", "--drain-s", "1", "--"])
            .args(command)
            .spawn()
            .expect("it starts")
    };
    let mut running = agent(&["sleep", "60"]);
    wait_for("\"a1\"");
    wait_for("Ready");
    let id = running.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .expect("a kill")
            .success()
    );
    wait_for("Terminating");
    assert!(
        !running.wait().expect("ended").success(),
        "its command was ended by a signal"
    );
    assert!(list().contains("\"targets\":[]"), "{}", list());
    let mut short = agent(&["sh", "-c", "exit 7"]);
    assert_eq!(short.wait().expect("ended").code(), Some(7));
}

/// Clients that open a connection and send nothing, or never complete their request, do not block others.
#[test]
fn silent_and_endless_callers_are_disconnected() {
    let folder = empty_folder("silent");
    let service = start(&folder);
    let mut silent: Vec<TcpStream> = [&service.read, &service.write]
        .map(|address| TcpStream::connect(address).expect("it listens"))
        .into();
    let mut endless = TcpStream::connect(&service.write).expect("it listens");
    write!(
        endless,
        "PUT /upstreams/u1 HTTP/1.1\r\nhost: r\r\ncontent-length: 100\r\n\r\n{{"
    )
    .expect("written");
    let body = r#"{"endpoint":"10.0.0.1:80","boot_ms":1,"ttl_s":60}"#;
    assert_eq!(
        call(&service.write, "PUT /upstreams/u2", body).status,
        200,
        "others go on"
    );
    for stream in &mut silent {
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("closed");
        let is_rejection = response.is_empty() || response.starts_with(b"HTTP/1.1 4");
        assert!(is_rejection, "{}", String::from_utf8_lossy(&response));
    }
    let mut response = [0; 12];
    endless.read_exact(&mut response).expect("a response");
    assert_eq!(&response, b"HTTP/1.1 408");
    assert!(list(&service).contains("\"u2\""));
}
