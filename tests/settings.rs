//! Invalid settings, and a balancer without settings.

mod common;

use common::{FinalResponse, Harness, class, endpoints, ms, settings_with_quotas};
use frostkeel_policy::{Balancer, Effect, Settings, SettingsError};

fn error_of(settings: Settings) -> Option<SettingsError> {
    Balancer::new(settings, 1).err()
}

#[test]
fn settings_error_names_the_invalid_field() {
    let valid = || settings_with_quotas(1, &[1.0]);
    assert_eq!(error_of(valid()), None);
    assert_eq!(
        error_of(Settings::default()),
        Some(SettingsError::NoClasses)
    );
    let no_balancers = Settings {
        balancers: 0,
        ..valid()
    };
    assert_eq!(error_of(no_balancers), Some(SettingsError::NoBalancers));
    for (settings, field) in [
        (
            Settings {
                max_attempts: 0,
                ..valid()
            },
            "max_attempts",
        ),
        (
            Settings {
                slow_start_initial_fraction: f64::NAN,
                ..valid()
            },
            "cold_from",
        ),
        (
            Settings {
                overload_multiple: f64::INFINITY,
                ..valid()
            },
            "fall_multiple",
        ),
        (
            Settings {
                over_quota_weight_fraction: -1.0,
                ..valid()
            },
            "over_share_worth",
        ),
        (settings_with_quotas(1, &[f64::NAN]), "allowance_per_s"),
        (
            Settings {
                classes: vec![class(0, 5, Effect::Idempotent)],
                ..valid()
            },
            "class aim",
        ),
    ] {
        let error = error_of(settings).expect(field).to_string();
        assert!(
            error.contains(field),
            "the error must name {field}, got {error:?}"
        );
    }
}

/// A default balancer has no class, so that every request is of an unknown class.
#[test]
fn default_balancer_fails_requests_without_panicking() {
    let mut harness = Harness::new(settings_with_quotas(1, &[20.0]), &endpoints(1));
    harness.balancer = Balancer::default();
    harness.advance(ms(200));
    let id = harness.request();
    let response = harness.final_responses.get(&id);
    assert_eq!(response, Some(&FinalResponse::Failed));
}
