//! The lease on the endpoint list: how long a balancer may use its list to send requests after
//! discovery has stopped confirming it.
//!
//! When the watch fails, the balancer polls: it sends discovery a request for another watch. It
//! counts as notified of the changes that it missed some seconds after the watch failed, even if
//! all polls fail, or as soon as discovery has written part of a response that contains the
//! changes. One drain grace later, the lease ends: any listed upstream could be draining, so the
//! balancer must not send requests.
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

/// The time from the last line of a silent watch until the balancer counts as notified of the
/// changes that it missed.
const NOTIFICATION_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// The time from the close of a watch until the balancer counts as notified of the changes that it
/// missed: the time that the poll for another watch takes.
const NOTIFICATION_DELAY_AFTER_CLOSE: Duration = Duration::from_secs(2);
/// The time from the close of a watch until the balancer counts as notified of the changes that it
/// missed, if the poll for another watch fails after a wait in the queue of discovery.
const NOTIFICATION_DELAY_AFTER_FAILED_POLLS: Duration = Duration::from_secs(6);
/// The time for which requests may still be sent to a draining upstream after the balancer was
/// notified, or counts as notified, that it is draining.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The time for which a poll waits in the queue of an overloaded discovery before it is rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// The time for which requests are still sent to the balancer after its lease must have ended.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// The way in which the watch fails after its first list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchFailure {
    Silent,
    Closed,
}

/// The way in which all polls fail after the watch has failed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PollFailure {
    Unanswered,
    Rejected,
    /// The poll is rejected after [`MAX_QUEUE_TIME`].
    RejectedLate,
    /// The connection of the poll is closed after [`MAX_QUEUE_TIME`], without a response.
    ClosedLate,
    /// Only the head of the response is sent.
    HeadOnly,
    /// Half of the list is sent.
    HalfList,
    /// Half of the list is sent, then the connection is closed.
    HalfListAndClose,
}

/// Returns a request that is served only while the lease on the endpoint list lasts.
fn request() -> String {
    at_most_once_request(5000, "x")
}

/// Returns the line of a watch that contains the complete list, with one ready upstream.
fn snapshot(upstream: &Upstream) -> String {
    let entry = endpoint_json("s-0", upstream.address, "Ready");
    endpoint_list_json(1, true, &[entry]) + "\n"
}

/// Returns the beginning of the response to a poll: the response head, and `snapshot` as the first
/// line of the watch.
fn snapshot_response(snapshot: &str) -> String {
    format!("{CHUNKED_HEAD}{:x}\r\n{snapshot}\r\n", snapshot.len())
}

/// Returns the truncated response with which discovery answers a poll; empty if the poll is
/// rejected or not answered.
fn partial_response(failure: PollFailure, snapshot: &str) -> String {
    match failure {
        PollFailure::HeadOnly => CHUNKED_HEAD.to_owned(),
        PollFailure::HalfList | PollFailure::HalfListAndClose => {
            let half = &snapshot[..snapshot.len() / 2];
            format!("{CHUNKED_HEAD}{:x}\r\n{half}", snapshot.len())
        }
        PollFailure::Unanswered
        | PollFailure::Rejected
        | PollFailure::RejectedLate
        | PollFailure::ClosedLate => String::new(),
    }
}

/// Sends `response` after a delay, and then closes the connection.
fn respond_after(delay: Duration, mut poll: TcpStream, response: &'static str) {
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        let _ = poll.write_all(response.as_bytes());
    });
}

/// Makes all polls fail until `end`. Returns when part of a response was first written; `None` if
/// no part of a response was written.
fn fail_polls(
    polls: &Receiver<TcpStream>,
    failure: PollFailure,
    snapshot: &str,
    end: Instant,
) -> Option<Instant> {
    let response = partial_response(failure, snapshot);
    let mut open_polls = Vec::new();
    let mut first_written_at = None;
    while let Ok(mut poll) = polls.recv_timeout(end.saturating_duration_since(Instant::now())) {
        match failure {
            PollFailure::Rejected => respond_after(Duration::ZERO, poll, REJECTION),
            PollFailure::RejectedLate => respond_after(MAX_QUEUE_TIME, poll, REJECTION),
            PollFailure::ClosedLate => respond_after(MAX_QUEUE_TIME, poll, ""),
            _ => {
                if !response.is_empty() && poll.write_all(response.as_bytes()).is_ok() {
                    first_written_at.get_or_insert_with(Instant::now);
                }
                if failure == PollFailure::HalfListAndClose {
                    let _ = poll.shutdown(Shutdown::Both);
                }
                open_polls.push(poll);
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
        let mut open_polls = Vec::new();
        for mut poll in polls {
            let _ = poll.write_all(response.as_bytes());
            open_polls.push(poll);
        }
    });
}

/// Checks that the balancer stops sending requests in time if its watch fails after the first list
/// and no later poll returns a list, and that it sends again after it has received a complete list.
fn check_lease(watch_failure: WatchFailure, poll_failure: PollFailure) {
    let upstream = Upstream::healthy();
    let mut balancer = PollingBalancer::start(&upstream);
    let snapshot = snapshot(&upstream);
    let response = snapshot_response(&snapshot);
    balancer.poll.write_all(response.as_bytes()).unwrap();
    let failed_at = Instant::now();
    if watch_failure == WatchFailure::Closed {
        balancer.poll.shutdown(Shutdown::Both).unwrap();
    }
    let notification_delay = match (watch_failure, poll_failure) {
        (WatchFailure::Silent, _) => NOTIFICATION_DELAY_AFTER_SILENCE,
        (WatchFailure::Closed, PollFailure::RejectedLate | PollFailure::ClosedLate) => {
            NOTIFICATION_DELAY_AFTER_FAILED_POLLS
        }
        (WatchFailure::Closed, _) => NOTIFICATION_DELAY_AFTER_CLOSE,
    };
    let latest_expiry = failed_at + notification_delay + DRAIN_GRACE;
    let end = latest_expiry + OBSERVATION_TIME;
    let polls = balancer.discovery.connections;
    let failing_polls = std::thread::spawn(move || {
        let first_written_at = fail_polls(&polls, poll_failure, &snapshot, end);
        (first_written_at, polls)
    });
    let served_at = served_until(&balancer.process, end);
    let (first_written_at, polls) = failing_polls.join().unwrap();
    let case = format!("{watch_failure:?}, {poll_failure:?}");
    let initial_period_end = failed_at + Duration::from_secs(2);
    assert!(
        served_at.iter().any(|time| *time < initial_period_end),
        "{case}: no request was served in the first 2 s"
    );
    // The lease ends at `latest_expiry` at the latest. If part of a response is written, it ends
    // one drain grace after that.
    let expires_at =
        first_written_at.map_or(latest_expiry, |time| latest_expiry.min(time + DRAIN_GRACE));
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

/// The watch becomes silent. Then discovery does not answer polls, rejects them late, or sends
/// truncated responses.
#[test]
fn stops_sending_after_a_silent_watch_if_no_poll_returns_a_list() {
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
fn stops_sending_after_a_closed_watch_if_no_poll_returns_a_list() {
    let poll_failures = [PollFailure::Unanswered, PollFailure::Rejected];
    check_all(WatchFailure::Closed, &poll_failures);
}

/// Guards against an overloaded discovery that counts as down. Discovery closes the watch without an
/// update. Then polls for another watch wait in its queue, and fail.
#[test]
fn stops_sending_after_a_closed_watch_if_polls_fail_in_the_queue_of_discovery() {
    let poll_failures = [PollFailure::RejectedLate, PollFailure::ClosedLate];
    check_all(WatchFailure::Closed, &poll_failures);
}

/// While discovery is down, it cannot notify any balancer of a change. The lease must therefore not
/// end.
#[test]
fn keeps_sending_while_discovery_is_unreachable() {
    let upstream = Upstream::healthy();
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.watches_discovery_directly = true;
    let process = config.start();
    let start = Instant::now();
    while start.elapsed() < NOTIFICATION_DELAY_AFTER_SILENCE + DRAIN_GRACE + OBSERVATION_TIME {
        let status = process.status_of(&request());
        assert_eq!(status, 200, "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}
