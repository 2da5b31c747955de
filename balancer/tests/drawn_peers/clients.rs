//! Clients that keep to the protocol, and the checks of what they get.

use super::common::{BalancerProcess, Client, Message, idempotent_request};
use super::upstreams::{Executions, request_with_id};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The time that the requests leave, as [`request_with_id`] states it.
const TIME_LEFT: Duration = Duration::from_secs(3);
/// The time after its deadline within which a request must get its response; later it is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// The lengths of drawn request bodies.
const BODY_BYTES: [usize; 4] = [1, 300, 10_000, 65_536];

/// What became of one request.
struct Outcome {
    id: String,
    is_at_most_once: bool,
    /// The status of the response; `None` if there was none.
    status: Option<u16>,
    /// The time since the last byte of the request.
    time: Duration,
    /// Whether a response of status 200 is the one to this request.
    is_own: bool,
}

/// What became of all requests.
#[derive(Default)]
pub struct Outcomes(Mutex<Vec<Outcome>>);

impl Outcomes {
    /// Returns the number of requests that were served.
    pub fn served(&self) -> usize {
        let outcomes = self.0.lock().unwrap();
        outcomes
            .iter()
            .filter(|outcome| outcome.status == Some(200))
            .count()
    }

    /// Returns the number of requests by status, and the longest time until a response.
    pub fn summary(&self) -> String {
        let outcomes = self.0.lock().unwrap();
        let mut counts: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for outcome in &*outcomes {
            *counts.entry(outcome.status).or_default() += 1;
        }
        let longest = outcomes.iter().map(|outcome| outcome.time).max();
        let slow = outcomes
            .iter()
            .filter(|outcome| outcome.time > TIME_LEFT / 2);
        let slow = slow.count();
        format!(
            "statuses {counts:?}, {slow} over {:?}, longest {longest:?}",
            TIME_LEFT / 2
        )
    }

    /// Returns the requests that were treated against the rules.
    pub fn faults(&self, executions: &Executions) -> Vec<String> {
        let outcomes = self.0.lock().unwrap();
        outcomes
            .iter()
            .filter_map(|outcome| fault(outcome, executions))
            .collect()
    }
}

fn fault(outcome: &Outcome, executions: &Executions) -> Option<String> {
    let Outcome {
        id, status, time, ..
    } = outcome;
    let count = executions.of(id);
    let is_refused = matches!(status, Some(429 | 503));
    let what = match status {
        None => "got no response",
        Some(200) if !outcome.is_own => "got the response to another request",
        Some(200) if count == 0 => "was served without an execution",
        Some(200 | 429 | 502 | 503) if *time > TIME_LEFT + MAX_LATENESS => "got its response late",
        Some(200 | 429 | 502 | 503) if !outcome.is_at_most_once => return None,
        Some(_) if count > 1 => "was executed twice",
        Some(_) if is_refused && count > 0 => "was refused and executed",
        Some(200 | 429 | 502 | 503) => return None,
        Some(_) => "got an unexpected status",
    };
    Some(format!(
        "{id} {what}: status {status:?} after {time:?}, executed {count} times"
    ))
}

/// Sends drawn requests, one after another, until the play stops.
pub fn run(
    seed: u64,
    number: u64,
    process: &BalancerProcess,
    stop: &AtomicBool,
    outcomes: &Outcomes,
) {
    let mut random = Rng::with_seed(seed.wrapping_mul(1000) + number);
    let mut client = process.connect();
    for sent in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let is_at_most_once = random.u8(..3) > 0;
        let id = format!("client-{number}-{sent}");
        let request = if is_at_most_once {
            request_with_id(&id, *random.choice(&BODY_BYTES).unwrap())
        } else {
            idempotent_request(3000).replace("77aa", &id)
        };
        let (response, time) = client.try_exchange(&request);
        let outcome = Outcome {
            is_own: response
                .as_ref()
                .is_some_and(|response| is_response_to(response, &id)),
            status: response.map(|response| response.status()),
            time,
            id,
            is_at_most_once,
        };
        outcomes.0.lock().unwrap().push(outcome);
        std::thread::sleep(Duration::from_millis(random.u64(..100)));
    }
}

fn is_response_to(response: &Message, id: &str) -> bool {
    response.body.split(|byte| *byte == b'\n').next() == Some(id.as_bytes())
}

/// Returns whether requests with long bodies are served within some time.
pub fn recovers(process: &BalancerProcess, time: Duration) -> bool {
    let start = Instant::now();
    let mut served = 0;
    for number in 0.. {
        let request = request_with_id(&format!("after-{number}"), 65_536);
        let (response, _) = Client::connect(process.address).try_exchange(&request);
        let is_served = response.is_some_and(|response| response.status() == 200);
        served = if is_served { served + 1 } else { 0 };
        if served == 5 || start.elapsed() > time {
            break;
        }
    }
    served == 5
}
