//! Compares the JSON of the membership page and the log lines of the membership with a committed file. The crate
//! `frostkeel-lab` reads both. Incarnations, times, ports and the digest of the view are masked. The digits of the
//! counters are removed.

mod common;

use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};

/// A balancer process, which is killed when dropped.
struct Member(Child);

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a configuration with two peers: this balancer, and one that is unreachable.
fn configuration() -> String {
    let membership = format!(
        r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:5","{}"],
        "membership":{{"fleet":"f","page":"127.0.0.1:0"}},"settings":{{"#,
        unreachable_address()
    );
    TestConfig::with_upstreams(&[])
        .to_json()
        .replacen(r#""settings":{"#, &membership, 1)
}

/// Returns the value of the field `key=value` in a log line.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Replaces the values that follow these keys by `<masked>`. A value ends at a comma, a space or a closing brace.
fn masked(text: &str, keys: &[&str]) -> String {
    let mut masked = text.to_owned();
    for key in keys {
        let mut from = 0;
        while let Some(at) = masked[from..].find(key) {
            let begin = from + at + key.len();
            let rest = &masked[begin..];
            let length = rest.find([',', ' ', '}']).unwrap_or(rest.len());
            masked.replace_range(begin..begin + length, "<masked>");
            from = begin;
        }
    }
    masked
}

#[test]
fn members_page_and_log_lines_are_as_committed() {
    let path = std::env::temp_dir().join(format!("members-page-{}.json", std::process::id()));
    std::fs::write(&path, configuration()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_frostkeel-balancer"));
    command.env("NODE_CONFIG", &path).stderr(Stdio::piped());
    let mut member = Member(command.spawn().unwrap());
    let log = BufReader::new(member.0.stderr.take().unwrap());
    let (mut lines, mut page) = (Vec::new(), None);
    for line in log.lines().map_while(Result::ok) {
        let Some((_, event)) = line.split_once("::members: ") else {
            continue;
        };
        page = page.or(field(event, "page").and_then(|page| page.parse::<SocketAddr>().ok()));
        lines.push(masked(
            event,
            &["peers=127.0.0.1:", "page=127.0.0.1:", "incarnation="],
        ));
        if event.starts_with("member ") {
            break;
        }
    }
    let mut stream = TcpStream::connect(page.expect("the page's address")).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    write!(stream, "GET /members HTTP/1.1\r\nHost: n0\r\n\r\n").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let json = response.split("\r\n\r\n").nth(1).expect("a body");
    // The digits are removed because the counters vary between runs.
    let counters = json.find(r#""counters":"#).expect("counters");
    let (view, counters) = json.split_at(counters);
    lines.push(masked(
        view,
        &[r#""incarnation":"#, r#""since_s":"#, r#""digest":"#],
    ));
    let counters = counters.replace(|c: char| c.is_ascii_digit(), "");
    lines.push(counters);
    let text = lines.join("\n") + "\n";
    std::fs::remove_file(&path).unwrap();
    assert_eq!(text, include_str!("data/members_page.txt"));
}
