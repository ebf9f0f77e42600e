//! HTTP/1.1 server and client connections with hyper on the compio runtime.

mod allocator;
mod body;
mod budget;
mod client;
mod ledger;
mod metered_stream;
mod reply;
mod request_body;
mod server;
mod shutdown;

pub use body::{BodySender, OutgoingBody, TruncatedBody, body_channel};
pub use budget::{BodyReservation, ClientBudget, ConnectionLease};
pub use client::{ClientConnection, ConnectionCount};
pub use ledger::{
    ClientLedger, ClientLimits, ConnectionClass, ConnectionId, ConnectionState, OutOfBudget,
    body_deadline,
};
pub use reply::{collect_body, empty_reply, error_reply, json_reply, parse_json};
pub use request_body::{CollectedBody, RequestBody};
pub use server::{HttpHandler, HttpServer, OpenConnections, bind_listener};
pub use shutdown::ShutdownSignal;

/// A request as the server receives it.
pub type HttpRequest = http::Request<RequestBody>;

/// A response as the server sends it.
pub type HttpReply = http::Response<OutgoingBody>;
