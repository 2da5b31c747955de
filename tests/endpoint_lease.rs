//! The lease on the endpoint list, in simulated time: how it expires and is renewed. A fleet polls a
//! discovery that answers one by one, after all watches stop just when an upstream begins to drain.

mod common;

use common::{Harness, endpoints, ms, single_class_settings};
use frostkeel_policy::{
    Effect, Endpoint, Event, FailureReason, Outcome, Settings, UpdateScope, UpstreamId, WatchEvent,
};
use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Time after which a change that a silent watch missed counts as notified; then the drain grace
/// begins.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The drain grace of the default settings.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Time without data after which an embedder treats a watch as failed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const STEP: Duration = ms(25);
/// The longest time that discovery takes to answer one poll.
const MAX_SERVICE_TIME: Duration = ms(250);
/// Polls that have waited for this long are rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// The upstream that begins to drain.
const DRAINING: UpstreamId = UpstreamId(1);

/// Returns a balancer that has just received the complete endpoint list.
fn harness(balancers: u32, index: u32) -> Harness {
    let settings = Settings {
        polls_endpoints: true,
        balancers,
        index,
        poll_interval: 20 * SECOND,
        ..single_class_settings(Effect::Idempotent)
    };
    let mut harness = Harness::with_seed(settings, u64::from(index), &endpoints(4));
    harness.update_endpoints(UpdateScope::Snapshot, &endpoints(4));
    harness.polls.clear();
    harness
}

fn endpoints_without_draining() -> Vec<Endpoint> {
    let listed = endpoints(4).into_iter();
    listed.filter(|endpoint| endpoint.id != DRAINING).collect()
}

/// A poll that waits in the queue of discovery.
#[derive(Clone, Copy)]
struct Poll {
    balancer: usize,
    arrived_at: Duration,
}

/// A poll that has ended.
struct EndedPoll {
    balancer: usize,
    /// Whether the poll was answered; otherwise it was rejected.
    is_answered: bool,
}

/// Simulates discovery, which answers one poll after another and rejects polls that have waited for
/// too long.
struct Discovery {
    service_time: Duration,
    queue: VecDeque<Poll>,
    busy_until: Duration,
}

impl Discovery {
    /// Creates a discovery that needs `total_service_time` to answer one poll of each balancer, but
    /// at most [`MAX_SERVICE_TIME`] for each poll.
    fn new(balancers: u32, total_service_time: Duration) -> Self {
        Self {
            service_time: (total_service_time / balancers).min(MAX_SERVICE_TIME),
            queue: VecDeque::new(),
            busy_until: Duration::ZERO,
        }
    }

    /// Returns whether another poll would wait for too long; such a poll is rejected immediately.
    fn is_full(&self) -> bool {
        self.service_time * (self.queue.len() as u32 + 1) > MAX_QUEUE_TIME
    }

    /// Removes and returns the polls that have ended by `now`.
    fn remove_ended(&mut self, now: Duration) -> Vec<EndedPoll> {
        let mut ended = Vec::new();
        while let Some(poll) = self.queue.front().copied() {
            let rejected_at = poll.arrived_at + MAX_QUEUE_TIME;
            let answered_at = self.busy_until.max(poll.arrived_at) + self.service_time;
            let is_answered = answered_at <= rejected_at;
            if answered_at.min(rejected_at) > now {
                break;
            }
            if is_answered {
                self.busy_until = answered_at;
            }
            self.queue.pop_front();
            ended.push(EndedPoll {
                balancer: poll.balancer,
                is_answered,
            });
        }
        ended
    }
}

/// One balancer of the simulated fleet.
struct Member {
    harness: Harness,
    forwarded_polls: usize,
    knows_of_drain: bool,
    /// Seconds for which this balancer paused its sends.
    paused_s: f64,
}

/// The results of a simulated fleet, for the assertions of a test.
#[derive(Debug, Default)]
struct Findings {
    /// Number of requests that were sent to the draining upstream after the drain grace.
    late_sends: usize,
    /// The time at which the last balancer was notified of the drain.
    all_notified_at: Duration,
    /// Number of balancers that paused their sends at some time.
    paused_balancers: usize,
    /// Mean over all balancers of the seconds for which each paused its sends.
    mean_paused_s: f64,
    /// Number of polls that discovery received.
    polls: usize,
}

/// A fleet whose watches all stop delivering data at time zero, when an upstream begins to drain.
struct Simulation {
    members: Vec<Member>,
    discovery: Discovery,
    now: Duration,
    findings: Findings,
}

impl Simulation {
    fn new(balancers: u32, total_service_time: Duration) -> Self {
        let member = |index| Member {
            harness: harness(balancers, index),
            forwarded_polls: 0,
            knows_of_drain: false,
            paused_s: 0.0,
        };
        Self {
            members: (0..balancers).map(member).collect(),
            discovery: Discovery::new(balancers, total_service_time),
            now: Duration::ZERO,
            findings: Findings::default(),
        }
    }

    fn run(mut self) -> Findings {
        while self.now < 20 * SECOND {
            self.now += STEP;
            if self.now == SILENCE_TIMEOUT {
                self.report_silence();
            }
            self.end_polls();
            for index in 0..self.members.len() {
                self.members[index].harness.advance(STEP);
                self.forward_poll(index);
                // Each balancer sends a request every quarter of a second.
                if (self.now / 25).subsec_millis() % 10 == index as u32 % 10 {
                    self.send_request(index);
                }
            }
        }
        self.into_findings()
    }

    fn report_silence(&mut self) {
        let since = Duration::ZERO;
        for member in &mut self.members {
            let event = Event::Watch(WatchEvent::Silent { since });
            member.harness.handle(event);
            member.harness.fail_poll();
        }
    }

    fn end_polls(&mut self) {
        for poll in self.discovery.remove_ended(self.now) {
            let member = &mut self.members[poll.balancer];
            if poll.is_answered {
                let listed = endpoints_without_draining();
                let scope = UpdateScope::Snapshot;
                member.harness.update_endpoints(scope, &listed);
                member.knows_of_drain = true;
                self.findings.all_notified_at = self.now;
            } else {
                member.harness.fail_poll();
            }
        }
    }

    /// Forwards a poll to discovery if the balancer has just sent one.
    fn forward_poll(&mut self, index: usize) {
        let member = &mut self.members[index];
        let polls = member.harness.polls.len();
        if polls == member.forwarded_polls {
            return;
        }
        member.forwarded_polls = polls;
        self.findings.polls += 1;
        if self.discovery.is_full() {
            member.harness.fail_poll();
        } else {
            self.discovery.queue.push_back(Poll {
                balancer: index,
                arrived_at: self.now,
            });
        }
    }

    fn send_request(&mut self, index: usize) {
        let member = &mut self.members[index];
        let id = member.harness.request();
        if let Some(upstream) = member.harness.upstream_of(id, 0) {
            let is_late = upstream == DRAINING && self.now >= NOTIFIED_WITHIN + DRAIN_GRACE;
            self.findings.late_sends += usize::from(is_late);
            member.harness.end_attempt(id, 0, Outcome::Ok);
        } else if member.harness.failure_reasons.get(&id) == Some(&FailureReason::StaleEndpoints) {
            member.paused_s += 0.25;
        }
    }

    fn into_findings(self) -> Findings {
        let mut findings = self.findings;
        let members = self.members.iter();
        assert!(
            members.clone().all(|member| member.knows_of_drain),
            "some balancers were never notified of the drain: {findings:?}"
        );
        let paused = members.map(|member| member.paused_s);
        findings.paused_balancers = paused.clone().filter(|seconds| *seconds > 0.0).count();
        findings.mean_paused_s = paused.sum::<f64>() / self.members.len() as f64;
        findings
    }
}

/// Discovery needs up to 8 s to answer one poll of each balancer. In a fleet of any size, a
/// balancer without a confirmed list sends nothing, and the mean pause of sends stays short.
#[test]
fn no_balancer_sends_by_a_stale_list_after_silent_watches() {
    for balancers in [2, 5, 20, 40, 60, 300, 900] {
        for total_service_time in [SECOND, 5 * SECOND, 8 * SECOND] {
            let findings = Simulation::new(balancers, total_service_time).run();
            let context = format!(
                "{balancers} balancers, {total_service_time:?} for all polls: {findings:?}"
            );
            assert_eq!(findings.late_sends, 0, "{context}");
            assert!(findings.mean_paused_s <= 2.0, "{context}");
        }
    }
}

/// Submits a request and returns whether it is sent to an upstream.
fn sends(harness: &mut Harness) -> bool {
    let id = harness.request();
    harness.serve_if_sent(id);
    harness.is_sent(id)
}

#[test]
fn lease_expires_some_time_after_each_watch_failure_and_an_update_renews_it() {
    for (event, expires_at) in [
        (
            WatchEvent::Silent {
                since: Duration::ZERO,
            },
            NOTIFIED_WITHIN + DRAIN_GRACE,
        ),
        (
            WatchEvent::Rejected {
                requested_at: Duration::ZERO,
            },
            NOTIFIED_WITHIN + DRAIN_GRACE,
        ),
        (WatchEvent::Moved, 4 * SECOND + DRAIN_GRACE),
        (WatchEvent::Ended, 2 * SECOND + DRAIN_GRACE),
        (
            WatchEvent::Partial {
                since: Duration::ZERO,
            },
            DRAIN_GRACE,
        ),
    ] {
        let mut harness = harness(3, 0);
        harness.handle(Event::Watch(event));
        harness.advance(expires_at - ms(300));
        assert!(
            sends(&mut harness),
            "{event:?}: no request is sent although the lease has not expired"
        );
        // The lease expires at least 0.15 s early, as the embedder may pause before the write.
        harness.advance(ms(150));
        assert!(
            !sends(&mut harness),
            "{event:?}: a request is sent although the lease has expired"
        );
        let pause = harness.balancer.send_pause().expect("sends are paused");
        assert!(
            pause.from <= expires_at - ms(150) && pause.until > expires_at,
            "{event:?}: expected a pause that contains {expires_at:?}, got {pause:?}"
        );
        // Neither a failed poll nor a later silence renews the lease.
        harness.fail_poll();
        let since = harness.now;
        harness.handle(Event::Watch(WatchEvent::Silent { since }));
        assert!(!sends(&mut harness));
        harness.update_endpoints(UpdateScope::Delta, &[]);
        assert!(
            sends(&mut harness),
            "{event:?}: a heartbeat must renew the lease"
        );
        assert_eq!(harness.balancer.send_pause(), None);
    }
}

/// A poll that cannot connect shows that discovery is down. A discovery that is down notifies no
/// changes.
#[test]
fn lease_is_restored_while_discovery_is_down() {
    let mut harness = harness(3, 0);
    harness.handle(Event::Watch(WatchEvent::Ended));
    harness.advance(5 * SECOND);
    assert!(!sends(&mut harness));
    let requested_at = 2 * SECOND;
    harness.handle(Event::Watch(WatchEvent::Unreachable { requested_at }));
    harness.advance(60 * SECOND);
    assert!(sends(&mut harness), "the lease must be restored");
}

/// Guards against an overloaded discovery, which rejects polls that have waited, counting as down.
#[test]
fn lease_expires_while_polls_are_rejected_after_a_wait() {
    for (event, expires_at) in [
        (WatchEvent::Ended, NOTIFIED_WITHIN + DRAIN_GRACE),
        (WatchEvent::Moved, 4 * SECOND + DRAIN_GRACE),
    ] {
        let mut harness = harness(3, 0);
        harness.handle(Event::Watch(event));
        harness.advance(MAX_QUEUE_TIME);
        let rejected = |harness: &mut Harness| {
            let requested_at = harness.now - MAX_QUEUE_TIME;
            harness.handle(Event::Watch(WatchEvent::Rejected { requested_at }));
            harness.fail_poll();
        };
        rejected(&mut harness);
        harness.advance(expires_at - MAX_QUEUE_TIME - ms(300));
        assert!(sends(&mut harness), "{event:?}: the lease ends too early");
        harness.advance(ms(150));
        assert!(!sends(&mut harness), "{event:?}: the lease must end");
        for _ in 0..3 {
            harness.advance(MAX_QUEUE_TIME);
            rejected(&mut harness);
            assert!(
                !sends(&mut harness),
                "{event:?}: a rejection renews the lease"
            );
        }
        harness.update_endpoints(UpdateScope::Snapshot, &endpoints_without_draining());
        assert!(
            sends(&mut harness),
            "{event:?}: a list must renew the lease"
        );
    }
}

#[test]
fn lease_is_restored_after_a_very_long_silence() {
    let mut harness = harness(3, 0);
    let since = harness.now;
    harness.handle(Event::Watch(WatchEvent::Silent { since }));
    harness.advance(40 * SECOND);
    assert!(sends(&mut harness));
}

/// The lease expires while a request is in flight.
#[test]
fn no_retry_after_the_lease_has_expired() {
    let mut harness = harness(3, 0);
    let since = Duration::ZERO;
    harness.handle(Event::Watch(WatchEvent::Partial { since }));
    harness.advance(ms(700));
    let id = harness.request();
    assert!(harness.is_sent(id));
    harness.advance(ms(150));
    harness.end_attempt(id, 0, Outcome::Reset);
    assert!(harness.upstream_of(id, 1).is_none(), "no retry");
    assert!(
        harness.final_responses.contains_key(&id),
        "the request must still get a final response"
    );
}
