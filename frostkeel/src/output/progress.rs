//! The progress of a run: a table that is updated in place on a terminal, and a line every 5 seconds elsewhere.

use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::{RunProgress, runs::BalancerStatus};
use std::io::{IsTerminal, Write};

/// The maximum number of balancers and upstreams with a row each on a terminal. With more, only the summary is shown.
const MAX_TABLE_ROWS: usize = 24;
/// The time between two lines where the output is not a terminal, in seconds.
const LINE_INTERVAL_S: u64 = 5;
/// The length of the bar of an upstream with all its cores in use, in characters.
const FULL_BAR_WIDTH: f64 = 20.0;
/// The maximum length of a bar, in characters.
const MAX_BAR_WIDTH: f64 = 40.0;
/// The terminal control sequence that clears the line from the cursor to its end.
const CLEAR_LINE_END: &str = "\x1b[K";
/// The terminal control sequence that clears the screen from the cursor to its end.
const CLEAR_BELOW: &str = "\x1b[J";

/// Shows the progress of one run.
pub struct ProgressDisplay {
    is_terminal: bool,
    length_s: f64,
    fault_starts_s: Vec<f64>,
    /// The total number of responses of each balancer when its row was last shown.
    response_counts: Vec<u64>,
    /// The number of lines that the terminal shows, which the next update replaces.
    shown_lines: usize,
}

impl ProgressDisplay {
    /// Prints that the run starts, and returns a display for it.
    pub fn start(experiment: &Experiment) -> Self {
        let balancers = experiment.fleet.balancers;
        println!("{}: starting {balancers} balancers", experiment.name);
        let fault_starts = experiment
            .faults
            .iter()
            .map(|fault| fault.start.as_secs_f64());
        Self {
            is_terminal: std::io::stdout().is_terminal(),
            length_s: experiment.length.as_secs_f64(),
            fault_starts_s: fault_starts.collect(),
            response_counts: vec![0; balancers as usize],
            shown_lines: 0,
        }
    }

    /// Prints the progress: on a terminal at each call, elsewhere when the elapsed seconds are a multiple of 5.
    pub fn show(&mut self, progress: &RunProgress) {
        let elapsed_s = progress.elapsed.as_secs_f64();
        if self.is_terminal {
            self.rewrite_table(progress);
        } else if (elapsed_s as u64).is_multiple_of(LINE_INTERVAL_S) {
            println!("{}", self.summary(progress));
        }
    }

    fn summary(&self, progress: &RunProgress) -> String {
        let elapsed_s = progress.elapsed.as_secs_f64();
        let is_running = |balancer: &&BalancerStatus| balancer.state != "down";
        let running_balancer_count = progress.balancers.iter().filter(is_running).count();
        let up_upstream_count = progress
            .upstreams
            .iter()
            .filter(|upstream| upstream.state == "up")
            .count();
        let in_flight_count: usize = progress
            .upstreams
            .iter()
            .map(|upstream| upstream.in_flight)
            .sum();
        let started_fault_count = self
            .fault_starts_s
            .iter()
            .filter(|start| **start <= elapsed_s)
            .count();
        format!(
            "{elapsed_s:5.0} of {:.0} s  {running_balancer_count} balancers  {up_upstream_count} upstreams  \
             {in_flight_count} requests in flight  {started_fault_count} of {} faults started",
            self.length_s,
            self.fault_starts_s.len()
        )
    }

    fn rewrite_table(&mut self, progress: &RunProgress) {
        let mut lines = vec![self.summary(progress)];
        if progress.balancers.len() + progress.upstreams.len() <= MAX_TABLE_ROWS {
            lines.extend(self.balancer_rows(progress));
            lines.extend(upstream_rows(progress));
        }
        let cursor_up = match self.shown_lines {
            0 => String::new(),
            count => format!("\x1b[{count}A"),
        };
        let table = lines.join(&format!("{CLEAR_LINE_END}\n"));
        println!("{cursor_up}{table}{CLEAR_LINE_END}{CLEAR_BELOW}");
        self.shown_lines = lines.len();
        let _ = std::io::stdout().flush();
    }

    fn balancer_rows(&mut self, progress: &RunProgress) -> Vec<String> {
        let balancers = progress.balancers.iter().zip(&mut self.response_counts);
        let row = |(number, (balancer, previous_count)): (usize, (&BalancerStatus, &mut u64))| {
            let responses = balancer.response_count - *previous_count;
            *previous_count = balancer.response_count;
            format!(
                "  b{number:<3} {:8} {responses:>4} responses since the last update",
                balancer.state
            )
        };
        balancers.enumerate().map(row).collect()
    }
}

fn upstream_rows(progress: &RunProgress) -> Vec<String> {
    let upstreams = progress.upstreams.iter();
    let row = upstreams.map(|upstream| {
        let width = (upstream.utilization * FULL_BAR_WIDTH)
            .round()
            .clamp(0.0, MAX_BAR_WIDTH);
        let bar = "#".repeat(width as usize);
        format!(
            "  u{:<3} {:8} {:>4} in flight  {bar}",
            upstream.number, upstream.state, upstream.in_flight
        )
    });
    row.collect()
}
