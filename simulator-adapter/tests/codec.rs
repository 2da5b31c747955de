//! Decodes single records and encodes single actions, and compares them with fixtures. An earlier version of the
//! adapter read the records of the fixtures and wrote the actions.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use common::{NamedBytes, frame, parse_named_hex};
use frostkeel_policy::{
    Action, AttemptNo, Availability, CellId, ClassId, Endpoint, FailureReason, HardwareKindId,
    Outcome, RequestId, TenantId, TimerId, UpdateScope, UpstreamId, ZoneId,
};
use frostkeel_simulator_adapter::decoder::decode_batch;
use frostkeel_simulator_adapter::encoder::ReplyEncoder;
use frostkeel_simulator_adapter::error::BatchFault;
use frostkeel_simulator_adapter::protocol::{
    ActionCode, InstanceEvent, Record, RecordCode, UpstreamResult,
};
use std::time::Duration;

const INSTANCE: u32 = 3;
const REQUEST: RequestId = RequestId(0x5d3a_91c4);
const OTHER_REQUEST: RequestId = RequestId(0x0e6f_2b19);
/// The byte of a frame at which the first record begins.
const FIRST_RECORD_OFFSET: usize = 12;

/// Returns the id of the upstream at 10.18.74.`host`, port 11203.
fn upstream(host: u8) -> UpstreamId {
    UpstreamId(0x0a12_4a00_2bc3 | u64::from(host) << 16)
}

fn micros(value: u64) -> Duration {
    Duration::from_micros(value)
}

fn event_record(event: InstanceEvent) -> Record {
    Record::Event {
        instance: INSTANCE,
        event,
    }
}

fn upstream_result(outcome: Outcome, latency_us: u64, load_report: &[f32]) -> UpstreamResult {
    UpstreamResult {
        upstream: upstream(7),
        outcome,
        latency: micros(latency_us),
        load_report: load_report.to_vec(),
    }
}

fn attempt_ended(outcome: Outcome, request_finished: bool, load_report: &[f32]) -> Record {
    event_record(InstanceEvent::AttemptEnded {
        id: REQUEST,
        attempt: AttemptNo(1),
        request_finished,
        result: upstream_result(outcome, 4_500, load_report),
    })
}

fn endpoints_updated(scope: UpdateScope) -> Record {
    event_record(InstanceEvent::EndpointsUpdated {
        scope,
        list_number: 15,
    })
}

fn endpoints() -> Vec<Endpoint> {
    vec![
        Endpoint {
            id: upstream(7),
            zone: ZoneId(1),
            hardware_kind: HardwareKindId(258),
            cell: CellId(772),
            availability: Availability::Removed,
            weight: 1.5,
            started: None,
        },
        Endpoint {
            id: upstream(8),
            zone: ZoneId(2),
            hardware_kind: HardwareKindId(3),
            cell: CellId(4),
            availability: Availability::Ready,
            weight: 0.25,
            started: Some(micros(6_103_500)),
        },
        Endpoint {
            id: upstream(9),
            zone: ZoneId(255),
            hardware_kind: HardwareKindId(65535),
            cell: CellId(65535),
            availability: Availability::Draining,
            weight: -2.0,
            started: None,
        },
    ]
}

/// Returns the records of `records.hex` that come before the requests, in the order of the file.
fn records_before_requests() -> Vec<Record> {
    vec![
        Record::PeerMessage { instance: INSTANCE },
        event_record(InstanceEvent::ClientDisconnected { id: OTHER_REQUEST }),
        event_record(InstanceEvent::StreamStarted {
            id: REQUEST,
            attempt: AttemptNo(2),
            latency: micros(9_250),
        }),
        Record::EndpointList {
            number: 15,
            endpoints: endpoints(),
        },
        Record::EndpointList {
            number: 0,
            endpoints: Vec::new(),
        },
        Record::Start {
            instance: INSTANCE,
            seed: 0x0102_0304_0506_0708,
            settings: r#"{"classes": [{"name": "a"}]}"#.to_owned(),
        },
        event_record(InstanceEvent::Timer {
            timer: TimerId(0x4d),
        }),
        event_record(InstanceEvent::HealthCheckEnded {
            result: upstream_result(Outcome::Ok, 1_400, &[0.62, 7.0]),
        }),
        Record::Event {
            instance: u32::MAX,
            event: InstanceEvent::HealthCheckEnded {
                result: upstream_result(Outcome::Reset, 2_500, &[]),
            },
        },
        Record::Stop { instance: INSTANCE },
        endpoints_updated(UpdateScope::Failed),
        endpoints_updated(UpdateScope::Snapshot),
        endpoints_updated(UpdateScope::Cached),
        endpoints_updated(UpdateScope::Delta),
        attempt_ended(Outcome::Ok, true, &[0.62, 7.0]),
        attempt_ended(Outcome::Error, false, &[]),
        attempt_ended(Outcome::Rejected, true, &[]),
        attempt_ended(Outcome::TimedOut, false, &[1.0]),
        attempt_ended(Outcome::ConnectFailed, false, &[]),
        attempt_ended(Outcome::Reset, true, &[]),
        attempt_ended(Outcome::Cancelled, false, &[]),
        attempt_ended(Outcome::NotSent, false, &[]),
    ]
}

/// Returns the requests of `records.hex`, in the order of the file: with a work hint, without one, marked as a retry,
/// with a hint that isn't finite and with a hint of zero.
fn request_records() -> Vec<Record> {
    let time_left = micros(240_000);
    let request = |id, class, tenant| (RequestId(id), ClassId(class), TenantId(tenant));
    let hint = Some(12.0);
    [
        (request(REQUEST.0, 2, 3), time_left, hint, false),
        (request(1, 0, 0), time_left, None, false),
        (request(2, 65535, u32::MAX), time_left, hint, true),
        (request(2, 0, 0), time_left, None, false),
        (request(2, 0, 0), Duration::ZERO, None, true),
    ]
    .map(|((id, class, tenant), time_left, work_ms, is_retry)| {
        event_record(InstanceEvent::Request {
            id,
            class,
            tenant,
            time_left,
            work_ms,
            is_retry,
        })
    })
    .into()
}

fn concatenated(lines: &[NamedBytes]) -> Vec<u8> {
    lines.iter().flat_map(|line| line.bytes.clone()).collect()
}

#[test]
fn decodes_each_record_kind() {
    let lines = parse_named_hex(include_str!("data/records.hex"));
    let mut expected = records_before_requests();
    expected.extend(request_records());
    assert_eq!(lines.len(), expected.len());
    for (line, record) in lines.iter().zip(&expected) {
        let name = line.name;
        let batch = decode_batch(&frame(1001.5, &line.bytes));
        let mut batch = batch.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(batch.simulator_time, micros(1_001_500));
        let located = batch.records.pop().expect("a record");
        assert_eq!(
            (located.offset, &located.record),
            (FIRST_RECORD_OFFSET, record),
            "{name}"
        );
        assert!(batch.records.is_empty(), "{name}: one record");
    }
    let batch =
        decode_batch(&frame(0.0, &concatenated(&lines))).expect("one batch with all records");
    let records: Vec<Record> = batch
        .records
        .into_iter()
        .map(|located| located.record)
        .collect();
    assert_eq!(records, expected);
}

/// Returns the actions of `actions.hex` that come before the log line, in the order of the file, each with its
/// instance.
fn actions() -> Vec<(u32, Action)> {
    let id = OTHER_REQUEST;
    let attempt = |id, host, timeout| Action::Attempt {
        id,
        upstream: upstream(host),
        timeout,
    };
    let reject = |retry_after| Action::Reject {
        id,
        retry_after,
        reason: FailureReason::NoSpareCapacity,
    };
    let cancel = Action::Cancel {
        id: REQUEST,
        attempt: AttemptNo(2),
    };
    let timer = Action::Timer {
        after: micros(500_000),
        timer: TimerId(0x4d),
    };
    let fail = Action::Fail {
        id,
        reason: FailureReason::Timeout,
    };
    let upstream = upstream(7);
    vec![
        (INSTANCE, attempt(REQUEST, 7, Some(micros(80_000)))),
        (INSTANCE, attempt(RequestId(1), 8, None)),
        (u32::MAX, attempt(RequestId(2), 9, Some(micros(1)))),
        (INSTANCE, cancel),
        (INSTANCE, reject(Some(micros(250_000)))),
        (INSTANCE, reject(None)),
        (INSTANCE, fail),
        (INSTANCE, timer),
        (INSTANCE, Action::WatchEndpoints),
        (INSTANCE, Action::CloseIdleConnections { upstream }),
        (INSTANCE, Action::HealthCheck { upstream }),
    ]
}

/// The log line that is the last action of `actions.hex`, with its instance.
const LOG_LINE: (u32, &str) = (5, "two servers known");

/// Returns the bytes of a reply with the actions that `push` appends, without the length field.
fn encoded(push: impl FnOnce(&mut ReplyEncoder)) -> Vec<u8> {
    let mut reply = ReplyEncoder::default();
    reply.begin();
    push(&mut reply);
    let bytes = reply.finish();
    let (length, actions) = bytes.split_first_chunk().expect("a length field");
    assert_eq!(u32::from_be_bytes(*length) as usize, actions.len());
    actions.to_vec()
}

#[test]
fn encodes_each_action_kind() {
    let lines = parse_named_hex(include_str!("data/actions.hex"));
    let actions = actions();
    assert_eq!(lines.len(), actions.len() + 1);
    let mut reply = ReplyEncoder::default();
    reply.begin();
    reply.push(INSTANCE, &Action::WatchEndpoints);
    // A second call of `begin` discards the actions of the first reply.
    reply.begin();
    for (line, (instance, action)) in lines.iter().zip(&actions) {
        let bytes = encoded(|reply| reply.push(*instance, action));
        assert_eq!(bytes, line.bytes, "{}", line.name);
        reply.push(*instance, action);
    }
    let (instance, text) = LOG_LINE;
    let bytes = encoded(|reply| reply.push_log_line(instance, text));
    assert_eq!(bytes, lines[actions.len()].bytes, "log line");
    reply.push_log_line(instance, text);
    let all = concatenated(&lines);
    let length = (all.len() as u32).to_be_bytes();
    assert_eq!(reply.finish(), [&length[..], &all].concat());
}

#[test]
fn truncates_log_lines_at_the_length_field_limit() {
    let line = "x".repeat(70_000);
    let bytes = encoded(|reply| reply.push_log_line(1, &line));
    assert_eq!(bytes[..7], [69, 0, 0, 0, 1, 0xff, 0xff]);
    assert_eq!(bytes.len(), 7 + 65_535);
}

#[test]
fn record_codes_match_their_numbers_on_the_wire() {
    let known = (0..=u8::MAX).filter_map(|number| Some((number, RecordCode::from_wire(number)?)));
    let mut count = 0;
    for (number, code) in known {
        assert_eq!(code as u8, number, "{code:?}");
        count += 1;
    }
    assert_eq!(count, 11);
    assert_eq!(ActionCode::Attempt as u8, 72);
}

#[test]
fn decoding_errors_name_fault_and_byte() {
    let error = decode_batch(&frame(0.0, &[8, 0, 0])).expect_err("a truncated record");
    assert_eq!(error.offset, FIRST_RECORD_OFFSET + 1);
    assert!(matches!(
        error.fault,
        BatchFault::Truncated {
            field: "instance",
            needed: 4,
            available: 2
        }
    ));
    let mut longer = frame(0.0, &[]);
    longer.push(0);
    let error = decode_batch(&longer).expect_err("a wrong length");
    assert_eq!(
        error.to_string(),
        "byte 0: frame length is 8, but 9 bytes follow it"
    );
}
