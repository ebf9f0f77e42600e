//! The owner's side of a link with another front.

use crate::agents::write_link;
use crate::candidates::OwnerFitness;
use crate::fronts::FrontLife;
use crate::relay::{PeerAge, relay_transaction};
use crate::shared::PoolShared;
use crate::tenure::{JobWord, Tenure};
use crate::writer::silent_for;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, JobName};
use wax_policy::front_period;
use wax_types::TimePoint;
use wax_wire::{
    ConfigPush, JobQuery, JobReply, LeaseGrant, LinkHeartbeat, OwnerWelcome, PoolBody, PoolReader,
    PoolWriter, RelayRequest,
};

/// Serves one link until it breaks, falls silent, or the term ends.
pub(crate) async fn serve_entry(
    shared: &Rc<PoolShared>,
    tenure: &Rc<Tenure>,
    node: &str,
    mut reader: PoolReader,
    writer: PoolWriter,
) {
    let (outbox, inbox) = unbounded();
    let welcome = OwnerWelcome {
        epoch: tenure.epoch,
        token: 0,
    };
    // The queue is new: it takes the first message.
    let _ = outbox.unbounded_send(PoolBody::Welcome(welcome));
    let link = tenure.next_front_link();
    let dead_told = shared.gone.borrow().count();
    let life = FrontLife::new(link, outbox.clone(), dead_told, shared.now());
    tenure.fronts.borrow_mut().insert(node, life);
    let writing = spawn(write_link(writer, inbox));
    let mut age = PeerAge::default();
    let serve = async {
        while let Ok(Ok(Some(body))) = timeout(shared.spans.link, reader.read()).await {
            let body = match body {
                PoolBody::RelayRequest(ask) => {
                    let on_its_way = age.of(ask.sent_us, shared.now());
                    relay(shared.clone(), outbox.clone(), ask, on_its_way);
                    continue;
                }
                PoolBody::Heartbeat(ping) => {
                    age.heartbeat(ping.sent_us, shared.now());
                    PoolBody::Heartbeat(ping)
                }
                body => body,
            };
            for answer in answers(shared, tenure, node, body) {
                if outbox.unbounded_send(answer).is_err() {
                    return;
                }
            }
        }
    };
    let serve = pin!(serve);
    let over = pin!(tenure.over.wait());
    match select(serve, over).await {
        Either::Left(_) => tracing::info!(front = node, "front unlinked"),
        Either::Right(_) => tracing::info!(front = node, "front unlinked with the term"),
    }
    drop(writing);
    tenure.fronts.borrow_mut().remove(node, link);
}

/// The answer waits for the store; other messages do not wait for it.
fn relay(
    shared: Rc<PoolShared>,
    outbox: UnboundedSender<PoolBody>,
    ask: RelayRequest,
    age: Duration,
) {
    spawn(async move {
        let told = relay_transaction(&shared, ask, age).await;
        // A link that has closed leaves the front in doubt, which it settles by asking again.
        let _ = outbox.unbounded_send(PoolBody::RelayReply(told));
    })
    .detach();
}

fn answers(shared: &PoolShared, tenure: &Tenure, node: &str, body: PoolBody) -> Vec<PoolBody> {
    match body {
        PoolBody::Heartbeat(ping) => heartbeat(shared, tenure, node, &ping),
        PoolBody::JobQuery(ask) => vec![PoolBody::JobReply(tell(tenure, &ask, shared.now()))],
        PoolBody::Cancelled(cancel) => {
            tenure.cancel(JobName(cancel.job));
            Vec::new()
        }
        PoolBody::RelayReply(told) => {
            if let Some(asker) = tenure.relays.borrow_mut().remove(&told.request_id) {
                // An asker that has given up asks anew.
                let _ = asker.send(told);
            }
            Vec::new()
        }
        PoolBody::BootsEnded(dead) => {
            tenure.note_dead(shared, dead.boots.iter().map(BootId::from));
            Vec::new()
        }
        PoolBody::Config(push) => {
            if let Err(error) = shared.offer_config(&push.text, node) {
                tracing::error!(%error, "config of a peer refused");
            }
            Vec::new()
        }
        other => {
            tracing::warn!(?other, front = node, "unexpected message of a front");
            Vec::new()
        }
    }
}

fn heartbeat(
    shared: &PoolShared,
    tenure: &Tenure,
    node: &str,
    ping: &LinkHeartbeat,
) -> Vec<PoolBody> {
    let now = shared.now();
    let version = shared.config_version();
    let mut fronts = tenure.fronts.borrow_mut();
    let mut pushes = false;
    if let Some(front) = fronts.get_mut(node) {
        front.heard(OwnerFitness(ping.fitness), ping.store_lost, now);
        pushes = front.is_due(ping.config_version, version, now);
    }
    let rank = fronts.rank(node, now);
    fronts.tell_watchers(&shared.gone.borrow());
    let period = front_period(fronts.len(), rank.rank, &shared.config_rules);
    drop(fronts);
    let mut answers = vec![PoolBody::Grant(LeaseGrant {
        sent_us: ping.sent_us,
        valid_ms: 0,
        store_lost: silent_for(tenure, now) > shared.spans.doubt,
        config_version: version,
        overload: 0.0,
        takeover_rank: rank.rank,
        best_fitness: rank.best.0,
        period_ms: period.as_millis() as u32,
        drains: None,
        config_age_ms: shared
            .config_view
            .get()
            .read_age(now)
            .map(|age| age.as_millis() as u64),
    })];
    if pushes {
        let text = shared.config_text.borrow().clone();
        answers.push(PoolBody::Config(ConfigPush { text }));
    }
    answers
}

fn tell(tenure: &Tenure, ask: &JobQuery, now: TimePoint) -> JobReply {
    let mut told = JobReply {
        request_id: ask.request_id,
        ..Default::default()
    };
    if !ask.queue.is_empty() {
        let pending = tenure.pending(&ask.queue, now);
        told.known = pending.is_some();
        told.pending = pending.unwrap_or(0);
        return told;
    }
    if let JobWord::Known { outcome, begun } = tenure.job_word(JobName(ask.job)) {
        told.known = true;
        told.outcome = outcome.into();
        told.begun = begun;
    }
    told
}
