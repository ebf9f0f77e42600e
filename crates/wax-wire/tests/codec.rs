//! The frame decoder against whatever bytes come.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};
use wax_wire::{AttemptId, BodyChunk, FrameCodec, MAX_FRAME_BYTES, PeerBody, PeerFrame};

fn chunk(sequence: u64, data: Vec<u8>) -> PeerFrame {
    let chunk = BodyChunk {
        attempt: Some(AttemptId {
            incarnation: 1,
            sequence,
        }),
        data: data.into(),
        last: sequence.is_multiple_of(2),
        total_bytes: sequence,
    };
    PeerBody::Chunk(chunk).into()
}

proptest! {
    #[test]
    fn hostile_bytes_end_in_an_error_or_wait_for_more(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut codec = FrameCodec::<PeerFrame>::new();
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        prop_assert!(buffer.capacity() <= MAX_FRAME_BYTES + 1_024);
    }

    #[test]
    fn frames_survive_any_cut_into_parts(
        sizes in prop::collection::vec(0_usize..500, 1..6),
        cuts in prop::collection::vec(1_usize..64, 1..50),
    ) {
        let frames: Vec<PeerFrame> = sizes
            .iter()
            .enumerate()
            .map(|(index, size)| chunk(index as u64, vec![index as u8; *size]))
            .collect();
        let mut codec = FrameCodec::<PeerFrame>::new();
        let mut wire = BytesMut::new();
        for frame in &frames {
            codec.encode(frame.clone(), &mut wire).expect("within the bound");
        }
        let mut wire = wire.freeze();
        let mut buffer = BytesMut::new();
        let mut seen = Vec::new();
        let mut turn = 0;
        while !wire.is_empty() {
            let part: Bytes = wire.split_to(cuts[turn % cuts.len()].min(wire.len()));
            turn += 1;
            buffer.extend_from_slice(&part);
            while let Some(frame) = codec.decode(&mut buffer).expect("well formed") {
                seen.push(frame);
            }
        }
        prop_assert_eq!(seen, frames);
    }
}

#[test]
fn a_length_over_the_bound_is_refused_before_anything_is_reserved() {
    let mut codec = FrameCodec::<PeerFrame>::new();
    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let mut buffer = BytesMut::from(&length[..]);
    assert!(codec.decode(&mut buffer).is_err());
    assert!(buffer.capacity() < 1_024);
}

#[test]
fn a_frame_over_the_bound_is_not_sent() {
    let mut codec = FrameCodec::<PeerFrame>::new();
    let frame = chunk(1, vec![0; MAX_FRAME_BYTES]);
    assert!(codec.encode(frame, &mut BytesMut::new()).is_err());
}
