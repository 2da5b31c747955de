//! How long a balancer sends requests with an endpoint list that discovery no longer confirms.
//! Missed changes count as notified some seconds after the watch failed, regardless of later polls,
//! or as soon as part of them is written to a response. A grace period later, nothing may be sent
//! to an upstream that could be draining.
#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    BalancerProcess, CHUNKED_HEAD, PollingBalancer, TestConfig, Upstream, at_most_once_request,
    endpoint_json, endpoint_list_json, wait_until,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// The time after which changes that a silent watch missed count as notified.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// The time after which changes that a closed watch missed count as notified: the time that a poll
/// for another watch takes.
const NOTIFIED_AFTER_CLOSE: Duration = Duration::from_secs(2);
/// The time after a notification for which requests may still be sent to a draining upstream.
const GRACE: Duration = Duration::from_secs(1);
/// The time for which a poll waits in discovery's queue before it is rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// The time for which the balancer is observed after the grace period.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// The failure of the watch after its first list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchFailure {
    Silent,
    Closed,
}

/// The failure of the polls that follow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollFailure {
    Unanswered,
    Rejected,
    /// The poll is rejected after [`MAX_QUEUE_TIME`].
    RejectedLate,
    /// Only the head of the response is sent.
    HeadOnly,
    /// Half of the list is sent.
    HalfList,
    /// Half of the list is sent, then the connection is closed.
    HalfListAndClose,
}

/// Returns a request that succeeds only while the balancer sends requests with its list.
fn request() -> String {
    at_most_once_request(5000, "x")
}

/// Returns a line of a watch that contains the complete list.
fn snapshot(upstream: &Upstream) -> String {
    let entry = endpoint_json("s-0", upstream.address, "Ready");
    endpoint_list_json(1, true, &[entry]) + "\n"
}

/// Returns the beginning of a watch's response: its head and this line.
fn snapshot_response(snapshot: &str) -> String {
    format!("{CHUNKED_HEAD}{:x}\r\n{snapshot}\r\n", snapshot.len())
}

/// Returns the part of a response that a poll gets; empty if it is rejected or unanswered.
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

/// Makes all polls fail until `end`. Returns when part of a response was first written; `None` if
/// none was.
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

/// Sends requests until `end`, and returns the start times of those that were served.
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

/// Answers each poll with `response`, in a separate thread.
fn answer_polls(polls: Receiver<TcpStream>, response: String) {
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut poll in polls {
            let _ = poll.write_all(response.as_bytes());
            open.push(poll);
        }
    });
}

/// Checks that the balancer stops sending in time when its watch fails after the first list and no
/// later poll returns a list, and that a complete list lets it send again.
fn check_lease(watch_failure: WatchFailure, poll_failure: PollFailure) {
    let upstream = Upstream::healthy();
    let mut balancer = PollingBalancer::start(&upstream);
    let snapshot = snapshot(&upstream);
    let response = snapshot_response(&snapshot);
    balancer.poll.write_all(response.as_bytes()).unwrap();
    let failed_at = Instant::now();
    let notified_after = match watch_failure {
        WatchFailure::Silent => NOTIFIED_AFTER_SILENCE,
        WatchFailure::Closed => {
            balancer.poll.shutdown(Shutdown::Both).unwrap();
            NOTIFIED_AFTER_CLOSE
        }
    };
    let latest = failed_at + notified_after + GRACE;
    let end = latest + OBSERVATION_TIME;
    let polls = balancer.discovery.connections;
    let failing = std::thread::spawn(move || {
        let first_written_at = fail_polls(&polls, poll_failure, &snapshot, end);
        (first_written_at, polls)
    });
    let served_at = served_until(&balancer.process, end);
    let (first_written_at, polls) = failing.join().unwrap();
    let case = format!("{watch_failure:?}, {poll_failure:?}");
    let initial_period_end = failed_at + Duration::from_secs(2);
    assert!(
        served_at.iter().any(|time| *time < initial_period_end),
        "{case}: no request was served in the first 2 s"
    );
    // The lease ends at `latest`, regardless of the polls. A partial response ends it earlier, one
    // grace period after its first part.
    let expires_at = first_written_at.map_or(latest, |time| latest.min(time + GRACE));
    let late = served_at.iter().filter(|time| **time >= expires_at);
    let late: Vec<Duration> = late.map(|time| *time - failed_at).collect();
    assert!(
        late.is_empty(),
        "{case}: requests were served {late:?} after the failure, but the lease ended after {:?}",
        expires_at - failed_at
    );
    // A complete list renews the lease.
    answer_polls(polls, response);
    wait_until(&format!("{case}: the lease is renewed"), || {
        balancer.process.status_of(&request()) == 200
    });
}

/// Runs [`check_lease`] for all these poll failures at the same time.
fn check_all(watch_failure: WatchFailure, poll_failures: &[PollFailure]) {
    std::thread::scope(|scope| {
        let checks: Vec<_> = poll_failures
            .iter()
            .map(|poll_failure| scope.spawn(move || check_lease(watch_failure, *poll_failure)))
            .collect();
        let results = checks.into_iter().map(|check| check.join());
        let failed = results.filter(Result::is_err).count();
        assert_eq!(failed, 0, "number of failed cases");
    });
}

/// The watch becomes silent. Then discovery does not answer, rejects polls late, or sends truncated
/// responses.
#[test]
fn stops_sending_after_a_silent_watch_that_no_poll_confirms() {
    let poll_failures = [
        PollFailure::Unanswered,
        PollFailure::RejectedLate,
        PollFailure::HeadOnly,
        PollFailure::HalfList,
        PollFailure::HalfListAndClose,
    ];
    check_all(WatchFailure::Silent, &poll_failures);
}

/// Discovery closes the watch without an update. Then polls for another watch are rejected
/// immediately or get no response.
#[test]
fn stops_sending_after_a_closed_watch_that_no_poll_confirms() {
    let poll_failures = [PollFailure::Unanswered, PollFailure::Rejected];
    check_all(WatchFailure::Closed, &poll_failures);
}

/// While discovery is down, no balancer can be notified of a change, so the list must remain in
/// use.
#[test]
fn keeps_sending_while_discovery_is_unreachable() {
    let upstream = Upstream::healthy();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.polls_endpoints = true;
    let process = config.start();
    let start = Instant::now();
    while start.elapsed() < NOTIFIED_AFTER_SILENCE + GRACE + OBSERVATION_TIME {
        let status = process.status_of(&request());
        assert_eq!(status, 200, "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}
