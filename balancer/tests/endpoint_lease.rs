//! How long a list is sent by that discovery no longer confirms. What discovery had counts as notified some seconds
//! later whatever the calls for it met, and as soon as it was written on an answer; a grace after that, nothing may go
//! to an upstream that could have begun to drain.
#![expect(
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// What a watch that fell silent has missed counts as notified after this; what one has missed that was ended, after
/// the time that a call for another takes.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_END: Duration = Duration::from_secs(2);
/// The grace after that.
const GRACE: Duration = Duration::from_secs(1);
/// Discovery turns away what has waited in its queue for this long.
const QUEUE_MOST: Duration = Duration::from_secs(3);
/// How long the balancer is watched after the grace.
const WATCHED: Duration = Duration::from_millis(1500);

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What becomes of the calls that follow a watch which has fallen silent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Calls {
    Unanswered,
    TurnedAway,
    TurnedAwayLate,
    HeadOnly,
    HalfList,
    HalfListAndClose,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole_list(upstream: &Upstream) -> String {
    list(1, true, &[entry("s-0", upstream.address, "Ready")]) + "\n"
}

/// Answers calls in the way of a case until the balancer has been watched; returns when the first answer was written.
fn answer_badly(
    calls: &Receiver<TcpStream>,
    how: Calls,
    text: &str,
    until: Instant,
) -> Option<Instant> {
    let (mut open, mut written) = (Vec::new(), None);
    while let Ok(mut stream) = calls.recv_timeout(until.saturating_duration_since(Instant::now())) {
        if let Calls::TurnedAway | Calls::TurnedAwayLate = how {
            std::thread::spawn(move || {
                std::thread::sleep(if how == Calls::TurnedAway {
                    Duration::ZERO
                } else {
                    QUEUE_MOST
                });
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            });
            continue;
        }
        let half = HEAD.to_owned() + &format!("{:x}\r\n", text.len()) + &text[..text.len() / 2];
        let bytes = match how {
            Calls::HeadOnly => HEAD,
            Calls::HalfList | Calls::HalfListAndClose => &half,
            Calls::Unanswered | Calls::TurnedAway | Calls::TurnedAwayLate => "",
        };
        if !bytes.is_empty() && stream.write_all(bytes.as_bytes()).is_ok() {
            written.get_or_insert_with(Instant::now);
        }
        if how == Calls::HalfListAndClose {
            let _ = stream.shutdown(Shutdown::Both);
        }
        open.push(stream);
    }
    written
}

/// How the watch breaks after its list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Watch {
    FallsSilent,
    IsEnded,
}

/// Plays one case: a watch that breaks after its list, and calls that bring no list.
fn play(end: Watch, how: Calls) {
    let upstream = Upstream::start(Then::Answer(OK));
    let (node, calls, mut watch) = calling(&upstream);
    let text = whole_list(&upstream);
    watch
        .write_all((HEAD.to_owned() + &chunk(&text)).as_bytes())
        .unwrap();
    let silent = Instant::now();
    let notified_after = match end {
        Watch::FallsSilent => NOTIFIED_WITHIN,
        Watch::IsEnded => NOTIFIED_AFTER_END,
    };
    if end == Watch::IsEnded {
        watch.shutdown(Shutdown::Both).unwrap();
    }
    let latest = silent + notified_after + GRACE;
    let badly = std::thread::spawn(move || {
        (
            answer_badly(&calls, how, &text, latest + WATCHED),
            calls,
            text,
        )
    });
    // What is sent from `latest` on must be refused, whatever became of the calls; before, an answer that broke off
    // may have ended it earlier.
    let mut served = Vec::new();
    let mut client = node.connect();
    while Instant::now() < latest + WATCHED {
        let began = Instant::now();
        if client.exchange(&book(5000, "x")).status() == 200 {
            served.push(began);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let (written, calls, text) = badly.join().unwrap();
    assert!(
        served
            .iter()
            .any(|at| *at < silent + Duration::from_secs(2)),
        "{how:?}: served at first"
    );
    let notified = written.map_or(latest, |at| latest.min(at + GRACE));
    let after: Vec<_> = served
        .iter()
        .filter(|at| **at >= notified)
        .map(|at| *at - silent)
        .collect();
    assert!(
        after.is_empty(),
        "{how:?}: sent at {after:?}, {:?} at the latest",
        notified - silent
    );
    // A whole list ends it.
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in calls {
            let _ = stream.write_all((HEAD.to_owned() + &chunk(&text)).as_bytes());
            open.push(stream);
        }
    });
    until(
        &format!("{end:?}, {how:?}: a whole list is sent by again"),
        || node.connect().exchange(&book(5000, "x")).status() == 200,
    );
}

/// Plays these cases side by side.
fn play_all(end: Watch, all: &[Calls]) {
    std::thread::scope(|scope| {
        let plays: Vec<_> = all
            .iter()
            .map(|how| scope.spawn(move || play(end, *how)))
            .collect();
        let failed = plays
            .into_iter()
            .filter_map(|play| play.join().err())
            .count();
        assert_eq!(failed, 0, "cases that failed");
    });
}

/// Guards against a list that is trusted without end where discovery is slow, crowded or breaks off: calls that are
/// never answered or turned away late, answers that stop after their head or within their list.
#[test]
fn stops_sending_after_a_silent_watch_that_no_poll_confirms() {
    let all = [
        Calls::Unanswered,
        Calls::TurnedAwayLate,
        Calls::HeadOnly,
        Calls::HalfList,
        Calls::HalfListAndClose,
    ];
    play_all(Watch::FallsSilent, &all);
}

/// Guards against the same after a watch that discovery has ended in place of telling, where the calls for another
/// are turned away at once, or wait among many.
#[test]
fn stops_sending_after_a_closed_watch_that_no_poll_confirms() {
    play_all(Watch::IsEnded, &[Calls::Unanswered, Calls::TurnedAway]);
}

/// Guards service while discovery is down: nobody can be notified of anything then, so the list goes on to be used.
#[test]
fn keeps_sending_while_discovery_is_unreachable() {
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.asks = true;
    let node = setup.start();
    let start = Instant::now();
    while start.elapsed() < NOTIFIED_WITHIN + GRACE + WATCHED {
        assert_eq!(
            node.connect().exchange(&book(5000, "x")).status(),
            200,
            "after {:?}",
            start.elapsed()
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}
