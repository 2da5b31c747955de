//! How long a balancer sends by an endpoint list that discovery no longer confirms. What discovery
//! had counts as notified some seconds later whatever the polls for it met, and as soon as it was
//! written on a response; a grace period after that, nothing may go to an upstream that could have
//! begun to drain.
#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

mod common;

use common::{
    BalancerProcess, CHUNKED_HEAD, PollingBalancer, TestConfig, Upstream, at_most_once_request,
    endpoint_json, endpoint_list_json, wait_until,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// What a watch that fell silent has missed counts as notified after this time.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// What a watch has missed that was closed counts as notified after the time that a poll for
/// another takes.
const NOTIFIED_AFTER_CLOSE: Duration = Duration::from_secs(2);
/// The grace period after that.
const GRACE: Duration = Duration::from_secs(1);
/// Discovery rejects polls that have waited in its queue for this long.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// How long the balancer is observed after the grace period.
const OBSERVED: Duration = Duration::from_millis(1500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How the watch fails after its list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchFailure {
    FallsSilent,
    IsClosed,
}

/// What becomes of the polls that follow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollFailure {
    Unanswered,
    Rejected,
    RejectedLate,
    HeadOnly,
    HalfList,
    HalfListAndClose,
}

/// The requests that tell whether the balancer sends by its list.
fn request() -> String {
    at_most_once_request(5000, "x")
}

/// The line of a watch that has the whole list.
fn snapshot(upstream: &Upstream) -> String {
    let entry = endpoint_json("s-0", upstream.address, "Ready");
    endpoint_list_json(1, true, &[entry]) + "\n"
}

/// The same line as the beginning of a response.
fn snapshot_response(snapshot: &str) -> String {
    format!("{CHUNKED_HEAD}{:x}\r\n{snapshot}\r\n", snapshot.len())
}

/// The bytes that a poll gets which is not rejected.
fn partial_response(failure: PollFailure, snapshot: &str) -> String {
    match failure {
        PollFailure::HeadOnly => CHUNKED_HEAD.to_owned(),
        PollFailure::HalfList | PollFailure::HalfListAndClose => {
            let half = &snapshot[..snapshot.len() / 2];
            format!("{CHUNKED_HEAD}{:x}\r\n{half}", snapshot.len())
        }
        PollFailure::Unanswered | PollFailure::Rejected | PollFailure::RejectedLate => {
            String::new()
        }
    }
}

fn reject_after(delay: Duration, mut poll: TcpStream) {
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        let _ = poll.write_all(REJECTION.as_bytes());
    });
}

/// Lets polls fail up to a time; returns when the first part of a response was written.
fn fail_polls(
    polls: &Receiver<TcpStream>,
    failure: PollFailure,
    snapshot: &str,
    end: Instant,
) -> Option<Instant> {
    let response = partial_response(failure, snapshot);
    let mut open = Vec::new();
    let mut first_written_at = None;
    while let Ok(mut poll) = polls.recv_timeout(end.saturating_duration_since(Instant::now())) {
        match failure {
            PollFailure::Rejected => reject_after(Duration::ZERO, poll),
            PollFailure::RejectedLate => reject_after(MAX_QUEUE_TIME, poll),
            _ => {
                if !response.is_empty() && poll.write_all(response.as_bytes()).is_ok() {
                    first_written_at.get_or_insert_with(Instant::now);
                }
                if failure == PollFailure::HalfListAndClose {
                    let _ = poll.shutdown(Shutdown::Both);
                }
                open.push(poll);
            }
        }
    }
    first_written_at
}

/// When the requests began that were served, up to a time.
fn served_until(process: &BalancerProcess, end: Instant) -> Vec<Instant> {
    let mut served_at = Vec::new();
    let mut client = process.connect();
    while Instant::now() < end {
        let began_at = Instant::now();
        if client.exchange(&request()).status() == 200 {
            served_at.push(began_at);
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    served_at
}

/// Answers each poll with the whole list.
fn answer_polls(polls: Receiver<TcpStream>, response: String) {
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut poll in polls {
            let _ = poll.write_all(response.as_bytes());
            open.push(poll);
        }
    });
}

/// A watch fails after its list, and the polls that follow bring no list.
fn check_lease(watch_failure: WatchFailure, poll_failure: PollFailure) {
    let upstream = Upstream::healthy();
    let mut balancer = PollingBalancer::start(&upstream);
    let snapshot = snapshot(&upstream);
    let response = snapshot_response(&snapshot);
    balancer.poll.write_all(response.as_bytes()).unwrap();
    let failed_at = Instant::now();
    let notified_after = match watch_failure {
        WatchFailure::FallsSilent => NOTIFIED_AFTER_SILENCE,
        WatchFailure::IsClosed => {
            balancer.poll.shutdown(Shutdown::Both).unwrap();
            NOTIFIED_AFTER_CLOSE
        }
    };
    let latest = failed_at + notified_after + GRACE;
    let end = latest + OBSERVED;
    let polls = balancer.discovery.connections;
    let failing = std::thread::spawn(move || {
        let first_written_at = fail_polls(&polls, poll_failure, &snapshot, end);
        (first_written_at, polls)
    });
    let served_at = served_until(&balancer.process, end);
    let (first_written_at, polls) = failing.join().unwrap();
    let case = format!("{watch_failure:?}, {poll_failure:?}");
    let early = failed_at + Duration::from_secs(2);
    assert!(
        served_at.iter().any(|time| *time < early),
        "{case}: served at first"
    );
    // Nothing may be sent from `latest` on, whatever became of the polls; a response that broke off
    // may have ended the lease earlier.
    let expires_at = first_written_at.map_or(latest, |time| latest.min(time + GRACE));
    let late = served_at.iter().filter(|time| **time >= expires_at);
    let late: Vec<Duration> = late.map(|time| *time - failed_at).collect();
    assert!(
        late.is_empty(),
        "{case}: sent at {late:?}, {:?} at the latest",
        expires_at - failed_at
    );
    // A complete list renews the lease.
    answer_polls(polls, response);
    wait_until(&format!("{case}: the lease is renewed"), || {
        balancer.process.status_of(&request()) == 200
    });
}

/// Checks these cases at the same time.
fn check_all(watch_failure: WatchFailure, poll_failures: &[PollFailure]) {
    std::thread::scope(|scope| {
        let checks: Vec<_> = poll_failures
            .iter()
            .map(|poll_failure| scope.spawn(move || check_lease(watch_failure, *poll_failure)))
            .collect();
        let results = checks.into_iter().map(|check| check.join());
        let failed = results.filter(Result::is_err).count();
        assert_eq!(failed, 0, "cases that failed");
    });
}

/// Discovery is slow, overloaded or breaks off.
#[test]
fn stops_sending_after_a_silent_watch_that_no_poll_confirms() {
    let poll_failures = [
        PollFailure::Unanswered,
        PollFailure::RejectedLate,
        PollFailure::HeadOnly,
        PollFailure::HalfList,
        PollFailure::HalfListAndClose,
    ];
    check_all(WatchFailure::FallsSilent, &poll_failures);
}

/// Discovery has closed the watch without an update, and polls for another are rejected at once or
/// wait among many.
#[test]
fn stops_sending_after_a_closed_watch_that_no_poll_confirms() {
    let poll_failures = [PollFailure::Unanswered, PollFailure::Rejected];
    check_all(WatchFailure::IsClosed, &poll_failures);
}

/// While discovery is down no balancer can be notified of anything, so the list stays in use.
#[test]
fn keeps_sending_while_discovery_is_unreachable() {
    let upstream = Upstream::healthy();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.polls_endpoints = true;
    let process = config.start();
    let start = Instant::now();
    while start.elapsed() < NOTIFIED_AFTER_SILENCE + GRACE + OBSERVED {
        let status = process.status_of(&request());
        assert_eq!(status, 200, "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}
