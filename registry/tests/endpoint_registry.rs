//! The endpoint list as a state machine: leases, drains, replacements and revisions.

use frostkeel_registry::command::{Command, CommandError};
use frostkeel_registry::endpoint::{EndpointRecord, EndpointState, PersistedEntry};
use frostkeel_registry::endpoint_registry::EndpointRegistry;
use frostkeel_registry::policy::RegistryPolicy;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(10);

fn record(n: u64, boot_ms: u64) -> EndpointRecord {
    EndpointRecord {
        uid: format!("u{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: "a".into(),
        model: "m".into(),
        pod_group: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        boot_ms,
    }
}

fn register(n: u64, boot_ms: u64) -> Command {
    Command::Register {
        record: record(n, boot_ms),
        lease_duration: LEASE,
    }
}

fn drain(uid: &str) -> Command {
    Command::Drain { uid: uid.into() }
}

fn renew(uid: &str, boot_ms: u64) -> Command {
    Command::Renew {
        uid: uid.into(),
        boot_ms,
    }
}

fn persisted(n: u64) -> PersistedEntry {
    PersistedEntry {
        record: record(n, 1),
        lease_duration: Some(LEASE),
    }
}

fn registry_with(count: u64) -> EndpointRegistry {
    let policy = RegistryPolicy {
        grace_period: Duration::ZERO,
        ..RegistryPolicy::default()
    };
    let mut registry = EndpointRegistry::restore(policy, Duration::ZERO, 0, Vec::new());
    (1..=count).for_each(|n| drop(registry.apply(Duration::ZERO, register(n, 1), None)));
    registry
}

fn tick_each_second(registry: &mut EndpointRegistry, seconds: RangeInclusive<u32>) {
    seconds.for_each(|second| registry.tick(second * SECOND));
}

fn registered_uids(registry: &EndpointRegistry) -> Vec<&str> {
    registry
        .update_since(None)
        .records
        .iter()
        .map(|record| record.uid.as_str())
        .collect()
}

fn snapshot(registry: &EndpointRegistry) -> Vec<EndpointRecord> {
    registry
        .update_since(None)
        .records
        .into_iter()
        .cloned()
        .collect()
}

#[test]
fn repeated_commands_change_nothing_and_superseded_ones_are_rejected() {
    let mut registry = registry_with(2);
    assert_eq!(registry.apply(SECOND, register(1, 1), None), Ok(2));
    assert_eq!(registry.apply(SECOND, drain("u1"), Some(2)), Ok(3));
    assert_eq!(registry.apply(SECOND, drain("u1"), None), Ok(3));
    let repeated = registry.apply(SECOND, register(1, 1), None);
    assert_eq!(
        repeated,
        Ok(3),
        "a repeated registration does not undo the drain"
    );
    let outdated = registry.apply(SECOND, drain("u1"), Some(2));
    assert_eq!(outdated, Err(CommandError::RevisionMismatch { current: 3 }));
    assert_eq!(
        registry.apply(SECOND, register(1, 5), None),
        Ok(4),
        "a later incarnation is ready again"
    );
    let superseded = Err(CommandError::Superseded { boot_ms: 5 });
    assert_eq!(registry.apply(SECOND, register(1, 4), None), superseded);
    assert_eq!(registry.apply(SECOND, renew("u1", 5), None), Ok(4));
    assert_eq!(registry.apply(SECOND, renew("u1", 1), None), superseded);
    let mut same_address = record(3, 9);
    same_address.address = record(2, 1).address;
    let later = Command::Register {
        record: same_address.clone(),
        lease_duration: SECOND,
    };
    assert_eq!(registry.apply(SECOND, later, None), Ok(6));
    assert_eq!(
        registered_uids(&registry),
        ["u1", "u3"],
        "u3 started later than u2 and replaces it at the address"
    );
    same_address.uid = "u4".into();
    let not_later = Command::Register {
        record: same_address,
        lease_duration: SECOND,
    };
    let in_use = Err(CommandError::AddressInUse { uid: "u3".into() });
    assert_eq!(registry.apply(SECOND, not_later, None), in_use);
    let unknown = Command::Deregister {
        uid: "u9".into(),
        boot_ms: None,
    };
    assert_eq!(registry.apply(SECOND, unknown, None), Ok(6));
}

#[test]
fn a_single_expired_lease_is_enforced_and_many_at_once_are_retained() {
    let mut registry = registry_with(10);
    let renew_all = |registry: &mut EndpointRegistry, now, numbers: RangeInclusive<u64>| {
        for n in numbers {
            registry
                .apply(now, renew(&format!("u{n}"), 1), None)
                .expect("listed");
        }
    };
    let status = |registry: &EndpointRegistry| {
        (
            registered_uids(registry).len(),
            registry.is_self_preserving(),
        )
    };
    tick_each_second(&mut registry, 1..=8);
    renew_all(&mut registry, 8 * SECOND, 2..=10);
    tick_each_second(&mut registry, 9..=11);
    assert_eq!(status(&registry), (9, false));
    tick_each_second(&mut registry, 12..=20);
    assert_eq!(
        status(&registry),
        (9, true),
        "all nine leases have expired: none is enforced"
    );
    renew_all(&mut registry, 20 * SECOND, 3..=10);
    registry.tick(21 * SECOND);
    assert_eq!(
        status(&registry),
        (8, false),
        "only the lease of u2 was not renewed: it is removed"
    );
}

#[test]
fn a_pause_of_the_service_expires_no_lease() {
    let policy = RegistryPolicy::default();
    let entries = vec![persisted(1), persisted(2)];
    let mut registry = EndpointRegistry::restore(policy, Duration::ZERO, 7, entries);
    tick_each_second(&mut registry, 1..=14);
    let status = (
        registered_uids(&registry).len(),
        registry.is_self_preserving(),
    );
    assert_eq!(
        status,
        (2, true),
        "no lease is enforced in the grace period after a start"
    );
    registry
        .apply(14 * SECOND, renew("u1", 1), None)
        .expect("listed");
    tick_each_second(&mut registry, 15..=16);
    assert_eq!(registered_uids(&registry), ["u1"]);
    registry.tick(100 * SECOND);
    assert_eq!(
        registered_uids(&registry),
        ["u1"],
        "a pause longer than the lease starts a grace period"
    );
    tick_each_second(&mut registry, 101..=130);
    assert_eq!(
        registered_uids(&registry).len(),
        0,
        "the only lease was not renewed after the pause: it is removed"
    );
}

fn command() -> impl Strategy<Value = (Command, bool)> {
    let uid = (1u64..6).prop_map(|n| format!("u{n}"));
    let command = prop_oneof![
        4 => (1u64..6, 1u64..4).prop_map(|(n, boot_ms)| register(n, boot_ms)),
        1 => uid.clone().prop_map(|uid| drain(&uid)),
        1 => uid.clone().prop_map(|uid| Command::Deregister { uid, boot_ms: None }),
        1 => (uid.clone(), 0u8..3).prop_map(|(uid, weight)| {
            Command::SetWeight { uid, weight: f64::from(weight) }
        }),
        1 => (uid, 1u64..4).prop_map(|(uid, boot_ms)| renew(&uid, boot_ms)),
    ];
    (command, any::<bool>())
}

/// A reader that keeps a copy of the list by applying its updates.
#[derive(Default)]
struct Reader {
    revision: Option<u64>,
    records: BTreeMap<String, EndpointRecord>,
}

impl Reader {
    fn read(&mut self, registry: &EndpointRegistry) {
        let update = registry.update_since(self.revision);
        if update.is_snapshot {
            self.records.clear();
        }
        for record in update.records {
            if record.is_removed() {
                self.records.remove(&record.uid);
            } else {
                self.records.insert(record.uid.clone(), record.clone());
            }
        }
        self.revision = Some(update.revision);
    }
}

/// A simulated disk, with the entries that the registry has returned to be persisted.
#[derive(Default)]
struct Disk(BTreeMap<String, PersistedEntry>);

impl Disk {
    fn write(&mut self, registry: &mut EndpointRegistry) {
        for dirty in registry.extract_dirty_entries() {
            match dirty.entry {
                Some(entry) => drop(self.0.insert(dirty.uid, entry)),
                None => drop(self.0.remove(&dirty.uid)),
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Three lists must be equal after random commands: that of a reader that follows changes, the
    /// complete list, and that of a registry restored from the disk. The revision increases by one
    /// with each change.
    #[test]
    fn readers_and_restored_registries_have_the_list(
        commands in proptest::collection::vec(command(), 1..60),
        max_retained_changes in 1usize..20,
    ) {
        let policy = RegistryPolicy { max_retained_changes, ..RegistryPolicy::default() };
        let mut registry = EndpointRegistry::restore(policy.clone(), Duration::ZERO, 0, Vec::new());
        let (mut reader, mut disk) = (Reader::default(), Disk::default());
        for (step, (command, reads)) in commands.into_iter().enumerate() {
            let before = registry.revision();
            let now = Duration::from_millis(100) * step as u32;
            let applied = registry.apply(now, command, None);
            // A registration can also remove another endpoint.
            prop_assert!(applied.is_err() || (before..=before + 2).contains(&registry.revision()));
            disk.write(&mut registry);
            if reads {
                reader.read(&registry);
                let expected = snapshot(&registry);
                let read: Vec<EndpointRecord> = reader.records.values().cloned().collect();
                prop_assert_eq!(read, expected.clone());
                let entries = disk.0.values().cloned().collect();
                let revision = registry.revision();
                let restored = EndpointRegistry::restore(policy.clone(), now, revision, entries);
                prop_assert_eq!(snapshot(&restored), expected);
                let later = restored.update_since(Some(revision + 1));
                prop_assert!(later.is_snapshot, "a later revision gives the complete list");
            }
        }
    }
}
