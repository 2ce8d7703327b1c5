//! Tests of the buffer that holds the bytes of a body.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use swiftcart_core::{HeldBytes, MIN_PIECE_BYTES};

/// Bytes of a body, each of which shows its position.
fn body(len: usize) -> Bytes {
    (0..len).map(|n| (n * 7 + n / 251) as u8).collect()
}

fn held(body: &Bytes, lengths: &[usize]) -> HeldBytes {
    let mut held = HeldBytes::new();
    let mut rest = body.clone();
    for len in lengths.iter().cycle() {
        if rest.is_empty() {
            return held;
        }
        held.push(rest.split_to((*len).min(rest.len())));
    }
    held
}

/// Guards against held bytes that cost a multiple of their length because they arrived in short pieces.
#[rstest]
#[case::one_byte(1)]
#[case::a_few_bytes(16)]
#[case::just_short(MIN_PIECE_BYTES - 1)]
#[case::just_long(MIN_PIECE_BYTES)]
fn the_number_of_held_pieces_does_not_grow_with_that_of_arrived_ones(#[case] len: usize) {
    let body = body(200_000);
    let held = held(&body, &[len]);
    assert!(held.pieces().count() <= body.len() / MIN_PIECE_BYTES + 2);
}

proptest! {
    #[test]
    fn the_bytes_are_those_that_arrived(
        len in 1_usize..60_000,
        lengths in prop::collection::vec(prop_oneof![1_usize..40, 900_usize..1_200, 1_usize..20_000], 1..8),
        position in any::<prop::sample::Index>(),
    ) {
        let body = body(len);
        let mut held = held(&body, &lengths);
        prop_assert_eq!(held.pieces().collect::<Vec<_>>().concat(), &body[..]);
        let position = position.index(len);
        let found = held.at(position).unwrap_or_default();
        prop_assert!(!found.is_empty());
        prop_assert_eq!(&found[..], &body[position..position + found.len()]);
        prop_assert_eq!(held.at(len), None);
        let mut taken = Vec::new();
        while let Some(piece) = held.take_front() {
            prop_assert_eq!(held.at(taken.len()), None);
            taken.extend_from_slice(&piece);
        }
        prop_assert_eq!(&taken[..], &body[..]);
        prop_assert!(held.is_empty());
        prop_assert_eq!(held.end(), len);
    }
}
