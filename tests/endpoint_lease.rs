//! The lease on the list of endpoints, in simulated time: how it ends and is renewed, and a fleet
//! whose watches all fall silent as an upstream begins to drain, before a discovery that answers
//! one poll after another.

mod common;

use common::{Harness, endpoints, ms, single_class_settings};
use frostkeel_policy::{
    Effect, Endpoint, Event, FailureReason, Outcome, Settings, UpdateScope, UpstreamId, WatchEvent,
};
use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// What a silent watch misses counts as notified after this time; then the grace period begins.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(1);
/// When an embedder gives up a watch on which nothing arrives.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const STEP: Duration = ms(25);
/// The longest that discovery takes to answer one poll.
const MAX_SERVICE_TIME: Duration = ms(250);
/// Polls that have waited for this long are rejected.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
/// The upstream that begins to drain.
const DRAINING: UpstreamId = UpstreamId(1);

/// A balancer that has just got the whole list.
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

/// A poll in discovery's queue.
#[derive(Clone, Copy)]
struct Poll {
    balancer: usize,
    arrived_at: Duration,
}

/// A poll that has ended.
struct EndedPoll {
    balancer: usize,
    /// It was answered, not rejected.
    is_answered: bool,
}

/// Discovery: it answers one poll after another, and rejects those that have waited for too long.
struct Discovery {
    service_time: Duration,
    queue: VecDeque<Poll>,
    busy_until: Duration,
}

impl Discovery {
    /// It needs `total_service_time` for a poll of each balancer.
    fn new(balancers: u32, total_service_time: Duration) -> Self {
        Self {
            service_time: (total_service_time / balancers).min(MAX_SERVICE_TIME),
            queue: VecDeque::new(),
            busy_until: Duration::ZERO,
        }
    }

    /// Whether a further poll would wait for too long: it is rejected at once.
    fn is_full(&self) -> bool {
        self.service_time * (self.queue.len() as u32 + 1) > MAX_QUEUE_TIME
    }

    /// The polls that end by now.
    fn take_ended(&mut self, now: Duration) -> Vec<EndedPoll> {
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
    polls_seen: usize,
    knows_of_drain: bool,
    /// Seconds in which it paused its sends.
    paused_s: f64,
}

/// What happened in a simulation.
#[derive(Debug, Default)]
struct Findings {
    /// Requests sent to the draining upstream after the grace period.
    late_sends: usize,
    /// When the last balancer learned of the drain.
    all_notified_at: Duration,
    /// Balancers that paused their sends at some time.
    paused_balancers: usize,
    /// Seconds of it for each balancer in the mean.
    mean_paused_s: f64,
    /// Polls that discovery got.
    polls: usize,
}

/// A fleet whose watches all fall silent at time zero, when an upstream begins to drain.
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
            polls_seen: 0,
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
                // One request every quarter of a second each.
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
        for poll in self.discovery.take_ended(self.now) {
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

    /// Passes a poll that the balancer has just begun to discovery.
    fn forward_poll(&mut self, index: usize) {
        let member = &mut self.members[index];
        let polls = member.harness.polls.len();
        if polls == member.polls_seen {
            return;
        }
        member.polls_seen = polls;
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
            let is_late = upstream == DRAINING && self.now >= NOTIFIED_WITHIN + GRACE;
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
            "all know in the end: {findings:?}"
        );
        let paused = members.map(|member| member.paused_s);
        findings.paused_balancers = paused.clone().filter(|seconds| *seconds > 0.0).count();
        findings.mean_paused_s = paused.sum::<f64>() / self.members.len() as f64;
        findings
    }
}

/// Fleets of every size before a discovery that needs up to 8 s for a poll of each balancer: a
/// balancer that has no list in time sends nothing, and few have to pause for long.
#[test]
fn no_balancer_sends_by_a_stale_list_after_silent_watches() {
    for balancers in [2, 5, 20, 40, 60, 300, 900] {
        for total_service_time in [SECOND, 5 * SECOND, 8 * SECOND] {
            let findings = Simulation::new(balancers, total_service_time).run();
            let context =
                format!("{balancers} balancers, {total_service_time:?} for all: {findings:?}");
            assert_eq!(findings.late_sends, 0, "{context}");
            assert!(findings.mean_paused_s <= 2.0, "{context}");
        }
    }
}

/// Whether a request is sent.
fn sends(harness: &mut Harness) -> bool {
    let id = harness.request();
    harness.serve_if_sent(id);
    harness.is_sent(id)
}

#[test]
fn lease_expires_on_each_watch_failure_and_an_update_renews_it() {
    for (event, expires_at) in [
        (
            WatchEvent::Silent {
                since: Duration::ZERO,
            },
            NOTIFIED_WITHIN + GRACE,
        ),
        (
            WatchEvent::Rejected {
                requested_at: Duration::ZERO,
            },
            NOTIFIED_WITHIN + GRACE,
        ),
        (WatchEvent::Moved, 4 * SECOND + GRACE),
        (WatchEvent::Ended, 2 * SECOND + GRACE),
        (
            WatchEvent::Partial {
                since: Duration::ZERO,
            },
            GRACE,
        ),
    ] {
        let mut harness = harness(3, 0);
        harness.handle(Event::Watch(event));
        harness.advance(expires_at - ms(300));
        assert!(sends(&mut harness), "{event:?}: the lease has not expired");
        // A margin of 0.15 s is left for a pause before the write.
        harness.advance(ms(150));
        assert!(!sends(&mut harness), "{event:?}: the lease has expired");
        let pause = harness.balancer.send_pause().expect("sends are paused");
        assert!(
            pause.from <= expires_at - ms(150) && pause.until > expires_at,
            "{pause:?}"
        );
        // Polls that fail renew nothing, and neither does a later silence.
        harness.fail_poll();
        let since = harness.now;
        harness.handle(Event::Watch(WatchEvent::Silent { since }));
        assert!(!sends(&mut harness));
        harness.update_endpoints(UpdateScope::Delta, &[]);
        assert!(sends(&mut harness), "{event:?}: a heartbeat renews it");
        assert_eq!(harness.balancer.send_pause(), None);
    }
}

/// Polls that are rejected, or reach nobody, show that discovery is down and has no updates.
#[test]
fn lease_is_restored_while_discovery_is_down() {
    let requested_at = 2 * SECOND;
    for event in [
        WatchEvent::Rejected { requested_at },
        WatchEvent::Unreachable { requested_at },
    ] {
        let mut harness = harness(3, 0);
        harness.handle(Event::Watch(WatchEvent::Ended));
        harness.advance(5 * SECOND);
        assert!(!sends(&mut harness));
        harness.handle(Event::Watch(event));
        harness.advance(60 * SECOND);
        assert!(sends(&mut harness), "{event:?}");
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

/// A request is in flight as the lease expires.
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
        "a final response all the same"
    );
}
