//! Runs sessions with the program: complete batches get replies, and a malformed batch gets one line on standard error.

mod common;

use common::{error_message, frame, run_adapter, split_replies};
use frostkeel_simulator_adapter::protocol::{ActionCode, RecordCode};

const INSTANCE: u32 = 3;
const REQUEST: u32 = 77;
const UNKNOWN_INSTANCE: u32 = 4;
/// The byte of a frame at which the first record begins.
const FIRST_RECORD_OFFSET: usize = 12;

const SETTINGS: &str = r#"{"balancers": 1, "classes": [{"aim_ms": 500.0, "hard_limit_ms": 1500.0,
    "effect": "idempotent", "worth": 1.0, "name": "a", "unknown": [1]}], "news": {"of": "tomorrow"}}"#;

fn batch(clock_ms: f64, records: &[Vec<u8>]) -> Vec<u8> {
    frame(clock_ms, &records.concat())
}

/// Returns the fields that begin a record: its code, and the number of an instance or of an endpoint list.
fn header(code: RecordCode, number: u32) -> Vec<u8> {
    [&[code as u8][..], &number.to_be_bytes()].concat()
}

fn start_record(instance: u32, settings: &str) -> Vec<u8> {
    let mut record = header(RecordCode::Start, instance);
    record.extend(7u64.to_be_bytes());
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

/// Returns a record that defines a list of ready endpoints at 10.0.0.`host`, port 11200.
fn endpoint_list(number: u32, hosts: &[u8]) -> Vec<u8> {
    let mut record = header(RecordCode::EndpointList, number);
    record.extend((hosts.len() as u32).to_be_bytes());
    for host in hosts {
        record.extend([10, 0, 0, *host, 0x2b, 0xc0, 0, 0, 0, 0, 0, 1]);
        record.extend(1f32.to_be_bytes());
        record.extend(0f64.to_be_bytes());
    }
    record
}

fn endpoints_updated(instance: u32, scope: u8, list_number: u32) -> Vec<u8> {
    let mut record = header(RecordCode::EndpointsUpdated, instance);
    record.push(scope);
    record.extend(1u32.to_be_bytes());
    record.extend(list_number.to_be_bytes());
    record
}

fn request(instance: u32) -> Vec<u8> {
    let mut record = header(RecordCode::Request, instance);
    record.extend(REQUEST.to_be_bytes());
    record.extend([0; 2]);
    record.extend([0; 4]);
    record.extend(0u64.to_be_bytes());
    record.extend(1500f64.to_be_bytes());
    record.extend(0f64.to_be_bytes());
    record.push(0);
    record
}

/// Returns a batch that starts [`INSTANCE`] and gives it two ready endpoints.
fn start_batch() -> Vec<u8> {
    let records = [
        start_record(INSTANCE, SETTINGS),
        endpoint_list(0, &[1, 2]),
        endpoints_updated(INSTANCE, 2, 0),
    ];
    batch(100.0, &records)
}

#[test]
fn sends_a_request_to_a_listed_endpoint() {
    let input = [
        batch(90.0, &[]),
        start_batch(),
        batch(105.0, &[request(INSTANCE)]),
    ];
    let output = run_adapter(&input.concat());
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let replies = split_replies(&output.stdout);
    assert_eq!(replies.len(), 3, "one reply to each batch");
    assert_eq!(replies[0], [0u8; 0]);
    let attempt = &replies[2];
    assert_eq!(attempt[0], ActionCode::Attempt as u8);
    assert_eq!(attempt[1..5], INSTANCE.to_be_bytes());
    assert_eq!(attempt[5..9], REQUEST.to_be_bytes());
    assert_eq!(attempt[9..12], [10, 0, 0]);
    assert!([1, 2].contains(&attempt[12]) && attempt[13..15] == [0x2b, 0xc0]);
    assert_eq!(attempt.len(), 23, "the reply contains one action");
}

/// Checks that the adapter exits with code 1 at a malformed frame, and that only the batch before this frame gets a
/// reply. Checks that the adapter writes one line to standard error, which names `byte` and contains `word`.
fn assert_malformed(malformed: &[u8], byte: usize, word: &str) {
    let output = run_adapter(&[start_batch(), malformed.to_vec()].concat());
    let message = error_message(&output);
    let names_byte = message.contains(&format!("byte {byte}"));
    assert!(names_byte, "{word}: no byte {byte} in {message}");
    assert!(message.contains(word), "{word}: {message}");
    let replies = split_replies(&output.stdout);
    assert_eq!(
        replies.len(),
        1,
        "{word}: the malformed frame gets no reply"
    );
}

#[test]
fn reports_a_truncated_frame() {
    let complete = batch(105.0, &[request(INSTANCE)]);
    let truncated = &complete[..complete.len() - 5];
    assert_malformed(truncated, truncated.len(), "frame truncated");
    assert_malformed(&complete[..2], 2, "frame truncated");
}

#[test]
fn reports_a_frame_length_out_of_range() {
    assert_malformed(&[0xff, 0xff, 0xff, 0xff, 0, 0], 0, "length");
    assert_malformed(&[0, 0, 0, 3, 0, 0, 0], 0, "length");
}

#[test]
fn reports_a_truncated_record() {
    let mut truncated = request(INSTANCE);
    truncated.truncate(20);
    assert_malformed(&batch(105.0, &[truncated]), 27, "needs");
}

#[test]
fn reports_an_unknown_event_code() {
    let request = request(INSTANCE);
    let second_record = FIRST_RECORD_OFFSET + request.len();
    let malformed = batch(105.0, &[request, vec![99, 0, 0, 0, 3]]);
    assert_malformed(&malformed, second_record, "99");
}

#[test]
fn reports_an_endpoint_list_that_was_never_defined() {
    let malformed = batch(105.0, &[endpoints_updated(INSTANCE, 1, 9)]);
    assert_malformed(&malformed, FIRST_RECORD_OFFSET, "list");
}

#[test]
fn reports_an_instance_that_was_never_started() {
    let malformed = batch(105.0, &[request(UNKNOWN_INSTANCE)]);
    assert_malformed(&malformed, FIRST_RECORD_OFFSET, "is not running");
}

#[test]
fn reports_settings_that_are_not_json_or_not_usable() {
    let negative = SETTINGS.replace("\"worth\": 1.0", "\"worth\": -1.0");
    for (settings, word) in [
        ("{\"balancers\": ", "settings"),
        ("{\"balancers\": 1}", "class"),
        (&negative, "worth"),
    ] {
        let malformed = batch(105.0, &[start_record(UNKNOWN_INSTANCE, settings)]);
        assert_malformed(&malformed, FIRST_RECORD_OFFSET, word);
    }
}

#[test]
fn rejects_an_endpoint_list_longer_than_its_frame_before_reserving_memory() {
    let mut huge = endpoint_list(0, &[]);
    huge[5..9].copy_from_slice(&u32::MAX.to_be_bytes());
    assert_malformed(&batch(105.0, &[huge]), 17, "left");
}

#[test]
fn actions_of_a_stopped_instance_do_not_reach_its_successor() {
    let records = [
        request(INSTANCE),
        header(RecordCode::Stop, INSTANCE),
        start_record(INSTANCE, SETTINGS),
    ];
    let output = run_adapter(&[start_batch(), batch(105.0, &records)].concat());
    assert!(output.status.success());
    let replies = split_replies(&output.stdout);
    assert_eq!(
        replies[1], [0u8; 0],
        "no attempt for the request of the stopped instance"
    );
}
