//! Clients and what becomes of their requests.

use super::{Behavior, Due, Model, Request, SentAttempt, ms};
use super::{CONNECT_FAILED, ERROR, NOT_SENT, OK, REJECTED, RESET, TIMED_OUT};
use crate::adapter::{Ended, Input};
use std::time::Duration;

impl Model {
    /// Sends an attempt to the model's upstream and schedules its end.
    pub(super) fn send(&mut self, id: u32, upstream: u64, timeout: Option<Duration>) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("a request that was given");
        let attempt = request.sends.len() as u8;
        request.sends.push(SentAttempt {
            upstream,
            at: self.now,
            is_out: true,
        });
        let (class, left) = (request.class, request.deadline.saturating_sub(self.now));
        let limit = timeout.map_or(left, |timeout| timeout.min(left));
        self.after(
            limit,
            Due::End {
                id,
                attempt,
                outcome: TIMED_OUT,
            },
        );
        let Some((span, outcome)) = self.draw_outcome(class, upstream) else {
            return;
        };
        if self.site.streamed[class] && outcome == OK {
            self.after(span / 2, Due::StreamStart { id, attempt });
            self.after(
                span * 3,
                Due::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        } else {
            self.after(
                span,
                Due::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        }
    }

    /// How long an attempt takes at an upstream and how it ends; `None`: there is no response.
    fn draw_outcome(&mut self, class: usize, upstream: u64) -> Option<(Duration, usize)> {
        let server = self
            .servers
            .get_mut(&upstream)
            .expect("an upstream that was listed");
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

    /// Drops a request that has ended and has no attempt out.
    pub(super) fn forget(&mut self, id: u32) {
        let is_over =
            |r: &Request| (r.is_answered || r.is_gone) && r.sends.iter().all(|send| !send.is_out);
        if self.requests.get(&id).is_some_and(is_over) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn arrive(&mut self) {
        let gap = Duration::from_nanos(self.rng.u64(1..2 * self.gap));
        self.after(gap, Due::Arrival);
        let class = if self.rng.u16(0..300) == 0 {
            99
        } else {
            self.rng.usize(0..self.site.classes)
        };
        // One more than there are: an unknown tenant shares the last one's bucket.
        let tenant = self.rng.u32(0..self.site.tenants + 1);
        self.next_request += 1;
        let id = self.next_request;
        let longest = self.site.deadlines.get(class).copied().unwrap_or(ms(500));
        let left = longest.mul_f64([1.0, 1.0, 1.0, 0.5, 0.05][self.rng.usize(0..5)]);
        let request = Request {
            class,
            deadline: self.now + left,
            sends: Vec::new(),
            is_answered: false,
            is_gone: false,
            is_streaming: false,
        };
        self.requests.insert(id, request);
        if self.rng.u8(0..25) == 0 {
            let span = self.span(60);
            self.after(span, Due::Disconnect { id });
        }
        let work_ms = [None, Some(12.5), Some(f64::NAN)][self.rng.usize(0..3)];
        let again = self.rng.u8(0..5) == 0;
        self.play(
            "request",
            Input::Request {
                id,
                class: class as u16,
                tenant,
                left,
                work_ms,
                again,
            },
        );
    }

    pub(super) fn end(&mut self, id: u32, attempt: u8, outcome: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let send = &mut request.sends[usize::from(attempt)];
        if !send.is_out || (outcome == TIMED_OUT && request.is_streaming) {
            return;
        }
        send.is_out = false;
        let (upstream, latency) = (send.upstream, self.now - send.at);
        if !request.is_gone && (outcome == OK || request.is_streaming) {
            request.is_answered = true;
        }
        let finished = request.is_answered || request.is_gone;
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
            finished,
            report,
        });
        self.play(name[outcome], input);
        self.forget(id);
    }

    pub(super) fn start_stream(&mut self, id: u32, attempt: u8) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let send = &request.sends[usize::from(attempt)];
        if !send.is_out || request.is_answered || request.is_gone || request.is_streaming {
            return;
        }
        request.is_streaming = true;
        let latency = self.now - send.at;
        self.play(
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
        if request.is_answered {
            return;
        }
        request.is_gone = true;
        self.play("disconnect", Input::Disconnected { id });
        self.forget(id);
    }
}
