//! Power is lost at every write and sync of a scripted run, and what was not synced is lost in four ways: whatever was
//! acknowledged must be there, nothing half, and no version twice.

use fastrand::Rng;
use frostkeel_store::{Change, Kept, Owner, Store};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a disk may keep of a write that was under way.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

#[derive(Debug, Default)]
struct State {
    image: Vec<u8>,
    ops: Vec<Op>,
}

/// A disk in memory that writes down all that is done to it.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn holding(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(State {
            image,
            ops: Vec::new(),
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn carry_out(image: &mut Vec<u8>, op: &Op) {
    match op {
        // Where the file had not become longer, what was written behind its end is not there.
        Op::Write(at, data) => {
            let (at, end) = (
                image.len().min(*at as usize),
                image.len().min(*at as usize + data.len()),
            );
            image[at..end].copy_from_slice(&data[..end - at]);
        }
        Op::Length(length) => image.resize(*length as usize, 0),
        Op::Sync => {}
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.state().image.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let state = self.state();
        let read = state
            .image
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(read.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let (state, op) = (&mut *self.state(), Op::Length(len));
        carry_out(&mut state.image, &op);
        state.ops.push(op);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        self.state().ops.push(Op::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let (state, op) = (&mut *self.state(), Op::Write(offset, data.to_vec()));
        carry_out(&mut state.image, &op);
        state.ops.push(op);
        Ok(())
    }
}

/// How what was not synced is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Dropped,
    Kept,
    /// Any of it is there: later ones without earlier ones.
    Reordered,
    /// Of each write, any sectors are there.
    Torn,
}

const LOSSES: [Loss; 4] = [Loss::Dropped, Loss::Kept, Loss::Reordered, Loss::Torn];

/// What is on the disk after power was lost behind so many operations, if all before `synced` is durable.
fn left(durable: &[u8], unsynced: &[Op], loss: Loss, rng: &mut Rng) -> Vec<u8> {
    let mut image = durable.to_vec();
    let mut ops: Vec<Op> = unsynced.to_vec();
    match loss {
        Loss::Dropped => ops.clear(),
        Loss::Kept => {}
        // Whatever the order in which they went out, one sector never ends with an older content than it had.
        Loss::Reordered => ops.retain(|_| rng.bool()),
        Loss::Torn => {
            let sectors = |op: &Op| match op {
                Op::Write(at, data) => {
                    let pieces = data.chunks(SECTOR).enumerate();
                    pieces
                        .map(|(k, piece)| Op::Write(at + (k * SECTOR) as u64, piece.to_vec()))
                        .collect()
                }
                other => vec![other.clone()],
            };
            ops = ops
                .iter()
                .flat_map(sectors)
                .filter(|_| rng.bool())
                .collect();
        }
    }
    ops.iter().for_each(|op| carry_out(&mut image, op));
    image
}

fn owner() -> Owner {
    Owner {
        fleet: "power".into(),
        process: "r0".into(),
    }
}

fn open(disk: &Disk) -> Result<(Store, Kept), String> {
    Store::on(disk.clone(), "disk".into(), &owner()).map_err(|e| e.to_string())
}

/// A scripted run: the operations of the disk, and behind which of them each commit was acknowledged, with what then
/// was to be there.
struct Run {
    ops: Vec<Op>,
    acknowledged: Vec<(usize, Kept)>,
}

fn run(commits: u64, early: bool) -> Run {
    let (disk, mut rng) = (Disk::default(), Rng::with_seed(5));
    let (mut store, kept) = open(&disk).expect("new");
    let mut acknowledged = vec![(disk.state().ops.len(), kept)];
    let mut records: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    for version in 1..=commits {
        let changes = (0..rng.usize(1..5)).map(|_| {
            let key = format!("u{}", rng.u32(0..40));
            match rng.u8(0..4) {
                0 => Change::Delete(key),
                _ => Change::Put(key, (0..rng.usize(20..400)).map(|_| rng.u8(..)).collect()),
            }
        });
        let changes: Vec<Change> = changes.collect();
        for change in &changes {
            match change {
                Change::Put(key, value) => drop(records.insert(key.clone(), value.clone())),
                Change::Delete(key) => drop(records.remove(key)),
            }
        }
        let begun = disk.state().ops.len();
        store.commit(version, &changes).expect("written");
        let at = if early { begun } else { disk.state().ops.len() };
        acknowledged.push((
            at,
            Kept {
                version,
                records: records.clone().into_iter().collect(),
            },
        ));
    }
    let ops = disk.state().ops.clone();
    Run { ops, acknowledged }
}

/// Loses power behind every `step`th operation in each way; what was found wrong. With `lies` the disk says that it has
/// synced and has not.
fn lose_power(run: &Run, step: usize, lies: bool, recover: bool) -> (usize, Vec<String>) {
    let mut rng = Rng::with_seed(9);
    let (mut durable, mut synced, mut cuts, mut wrong) = (Vec::new(), 0, 0, Vec::new());
    for cut in 0..run.ops.len() {
        if matches!(run.ops[cut], Op::Sync) && !lies {
            run.ops[synced..cut]
                .iter()
                .for_each(|op| carry_out(&mut durable, op));
            synced = cut;
        }
        if cut < run.acknowledged[0].0 || cut % step != 0 {
            continue;
        }
        let done = run
            .acknowledged
            .iter()
            .rposition(|(at, _)| *at <= cut)
            .unwrap_or(0);
        let states: Vec<&Kept> = run.acknowledged[done..]
            .iter()
            .take(2)
            .map(|(_, kept)| kept)
            .collect();
        for loss in LOSSES {
            cuts += 1;
            let image = left(&durable, &run.ops[synced..=cut], loss, &mut rng);
            let disk = Disk::holding(image.clone());
            match open(&disk) {
                Ok((_, kept)) if states.contains(&&kept) => {}
                Ok((_, kept)) => wrong.push(format!(
                    "{loss:?} behind {cut}: version {} after {} was acknowledged",
                    kept.version, states[0].version
                )),
                Err(e) => wrong.push(format!("{loss:?} behind {cut}: {e}")),
            }
            if recover {
                again(&image, &disk, &states, &mut rng, &mut wrong);
            }
        }
    }
    (cuts, wrong)
}

/// Power is lost once more while the store recovers.
fn again(image: &[u8], recovered: &Disk, states: &[&Kept], rng: &mut Rng, wrong: &mut Vec<String>) {
    let ops = recovered.state().ops.clone();
    let Some(cut) = (!ops.is_empty()).then(|| rng.usize(0..ops.len())) else {
        return;
    };
    let synced = ops[..cut]
        .iter()
        .rposition(|op| matches!(op, Op::Sync))
        .unwrap_or(0);
    let mut durable = image.to_vec();
    ops[..synced]
        .iter()
        .for_each(|op| carry_out(&mut durable, op));
    let loss = LOSSES[rng.usize(0..LOSSES.len())];
    let disk = Disk::holding(left(&durable, &ops[synced..=cut], loss, rng));
    match open(&disk) {
        Ok((_, kept)) if states.contains(&&kept) => {}
        Ok((_, kept)) => wrong.push(format!(
            "{loss:?} while it recovered: version {}",
            kept.version
        )),
        Err(e) => wrong.push(format!("{loss:?} while it recovered: {e}")),
    }
}

#[test]
fn power_lost_now_and_then_loses_nothing_acknowledged() {
    let (cuts, wrong) = lose_power(&run(40, false), 7, false, true);
    assert_eq!(wrong, Vec::<String>::new());
    assert!(cuts > 100, "{cuts}");
}

/// The test itself must see what is wrong.
#[test]
fn a_disk_that_lies_and_an_early_acknowledgement_are_seen() {
    let lies = lose_power(&run(40, false), 7, true, false).1;
    assert!(!lies.is_empty(), "nothing was ever synced");
    let early = lose_power(&run(40, true), 1, false, false).1;
    assert!(!early.is_empty(), "acknowledged before it was written");
}

/// The long form, by hand: every operation of at least 2,000.
#[test]
#[ignore = "takes minutes; cargo test --release -p frostkeel-store -- --ignored"]
fn power_lost_at_every_operation_loses_nothing_acknowledged() {
    let run = run(400, false);
    assert!(run.ops.len() >= 2000, "{}", run.ops.len());
    let (cuts, wrong) = lose_power(&run, 1, false, true);
    println!(
        "{} operations, {cuts} losses of power, wrong: {wrong:#?}",
        run.ops.len()
    );
    assert_eq!(wrong, Vec::<String>::new());
}
