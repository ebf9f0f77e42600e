//! Chooses the upstream for a quick request.

use crate::average::DecayedMean;
use fastrand::Rng;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;
use wax_types::TimePoint;

new_key_type! {
    /// Names an upstream in a [`RouteTable`].
    pub struct UpstreamKey;
}

/// Requests over which an upstream's latency is remembered.
const LATENCY_WINDOW: f64 = 32.0;
/// Expected time of a request before anything was measured.
const LATENCY_PRIOR: Duration = Duration::from_millis(5);
/// What crossing to another failure domain costs; the brief's one-way latency is 0.5 to 1 ms.
const DOMAIN_PENALTY: Duration = Duration::from_millis(2);
/// A sidecar that has said nothing for this long gets nothing; it speaks every second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// For how long others are preferred to an upstream that refused or failed.
const REFUSAL_PENALTY_TIME: Duration = Duration::from_millis(200);
/// An upstream that answers nothing for so many usual times is overdue.
const OVERDUE_FACTOR: f64 = 2.5;
const MIN_OVERDUE: Duration = Duration::from_millis(40);
/// How much worse an upstream counts that is shunned.
const AVOID_FACTOR: f64 = 20.0;
/// An answer that takes this many times as long as usual is slow.
const HEDGE_FACTOR: f64 = 2.0;
/// A second attempt must be sent this many usual times before the deadline.
const HEDGE_MARGIN_FACTOR: f64 = 1.4;
/// A newcomer's expected time counts this much more at first, falling to 1.
const WARMUP_FACTOR: f64 = 3.0;
const WARMUP_TIME: Duration = Duration::from_secs(5);
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// How an upstream is chosen; all but the first are baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutePolicy {
    /// The better of two by expected time, own failure domain first until it would have to wait.
    #[default]
    Weighed,
    /// Any.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest requests under way.
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

/// What a sidecar last said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpstreamLoad {
    /// Slots in use.
    pub slots_used: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Mean time at the upstream.
    pub service_time: Duration,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the sidecar reaches it.
    pub up: bool,
}

/// One upstream as this entry sees it.
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
    /// Since when requests are under way without any answer.
    unanswered_since: Option<TimePoint>,
    /// It refused a request; until this time others are preferred.
    avoid_until: TimePoint,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send it to this upstream.
    Send(UpstreamKey),
    /// Every upstream that was weighed would be late; a slot is expected after this time.
    Late(Duration),
    /// No upstream of the service takes work.
    NoUpstream,
}

/// How an attempt ended, for what is learned from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer's head came after this time.
    Answered(Duration),
    /// It was refused; says nothing about health.
    Refused,
    /// It was lost, timed out, or the upstream could not be reached.
    Failed,
    /// It was given up for another reason, such as a hedge that lost.
    Abandoned,
}

/// All upstreams that an entry knows.
#[derive(Debug, Default)]
pub struct RouteTable {
    upstreams: SlotMap<UpstreamKey, UpstreamView>,
    services: HashMap<Box<str>, Vec<UpstreamKey>>,
    next_start: usize,
}

impl UpstreamView {
    /// A new upstream; `local` if it is in the entry's failure domain.
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

    /// Whether it has answered nothing for much longer than one request takes.
    ///
    /// A machine that is gone looks idle to everybody but those who wait for it.
    fn is_overdue(&self, now: TimePoint) -> bool {
        let limit = self.service_time().mul_f64(OVERDUE_FACTOR) + self.wait();
        self.unanswered_since
            .is_some_and(|since| now.since(since) > limit.max(MIN_OVERDUE))
    }

    /// Whether others are preferred: it refuses, or it answers nothing.
    ///
    /// What refuses at once looks idle and fast, and would draw ever more requests.
    fn is_avoided(&self, now: TimePoint) -> bool {
        now < self.avoid_until || self.is_overdue(now)
    }

    /// Requests under way there, as far as known.
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

    /// Expected time for a slot to be free.
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

    /// Expected time to the answer.
    fn score(&self, now: TimePoint) -> Duration {
        let age = now.since(self.connected_at).as_secs_f64() / WARMUP_TIME.as_secs_f64();
        let factor = (WARMUP_FACTOR - (WARMUP_FACTOR - 1.0) * age).max(1.0);
        let busy = f64::from(self.depth()) / f64::from(self.slots);
        let time = self.service_time().mul_f64(1.0 + 0.25 * busy.min(1.0)) + self.wait();
        let penalty = if self.local {
            Duration::ZERO
        } else {
            DOMAIN_PENALTY
        };
        let overdue = if self.is_avoided(now) {
            AVOID_FACTOR
        } else {
            1.0
        };
        time.mul_f64(factor * overdue) + penalty
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

    /// Removes an upstream whose connection ended.
    pub fn remove(&mut self, key: UpstreamKey) {
        if let Some(view) = self.upstreams.remove(key)
            && let Some(keys) = self.services.get_mut(&view.service)
        {
            keys.retain(|other| *other != key);
        }
    }

    /// How many upstreams of a service are connected.
    pub fn upstream_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// Whether a service has ever had an upstream here.
    pub fn knows_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Takes what a sidecar said.
    pub fn update_load(&mut self, now: TimePoint, key: UpstreamKey, load: UpstreamLoad) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.load = load;
            view.sent_since_report = 0;
            view.last_report = now;
        }
    }

    /// Counts an attempt that is sent.
    pub fn begin_attempt(&mut self, now: TimePoint, key: UpstreamKey) {
        if let Some(view) = self.upstreams.get_mut(key) {
            view.unanswered_since.get_or_insert(now);
            view.in_flight += 1;
            view.sent_since_report += 1;
        }
    }

    /// Counts an attempt that ended and learns from it.
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
                    let span = MIN_EJECTION * (1 << view.ejections.min(5));
                    view.ejected_until = now + span.min(MAX_EJECTION);
                    view.ejections += 1;
                    view.failures = 0;
                }
            }
            AttemptEnd::Refused => view.avoid_until = now + REFUSAL_PENALTY_TIME,
            AttemptEnd::Abandoned => {}
        }
    }

    /// At most half of a service's upstreams are ejected at once.
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
    /// `tried` are not chosen again while there are others.
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
        if wait > Duration::ZERO && now + wait + view.service_time().mul_f64(0.5) > deadline {
            return RouteChoice::Late(wait);
        }
        RouteChoice::Send(key)
    }

    /// The upstreams that may be chosen, from `start` on, those tried last.
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

    /// The better of two local ones if it need not wait; else the better of those and two others.
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

    /// When a second attempt is worth sending: the answer is slow, and another can still be in time.
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
