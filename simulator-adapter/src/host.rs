//! The balancer instances of a process, their endpoint lists, and the actions for the next reply.

use crate::error::{BatchError, BatchFault};
use crate::protocol::{InstanceEvent, LocatedRecord, Record};
use frostkeel_policy::{Action, Balancer, Endpoint, Event, UpdateScope};
use std::collections::HashMap;
use std::time::Duration;

/// An action and the instance that requested it.
#[derive(Debug)]
pub struct InstanceAction {
    /// The number by which the simulator identifies the instance.
    pub instance: u32,
    /// The action that the simulator is to carry out.
    pub action: Action,
}

/// All balancer instances of the process.
#[derive(Default)]
pub struct Host {
    /// The running balancers by instance number.
    instances: HashMap<u32, Balancer>,
    /// The endpoint lists by list number, shared by all instances.
    endpoint_lists: HashMap<u32, Vec<Endpoint>>,
    /// A buffer for the actions of one event, reused for each event.
    actions: Vec<Action>,
    /// The actions of all instances for the reply to the current batch, in order.
    pending_actions: Vec<InstanceAction>,
}

impl Host {
    /// Applies one record, and collects the resulting actions for the reply. `now` is the time of the record's batch.
    pub fn apply(&mut self, now: Duration, located: LocatedRecord) -> Result<(), BatchError> {
        let LocatedRecord { offset, record } = located;
        self.apply_record(now, record)
            .map_err(|fault| BatchError { offset, fault })
    }

    /// Removes and returns the actions collected since the last call, in order.
    pub fn drain_actions(&mut self) -> impl Iterator<Item = InstanceAction> {
        self.pending_actions.drain(..)
    }

    fn apply_record(&mut self, now: Duration, record: Record) -> Result<(), BatchFault> {
        match record {
            Record::EndpointList { number, endpoints } => {
                self.endpoint_lists.insert(number, endpoints);
                Ok(())
            }
            Record::Start {
                instance,
                seed,
                settings,
            } => self.start(instance, seed, &settings),
            Record::Stop { instance } => {
                self.stop(instance);
                Ok(())
            }
            Record::PeerMessage { instance } => {
                running_balancer(&mut self.instances, instance).map(|_| ())
            }
            Record::Event { instance, event } => self.handle_event(now, instance, &event),
        }
    }

    fn handle_event(
        &mut self,
        now: Duration,
        instance: u32,
        event: &InstanceEvent,
    ) -> Result<(), BatchFault> {
        let event = policy_event(event, &self.endpoint_lists)?;
        let balancer = running_balancer(&mut self.instances, instance)?;
        self.actions.clear();
        balancer.handle(now, event, &mut self.actions);
        let actions = self.actions.drain(..);
        self.pending_actions
            .extend(actions.map(|action| InstanceAction { instance, action }));
        Ok(())
    }

    fn start(&mut self, instance: u32, seed: u64, settings: &str) -> Result<(), BatchFault> {
        let site = frostkeel_settings::parse(settings)?;
        let balancer = Balancer::new(site.settings, seed)?;
        self.instances.insert(instance, balancer);
        self.discard_pending(instance);
        Ok(())
    }

    fn stop(&mut self, instance: u32) {
        self.instances.remove(&instance);
        self.discard_pending(instance);
    }

    /// Discards the pending actions of an instance that was stopped or replaced. A new instance with the same number
    /// may start in the same batch, and the reply must not attribute the old instance's actions to the new one.
    fn discard_pending(&mut self, instance: u32) {
        self.pending_actions
            .retain(|pending| pending.instance != instance);
    }
}

/// Returns the balancer of an instance, or an error if the instance is not running.
fn running_balancer(
    instances: &mut HashMap<u32, Balancer>,
    instance: u32,
) -> Result<&mut Balancer, BatchFault> {
    instances
        .get_mut(&instance)
        .ok_or(BatchFault::UnknownInstance { instance })
}

/// Converts an event of the protocol into the policy crate's [`Event`].
fn policy_event<'a>(
    event: &'a InstanceEvent,
    lists: &'a HashMap<u32, Vec<Endpoint>>,
) -> Result<Event<'a>, BatchFault> {
    Ok(match event {
        InstanceEvent::EndpointsUpdated { scope, list_number } => {
            endpoint_update(lists, *scope, *list_number)?
        }
        InstanceEvent::Request {
            id,
            class,
            tenant,
            time_left,
            work_ms,
            is_retry,
        } => Event::Request {
            id: *id,
            class: *class,
            tenant: *tenant,
            time_left: *time_left,
            work_ms: *work_ms,
            is_retry: *is_retry,
        },
        InstanceEvent::StreamStarted {
            id,
            attempt,
            latency,
        } => Event::StreamStarted {
            id: *id,
            attempt: *attempt,
            latency: *latency,
        },
        InstanceEvent::AttemptEnded {
            id,
            attempt,
            request_finished,
            result,
        } => Event::AttemptEnded {
            id: *id,
            attempt: *attempt,
            upstream: result.upstream,
            outcome: result.outcome,
            latency: result.latency,
            request_finished: *request_finished,
            report: &result.load_report,
        },
        InstanceEvent::HealthCheckEnded { result } => Event::HealthCheckEnded {
            upstream: result.upstream,
            outcome: result.outcome,
            latency: result.latency,
            report: &result.load_report,
        },
        InstanceEvent::ClientDisconnected { id } => Event::ClientDisconnected { id: *id },
        InstanceEvent::Timer { timer } => Event::Timer { timer: *timer },
    })
}

/// Returns the event for an endpoint update. With the scope `Failed` the list number is ignored and the event has no
/// endpoints.
fn endpoint_update(
    lists: &HashMap<u32, Vec<Endpoint>>,
    scope: UpdateScope,
    number: u32,
) -> Result<Event<'_>, BatchFault> {
    let endpoints = match scope {
        UpdateScope::Failed => &[],
        _ => lists
            .get(&number)
            .ok_or(BatchFault::UnknownList { number })?
            .as_slice(),
    };
    Ok(Event::EndpointsUpdated { scope, endpoints })
}
