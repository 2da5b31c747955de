//! The clients of the model, and the requests and attempts.

use super::{Behavior, Model, Request, Scheduled, SentAttempt, ms};
use super::{CONNECT_FAILED, ERROR, NOT_SENT, OK, REJECTED, RESET, TIMED_OUT};
use crate::adapter::{Ended, Input};
use std::time::Duration;

impl Model {
    /// Sends an attempt to the model's upstream and schedules its end.
    pub(super) fn send(&mut self, id: u32, upstream: u64, timeout: Option<Duration>) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("attempts are only sent for known requests");
        let attempt = request.attempts.len() as u8;
        request.attempts.push(SentAttempt {
            upstream,
            sent_at: self.now,
            is_in_flight: true,
        });
        let (class, time_left) = (request.class, request.deadline.saturating_sub(self.now));
        let limit = timeout.map_or(time_left, |timeout| timeout.min(time_left));
        self.schedule_after(
            limit,
            Scheduled::End {
                id,
                attempt,
                outcome: TIMED_OUT,
            },
        );
        let Some((span, outcome)) = self.draw_outcome(class, upstream) else {
            return;
        };
        if self.site.streamed[class] && outcome == OK {
            self.schedule_after(span / 2, Scheduled::StreamStart { id, attempt });
            self.schedule_after(
                span * 3,
                Scheduled::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        } else {
            self.schedule_after(
                span,
                Scheduled::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        }
    }

    /// Returns how long an attempt takes at an upstream and its outcome; `None` if the upstream
    /// does not respond.
    fn draw_outcome(&mut self, class: usize, upstream: u64) -> Option<(Duration, usize)> {
        let server = self
            .servers
            .get_mut(&upstream)
            .expect("attempts are only sent to listed upstreams");
        server.in_flight += 1;
        let work = (20_000 + 15_000 * class as u64) * self.rng.u64(30..170) / 100;
        let work = if self.rng.u8(0..40) == 0 {
            work * 8
        } else {
            work
        };
        let service =
            Duration::from_micros(work * (4 + server.in_flight) / 4 * 1000 / server.speed);
        let chance = self.rng.u8(0..100);
        Some(match server.behavior {
            _ if chance == 99 => (ms(0), NOT_SENT),
            Behavior::Normal => (service, OK),
            Behavior::Slow => (service * 6, OK),
            Behavior::Silent => return None,
            Behavior::Failing if chance < 70 => (ms(4), ERROR),
            Behavior::Rejecting if chance < 80 => (ms(2), REJECTED),
            Behavior::Dead => (ms(3), CONNECT_FAILED),
            Behavior::Resetting if chance < 60 => (service / 3, RESET),
            _ => (service, OK),
        })
    }

    /// Removes a request if it has ended and has no attempt in flight.
    pub(super) fn remove_if_ended(&mut self, id: u32) {
        let is_over = |r: &Request| {
            (r.has_final_response || r.is_disconnected)
                && r.attempts.iter().all(|sent| !sent.is_in_flight)
        };
        if self.requests.get(&id).is_some_and(is_over) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn arrive(&mut self) {
        let gap = Duration::from_nanos(self.rng.u64(1..2 * self.mean_gap_ns));
        self.schedule_after(gap, Scheduled::Arrival);
        let class = if self.rng.u16(0..300) == 0 {
            99
        } else {
            self.rng.usize(0..self.site.classes)
        };
        // One more than there are tenants: an unknown tenant shares the bucket of the last one.
        let tenant = self.rng.u32(0..self.site.tenants + 1);
        self.last_request_id += 1;
        let id = self.last_request_id;
        let deadline = self.site.deadlines.get(class).copied().unwrap_or(ms(500));
        let time_left = deadline.mul_f64([1.0, 1.0, 1.0, 0.5, 0.05][self.rng.usize(0..5)]);
        let request = Request {
            class,
            deadline: self.now + time_left,
            attempts: Vec::new(),
            has_final_response: false,
            is_disconnected: false,
            is_streaming: false,
        };
        self.requests.insert(id, request);
        if self.rng.u8(0..25) == 0 {
            let span = self.span(60);
            self.schedule_after(span, Scheduled::Disconnect { id });
        }
        let work_ms = [None, Some(12.5), Some(f64::NAN)][self.rng.usize(0..3)];
        let is_retry = self.rng.u8(0..5) == 0;
        self.handle(
            "request",
            Input::Request {
                id,
                class: class as u16,
                tenant,
                time_left,
                work_ms,
                is_retry,
            },
        );
    }

    pub(super) fn end(&mut self, id: u32, attempt: u8, outcome: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let sent = &mut request.attempts[usize::from(attempt)];
        if !sent.is_in_flight || (outcome == TIMED_OUT && request.is_streaming) {
            return;
        }
        sent.is_in_flight = false;
        let (upstream, latency) = (sent.upstream, self.now - sent.sent_at);
        if !request.is_disconnected && (outcome == OK || request.is_streaming) {
            request.has_final_response = true;
        }
        let request_finished = request.has_final_response || request.is_disconnected;
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.in_flight -= 1;
        }
        let report = if outcome <= REJECTED {
            self.report(upstream)
        } else {
            Vec::new()
        };
        let name = [
            "ok",
            "error",
            "rejected",
            "timed out",
            "connect failed",
            "reset",
            "cancelled",
            "not sent",
        ];
        let input = Input::AttemptEnded(Ended {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            request_finished,
            report,
        });
        self.handle(name[outcome], input);
        self.remove_if_ended(id);
    }

    pub(super) fn start_stream(&mut self, id: u32, attempt: u8) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let sent = &request.attempts[usize::from(attempt)];
        if !sent.is_in_flight
            || request.has_final_response
            || request.is_disconnected
            || request.is_streaming
        {
            return;
        }
        request.is_streaming = true;
        let latency = self.now - sent.sent_at;
        self.handle(
            "stream",
            Input::StreamStarted {
                id,
                attempt,
                latency,
            },
        );
    }

    pub(super) fn disconnect(&mut self, id: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.has_final_response {
            return;
        }
        request.is_disconnected = true;
        self.handle("disconnect", Input::Disconnected { id });
        self.remove_if_ended(id);
    }
}
