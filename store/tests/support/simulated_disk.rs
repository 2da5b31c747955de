//! An in-memory disk that records its operations, and the simulated effect of a power loss on them.

use fastrand::Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The number of bytes that a disk writes atomically.
const SECTOR_SIZE_BYTES: usize = 512;

#[derive(Clone, Debug)]
pub enum Operation {
    Write { offset: u64, data: Vec<u8> },
    SetLength(u64),
    Sync,
}

#[derive(Debug, Default)]
struct DiskState {
    image: Vec<u8>,
    operations: Vec<Operation>,
}

/// An in-memory disk that records its writes, length changes and syncs.
#[derive(Clone, Debug, Default)]
pub struct RecordingDisk(Arc<Mutex<DiskState>>);

impl RecordingDisk {
    pub fn with_image(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            image,
            operations: Vec::new(),
        })))
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn operations(&self) -> Vec<Operation> {
        self.state().operations.clone()
    }

    fn execute(&self, operation: Operation) {
        let state = &mut *self.state();
        execute(&mut state.image, &operation);
        state.operations.push(operation);
    }
}

pub fn execute(image: &mut Vec<u8>, operation: &Operation) {
    match operation {
        // The part of a write beyond the end of the file is dropped: the operation that extended
        // the file was lost.
        Operation::Write { offset, data } => {
            let offset = *offset as usize;
            let (start, end) = (
                image.len().min(offset),
                image.len().min(offset + data.len()),
            );
            image[start..end].copy_from_slice(&data[..end - start]);
        }
        Operation::SetLength(length) => image.resize(*length as usize, 0),
        Operation::Sync => {}
    }
}

impl StorageBackend for RecordingDisk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.state().image.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let state = self.state();
        let data = state
            .image
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(data.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        self.execute(Operation::SetLength(length));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        self.execute(Operation::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.execute(Operation::Write {
            offset,
            data: data.to_vec(),
        });
        Ok(())
    }
}

/// The way in which a power loss affects the operations that were not synced.
#[derive(Clone, Copy, Debug)]
pub enum LossMode {
    AllLost,
    NoneLost,
    /// Random operations are lost, so a later one may be present without an earlier one.
    Reordered,
    /// Random sectors of each write are lost.
    Torn,
}

pub const LOSS_MODES: [LossMode; 4] = [
    LossMode::AllLost,
    LossMode::NoneLost,
    LossMode::Reordered,
    LossMode::Torn,
];

/// Returns the disk's image after a power loss: `durable`, with the `unsynced` operations that are
/// not lost in `mode`.
pub fn image_after_loss(
    durable: &[u8],
    unsynced: &[Operation],
    mode: LossMode,
    rng: &mut Rng,
) -> Vec<u8> {
    let mut image = durable.to_vec();
    let mut operations: Vec<Operation> = unsynced.to_vec();
    match mode {
        LossMode::AllLost => operations.clear(),
        LossMode::NoneLost => {}
        // The other operations are executed in their order, because reordering never replaces a
        // sector's newer content by older content.
        LossMode::Reordered => operations.retain(|_| rng.bool()),
        LossMode::Torn => {
            let sectors = operations.iter().flat_map(split_into_sectors);
            operations = sectors.filter(|_| rng.bool()).collect();
        }
    }
    operations
        .iter()
        .for_each(|operation| execute(&mut image, operation));
    image
}

fn split_into_sectors(operation: &Operation) -> Vec<Operation> {
    let Operation::Write { offset, data } = operation else {
        return vec![operation.clone()];
    };
    let sectors = data
        .chunks(SECTOR_SIZE_BYTES)
        .enumerate()
        .map(|(index, sector)| Operation::Write {
            offset: offset + (index * SECTOR_SIZE_BYTES) as u64,
            data: sector.to_vec(),
        });
    sectors.collect()
}
