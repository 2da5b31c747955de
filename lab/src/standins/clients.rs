//! The stand-ins of clients: an open loop whose arrivals, classes and tenants are drawn before the play, each with
//! its retries. What is late to send is not made up for by sending less: a request's time counts from when it was due.

use crate::experiment::{Effect, Experiment};
use crate::history::{History, Lost, TryId, What};
use crate::links::connections::{Link, Links, Other};
use crate::measurements::figures::times;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Tries of one request have numbers next to one another: eight at most.
pub const TRIES_BITS: u32 = 3;
/// The shortest time in which a further try makes sense.
const LEFT_LEAST: Duration = Duration::from_millis(50);
/// Requests that are due and not yet taken up: more mean a lab that is late.
const DEALT_MOST: usize = 1024;
/// How long a connection to a balancer may take.
const CONNECT: Duration = Duration::from_secs(1);

/// A client's request, as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds from the start of the load.
    pub at: f64,
    /// Position of its class.
    pub class: u16,
    /// Position of its tenant.
    pub tenant: u16,
    /// What it concerns.
    pub key: u32,
    /// Whether the client heeds `Retry-After`.
    pub heeds: bool,
    /// Chance of its own: which balancers it meets, and how long it waits before a retry.
    pub chance: u64,
}

/// The load of an experiment: a Poisson stream whose rate wanders, by thinning (Lewis and Shedler).
pub fn schedule(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let (load, mut rng) = (&experiment.load, ChaCha8Rng::seed_from_u64(seed));
    let most = load.rate * (1.0 + load.swing);
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / most;
        if at >= experiment.length.as_secs_f64() {
            return arrivals;
        }
        let rate = load.rate * (1.0 + load.swing * (TAU * at / load.period_s).sin());
        let (thin, class, tenant) = (
            rng.random::<f64>(),
            rng.random::<f64>(),
            rng.random::<f64>(),
        );
        // A few keys far more popular than the rest.
        let key = (f64::from(load.keys).powf(rng.random::<f64>()) - 1.0) as u32;
        let (heeds, chance) = (rng.random::<f64>() < load.honour, rng.random());
        if thin * most <= rate {
            let class = pick(class, experiment.classes.iter().map(|c| c.share));
            let tenant = pick(tenant, experiment.tenants.iter().map(|t| t.share));
            arrivals.push(Arrival {
                at,
                class,
                tenant,
                key,
                heeds,
                chance,
            });
        }
    }
}

fn pick(mut x: f64, shares: impl Iterator<Item = f64>) -> u16 {
    let mut last = 0;
    for (k, share) in shares.enumerate() {
        last = k as u16;
        x -= share;
        if x < 0.0 {
            break;
        }
    }
    last
}

#[derive(Default)]
struct Place {
    /// Where it is, as far as the front knows: a dead one is sent to for a while.
    address: Option<SocketAddr>,
    idle: Vec<SendRequest<Full<Bytes>>>,
    answered: u64,
}

/// What deals out clients' requests among the balancers, and keeps their connections.
pub struct Front {
    places: Vec<Mutex<Place>>,
}

impl Front {
    /// A front of so many balancers, none of which is there yet.
    pub fn new(balancers: u32) -> Self {
        Self {
            places: (0..balancers).map(|_| Mutex::default()).collect(),
        }
    }

    /// A balancer is at this address, or is not sent to any more.
    pub fn set(&self, balancer: u32, address: Option<SocketAddr>) {
        if let Some(place) = self.places.get(balancer as usize) {
            let mut place = place.lock().unwrap_or_else(PoisonError::into_inner);
            if place.address != address {
                place.address = address;
                place.idle.clear();
            }
        }
    }

    /// Where a balancer is.
    pub fn address(&self, balancer: u32) -> Option<SocketAddr> {
        self.places
            .get(balancer as usize)?
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .address
    }

    /// How many tries a balancer has answered.
    pub fn answered(&self, balancer: u32) -> u64 {
        let place = self.places.get(balancer as usize);
        place.map_or(0, |place| {
            place
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .answered
        })
    }

    fn choose(&self, chance: u64) -> Option<(u32, SocketAddr)> {
        let n = self.places.len() as u64;
        (0..n)
            .map(|k| ((chance.wrapping_add(k)) % n) as u32)
            .find_map(|b| Some((b, self.address(b)?)))
    }

    fn idle(&self, balancer: u32, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut place = self.places[balancer as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if place.address != Some(address) {
            return None;
        }
        while let Some(connection) = place.idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, balancer: u32, address: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        let mut place = self.places[balancer as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        place.answered += 1;
        if place.address == Some(address) {
            place.idle.push(connection);
        }
    }
}

async fn connect(address: SocketAddr, link: &Link) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(link.through(stream)))
            .await
            .ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// What an answer says to the client.
enum Said {
    Served,
    Refused(Option<Duration>),
    Other,
}

/// All clients of a play.
pub struct Clients {
    experiment: Arc<Experiment>,
    history: Arc<History>,
    front: Arc<Front>,
    links: Arc<Links>,
    late: Mutex<Histogram<u64>>,
}

impl Clients {
    /// Clients behind a front.
    pub fn new(
        experiment: Arc<Experiment>,
        history: Arc<History>,
        front: Arc<Front>,
        links: Arc<Links>,
    ) -> Arc<Self> {
        Arc::new(Self {
            experiment,
            history,
            front,
            links,
            late: Mutex::new(times()),
        })
    }

    /// How late requests were sent, in microseconds.
    pub fn lateness(&self) -> Histogram<u64> {
        self.late
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends what is due when it is due; returns when the last client has ended. Dropped, all end.
    pub async fn run(self: Arc<Self>, arrivals: Vec<Arrival>) {
        let (dealt, mut due) = mpsc::channel(DEALT_MOST);
        let start = self.history.at(0.0).into_std();
        // A thread of its own: the runtime's timers are right to a millisecond or two only.
        tokio::task::spawn_blocking(move || {
            for (request, arrival) in arrivals.into_iter().enumerate() {
                let at = start + Duration::from_secs_f64(arrival.at);
                std::thread::sleep(at.saturating_duration_since(std::time::Instant::now()));
                if dealt.blocking_send((request as u32, arrival, at)).is_err() {
                    return;
                }
            }
        });
        let mut open = JoinSet::new();
        while let Some((request, arrival, at)) = due.recv().await {
            open.spawn(Arc::clone(&self).client(request, arrival, Instant::from_std(at)));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    async fn client(self: Arc<Self>, request: u32, arrival: Arrival, due: Instant) {
        let (load, Some(class)) = (
            &self.experiment.load,
            self.experiment.classes.get(usize::from(arrival.class)),
        ) else {
            return;
        };
        let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
        self.late
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .saturating_record(late.max(1));
        self.history.note(What::Wanted {
            request,
            class: arrival.class,
        });
        let deadline = due + Duration::from_secs_f64(class.deadline_ms / 1e3);
        let most = Duration::from_secs_f64(class.deadline_ms / 1e3 * load.try_share);
        let mut chance = ChaCha8Rng::seed_from_u64(arrival.chance);
        for again in 0..=load.retries {
            let left = deadline.saturating_duration_since(Instant::now()).min(most);
            if left < LEFT_LEAST {
                return;
            }
            let id = (TryId::from(request) << TRIES_BITS) | TryId::from(again);
            let said = self
                .attempt(id, again, request, &arrival, left, chance.random())
                .await;
            let asked_for = match said {
                Some(Said::Served) => return,
                Some(Said::Refused(after)) => after.filter(|_| arrival.heeds),
                Some(Said::Other) | None => None,
            };
            // What may have run and must not run twice is the client's to find out about, not to send again.
            if class.effect == Effect::Unsafe && !matches!(said, Some(Said::Refused(_))) {
                return;
            }
            let backoff =
                load.backoff_ms / 1e3 * f64::from(1 << again) * chance.random_range(0.5..1.5);
            sleep(asked_for.unwrap_or(Duration::from_secs_f64(backoff))).await;
        }
    }

    /// One try, with its time; `None`: no answer.
    async fn attempt(
        &self,
        id: TryId,
        again: u8,
        request: u32,
        arrival: &Arrival,
        left: Duration,
        chance: u64,
    ) -> Option<Said> {
        let gives_up = Instant::now() + left;
        let (class, tenant) = (arrival.class, arrival.tenant);
        let Some((balancer, address)) = self.front.choose(chance) else {
            sleep_until(gives_up.min(Instant::now() + CONNECT)).await;
            return None;
        };
        let link = self.links.between(balancer, Other::Clients);
        let (mut kept, mut asked) = (self.front.idle(balancer, address), false);
        loop {
            let reused = kept.is_some();
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match timeout_at(gives_up, connect(address, &link)).await {
                    Ok(Some(connection)) => connection,
                    _ => {
                        self.history.note(What::Unanswered {
                            id,
                            how: Lost::NoConnection,
                        });
                        return None;
                    }
                },
            };
            let message = self.message(id, again, arrival, left)?;
            if !std::mem::replace(&mut asked, true) {
                self.history.note(What::Asked {
                    id,
                    request,
                    again,
                    class,
                    tenant,
                    balancer,
                });
            }
            let exchange = async {
                let (parts, body) = connection.send_request(message).await?.into_parts();
                body.collect().await.map(|_| parts)
            };
            match timeout_at(gives_up, exchange).await {
                Err(_) => {
                    self.history.note(What::Unanswered {
                        id,
                        how: Lost::GaveUp,
                    });
                    return None;
                }
                // Between requests a balancer may close a connection: the request goes once more on a new one.
                Ok(Err(e))
                    if reused
                        && (e.is_canceled() || e.is_incomplete_message() || e.is_closed()) => {}
                Ok(Err(_)) => {
                    self.history.note(What::Unanswered {
                        id,
                        how: Lost::Broken,
                    });
                    return None;
                }
                Ok(Ok(parts)) => {
                    self.history.note(What::Answered {
                        id,
                        status: parts.status.as_u16(),
                    });
                    self.front.keep(balancer, address, connection);
                    let after = parts
                        .headers
                        .get("retry-after")
                        .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
                    let after = after.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    return Some(match parts.status.as_u16() {
                        200 => Said::Served,
                        429 | 503 => Said::Refused(after),
                        _ => Said::Other,
                    });
                }
            }
        }
    }

    fn message(
        &self,
        id: TryId,
        again: u8,
        arrival: &Arrival,
        left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let class = self.experiment.classes.get(usize::from(arrival.class))?;
        let tenant = self.experiment.tenants.get(usize::from(arrival.tenant))?;
        let method = if class.effect == Effect::Safe {
            Method::GET
        } else {
            Method::POST
        };
        let mut message = Request::builder()
            .method(method)
            .uri(format!("/{}", class.name))
            .header("host", "app.svc")
            .header("x-correlation-id", format!("{id:016x}"))
            .header("x-account", &tenant.name)
            .header("cookie", format!("user={:08x}", arrival.key))
            .header("x-time-left-ms", left.as_millis().to_string());
        if again > 0 && self.experiment.load.marks {
            message = message.header("x-repeat", "1");
        }
        if class.effect == Effect::Keyed {
            message = message.header("idempotency-key", format!("{:032x}", id >> TRIES_BITS));
        }
        message.body(Full::default()).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment() -> Experiment {
        let text = "name = \"x\"\nseconds = 60.0\n[fleet]\nbalancers = 2\nupstreams = 4\n[load]\nrate = 200.0\n";
        Experiment::parse(text).expect("it can be meant")
    }

    #[test]
    fn the_same_seed_gives_the_same_load_and_another_one_another() {
        let experiment = experiment();
        let (one, same, other) = (
            schedule(&experiment, 4),
            schedule(&experiment, 4),
            schedule(&experiment, 5),
        );
        assert_eq!(one, same);
        assert_ne!(one, other);
    }

    #[test]
    fn rate_and_shares_are_those_of_the_experiment() {
        let experiment = experiment();
        let arrivals = schedule(&experiment, 4);
        let n = arrivals.len() as f64;
        assert!((n / 60.0 - 200.0).abs() < 10.0, "{n} in 60 s");
        assert!(arrivals.is_sorted_by(|a, b| a.at <= b.at));
        for (k, class) in experiment.classes.iter().enumerate() {
            let share = arrivals
                .iter()
                .filter(|a| usize::from(a.class) == k)
                .count() as f64
                / n;
            assert!(
                (share - class.share).abs() < 0.02,
                "{}: {share}",
                class.name
            );
        }
    }
}
