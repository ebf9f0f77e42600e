//! Messages on real TCP connections.

use compio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use wax_wire::{ConfigPush, LinkHeartbeat, PoolBody, PoolReader, PoolWriter, split_stream};

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// A link's buffers start at 2 KiB, while a config with many routes is hundreds of times as large.
/// Guards against such a frame being truncated or mixed up with its neighbours.
#[test]
fn a_frame_larger_than_the_buffers_arrives_intact_between_small_frames() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind(any_port())
            .await
            .expect("the listener binds");
        let address = listener.local_addr().expect("the listener has an address");
        let client = TcpStream::connect(address)
            .await
            .expect("the client connects");
        let (server, _) = listener.accept().await.expect("the listener accepts");
        let (_client_reader, mut writer): (PoolReader, PoolWriter) = split_stream(client);
        let (mut reader, _server_writer): (PoolReader, PoolWriter) = split_stream(server);
        let text: Vec<u8> = (0..900_000_u32).map(|byte| byte as u8).collect();
        let sent = [
            PoolBody::Heartbeat(LinkHeartbeat::default()),
            PoolBody::Config(ConfigPush { text }),
            PoolBody::Heartbeat(LinkHeartbeat::default()),
        ];
        let bodies = sent.clone();
        let writing = compio::runtime::spawn(async move {
            for body in bodies {
                writer.write(body).await.expect("the frame is written");
            }
        });
        for body in sent {
            assert_eq!(reader.read().await.expect("the frame is read"), Some(body));
        }
        writing.await.expect("the writing task finishes");
    });
}
