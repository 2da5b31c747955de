//! Settings that permit no decision.

mod common;
use common::*;
use frostkeel_policy::*;

#[test]
fn settings_error_names_the_invalid_field() {
    let ok = || stated(1, &[1.0]);
    let error = |s: Settings| Balancer::new(s, 1).err().map(|e| e.to_string());
    assert_eq!(error(ok()), None);
    assert_eq!(
        Balancer::new(Settings::default(), 1).err(),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        Balancer::new(
            Settings {
                balancers: 0,
                ..ok()
            },
            1
        )
        .err(),
        Some(SettingsError::NoBalancers)
    );
    for (s, name) in [
        (
            Settings {
                max_attempts: 0,
                ..ok()
            },
            "max_attempts",
        ),
        (
            Settings {
                slow_start_initial_share: f64::NAN,
                ..ok()
            },
            "cold_from",
        ),
        (
            Settings {
                overload_multiple: f64::INFINITY,
                ..ok()
            },
            "fall_multiple",
        ),
        (
            Settings {
                over_quota_weight_share: -1.0,
                ..ok()
            },
            "over_share_worth",
        ),
        (stated(1, &[f64::NAN]), "allowance_per_s"),
        (
            Settings {
                classes: vec![class(0, 5, Effect::Idempotent)],
                ..ok()
            },
            "class aim",
        ),
    ] {
        let text = error(s).expect(name);
        assert!(text.contains(name), "{text} names {name}");
    }
}

/// A balancer without settings has nothing to decide by: it fails what it is given and lives.
#[test]
fn default_balancer_fails_requests_without_panicking() {
    let mut bench = Bench::new(stated(1, &[20.0]), &fleet(1));
    bench.balancer = Balancer::default();
    bench.run(ms(200));
    let id = bench.request(0, 0, ms(1000));
    assert_eq!(bench.answers.get(&id), Some(&"failed"));
}
