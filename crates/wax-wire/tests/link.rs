//! Frames on real connections.

use compio::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use wax_wire::{ConfigPush, LinkHeartbeat, PoolBody, PoolReader, PoolWriter, split_stream};

fn nowhere() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// A link's buffers begin small: a config with many routes is hundreds of times as large.
#[test]
fn a_frame_far_larger_than_the_buffers_passes_whole_between_small_ones() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind(nowhere()).await.expect("it binds");
        let address = listener.local_addr().expect("it has an address");
        let near = TcpStream::connect(address).await.expect("it connects");
        let (far, _) = listener.accept().await.expect("it accepts");
        let (_near_reader, mut writer): (PoolReader, PoolWriter) = split_stream(near);
        let (mut reader, _far_writer): (PoolReader, PoolWriter) = split_stream(far);
        let text: Vec<u8> = (0..900_000_u32).map(|byte| byte as u8).collect();
        let sent = [
            PoolBody::Heartbeat(LinkHeartbeat::default()),
            PoolBody::Config(ConfigPush { text }),
            PoolBody::Heartbeat(LinkHeartbeat::default()),
        ];
        let bodies = sent.clone();
        let writing = compio::runtime::spawn(async move {
            for body in bodies {
                writer.write(body).await.expect("it is written");
            }
        });
        for body in sent {
            assert_eq!(reader.read().await.expect("it is read"), Some(body));
        }
        writing.await.expect("the writer ends");
    });
}
