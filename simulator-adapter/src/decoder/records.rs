//! Reads complete records, with one function for each kind of record.

use super::fields::{FieldReader, unknown_code};
use crate::error::{BatchError, BatchFault};
use crate::protocol::{
    ENDPOINT_BYTES, InstanceEvent, LocatedRecord, MAX_ENDPOINT_LIST_NUMBER, REQUEST_HAS_WORK_HINT,
    REQUEST_IS_RETRY, Record, RecordCode, UpstreamResult, availability_from_wire,
    outcome_from_wire, update_scope_from_wire,
};
use frostkeel_policy::{
    AttemptNo, CellId, ClassId, Endpoint, HardwareKindId, RequestId, TenantId, TimerId, ZoneId,
};
use frostkeel_settings::duration_from_ms;

/// Reads the next record, and returns it with its position in the frame.
pub(super) fn located_record(reader: &mut FieldReader<'_>) -> Result<LocatedRecord, BatchError> {
    let offset = reader.offset();
    let wire_code = reader.u8("record code")?;
    let code = RecordCode::from_wire(wire_code);
    let code = code.ok_or_else(|| unknown_code(offset, "event code", wire_code.into()))?;
    let record = match code {
        RecordCode::EndpointList => endpoint_list(reader)?,
        RecordCode::Start => start(reader)?,
        RecordCode::Stop => stop(reader)?,
        RecordCode::PeerMessage => peer_message(reader)?,
        RecordCode::ClientDisconnected => instance_event(reader, client_disconnected)?,
        RecordCode::StreamStarted => instance_event(reader, stream_started)?,
        RecordCode::Timer => instance_event(reader, timer)?,
        RecordCode::HealthCheckEnded => instance_event(reader, health_check_ended)?,
        RecordCode::EndpointsUpdated => instance_event(reader, endpoints_updated)?,
        RecordCode::AttemptEnded => instance_event(reader, attempt_ended)?,
        RecordCode::Request => instance_event(reader, request)?,
    };
    Ok(LocatedRecord { offset, record })
}

/// Reads the number of an instance and, with `read_event`, the event for its balancer.
fn instance_event(
    reader: &mut FieldReader<'_>,
    read_event: fn(&mut FieldReader<'_>) -> Result<InstanceEvent, BatchError>,
) -> Result<Record, BatchError> {
    let instance = reader.u32("instance")?;
    let event = read_event(reader)?;
    Ok(Record::Event { instance, event })
}

fn endpoint_list(reader: &mut FieldReader<'_>) -> Result<Record, BatchError> {
    let offset = reader.offset();
    let number = reader.u32("list number")?;
    let count = reader.count(ENDPOINT_BYTES, "number of entries")?;
    if number > MAX_ENDPOINT_LIST_NUMBER {
        let fault = BatchFault::ListNumberTooLarge { number };
        return Err(BatchError { offset, fault });
    }
    let endpoints = (0..count)
        .map(|_| endpoint(reader))
        .collect::<Result<_, _>>()?;
    Ok(Record::EndpointList { number, endpoints })
}

fn endpoint(reader: &mut FieldReader<'_>) -> Result<Endpoint, BatchError> {
    let id = reader.upstream()?;
    let zone = ZoneId(reader.u8("zone")?);
    let hardware_kind = HardwareKindId(reader.u16("hardware kind")?);
    let cell = CellId(reader.u16("cell")?);
    let availability = reader.u8_code("availability", availability_from_wire)?;
    let weight = f64::from(reader.f32("weight")?);
    let started_ms = reader.f64("start time")?;
    let started = Some(started_ms)
        .filter(|ms| *ms > 0.0)
        .map(duration_from_ms);
    Ok(Endpoint {
        id,
        zone,
        hardware_kind,
        cell,
        availability,
        weight,
        started,
    })
}

fn start(reader: &mut FieldReader<'_>) -> Result<Record, BatchError> {
    let instance = reader.u32("instance")?;
    let seed = reader.u64("seed")?;
    let length = reader.count(1, "settings' length")?;
    let offset = reader.offset();
    let bytes = reader.bytes(length, "settings")?;
    let settings = std::str::from_utf8(bytes).map_err(|error| BatchError {
        offset,
        fault: BatchFault::SettingsEncoding(error),
    })?;
    Ok(Record::Start {
        instance,
        seed,
        settings: settings.to_owned(),
    })
}

fn stop(reader: &mut FieldReader<'_>) -> Result<Record, BatchError> {
    let instance = reader.u32("instance")?;
    Ok(Record::Stop { instance })
}

fn peer_message(reader: &mut FieldReader<'_>) -> Result<Record, BatchError> {
    let instance = reader.u32("instance")?;
    reader.u16("sender")?;
    let length = reader.u16("message's length")?;
    reader.bytes(length.into(), "message")?;
    Ok(Record::PeerMessage { instance })
}

fn client_disconnected(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let id = RequestId(reader.u32("request")?);
    Ok(InstanceEvent::ClientDisconnected { id })
}

fn stream_started(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let id = RequestId(reader.u32("request")?);
    reader.upstream()?;
    let attempt = AttemptNo(reader.u8("attempt")?);
    let latency = reader.time("latency")?;
    Ok(InstanceEvent::StreamStarted {
        id,
        attempt,
        latency,
    })
}

fn timer(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let timer = TimerId(reader.u32("timer")?);
    Ok(InstanceEvent::Timer { timer })
}

fn health_check_ended(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let upstream = reader.upstream()?;
    let latency = reader.time("latency")?;
    let outcome = reader.u16_code("outcome", outcome_from_wire)?;
    let load_report = reader.load_report()?;
    let result = UpstreamResult {
        upstream,
        outcome,
        latency,
        load_report,
    };
    Ok(InstanceEvent::HealthCheckEnded { result })
}

fn endpoints_updated(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let scope = reader.u8_code("scope", update_scope_from_wire)?;
    reader.u32("version")?;
    let list_number = reader.u32("list number")?;
    Ok(InstanceEvent::EndpointsUpdated { scope, list_number })
}

fn attempt_ended(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let id = RequestId(reader.u32("request")?);
    let attempt = AttemptNo(reader.u8("attempt")?);
    let upstream = reader.upstream()?;
    let outcome = reader.u16_code("outcome", outcome_from_wire)?;
    let latency = reader.time("latency")?;
    let request_finished = reader.u8("done flag")? != 0;
    let load_report = reader.load_report()?;
    let result = UpstreamResult {
        upstream,
        outcome,
        latency,
        load_report,
    };
    Ok(InstanceEvent::AttemptEnded {
        id,
        attempt,
        request_finished,
        result,
    })
}

fn request(reader: &mut FieldReader<'_>) -> Result<InstanceEvent, BatchError> {
    let id = RequestId(reader.u32("request")?);
    let class = ClassId(reader.u16("class")?);
    let tenant = TenantId(reader.u32("tenant")?);
    reader.u64("key")?;
    let time_left = reader.time("time left")?;
    let work_hint_ms = reader.f64("work hint")?;
    let flags = reader.u8("flags")?;
    let has_work_hint =
        flags & REQUEST_HAS_WORK_HINT != 0 && work_hint_ms.is_finite() && work_hint_ms > 0.0;
    let work_ms = has_work_hint.then_some(work_hint_ms);
    let is_retry = flags & REQUEST_IS_RETRY != 0;
    Ok(InstanceEvent::Request {
        id,
        class,
        tenant,
        time_left,
        work_ms,
        is_retry,
    })
}
