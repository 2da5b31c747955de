//! The decisions of an HTTP load balancer: which requests are admitted, which upstream each one is
//! sent to, and what happens when an attempt fails.
//!
//! The crate does no I/O and reads no clock. The embedder, the program that uses the crate, passes
//! [`Event`]s with their time to [`Balancer`] and executes the [`Action`]s that it returns. Equal
//! settings, seeds and events always give equal actions.
//!
//! ```
//! use frostkeel_policy::*;
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: ms(200),
//!         deadline: ms(1000),
//!         effect: Effect::Idempotent,
//!         ..Class::default()
//!     }],
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The first event is the endpoint list that the embedder has cached.
//! let endpoints = [Endpoint {
//!     id: UpstreamId(7),
//!     zone: ZoneId(0),
//!     hardware_kind: HardwareKindId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     weight: 1.0,
//!     started: None,
//! }];
//! let update = Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &endpoints };
//! balancer.handle(ms(0), update, &mut actions);
//!
//! // A request is either sent to an upstream or rejected immediately.
//! actions.clear();
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     time_left: ms(1000),
//!     work_ms: None,
//!     is_retry: false,
//! };
//! balancer.handle(ms(5), request, &mut actions);
//! let [Action::Attempt { id, upstream, .. }] = actions[..] else { panic!("{actions:?}") };
//! assert_eq!((id, upstream), (RequestId(1), UpstreamId(7)));
//!
//! // The upstream has responded. The embedder forwards the response to the client and reports the
//! // end of the attempt.
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     id: RequestId(1),
//!     attempt: AttemptNo(0),
//!     upstream: UpstreamId(7),
//!     outcome: Outcome::Ok,
//!     latency: ms(30),
//!     request_finished: true,
//!     report: &[],
//! };
//! balancer.handle(ms(35), ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! An embedder must deliver the timers that [`Action::Timer`] sets; the balancer's periodic tick is
//! one of them. It must also end an attempt as [`Outcome::TimedOut`] when its timeout has passed,
//! or at the client's deadline if that is earlier. Each request then gets exactly one final
//! response.

mod interface;
mod log_event;
mod policy;
mod random;
mod settings;

pub use interface::*;
pub use policy::Balancer;

/// Compiles and runs the README's embedding example as a documentation test.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;
