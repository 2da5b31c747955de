//! Peers that do not keep to the protocol, and the checks of what their requests have caused.

use super::common::{BalancerProcess, Client, UNKNOWN_PATH_REQUEST, idempotent_request};
use super::upstreams::{Executions, REPEATED, REPEATED_SERVICE_TIME, request_with_id};
use fastrand::Rng;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The prefix of the ids of requests that are never complete, or whose client leaves before they are.
const INCOMPLETE: &str = "incomplete-";
const LONG_BODY_BYTES: usize = 65_536;
/// The time within which a peer without a proper request is owed an error or a close. It counts from
/// connecting; the rest is for the threads of this test.
const MAX_OPEN_TIME: Duration = Duration::from_millis(3000 + 500);
const MAX_PAUSE_MS: u64 = 400;
/// The time between two writes of a flooding peer, so that the threads of this test leave the
/// processors to the balancer.
const FLOOD_PAUSE: Duration = Duration::from_millis(2);

/// What a peer does on one connection.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Silent,
    StopInHead,
    StopInBody,
    WriteSlowly,
    ShortFields,
    ManyFields,
    LongHead,
    LongTrailers,
    Garbage,
    UnreadResponses,
    Flood,
    NewNames,
    LeaveInBody,
    LeaveAndRepeat,
}

const BEHAVIORS: [Behavior; 14] = [
    Behavior::Silent,
    Behavior::StopInHead,
    Behavior::StopInBody,
    Behavior::WriteSlowly,
    Behavior::ShortFields,
    Behavior::ManyFields,
    Behavior::LongHead,
    Behavior::LongTrailers,
    Behavior::Garbage,
    Behavior::UnreadResponses,
    Behavior::Flood,
    Behavior::NewNames,
    Behavior::LeaveInBody,
    Behavior::LeaveAndRepeat,
];

/// The connections on which the balancer sent no error and which it did not close in time.
#[derive(Default)]
pub struct LateCloses(Mutex<Vec<String>>);

impl LateCloses {
    pub fn into_faults(self) -> Vec<String> {
        self.0.into_inner().unwrap()
    }
}

/// Returns the requests of peers that were executed against the rules.
pub fn faults(executions: &Executions) -> Vec<String> {
    let incomplete = executions.with_prefix(INCOMPLETE).into_iter();
    let repeated = executions.with_prefix(REPEATED).into_iter();
    let repeated = repeated.filter(|(_, count)| *count > 1);
    let faults = incomplete.chain(repeated);
    faults
        .map(|(id, count)| format!("{id} was executed {count} times"))
        .collect()
}

/// Connects with one drawn behavior after another until the play stops.
pub fn run(
    seed: u64,
    number: u64,
    process: &BalancerProcess,
    stop: &AtomicBool,
    late_closes: &LateCloses,
) {
    let mut random = Rng::with_seed(seed.wrapping_mul(2000) + number);
    let mut round = 0;
    while !stop.load(Ordering::SeqCst) {
        let behavior = *random.choice(&BEHAVIORS).unwrap();
        let mut peer = Peer {
            client: process.connect_with_small_buffer(),
            id: format!("{number}-{round}"),
            random: random.fork(),
            stop,
        };
        let start = Instant::now();
        let is_owed_an_end = peer.act(behavior, process);
        if is_owed_an_end && !stop.load(Ordering::SeqCst) {
            peer.client.is_closed_or_responds();
            let time = start.elapsed();
            if time > MAX_OPEN_TIME {
                let fault = format!("{behavior:?} {}: open for {time:?}", peer.id);
                late_closes.0.lock().unwrap().push(fault);
            }
        }
        peer.client.disconnect_if_open();
        round += 1;
        std::thread::sleep(Duration::from_millis(random.u64(..MAX_PAUSE_MS)));
    }
}

/// A peer with one connection.
struct Peer<'a> {
    client: Client,
    id: String,
    random: Rng,
    stop: &'a AtomicBool,
}

impl Peer<'_> {
    /// Acts on the connection. Returns whether the balancer owes an error or a close, since no
    /// request was complete.
    fn act(&mut self, behavior: Behavior, process: &BalancerProcess) -> bool {
        let long_request = request_with_id(&format!("{INCOMPLETE}{}", self.id), LONG_BODY_BYTES);
        let incomplete = &long_request.as_bytes()[..long_request.len() - 1];
        match behavior {
            Behavior::Silent => {}
            Behavior::StopInHead => {
                let length = self.random.usize(1..100);
                self.client.write_nonblocking(&incomplete[..length]);
            }
            Behavior::StopInBody => {
                let length = self.random.usize(300..incomplete.len());
                self.client.write_nonblocking(&incomplete[..length]);
            }
            Behavior::WriteSlowly => self.write_slowly(incomplete),
            Behavior::ShortFields => self.write_short_fields(),
            Behavior::ManyFields => self.send_many_fields(),
            Behavior::LongHead => {
                let value = "z".repeat(self.random.usize(5000..40_000));
                self.write(&format!("GET /look HTTP/1.1\r\nX: {value}"));
            }
            Behavior::LongTrailers => self.write_long_trailers(),
            Behavior::Garbage => {
                let bytes: Vec<u8> = (0..2000).map(|_| self.random.u8(..)).collect();
                self.client.write_nonblocking(&bytes);
            }
            Behavior::UnreadResponses => self.leave_responses_unread(),
            Behavior::Flood => self.flood(),
            Behavior::NewNames => self.send_new_names(),
            Behavior::LeaveInBody => {
                let length = self.random.usize(300..incomplete.len());
                self.client.write_nonblocking(&incomplete[..length]);
                self.client.disconnect_if_open();
            }
            Behavior::LeaveAndRepeat => self.leave_and_repeat(process),
        }
        !matches!(
            behavior,
            Behavior::ManyFields
                | Behavior::UnreadResponses
                | Behavior::Flood
                | Behavior::NewNames
                | Behavior::LeaveInBody
                | Behavior::LeaveAndRepeat
        )
    }

    fn write(&mut self, text: &str) {
        self.client.write_nonblocking(text.as_bytes());
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn write_slowly(&mut self, bytes: &[u8]) {
        let start = Instant::now();
        let piece_bytes = self.random.usize(1..4000);
        for piece in bytes.chunks(piece_bytes) {
            if self.is_stopped() || self.client.has_ended() || start.elapsed() > MAX_OPEN_TIME {
                return;
            }
            self.client.write_nonblocking(piece);
            std::thread::sleep(Duration::from_millis(self.random.u64(1..60)));
        }
    }

    fn write_short_fields(&mut self) {
        let count = self.random.usize(90..3000);
        let fields: String = (0..count).map(|field| format!("a{field}: b\r\n")).collect();
        self.write(&format!("GET /look HTTP/1.1\r\n{fields}"));
    }

    /// Sends complete requests with as many fields as the balancer reads, and waits for the responses.
    fn send_many_fields(&mut self) {
        let fields: String = (0..94).map(|field| format!("a{field}: b\r\n")).collect();
        for number in 0..self.random.usize(1..5) {
            let request = idempotent_request(3000).replace("Host", &format!("{fields}Host"));
            self.write(&request.replace("77aa", &format!("fields-{}-{number}", self.id)));
            if self.client.read_response().is_none() {
                return;
            }
        }
    }

    fn write_long_trailers(&mut self) {
        let head = request_with_id(&format!("{INCOMPLETE}{}", self.id), 1);
        let head = head.replace(
            "Content-Length: 1\r\n\r\nx",
            "Transfer-Encoding: chunked\r\n\r\n",
        );
        let trailers: String = (0..90)
            .map(|field| format!("t{field}: {}\r\n", "v".repeat(100)))
            .collect();
        self.write(&format!("{head}1\r\nx\r\n0\r\n{trailers}"));
    }

    /// Sends requests for responses that are long, and reads none of them.
    fn leave_responses_unread(&mut self) {
        for number in 0..self.random.usize(1..40) {
            let request = idempotent_request(3000);
            self.write(&request.replace("77aa", &format!("unread-{}-{number}", self.id)));
        }
        let end = Instant::now() + Duration::from_millis(self.random.u64(..3000));
        while Instant::now() < end && !self.is_stopped() {
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends small requests at full speed, half of them unsound, and reads the responses.
    fn flood(&mut self) {
        let sound = idempotent_request(3000).replace("77aa", &format!("flood-{}", self.id));
        let request = if self.random.bool() {
            &sound
        } else {
            UNKNOWN_PATH_REQUEST
        };
        self.send_repeatedly(&request.repeat(50));
    }

    /// Sends requests with names of classes and tenants that nobody has used before.
    fn send_new_names(&mut self) {
        let request = |number: usize| {
            let request =
                idempotent_request(3000).replace("acme", &format!("t{}-{number}", self.id));
            format!(
                "GET /c{}-{number} HTTP/1.1\r\nHost: a\r\n\r\n{request}",
                self.id
            )
        };
        let requests: String = (0..50).map(request).collect();
        self.send_repeatedly(&requests);
    }

    fn send_repeatedly(&mut self, requests: &str) {
        let end = Instant::now() + Duration::from_millis(self.random.u64(..500));
        while Instant::now() < end && !self.is_stopped() {
            self.write(requests);
            self.client.discard_received();
            std::thread::sleep(FLOOD_PAUSE);
        }
    }

    /// Sends a request that must not be executed twice, leaves, and sends it again on another
    /// connection.
    fn leave_and_repeat(&mut self, process: &BalancerProcess) {
        let request = request_with_id(&format!("{REPEATED}{}", self.id), 100);
        let extra = request_with_id(&format!("{INCOMPLETE}{}", self.id), 100);
        let extra = extra.replace("Content-Length: 100", "Content-Length: 900000");
        let extra = extra + &"x".repeat(self.random.usize(..600_000));
        let start = Instant::now();
        self.write(&request);
        if self.random.bool() {
            self.write(&extra);
        }
        std::thread::sleep(Duration::from_millis(self.random.u64(..60)));
        self.client.disconnect_if_open();
        if start.elapsed() >= REPEATED_SERVICE_TIME {
            // This thread was held up, and the response may have come before.
            return;
        }
        // The balancer learns of the end of one connection before it reads from a later one.
        std::thread::sleep(Duration::from_millis(100));
        let mut again = process.connect();
        again.write_nonblocking(request.as_bytes());
        again.is_closed_or_responds();
    }
}
