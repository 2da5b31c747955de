//! Upstreams, load and discovery as they change.

use super::{BEHAVIORS, Behavior, Discovery, Due, Model, ms};
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
        let all: Vec<u64> = self.servers.keys().copied().collect();
        let mut mean_ms = 700;
        // Now and then a whole zone, or all for some time; often all are well again.
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
                let id = all[self.rng.usize(0..all.len())];
                self.servers.get_mut(&id).expect("one of them").behavior = behavior;
            }
        }
        let span = self.span(mean_ms);
        self.after(span, Due::Behavior);
    }

    pub(super) fn change_load(&mut self) {
        let span = self.span(4000);
        self.after(span, Due::Load);
        let per_second = [3, 12, 25, 40, 80, 160, 500][self.rng.usize(0..7)];
        self.gap = self.gap_scale * 1_000_000_000 / per_second;
        // Discovery fails for a while now and then.
        self.discovery = match self.rng.u8(0..14) {
            0 | 1 => Discovery::Rejecting,
            2 => Discovery::Unreachable,
            3 => Discovery::Breaking,
            4 => Discovery::Mute,
            _ => Discovery::Up,
        };
    }

    /// Changes the list and tells of it where it is pushed or watched.
    pub(super) fn change_list(&mut self) {
        let span = self.span(200);
        self.after(span, Due::List);
        if self.site.polls && !self.is_watching {
            return;
        }
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let id = ids[self.rng.usize(0..ids.len())];
        match self.rng.u8(0..24) {
            0 | 1 => self.tell_of_change(id, |entry, _| entry.availability = 1),
            2 if ids.len() > 6 => self.tell_of_change(id, |entry, _| entry.availability = 2),
            3..5 => {
                // A restart: well again, and just started.
                self.servers.get_mut(&id).expect("one of them").behavior = Behavior::Normal;
                self.tell_of_change(id, |entry, now| {
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
                self.tell_of_change(id, |_, _| ());
            }
            6..9 => self.tell_of_change(id, |entry, _| entry.availability = 0),
            9 | 10 => {
                let weight = [0.0, 0.25, 0.6, 1.0, 1.7, f64::NAN][self.rng.usize(0..6)];
                self.tell_of_change(id, |entry, _| entry.weight = weight);
            }
            11 => {
                let mut entries = self.entries();
                // What is missing is removed, for a while.
                entries.retain(|_| self.rng.u8(0..15) > 0);
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
            }
            12 => {
                let entries = self.entries();
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
            }
            13 if self.rng.u8(0..4) == 0 => {
                let entries = self.entries();
                self.play("cached", Input::Endpoints { scope: 2, entries });
            }
            14..17 => self.break_watch(),
            // A heartbeat.
            _ => self.play(
                "delta",
                Input::Endpoints {
                    scope: 0,
                    entries: Vec::new(),
                },
            ),
        }
    }

    fn tell_of_change(&mut self, id: u64, change: impl Fn(&mut Entry, Duration)) {
        let now = self.now;
        let entry = &mut self.servers.get_mut(&id).expect("one of them").entry;
        change(entry, now);
        let entries = vec![entry.clone()];
        self.play("delta", Input::Endpoints { scope: 0, entries });
    }

    fn break_watch(&mut self) {
        let kind = [0, 1, 5, 2][self.rng.usize(0..4)];
        let back = if self.site.local_agent {
            ms(20)
        } else {
            ms(3000)
        };
        let since = self.now.saturating_sub(back);
        if kind != 2 || self.site.local_agent {
            self.play("watch event", Input::Watch { kind, since });
        }
        self.is_watching = false;
        self.play(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    pub(super) fn answer_call(&mut self, called: Duration) {
        match self.discovery {
            Discovery::Up => {
                self.is_watching = true;
                let entries = self.entries();
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
                return;
            }
            Discovery::Rejecting => self.play(
                "watch event",
                Input::Watch {
                    kind: 3,
                    since: called,
                },
            ),
            Discovery::Unreachable => self.play(
                "watch event",
                Input::Watch {
                    kind: 4,
                    since: called,
                },
            ),
            Discovery::Breaking => {
                let since = self.now;
                self.play("watch event", Input::Watch { kind: 2, since });
                self.now += ms(40);
            }
            Discovery::Mute => {
                self.play(
                    "watch event",
                    Input::Watch {
                        kind: 0,
                        since: called,
                    },
                );
                return;
            }
        }
        self.play(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    pub(super) fn end_health_check(&mut self) {
        let span = self.span(300);
        self.after(span, Due::HealthCheck);
        let ids: Vec<u64> = self.servers.keys().copied().chain([999_999]).collect();
        let upstream = ids[self.rng.usize(0..ids.len())];
        let (outcome, report) = (self.rng.usize(0..8), self.report(upstream));
        self.play(
            "health check",
            Input::HealthCheckEnded {
                upstream,
                outcome,
                report,
            },
        );
    }
}
