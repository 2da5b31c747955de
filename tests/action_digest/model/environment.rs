//! The changes of upstreams, load and discovery in the model.

use super::{BEHAVIORS, Behavior, Discovery, Model, Scheduled, ms};
use crate::adapter::{Entry, Input};
use std::time::Duration;

impl Model {
    pub(super) fn report(&mut self, upstream: u64) -> Vec<f32> {
        let size = self.site.load_report_size;
        if size == 0 || self.rng.u8(0..6) == 0 {
            return Vec::new();
        }
        let in_flight = self
            .servers
            .get(&upstream)
            .map_or(0, |server| server.in_flight) as f32;
        let noise = self.rng.f32();
        let values = [in_flight + 3.0 * noise, 2.0 * noise];
        let mut report: Vec<f32> = (0..size).map(|field| values[field % 2]).collect();
        if let Some(field) = self.site.utilization_field {
            report[field] = (0.15 + 0.12 * in_flight) * (0.7 + 0.6 * noise);
        }
        match self.rng.u8(0..50) {
            0 => report[0] = f32::NAN,
            1 => report.truncate(1),
            2 => report[size - 1] = -4.0,
            3 => report[0] = 1e9,
            _ => {}
        }
        report
    }

    pub(super) fn change_behavior(&mut self) {
        let behavior = BEHAVIORS[self.rng.usize(0..BEHAVIORS.len())];
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let mut mean_ms = 700;
        // Sometimes a zone changes, or all upstreams change for some time. Often all upstreams
        // recover, and in the other cases a single one changes.
        match self.rng.u8(0..12) {
            0 | 1 => {
                let zone = self.rng.u8(0..3);
                let servers = self
                    .servers
                    .values_mut()
                    .filter(|server| server.entry.zone == zone);
                servers.for_each(|server| server.behavior = behavior);
            }
            2 => {
                self.servers
                    .values_mut()
                    .for_each(|server| server.behavior = behavior);
                mean_ms = 4000;
            }
            3..6 => self
                .servers
                .values_mut()
                .for_each(|server| server.behavior = Behavior::Normal),
            _ => {
                let id = ids[self.rng.usize(0..ids.len())];
                self.servers
                    .get_mut(&id)
                    .expect("a known upstream")
                    .behavior = behavior;
            }
        }
        let span = self.span(mean_ms);
        self.schedule_after(span, Scheduled::Behavior);
    }

    pub(super) fn change_load(&mut self) {
        let span = self.span(4000);
        self.schedule_after(span, Scheduled::Load);
        let requests_per_s = [3, 12, 25, 40, 80, 160, 500][self.rng.usize(0..7)];
        self.mean_gap_ns = self.gap_scale * 1_000_000_000 / requests_per_s;
        // Discovery fails for some time in about one of three changes.
        self.discovery = match self.rng.u8(0..14) {
            0 | 1 => Discovery::Rejecting,
            2 => Discovery::Unreachable,
            3 => Discovery::Truncating,
            4 => Discovery::Unresponsive,
            _ => Discovery::Up,
        };
    }

    /// Changes the endpoint list and publishes the change, if the list is pushed or watched.
    pub(super) fn change_list(&mut self) {
        let span = self.span(200);
        self.schedule_after(span, Scheduled::List);
        if self.site.polls_endpoints && !self.is_watching {
            return;
        }
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let id = ids[self.rng.usize(0..ids.len())];
        match self.rng.u8(0..24) {
            0 | 1 => self.publish_change(id, |entry, _| entry.availability = 1),
            2 if ids.len() > 6 => self.publish_change(id, |entry, _| entry.availability = 2),
            3..5 => {
                // The upstream restarts: it behaves normally, and its process has just started.
                self.servers
                    .get_mut(&id)
                    .expect("a known upstream")
                    .behavior = Behavior::Normal;
                self.publish_change(id, |entry, now| {
                    (entry.availability, entry.started) = (0, Some(now))
                });
            }
            5 if ids.len() < 80 => {
                let started = if self.rng.bool() {
                    Some(self.now)
                } else {
                    None
                };
                let id = self.add_server(started);
                self.publish_change(id, |_, _| ());
            }
            6..9 => self.publish_change(id, |entry, _| entry.availability = 0),
            9 | 10 => {
                let weight = [0.0, 0.25, 0.6, 1.0, 1.7, f64::NAN][self.rng.usize(0..6)];
                self.publish_change(id, |entry, _| entry.weight = weight);
            }
            11 => {
                let mut entries = self.entries();
                // Missing upstreams are removed until a later update contains them.
                entries.retain(|_| self.rng.u8(0..15) > 0);
                self.handle("snapshot", Input::Endpoints { scope: 1, entries });
            }
            12 => {
                let entries = self.entries();
                self.handle("snapshot", Input::Endpoints { scope: 1, entries });
            }
            13 if self.rng.u8(0..4) == 0 => {
                let entries = self.entries();
                self.handle("cached", Input::Endpoints { scope: 2, entries });
            }
            14..17 => self.break_watch(),
            // A delta without entries is a heartbeat.
            _ => self.handle(
                "delta",
                Input::Endpoints {
                    scope: 0,
                    entries: Vec::new(),
                },
            ),
        }
    }

    /// Changes an entry of the endpoint list and passes it to the balancer.
    fn publish_change(&mut self, id: u64, change: impl Fn(&mut Entry, Duration)) {
        let now = self.now;
        let entry = &mut self.servers.get_mut(&id).expect("a known upstream").entry;
        change(entry, now);
        let entries = vec![entry.clone()];
        self.handle("delta", Input::Endpoints { scope: 0, entries });
    }

    fn break_watch(&mut self) {
        let kind = [0, 1, 5, 2][self.rng.usize(0..4)];
        let silence = if self.site.has_local_agent {
            ms(20)
        } else {
            ms(3000)
        };
        let since = self.now.saturating_sub(silence);
        if kind != 2 || self.site.has_local_agent {
            self.handle("watch event", Input::Watch { kind, since });
        }
        self.is_watching = false;
        self.handle(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    /// Responds to a poll as the state of discovery requires.
    pub(super) fn answer_poll(&mut self, polled_at: Duration) {
        match self.discovery {
            Discovery::Up => {
                self.is_watching = true;
                let entries = self.entries();
                self.handle("snapshot", Input::Endpoints { scope: 1, entries });
                return;
            }
            Discovery::Rejecting => self.handle(
                "watch event",
                Input::Watch {
                    kind: 3,
                    since: polled_at,
                },
            ),
            Discovery::Unreachable => self.handle(
                "watch event",
                Input::Watch {
                    kind: 4,
                    since: polled_at,
                },
            ),
            Discovery::Truncating => {
                let since = self.now;
                self.handle("watch event", Input::Watch { kind: 2, since });
                self.now += ms(40);
            }
            Discovery::Unresponsive => {
                self.handle(
                    "watch event",
                    Input::Watch {
                        kind: 0,
                        since: polled_at,
                    },
                );
                return;
            }
        }
        self.handle(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    pub(super) fn end_health_check(&mut self) {
        let span = self.span(300);
        self.schedule_after(span, Scheduled::HealthCheck);
        let ids: Vec<u64> = self.servers.keys().copied().chain([999_999]).collect();
        let upstream = ids[self.rng.usize(0..ids.len())];
        let (outcome, report) = (self.rng.usize(0..8), self.report(upstream));
        self.handle(
            "health check",
            Input::HealthCheckEnded {
                upstream,
                outcome,
                report,
            },
        );
    }
}
