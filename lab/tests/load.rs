//! The load of clients that is drawn for an experiment.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::standins::load::draw_load;

fn experiment() -> Experiment {
    let text = "name = \"x\"\nseconds = 60.0\n[fleet]\nbalancers = 2\nupstreams = 4\n[load]\n\
                rate = 200.0\n";
    Experiment::parse(text).expect("a valid experiment")
}

#[test]
fn load_depends_on_the_seed_alone() {
    let experiment = experiment();
    let first = draw_load(&experiment, 4);
    assert_eq!(first, draw_load(&experiment, 4));
    assert_ne!(first, draw_load(&experiment, 5));
}

#[test]
fn load_has_the_rate_and_shares_of_the_experiment() {
    let experiment = experiment();
    let arrivals = draw_load(&experiment, 4);
    let count = arrivals.len() as f64;
    assert!(
        (count / 60.0 - 200.0).abs() < 10.0,
        "{count} requests in 60 s"
    );
    assert!(arrivals.is_sorted_by(|a, b| a.at_s <= b.at_s));
    for (index, class) in experiment.classes.iter().enumerate() {
        let of_class = arrivals
            .iter()
            .filter(|arrival| usize::from(arrival.class) == index);
        let share = of_class.count() as f64 / count;
        assert!(
            (share - class.share).abs() < 0.02,
            "{}: {share}",
            class.name
        );
    }
}
