//! The list service by its command line: a real process with its folder, written to, read, killed and started again.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

const FROSTKEEL: &str = env!("CARGO_BIN_EXE_frostkeel");

struct Service {
    child: Child,
    read: String,
    write: String,
}

impl Drop for Service {
    fn drop(&mut self) {
        // Killed outright: what it has acknowledged must be there all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
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
    let said = lines
        .find_map(|line| line.ok().filter(|line| line.contains("serving")))
        .expect("it serves");
    std::thread::spawn(move || lines.for_each(drop));
    let field = |name: &str| {
        let value = said.split(' ').find_map(|word| word.strip_prefix(name));
        value
            .unwrap_or_else(|| panic!("{name} in {said}"))
            .to_owned()
    };
    Service {
        child,
        read: field("read="),
        write: field("write="),
    }
}

fn call(address: &str, head: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("it listens");
    let length = body.len();
    write!(
        stream,
        "{head} HTTP/1.1\r\nhost: r\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .expect("a status");
    (
        status,
        text.split_once("\r\n\r\n").expect("a head").1.to_owned(),
    )
}

fn frostkeel(arguments: &[&str]) -> Output {
    Command::new(FROSTKEEL)
        .args(arguments)
        .output()
        .expect("it starts")
}

#[test]
fn what_was_acknowledged_is_there_after_a_kill_and_watches_go_on() {
    let folder = folder("registry");
    let service = start(&folder);
    for n in 1..=3 {
        let body = format!(
            r#"{{"endpoint":"10.0.0.{n}:80","boot_ms":{n},"ttl_s":60,"az":"a","model":"m"}}"#
        );
        let (status, said) = call(&service.write, &format!("PUT /upstreams/u{n}"), &body);
        assert_eq!(
            (status, said.trim()),
            (200, format!(r#"{{"rev":{n}}}"#).as_str())
        );
    }
    assert_eq!(
        call(
            &service.write,
            "POST /upstreams/u1/renew",
            r#"{"boot_ms":1}"#
        )
        .0,
        200
    );
    assert_eq!(
        call(
            &service.write,
            "POST /upstreams/u1/renew",
            r#"{"boot_ms":7}"#
        )
        .0,
        409
    );
    assert_eq!(
        call(
            &service.write,
            "POST /upstreams/u9/renew",
            r#"{"boot_ms":7}"#
        )
        .0,
        404
    );
    assert_eq!(call(&service.write, "PUT /upstreams/u1", "nonsense").0, 400);
    assert_eq!(
        call(&service.write, "PUT /upstreams/u1", &"x".repeat(20_000)).0,
        413
    );
    assert!(
        frostkeel(&["drain", "u2", "--write", &service.write])
            .status
            .success()
    );
    assert_eq!(call(&service.write, "DELETE /upstreams/u3", "").0, 200);
    let list = call(&service.read, "GET /registry/instances", "").1;
    let want = r#"{"rev":5,"all":true,"targets":[{"uid":"u1","endpoint":"10.0.0.1:80","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":1},{"uid":"u2","endpoint":"10.0.0.2:80","az":"a","model":"m","pod_group":0,"state":"Terminating","capacity_hint":1.0,"boot_ms":2}]}"#;
    assert_eq!(list, want);

    let refused = Command::new(FROSTKEEL)
        .args(["registry", "--config"])
        .arg(config(&folder, "r0"))
        .output();
    let refused = String::from_utf8_lossy(&refused.expect("it starts").stderr).into_owned();
    assert!(refused.contains("in use by another process"), "{refused}");
    drop(service);
    let refused = Command::new(FROSTKEEL)
        .args(["registry", "--config"])
        .arg(config(&folder, "r1"))
        .output();
    let refused = String::from_utf8_lossy(&refused.expect("it starts").stderr).into_owned();
    assert!(refused.contains("belongs to r0"), "{refused}");

    let service = start(&folder);
    assert_eq!(
        call(&service.read, "GET /registry/instances", "").1,
        want,
        "after a kill"
    );
    let shown = frostkeel(&["list", "--read", &service.read]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("Terminating"));
    let mut watch = TcpStream::connect(&service.read).expect("it listens");
    write!(
        watch,
        "GET /registry/instances?stream=1&index=5 HTTP/1.1\r\nhost: r\r\n\r\n"
    )
    .expect("written");
    assert_eq!(
        call(
            &service.write,
            "PUT /upstreams/u1/weight",
            r#"{"capacity_hint":2.5}"#
        )
        .0,
        200
    );
    let lines = BufReader::new(watch).lines().map_while(Result::ok);
    let told = lines
        .into_iter()
        .find(|line| line.contains("rev"))
        .expect("a change");
    assert!(
        told.starts_with(r#"{"rev":6,"all":false,"targets":[{"uid":"u1""#) && told.contains("2.5"),
        "{told}"
    );
    let metrics = call(&service.write, "GET /metrics", "").1;
    assert!(
        metrics.contains("frostkeel_registry_version 6"),
        "{metrics}"
    );
}

/// An agent keeps its command on the list, drains it when it is asked to leave, and takes it off.
#[test]
fn an_agent_keeps_its_command_on_the_list() {
    let folder = folder("agent");
    let service = start(&folder);
    let list = || call(&service.read, "GET /registry/instances", "").1;
    let until = |what: &str| {
        let start = std::time::Instant::now();
        while !list().contains(what) {
            assert!(
                start.elapsed().as_secs() < 30,
                "in vain for {what}: {}",
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
    until("\"a1\"");
    until("Ready");
    let id = running.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .expect("a kill")
            .success()
    );
    until("Terminating");
    assert!(
        !running.wait().expect("ended").success(),
        "its command was ended by a signal"
    );
    assert!(list().contains("\"targets\":[]"), "{}", list());
    let mut short = agent(&["sh", "-c", "exit 7"]);
    assert_eq!(short.wait().expect("ended").code(), Some(7));
}

/// Who holds a connection and says nothing, or never ends what it says, does not keep the service from others.
#[test]
fn callers_that_say_nothing_or_never_end_are_let_go() {
    let folder = folder("silent");
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
        call(&service.write, "PUT /upstreams/u2", body).0,
        200,
        "others go on"
    );
    for stream in &mut silent {
        let mut said = Vec::new();
        stream.read_to_end(&mut said).expect("closed");
        assert!(
            said.is_empty() || said.starts_with(b"HTTP/1.1 4"),
            "{}",
            String::from_utf8_lossy(&said)
        );
    }
    let mut said = [0; 12];
    endless.read_exact(&mut said).expect("an answer");
    assert_eq!(&said, b"HTTP/1.1 408");
    assert!(
        call(&service.read, "GET /registry/instances", "")
            .1
            .contains("\"u2\"")
    );
}
