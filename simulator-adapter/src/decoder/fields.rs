//! Reads single fields of a frame. An error contains the name and the position of the invalid field.

use crate::error::{BatchError, BatchFault};
use crate::protocol::UPSTREAM_BYTES;
use frostkeel_policy::UpstreamId;
use frostkeel_settings::duration_from_ms;
use std::time::Duration;

/// A reader that returns the fields of a frame in order. The argument `field` of a method is the name of the field in
/// error messages.
pub(super) struct FieldReader<'a> {
    frame: &'a [u8],
    offset: usize,
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(frame: &'a [u8]) -> Self {
        Self { frame, offset: 0 }
    }

    /// Returns the position of the next byte to read, counted from the beginning of the frame.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    pub(super) fn is_at_end(&self) -> bool {
        self.offset >= self.frame.len()
    }

    /// Returns the number of bytes that have not been read yet.
    fn available(&self) -> usize {
        self.frame.len() - self.offset
    }

    pub(super) fn bytes(
        &mut self,
        needed: usize,
        field: &'static str,
    ) -> Result<&'a [u8], BatchError> {
        let available = self.available();
        if needed > available {
            let fault = BatchFault::Truncated {
                field,
                needed,
                available,
            };
            return Err(BatchError {
                offset: self.offset,
                fault,
            });
        }
        let bytes = &self.frame[self.offset..self.offset + needed];
        self.offset += needed;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], BatchError> {
        let bytes = self.bytes(N, field)?;
        Ok(std::array::from_fn(|i| bytes[i]))
    }

    pub(super) fn u8(&mut self, field: &'static str) -> Result<u8, BatchError> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }

    pub(super) fn u16(&mut self, field: &'static str) -> Result<u16, BatchError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    pub(super) fn u32(&mut self, field: &'static str) -> Result<u32, BatchError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    pub(super) fn u64(&mut self, field: &'static str) -> Result<u64, BatchError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    pub(super) fn f32(&mut self, field: &'static str) -> Result<f32, BatchError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }

    pub(super) fn f64(&mut self, field: &'static str) -> Result<f64, BatchError> {
        Ok(f64::from_be_bytes(self.array(field)?))
    }

    pub(super) fn time(&mut self, field: &'static str) -> Result<Duration, BatchError> {
        Ok(duration_from_ms(self.f64(field)?))
    }

    pub(super) fn upstream(&mut self) -> Result<UpstreamId, BatchError> {
        let bytes: [u8; UPSTREAM_BYTES] = self.array("upstream")?;
        Ok(UpstreamId(
            bytes.iter().fold(0, |id, byte| id << 8 | u64::from(*byte)),
        ))
    }

    pub(super) fn load_report(&mut self) -> Result<Vec<f32>, BatchError> {
        let count = self.u8("load report's length")?;
        (0..count).map(|_| self.f32("load report")).collect()
    }

    /// Reads the number of items that follow, each of `item_bytes` bytes. Returns an error if the rest of the frame is
    /// too short for this number, so that the caller reserves no memory for a wrong number.
    pub(super) fn count(
        &mut self,
        item_bytes: usize,
        field: &'static str,
    ) -> Result<usize, BatchError> {
        let offset = self.offset;
        let count = self.u32(field)? as usize;
        let available = self.available();
        if count
            .checked_mul(item_bytes)
            .is_none_or(|needed| needed > available)
        {
            let fault = BatchFault::CountTooLarge {
                field,
                count,
                available,
            };
            return Err(BatchError { offset, fault });
        }
        Ok(count)
    }

    /// Reads a code of one byte. An unknown code is an error.
    pub(super) fn u8_code<T>(
        &mut self,
        field: &'static str,
        from_wire: fn(u8) -> Option<T>,
    ) -> Result<T, BatchError> {
        let offset = self.offset;
        let code = self.u8(field)?;
        from_wire(code).ok_or_else(|| unknown_code(offset, field, code.into()))
    }

    /// Reads a code of two bytes. An unknown code is an error.
    pub(super) fn u16_code<T>(
        &mut self,
        field: &'static str,
        from_wire: fn(u16) -> Option<T>,
    ) -> Result<T, BatchError> {
        let offset = self.offset;
        let code = self.u16(field)?;
        from_wire(code).ok_or_else(|| unknown_code(offset, field, code))
    }
}

/// Returns the error for an unknown code in a field that begins at the byte `offset` of the frame.
pub(super) fn unknown_code(offset: usize, field: &'static str, code: u16) -> BatchError {
    BatchError {
        offset,
        fault: BatchFault::UnknownCode { field, code },
    }
}
