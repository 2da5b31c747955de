//! The model of an upstream that the lab's upstream stand-ins use.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::experiment::UpstreamSettings;
use frostkeel_lab::standins::upstream_model::UpstreamModel;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn model(is_warming_up: bool) -> UpstreamModel {
    let settings = UpstreamSettings {
        speed: 1.0,
        congestion_queue_per_core: 2.0,
        ..UpstreamSettings::default()
    };
    UpstreamModel::new(settings, ChaCha8Rng::seed_from_u64(1), 0.0, is_warming_up)
}

#[test]
fn cores_serve_in_the_order_of_arrival() {
    let mut model = model(false);
    let finishes: Vec<f64> = (0..4)
        .map(|_| model.accept(0.0, 0.1, 0.3).expect("accepted"))
        .collect();
    for (finish, expected) in finishes.iter().zip([0.4, 0.4, 0.5, 0.5]) {
        assert!((finish - expected).abs() < 1e-9, "{finishes:?}");
    }
    assert_eq!(model.in_flight(), 4);
    model.advance(0.45);
    assert_eq!(model.in_flight(), 2);
}

#[test]
fn utilization_is_reported_with_a_delay() {
    let mut model = model(false);
    for k in 0..20 {
        model
            .accept(f64::from(k) * 0.1, 0.1, 0.0)
            .expect("accepted");
    }
    assert_eq!(
        model.report(0.5).utilization,
        0.0,
        "load is measured for the first time at 0.7 s"
    );
    model.report(2.0);
    let utilization = model.report(2.3).utilization;
    assert!(
        (0.45..0.55).contains(&utilization),
        "{utilization}: one of two cores was in use"
    );
}

#[test]
fn congested_upstream_recovers_only_once_idle() {
    let mut model = model(false);
    let mut now = 0.0;
    while now < 3.0 {
        model.accept(now, 0.1, 0.0).expect("accepted");
        now += 0.04;
    }
    assert!(model.is_congested());
    let idle_at = model.idle_at();
    model.advance(idle_at + 0.1);
    model.advance(idle_at + 2.9);
    assert!(model.is_congested(), "not idle for long enough");
    model.advance(idle_at + 3.2);
    assert!(!model.is_congested());
}

#[test]
fn overload_crashes_an_upstream_in_slow_start_only() {
    for is_warming_up in [true, false] {
        let mut model = model(is_warming_up);
        for k in 0..60 {
            let _ = model.accept(f64::from(k) * 0.02, 0.1, 0.0);
        }
        assert_eq!(model.has_crashed(), is_warming_up);
        assert_eq!(model.accept(1.3, 0.1, 0.0).is_err(), is_warming_up);
    }
}
