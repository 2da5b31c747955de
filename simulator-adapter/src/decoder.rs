//! Decodes the bytes of a frame into the records of a batch.

mod fields;
mod records;

use crate::error::{BatchError, BatchFault};
use crate::protocol::{Batch, LENGTH_BYTES};
use fields::FieldReader;

/// Decodes a complete batch. `frame` begins with the length field.
///
/// An error contains the position in the frame of the first invalid field.
pub fn decode_batch(frame: &[u8]) -> Result<Batch, BatchError> {
    let mut reader = FieldReader::new(frame);
    let stated = reader.u32("length")? as usize;
    let actual = frame.len() - LENGTH_BYTES;
    if stated != actual {
        let fault = BatchFault::LengthMismatch { stated, actual };
        return Err(BatchError { offset: 0, fault });
    }
    let simulator_time = reader.time("clock")?;
    let mut records = Vec::new();
    while !reader.is_at_end() {
        records.push(records::located_record(&mut reader)?);
    }
    Ok(Batch {
        simulator_time,
        records,
    })
}
