//! Chooses the upstream for a quick request.

use crate::average::DecayedMean;
use fastrand::Rng;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;
use wax_types::TimePoint;

new_key_type! {
    /// Key of an upstream in a [`RouteTable`].
    pub struct UpstreamKey;
}

/// Number of requests after which a sample has little weight in the mean latency of an upstream.
const LATENCY_WINDOW: f64 = 32.0;
/// Expected latency of an upstream before any sample.
const LATENCY_PRIOR: Duration = Duration::from_millis(5);
/// Cost of crossing to another failure domain, where the one-way latency is 0.5 to 1 ms.
const DOMAIN_PENALTY: Duration = Duration::from_millis(2);
/// Time without a report from its sidecar after which an upstream gets no requests. Sidecars report
/// every second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which other upstreams are preferred after an upstream refused a request or failed.
const REFUSAL_PENALTY_TIME: Duration = Duration::from_millis(200);
/// Multiple of its service time after which an upstream that answers nothing is overdue.
const OVERDUE_FACTOR: f64 = 2.5;
/// Lower bound on the time after which an upstream that answers nothing is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(40);
/// Factor on the expected time of an upstream that is to be avoided.
const AVOID_FACTOR: f64 = 20.0;
/// Multiple of the expected time after which an answer counts as slow and a hedged request is sent.
const HEDGE_FACTOR: f64 = 2.0;
/// Multiple of the service time that must be left before the deadline when a hedged request is
/// sent.
const HEDGE_MARGIN_FACTOR: f64 = 1.4;
/// Factor on the expected time of an upstream that has just connected; it falls to 1 over
/// [`WARMUP_TIME`].
const WARMUP_FACTOR: f64 = 3.0;
const WARMUP_TIME: Duration = Duration::from_secs(5);
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection of an upstream. It doubles with each further ejection until the
/// upstream answers, up to [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Policy by which an upstream is chosen. All but `Weighed` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutePolicy {
    /// The better of two random upstreams by expected time. Upstreams in the own failure domain
    /// come first unless the request would have to wait there.
    #[default]
    Weighed,
    /// A random upstream.
    Random,
    /// The upstreams in turn.
    RoundRobin,
    /// The upstream with the fewest requests in flight.
    LeastLoaded,
}

impl FromStr for RoutePolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "weighed" => Ok(Self::Weighed),
            "random" => Ok(Self::Random),
            "round-robin" => Ok(Self::RoundRobin),
            "least-loaded" => Ok(Self::LeastLoaded),
            _ => Err(()),
        }
    }
}

/// Load of an upstream as its sidecar last reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamLoad {
    /// Number of slots in use.
    pub slots_used: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Mean time that requests take at the upstream.
    pub service_time: Duration,
    /// Whether the upstream is leaving and accepts no new requests.
    pub leaving: bool,
    /// Whether the sidecar can reach the upstream.
    pub up: bool,
}

/// State of one upstream as this entry knows it.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    service: Box<str>,
    local: bool,
    slots: u32,
    load: UpstreamLoad,
    in_flight: u32,
    sent_since_report: u32,
    latency: DecayedMean,
    last_report: TimePoint,
    connected_at: TimePoint,
    failures: u32,
    ejections: u32,
    ejected_until: TimePoint,
    /// Time since which requests have been in flight without any answer.
    unanswered_since: Option<TimePoint>,
    /// Time before which other upstreams are preferred because this one refused a request or
    /// failed.
    avoid_until: TimePoint,
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the request to this upstream.
    Send(UpstreamKey),
    /// The deadline cannot be met, even by the best of the upstreams that were compared; a slot is
    /// expected to be free after this time.
    Late(Duration),
    /// No upstream of the service accepts requests.
    NoUpstream,
}

/// Outcome of an attempt, from which the table learns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response headers arrived after this time.
    Answered(Duration),
    /// The upstream refused the request, which says nothing about its health.
    Refused,
    /// The attempt was lost or timed out, or the upstream could not be reached.
    Failed,
    /// The attempt was cancelled for another reason, such as a hedged request that was not needed.
    Abandoned,
}

/// All upstreams that an entry knows, by service.
#[derive(Debug, Default)]
pub struct RouteTable {
    upstreams: SlotMap<UpstreamKey, UpstreamView>,
    services: HashMap<Box<str>, Vec<UpstreamKey>>,
    next_start: usize,
}

impl UpstreamView {
    /// Creates an upstream without requests; `local` tells whether it is in the entry's failure
    /// domain.
    pub fn new(service: &str, local: bool, slots: u32, now: TimePoint) -> Self {
        Self {
            service: service.into(),
            local,
            slots: slots.max(1),
            load: UpstreamLoad {
                up: true,
                ..UpstreamLoad::default()
            },
            in_flight: 0,
            sent_since_report: 0,
            latency: DecayedMean::new(LATENCY_WINDOW),
            last_report: now,
            connected_at: now,
            failures: 0,
            ejections: 0,
            ejected_until: TimePoint::default(),
            unanswered_since: None,
            avoid_until: TimePoint::default(),
        }
    }

    fn accepts_requests(&self, now: TimePoint) -> bool {
        !self.load.leaving && self.load.up && now.since(self.last_report) < REPORT_TIMEOUT
    }

    fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the upstream has answered nothing for much longer than a request takes.
    ///
    /// A VM that has failed looks idle to every client except those that wait for its answers.
    fn is_overdue(&self, now: TimePoint) -> bool {
        let limit = self.service_time().mul_f64(OVERDUE_FACTOR) + self.wait();
        self.unanswered_since
            .is_some_and(|since| now.since(since) > limit.max(MIN_OVERDUE))
    }

    /// Returns whether other upstreams are preferred because this one refuses requests or answers
    /// none.
    ///
    /// An upstream that refuses requests at once looks idle and fast, and would otherwise attract
    /// more and more of them.
    fn is_avoided(&self, now: TimePoint) -> bool {
        now < self.avoid_until || self.is_overdue(now)
    }

    /// Returns the number of requests at the upstream: the reported load plus the requests sent
    /// since, but at least the requests in flight from here.
    fn depth(&self) -> u32 {
        let reported = self.load.slots_used + self.load.queued + self.sent_since_report;
        reported.max(self.in_flight)
    }

    fn service_time(&self) -> Duration {
        if self.latency.samples() > 0.0 {
            Duration::from_secs_f64(self.latency.value())
        } else if self.load.service_time > Duration::ZERO {
            self.load.service_time
        } else {
            LATENCY_PRIOR
        }
    }

    /// Returns the expected time until a slot is free.
    fn wait(&self) -> Duration {
        let depth = self.depth();
        if depth < self.slots {
            return Duration::ZERO;
        }
        let rounds = f64::from(depth - self.slots + 1) / f64::from(self.slots);
        let service = if self.load.service_time > Duration::ZERO {
            self.load.service_time
        } else {
            self.service_time()
        };
        service.mul_f64(rounds)
    }

    /// Returns the expected time to the answer, with penalties for a new, avoided or remote
    /// upstream.
    fn score(&self, now: TimePoint) -> Duration {
        let age = now.since(self.connected_at).as_secs_f64() / WARMUP_TIME.as_secs_f64();
        let warmup_factor = (WARMUP_FACTOR - (WARMUP_FACTOR - 1.0) * age).max(1.0);
        // An upstream whose slots are all in use counts as 25 % slower than an idle one.
        let busy = f64::from(self.depth()) / f64::from(self.slots);
        let time = self.service_time().mul_f64(1.0 + 0.25 * busy.min(1.0)) + self.wait();
        let penalty = if self.local {
            Duration::ZERO
        } else {
            DOMAIN_PENALTY
        };
        let avoid_factor = if self.is_avoided(now) {
            AVOID_FACTOR
        } else {
            1.0
        };
        time.mul_f64(warmup_factor * avoid_factor) + penalty
    }
}

impl RouteTable {
    /// Adds an upstream.
    pub fn add(&mut self, view: UpstreamView) -> UpstreamKey {
        let service = view.service.clone();
        let key = self.upstreams.insert(view);
        self.services.entry(service).or_default().push(key);
        key
    }

    /// Removes an upstream whose connection has ended.
    pub fn remove(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.remove(key)
            && let Some(keys) = self.services.get_mut(&view.service)
        {
            keys.retain(|other| *other != key);
        }
    }

    /// Returns the number of connected upstreams of a service.
    pub fn upstream_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// Returns whether the service has ever had an upstream in this table.
    pub fn knows_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Records a load report from the sidecar of an upstream.
    pub fn update_load(&mut self, now: TimePoint, key: UpstreamKey, load: UpstreamLoad) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.load = load;
            view.sent_since_report = 0;
            view.last_report = now;
        }
    }

    /// Counts an attempt that is sent to an upstream.
    pub fn begin_attempt(&mut self, now: TimePoint, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.unanswered_since.get_or_insert(now);
            view.in_flight += 1;
            view.sent_since_report += 1;
        }
    }

    /// Counts an attempt as ended and learns from its outcome.
    pub fn end_attempt(&mut self, now: TimePoint, key: UpstreamKey, end: AttemptEnd) {
        let can_eject = self.can_eject(now, key);
        let Some(view) = self.upstreams.get_mut(key) else {
            return;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        view.sent_since_report = view.sent_since_report.saturating_sub(1);
        let answered = matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Refused);
        if view.in_flight == 0 {
            view.unanswered_since = None;
        } else if answered {
            view.unanswered_since = Some(now);
        }
        match end {
            AttemptEnd::Answered(time) => {
                view.latency.add(time.as_secs_f64());
                view.failures = 0;
                view.ejections = 0;
            }
            AttemptEnd::Failed => {
                view.avoid_until = now + REFUSAL_PENALTY_TIME;
                view.failures += 1;
                if view.failures >= FAILURES_TO_EJECT && can_eject {
                    let duration = MIN_EJECTION * (1 << view.ejections.min(5));
                    view.ejected_until = now + duration.min(MAX_EJECTION);
                    view.ejections += 1;
                    view.failures = 0;
                }
            }
            AttemptEnd::Refused => view.avoid_until = now + REFUSAL_PENALTY_TIME,
            AttemptEnd::Abandoned => {}
        }
    }

    /// Returns whether one more upstream of the service may be ejected: at most half of them are
    /// ejected at a time.
    fn can_eject(&self, now: TimePoint, key: UpstreamKey) -> bool {
        let Some(keys) = self
            .upstreams
            .get(key)
            .and_then(|view| self.services.get(&view.service))
        else {
            return false;
        };
        let ejected = keys
            .iter()
            .filter(|key| self.upstreams[**key].is_ejected(now))
            .count();
        (ejected + 1) * 2 <= keys.len()
    }

    /// Chooses an upstream for a request that must be answered by `deadline`.
    ///
    /// Upstreams in `tried` are chosen again only if there are no others.
    pub fn choose(
        &mut self,
        now: TimePoint,
        service: &str,
        deadline: TimePoint,
        tried: &[UpstreamKey],
        policy: RoutePolicy,
        rng: &mut Rng,
    ) -> RouteChoice {
        let Some(keys) = self.services.get(service) else {
            return RouteChoice::NoUpstream;
        };
        let start = rng.usize(..keys.len().max(1));
        let chosen = match policy {
            RoutePolicy::Weighed => self.choose_weighed(now, keys, tried, start),
            RoutePolicy::Random => self.first_from(now, keys, tried, start),
            RoutePolicy::RoundRobin => {
                self.first_from(now, keys, tried, self.next_start % keys.len().max(1))
            }
            RoutePolicy::LeastLoaded => self.least_loaded(now, keys, tried),
        };
        self.next_start = self.next_start.wrapping_add(1);
        let Some(key) = chosen else {
            return RouteChoice::NoUpstream;
        };
        if policy != RoutePolicy::Weighed {
            return RouteChoice::Send(key);
        }
        let view = &self.upstreams[key];
        let wait = view.wait();
        // A request is late only if even one of half the usual service time would be.
        if wait > Duration::ZERO && now + wait + view.service_time().mul_f64(0.5) > deadline {
            return RouteChoice::Late(wait);
        }
        RouteChoice::Send(key)
    }

    /// Returns the upstreams that accept requests and are not ejected, from index `start` on, with
    /// those in `tried` last.
    fn candidates<'a>(
        &'a self,
        now: TimePoint,
        keys: &'a [UpstreamKey],
        tried: &'a [UpstreamKey],
        start: usize,
    ) -> impl Iterator<Item = UpstreamKey> + 'a {
        let fresh = keys
            .iter()
            .cycle()
            .skip(start)
            .take(keys.len())
            .copied()
            .filter(move |key| !tried.contains(key));
        let retried = keys.iter().copied().filter(move |key| tried.contains(key));
        let healthy = move |key: &UpstreamKey| {
            let view = &self.upstreams[*key];
            view.accepts_requests(now) && !view.is_ejected(now)
        };
        fresh.chain(retried).filter(healthy)
    }

    fn first_from(
        &self,
        now: TimePoint,
        keys: &[UpstreamKey],
        tried: &[UpstreamKey],
        start: usize,
    ) -> Option<UpstreamKey> {
        self.candidates(now, keys, tried, start).next()
    }

    fn least_loaded(
        &self,
        now: TimePoint,
        keys: &[UpstreamKey],
        tried: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        self.candidates(now, keys, tried, 0)
            .min_by_key(|key| (tried.contains(key), self.upstreams[*key].depth()))
    }

    /// Returns the better of two local upstreams if it has a free slot, is not to be avoided and
    /// was not tried before. Otherwise returns the best of these two and two remote ones.
    fn choose_weighed(
        &self,
        now: TimePoint,
        keys: &[UpstreamKey],
        tried: &[UpstreamKey],
        start: usize,
    ) -> Option<UpstreamKey> {
        let score = |key: &UpstreamKey| (tried.contains(key), self.upstreams[*key].score(now));
        let is_local = |key: &UpstreamKey| self.upstreams[*key].local;
        let local = self
            .candidates(now, keys, tried, start)
            .filter(is_local)
            .take(2)
            .min_by_key(score);
        if let Some(key) = local
            && self.upstreams[key].wait() == Duration::ZERO
            && !self.upstreams[key].is_avoided(now)
            && !tried.contains(&key)
        {
            return Some(key);
        }
        let remote = self
            .candidates(now, keys, tried, start)
            .filter(|key| !is_local(key))
            .take(2)
            .min_by_key(score);
        local.into_iter().chain(remote).min_by_key(score)
    }

    /// Returns the time at which a hedged request is worth sending: the first answer is slow by
    /// then, and a second one can still arrive before the deadline. `None` if there is no such
    /// time.
    pub fn hedge_time(
        &self,
        now: TimePoint,
        key: UpstreamKey,
        deadline: TimePoint,
    ) -> Option<TimePoint> {
        let view = self.upstreams.get(key)?;
        let usual = view.service_time() + view.wait();
        let slow = now + usual.mul_f64(HEDGE_FACTOR);
        let latest = deadline - view.service_time().mul_f64(HEDGE_MARGIN_FACTOR);
        let at = slow.min(latest);
        (at > now + usual).then_some(at)
    }
}
