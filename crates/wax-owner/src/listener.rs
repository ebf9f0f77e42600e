//! Accepts links of agents and of other fronts.

use crate::agent_links::serve_agent;
use crate::front_links::serve_front;
use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use std::rc::Rc;
use std::time::Duration;
use wax_wire::{NotOwner, PoolBody, PoolWriter, split_stream};

/// A peer must say who it is within this time.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A peer waits this long for word of the next owner, less than it waits for an answer.
const OWNER_WAIT: Duration = Duration::from_millis(300);
/// After a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links for the life of the process.
pub async fn serve_peers(shared: Rc<PoolShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                spawn(async move { serve_stream(&shared, stream).await }).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a link failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream(shared: &Rc<PoolShared>, stream: TcpStream) {
    // Without it, small messages may wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = split_stream(stream);
    let Ok(Ok(Some(hello))) = timeout(HELLO_TIMEOUT, reader.read()).await else {
        return;
    };
    let Some(term) = wait_for_owner(shared).await else {
        reply_not_owner(shared, writer).await;
        return;
    };
    match hello {
        PoolBody::AgentHello(hello) => {
            serve_agent(shared, &term, hello, reader, writer).await;
        }
        PoolBody::EntryHello(hello) => {
            shared.record_front(&hello.address);
            serve_front(shared, &term, &hello.node, reader, writer).await
        }
        other => tracing::warn!(?other, "a peer that does not say who it is"),
    }
}

/// The term of this process, if it owns the shard. While nobody does, word of the next owner is waited
/// for: it comes soon, and no agent need search for it.
async fn wait_for_owner(shared: &PoolShared) -> Option<Rc<OwnerTerm>> {
    let listener = shared.owner_changed.listen();
    let term = shared.current_term();
    if term.is_some() || shared.has_owner() {
        return term;
    }
    // Either the word or the limit; both lead to another look.
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
    // The peer asks elsewhere, whether or not it has read this.
    let _ = timeout(HELLO_TIMEOUT, writer.write(PoolBody::NotOwner(answer))).await;
}
