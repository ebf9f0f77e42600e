//! Accepts links of agents and of other fronts.

use crate::agents::serve_agent;
use crate::entries::serve_entry;
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use std::rc::Rc;
use std::time::Duration;
use wax_wire::{NotOwner, PoolBody, PoolWriter, split_stream};

/// A peer must say who it is within this time.
const HELLO_LIMIT: Duration = Duration::from_millis(1_000);
/// A peer waits this long for word of the next owner, less than it waits for an answer.
const OWNER_WAIT: Duration = Duration::from_millis(300);
/// After a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_stream(shared: &Rc<PoolShared>, stream: TcpStream) {
    // Without it, small messages may wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = split_stream(stream);
    let Ok(Ok(Some(hello))) = timeout(HELLO_LIMIT, reader.read()).await else {
        return;
    };
    let Some(tenure) = wait_owner(shared).await else {
        refuse(shared, writer).await;
        return;
    };
    match hello {
        PoolBody::AgentHello(hello) => {
            serve_agent(shared, &tenure, hello, reader, writer).await;
        }
        PoolBody::FrontHello(hello) => {
            shared.note_front(&hello.address);
            serve_entry(shared, &tenure, &hello.node, reader, writer).await
        }
        other => tracing::warn!(?other, "a peer that does not say who it is"),
    }
}

/// The term of this process, if it owns the shard. While nobody does, word of the next owner is waited
/// for: it comes soon, and no agent need search for it.
async fn wait_owner(shared: &PoolShared) -> Option<Rc<Tenure>> {
    let listener = shared.owner_changed.listen();
    let tenure = shared.current_tenure();
    if tenure.is_some() || shared.has_owner() {
        return tenure;
    }
    // Either the word or the limit; both lead to another look.
    let _ = timeout(OWNER_WAIT, listener).await;
    shared.current_tenure()
}

async fn refuse(shared: &PoolShared, mut writer: PoolWriter) {
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
    let _ = timeout(HELLO_LIMIT, writer.write(PoolBody::NotOwner(answer))).await;
}
