//! Datagrams open unchanged or are refused with a typed error. No input causes a panic.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use swiftcart_core::*;

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn key() -> MeshKey {
    MeshKey::from_secret("one")
}

fn member() -> Member {
    Member {
        id: node(1),
        sync: node(2).0,
        peer: node(3).0,
        admin: node(4).0,
        domain: FailureDomain::new("norte"),
        incarnation: Incarnation(1_790_000_000_000),
        liveness: Liveness::Alive,
        backend: Some(Backend {
            service: ServiceName::new("booking"),
            addr: node(5).0,
            slots: 10,
            connections: 130,
            readiness: Readiness::Ready,
        }),
        pace: Some(Pace(250)),
    }
}

fn beat() -> Heartbeat {
    let status = Status {
        id: node(9),
        incarnation: Incarnation(7),
        liveness: Liveness::Suspect,
    };
    Heartbeat {
        head: Head {
            position: 12,
            digest: u64::MAX,
        },
        hash: 99,
        news: vec![MemberUpdate::Entry(member()), MemberUpdate::Status(status)],
    }
}

#[rstest]
#[case::probe(Datagram::Probe { seq: 1, beat: beat() })]
#[case::ack(Datagram::Ack { seq: u32::MAX, beat: Heartbeat::default() })]
#[case::probe_for(Datagram::ProbeFor { seq: 2, target: node(8) })]
#[case::ack_for(Datagram::AckFor { seq: 2, target: node(8) })]
#[case::gossip(Datagram::Gossip { news: beat().news })]
#[case::push(Datagram::Push { origin: node(1), entries: vec![7; 900] })]
#[case::report(Datagram::Report { version: Version(3) })]
#[case::report_ack(Datagram::ReportAck { version: Version(3) })]
#[case::floor_ask(Datagram::FloorAsk)]
#[case::floor_reply(Datagram::FloorReply { version: Version::NONE })]
#[case::offer(Datagram::Offer { origin: node(1), head: beat().head })]
#[case::leave(Datagram::Leave { incarnation: Incarnation(5) })]
fn a_sealed_datagram_opens_unchanged(#[case] datagram: Datagram) {
    let sealed = seal(&datagram, node(1), &key()).unwrap();
    assert_eq!(open(&sealed, &key()), Ok((node(1), datagram)));
}

#[rstest]
#[case::empty(|_: &mut Vec<u8>| Vec::new(), WireError::Truncated(0))]
#[case::truncated_seal(|s: &mut Vec<u8>| s[..16].to_vec(), WireError::Truncated(16))]
#[case::truncated_body(|s: &mut Vec<u8>| s[..s.len() - 1].to_vec(), WireError::Forged)]
#[case::bit_flipped(|s: &mut Vec<u8>| { s[20] ^= 1; s.clone() }, WireError::Forged)]
#[case::tag_flipped(|s: &mut Vec<u8>| { s[16] ^= 128; s.clone() }, WireError::Forged)]
#[case::older_format(|s: &mut Vec<u8>| { s[0] = 0; s.clone() }, WireError::Forged)]
#[case::newer_format(|s: &mut Vec<u8>| { s[0] = 2; s.clone() }, WireError::NewerFormat(2))]
#[case::too_long(|s: &mut Vec<u8>| { s.resize(1201, 0); s.clone() }, WireError::Oversize(1201, MAX_DATAGRAM_LEN))]
fn a_damaged_datagram_is_refused_with_the_matching_error(
    #[case] damage: fn(&mut Vec<u8>) -> Vec<u8>,
    #[case] reason: WireError,
) {
    let mut sealed = seal(&Datagram::FloorAsk, node(1), &key()).unwrap();
    assert_eq!(open(&damage(&mut sealed), &key()), Err(reason));
}

#[test]
fn a_datagram_with_another_key_is_refused_as_forged() {
    let sealed = seal(&Datagram::FloorAsk, node(1), &key()).unwrap();
    let other = MeshKey::from_secret("two");
    assert_eq!(open(&sealed, &other), Err(WireError::Forged));
}

#[test]
fn an_oversized_message_is_not_sealed() {
    let push = Datagram::Push {
        origin: node(1),
        entries: vec![0; 1200],
    };
    let sealed = seal(&push, node(1), &key());
    assert!(
        matches!(sealed, Err(WireError::Oversize(len, MAX_DATAGRAM_LEN)) if len > MAX_DATAGRAM_LEN)
    );
}

/// Seals any body with the mesh key, as a faulty or newer peer might.
fn sealed_with_mesh_key(body: &[u8]) -> Vec<u8> {
    let bytes = blake3::derive_key("swiftcart 2026 mesh datagram key", b"one");
    let mut hasher = blake3::Hasher::new_keyed(&bytes);
    hasher.update(&[WIRE_FORMAT]).update(body);
    let tag = hasher.finalize();
    [&[WIRE_FORMAT], &tag.as_bytes()[..16], body].concat()
}

#[rstest]
#[case::no_body(&[])]
#[case::unknown_variant(&[0, 127, 0, 0, 1, 80, 200])]
#[case::trailing_byte(&[0, 127, 0, 0, 1, 80, 8, 0])]
#[case::huge_length(&[0, 127, 0, 0, 1, 80, 4, 255, 255, 255, 255, 15])]
fn an_authentic_body_that_is_not_a_datagram_is_malformed(#[case] body: &[u8]) {
    assert_eq!(
        open(&sealed_with_mesh_key(body), &key()),
        Err(WireError::Malformed)
    );
}

#[test]
fn debug_output_hides_the_mesh_key() {
    assert_eq!(format!("{:?}", key()), "MeshKey(..)");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..1400)) {
        prop_assert!(open(&bytes, &key()).is_err());
    }

    #[test]
    fn arbitrary_authentic_bodies_never_panic(body in prop::collection::vec(any::<u8>(), 0..1183)) {
        if let Ok((from, datagram)) = open(&sealed_with_mesh_key(&body), &key()) {
            let again = seal(&datagram, from, &key()).unwrap();
            prop_assert_eq!(open(&again, &key()), Ok((from, datagram)));
        }
    }
}

#[test]
fn a_state_pull_opens_unchanged_and_is_not_accepted_as_a_datagram() {
    let request = SyncRequest::Feed { from: Offset(7) };
    let sealed = seal_sync(&request, node(1), &key()).unwrap();
    assert_eq!(open_sync(&sealed, &key()), Ok((node(1), request)));
    assert_eq!(open(&sealed, &key()), Err(WireError::Forged));
    let datagram = seal(&Datagram::FloorAsk, node(1), &key()).unwrap();
    let opened = open_sync::<SyncRequest>(&datagram, &key());
    assert_eq!(opened, Err(WireError::Forged));
}
