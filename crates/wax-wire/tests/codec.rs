//! The frame codec: malformed input, frames split at any position, and the size limit.

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
    fn arbitrary_bytes_give_an_error_or_need_more_input(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut codec = FrameCodec::<PeerFrame>::new();
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        prop_assert!(buffer.capacity() <= MAX_FRAME_BYTES + 1_024);
    }

    #[test]
    fn frames_decode_from_parts_of_any_size(
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
            codec.encode(frame.clone(), &mut wire).expect("the frame is within the size limit");
        }
        let mut wire = wire.freeze();
        let mut buffer = BytesMut::new();
        let mut seen = Vec::new();
        let mut part_count = 0;
        while !wire.is_empty() {
            let part: Bytes = wire.split_to(cuts[part_count % cuts.len()].min(wire.len()));
            part_count += 1;
            buffer.extend_from_slice(&part);
            while let Some(frame) = codec.decode(&mut buffer).expect("the bytes are well formed") {
                seen.push(frame);
            }
        }
        prop_assert_eq!(seen, frames);
    }
}

#[test]
fn a_length_above_the_limit_is_rejected_before_memory_is_allocated() {
    let mut codec = FrameCodec::<PeerFrame>::new();
    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let mut buffer = BytesMut::from(&length[..]);
    assert!(codec.decode(&mut buffer).is_err());
    assert!(buffer.capacity() < 1_024);
}

#[test]
fn a_frame_above_the_limit_is_not_encoded() {
    let mut codec = FrameCodec::<PeerFrame>::new();
    let frame = chunk(1, vec![0; MAX_FRAME_BYTES]);
    assert!(codec.encode(frame, &mut BytesMut::new()).is_err());
}
