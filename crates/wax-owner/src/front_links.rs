//! The owner's side of a link with another front.

use crate::agent_links::write_link;
use crate::candidates::OwnerFitness;
use crate::fronts::FrontRecord;
use crate::owner_term::{JobStatus, OwnerTerm};
use crate::relay::{TransitDelay, relay_transaction};
use crate::shared::PoolShared;
use crate::writer::store_silence;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BootId, JobName};
use wax_policy::front_heartbeat_period;
use wax_types::TimePoint;
use wax_wire::{
    ConfigPush, JobQuery, JobReply, LeaseGrant, LinkHeartbeat, OwnerWelcome, PoolBody, PoolReader,
    PoolWriter, RelayRequest,
};

/// Serves one link until it breaks, becomes silent, or the term ends.
pub(crate) async fn serve_front(
    shared: &Rc<PoolShared>,
    term: &Rc<OwnerTerm>,
    node: &str,
    mut reader: PoolReader,
    writer: PoolWriter,
) {
    let (outbox, inbox) = unbounded();
    let welcome = OwnerWelcome {
        epoch: term.epoch,
        token: 0,
        reserved_tokens: 0,
    };
    // The queue is new and accepts the first message.
    let _ = outbox.unbounded_send(PoolBody::Welcome(welcome));
    let link = term.next_front_id();
    let ended_boots_sent = shared.ended_boots.borrow().count();
    let front = FrontRecord::new(link, outbox.clone(), ended_boots_sent, shared.now());
    term.fronts.borrow_mut().insert(node, front);
    let writer_task = spawn(write_link(writer, inbox));
    let mut transit_delay = TransitDelay::default();
    let serving = async {
        while let Ok(Ok(Some(body))) = timeout(shared.timeouts.link, reader.read()).await {
            let body = match body {
                PoolBody::RelayRequest(request) => {
                    let delay = transit_delay.delay_of(request.sent_us, shared.now());
                    spawn_relay(shared.clone(), outbox.clone(), request, delay);
                    continue;
                }
                PoolBody::Heartbeat(heartbeat) => {
                    transit_delay.record_heartbeat(heartbeat.sent_us, shared.now());
                    PoolBody::Heartbeat(heartbeat)
                }
                body => body,
            };
            for answer in handle_message(shared, term, node, body) {
                if outbox.unbounded_send(answer).is_err() {
                    return;
                }
            }
        }
    };
    let serving = pin!(serving);
    let ended = pin!(term.ended.wait());
    match select(serving, ended).await {
        Either::Left(_) => tracing::info!(front = node, "front unlinked"),
        Either::Right(_) => tracing::info!(front = node, "front unlinked at the end of the term"),
    }
    drop(writer_task);
    term.fronts.borrow_mut().remove(node, link);
}

/// Relays a transaction in a task of its own, so that other messages do not wait for the store.
fn spawn_relay(
    shared: Rc<PoolShared>,
    outbox: UnboundedSender<PoolBody>,
    request: RelayRequest,
    transit_delay: Duration,
) {
    spawn(async move {
        let reply = relay_transaction(&shared, request, transit_delay).await;
        // If the link has closed, the front does not know the transaction's effect and sends the
        // request again.
        let _ = outbox.unbounded_send(PoolBody::RelayReply(reply));
    })
    .detach();
}

fn handle_message(
    shared: &PoolShared,
    term: &OwnerTerm,
    node: &str,
    body: PoolBody,
) -> Vec<PoolBody> {
    match body {
        PoolBody::Heartbeat(heartbeat) => answer_heartbeat(shared, term, node, &heartbeat),
        PoolBody::JobQuery(query) => vec![PoolBody::JobReply(answer_job_query(
            term,
            &query,
            shared.now(),
        ))],
        PoolBody::Cancelled(cancel) => {
            term.cancel(JobName(cancel.job));
            Vec::new()
        }
        PoolBody::RelayReply(reply) => {
            if let Some(waiter) = term.pending_relays.borrow_mut().remove(&reply.request_id) {
                // A waiter that has timed out sends a new request.
                let _ = waiter.send(reply);
            }
            Vec::new()
        }
        PoolBody::BootsEnded(ended) => {
            term.record_ended_boots(shared, ended.boots.iter().map(BootId::from));
            Vec::new()
        }
        PoolBody::Config(push) => {
            if let Err(error) = shared.offer_config(&push.text, node) {
                tracing::error!(%error, "rejected a peer's config");
            }
            Vec::new()
        }
        other => {
            tracing::warn!(?other, front = node, "unexpected message from a front");
            Vec::new()
        }
    }
}

fn answer_heartbeat(
    shared: &PoolShared,
    term: &OwnerTerm,
    node: &str,
    heartbeat: &LinkHeartbeat,
) -> Vec<PoolBody> {
    let now = shared.now();
    let version = shared.config_version();
    let mut fronts = term.fronts.borrow_mut();
    let mut pushes_config = false;
    if let Some(front) = fronts.get_mut(node) {
        front.record_heartbeat(OwnerFitness(heartbeat.fitness), heartbeat.store_lost, now);
        pushes_config = front.should_push_config(heartbeat.config_version, version, now);
    }
    let rank = fronts.rank(node, now);
    fronts.notify_early_candidates(&shared.ended_boots.borrow());
    let period = front_heartbeat_period(fronts.len(), rank.rank, &shared.config_rules);
    drop(fronts);
    let mut answers = vec![PoolBody::Grant(LeaseGrant {
        sent_us: heartbeat.sent_us,
        valid_ms: 0,
        store_lost: store_silence(term, now) > shared.timeouts.store_suspected,
        config_version: version,
        overload: 0.0,
        takeover_rank: rank.rank,
        best_fitness: rank.best_fitness.0,
        period_ms: period.as_millis() as u32,
        drains: None,
        config_age_ms: shared
            .config_view
            .get()
            .own_read_age(now)
            .map(|age| age.as_millis() as u64),
    })];
    if pushes_config {
        let text = shared.config_text.borrow().clone();
        answers.push(PoolBody::Config(ConfigPush { text }));
    }
    answers
}

fn answer_job_query(term: &OwnerTerm, query: &JobQuery, now: TimePoint) -> JobReply {
    let mut reply = JobReply {
        request_id: query.request_id,
        ..Default::default()
    };
    if !query.queue.is_empty() {
        let pending = term.pending_job_count(&query.queue, now);
        reply.known = pending.is_some();
        reply.pending_job_count = pending.unwrap_or(0);
        return reply;
    }
    if let JobStatus::Known { outcome, started } = term.job_status(JobName(query.job)) {
        reply.known = true;
        reply.outcome = outcome.into();
        reply.started = started;
    }
    reply
}
