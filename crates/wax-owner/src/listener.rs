//! Accepts links of agents and of other fronts.

use crate::agent_links::serve_agent;
use crate::front_links::serve_front;
use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_http::{ClientBudget, ConnectionClass, ConnectionLease};
use wax_trace::{Counter, count};
use wax_wire::{IdentifiedLink, NotOwner, PoolBody, PoolFrame, PoolWriter, read_hello};

/// Timeout for a peer's first message, with which it identifies itself.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time for which a peer is kept waiting for the next owner; shorter than the peer's own
/// timeout.
const OWNER_WAIT: Duration = Duration::from_millis(300);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links for the life of the process. Until a peer has identified itself, its connection is
/// part of the budget for clients, and may be given up for others.
pub async fn serve_peers(shared: Rc<PoolShared>, listener: TcpListener, budget: Rc<ClientBudget>) {
    loop {
        budget.ready_to_accept().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(lease) = budget.open(ConnectionClass::Vital) else {
                    continue;
                };
                let shared = shared.clone();
                spawn(async move { serve_stream(&shared, stream, lease).await }).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "could not accept a link");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream(shared: &Rc<PoolShared>, stream: TcpStream, lease: Rc<ConnectionLease>) {
    // Without this option, small messages may wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let Some((hello, reader, writer)) = identify_peer(stream, &lease).await else {
        return;
    };
    drop(lease);
    let Some(term) = wait_for_owner(shared).await else {
        reply_not_owner(shared, writer).await;
        return;
    };
    match hello {
        PoolBody::AgentHello(hello) => {
            serve_agent(shared, &term, hello, reader, writer).await;
        }
        PoolBody::FrontHello(hello) => {
            shared.record_front(&hello.address);
            serve_front(shared, &term, &hello.node, reader, writer).await
        }
        other => tracing::warn!(?other, "a peer's first message does not identify it"),
    }
}

/// Returns the peer's link, or `None` if the peer does not identify itself in time, or is given up.
async fn identify_peer(
    stream: TcpStream,
    lease: &ConnectionLease,
) -> Option<IdentifiedLink<PoolFrame>> {
    let hello = pin!(timeout(HELLO_TIMEOUT, read_hello(stream)));
    match select(pin!(lease.given_up()), hello).await {
        Either::Right((Ok(Ok(link)), _)) => link,
        Either::Right((Ok(Err(_)) | Err(_), _)) | Either::Left(_) => {
            count(Counter::PeersUnidentified);
            None
        }
    }
}

/// Returns the term of this process if it owns the shard. If the shard has no owner, waits briefly
/// for the next one, so that agents need not search for it.
async fn wait_for_owner(shared: &PoolShared) -> Option<Rc<OwnerTerm>> {
    let listener = shared.owner_changed.listen();
    let term = shared.current_term();
    if term.is_some() || shared.has_owner() {
        return term;
    }
    // Either a new owner or the timeout ends the wait; the term is checked again.
    let _ = timeout(OWNER_WAIT, listener).await;
    shared.current_term()
}

async fn reply_not_owner(shared: &PoolShared, mut writer: PoolWriter) {
    let answer = {
        let owner = shared.owner.borrow();
        let owner = owner.as_ref().filter(|owner| !owner.released);
        NotOwner {
            address: owner
                .and_then(|owner| owner.address)
                .filter(|address| *address != shared.address)
                .map(|address| address.to_string())
                .unwrap_or_default(),
            epoch: owner.map_or(0, |owner| owner.epoch),
        }
    };
    // The peer tries another front, whether or not it receives this answer.
    let _ = timeout(HELLO_TIMEOUT, writer.write(PoolBody::NotOwner(answer))).await;
}
