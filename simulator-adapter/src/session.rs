//! A session with the simulator: reads batches and writes one reply to each.

use crate::decoder::decode_batch;
use crate::encoder::ReplyEncoder;
use crate::error::SessionError;
use crate::host::Host;
use crate::protocol::{CLOCK_BYTES, LENGTH_BYTES, MAX_FRAME_BYTES};
use std::io::{Read, Write};

/// Replies to batches until the input ends at a frame boundary. The first error ends the session. A batch that can't
/// be decoded or applied gets no reply.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), SessionError> {
    let mut host = Host::default();
    let mut reply = ReplyEncoder::default();
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        let batch = decode_batch(&frame)?;
        for record in batch.records {
            host.apply(batch.simulator_time, record)?;
        }
        reply.begin();
        for pending in host.drain_actions() {
            reply.push(pending.instance, &pending.action);
        }
        output
            .write_all(reply.finish())
            .map_err(SessionError::Write)?;
        output.flush().map_err(SessionError::Write)?;
    }
    Ok(())
}

/// Reads one frame, with its length field, into `frame`. Returns `false` if the input ended before the first byte of
/// the frame.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, SessionError> {
    frame.clear();
    let received = read_up_to(input, LENGTH_BYTES, frame)?;
    if received == 0 {
        return Ok(false);
    }
    let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(&frame[..]) else {
        return Err(SessionError::TruncatedFrame {
            received,
            expected: LENGTH_BYTES,
        });
    };
    let length = u32::from_be_bytes(length) as usize;
    if !(CLOCK_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(SessionError::InvalidFrameLength { length });
    }
    read_up_to(input, length, frame)?;
    let (received, expected) = (frame.len(), LENGTH_BYTES + length);
    if received < expected {
        return Err(SessionError::TruncatedFrame { received, expected });
    }
    Ok(true)
}

/// Appends up to `limit` bytes of the input to `frame`. Returns the number of appended bytes, which is below `limit`
/// only if the input ended.
fn read_up_to(
    input: &mut impl Read,
    limit: usize,
    frame: &mut Vec<u8>,
) -> Result<usize, SessionError> {
    input
        .by_ref()
        .take(limit as u64)
        .read_to_end(frame)
        .map_err(SessionError::Read)
}
