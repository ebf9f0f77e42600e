//! HTTP/1.1 server and client connections with hyper on the compio runtime.

mod body;
mod client;
mod reply;
mod server;
mod shutdown;

pub use body::{BodySender, OutgoingBody, TruncatedBody, body_channel};
pub use client::{ClientConnection, ConnectionCount};
pub use reply::{collect_body, empty_reply, error_reply, json_reply, parse_json};
pub use server::{HttpHandler, HttpServer, OpenConnections, bind_listener};
pub use shutdown::ShutdownSignal;

/// A request as the server receives it.
pub type HttpRequest = http::Request<hyper::body::Incoming>;

/// A response as the server sends it.
pub type HttpReply = http::Response<OutgoingBody>;
