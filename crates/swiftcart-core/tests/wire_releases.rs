//! Nodes of two consecutive releases can read each other's messages.
//!
//! The recorded bytes were written by the previous release. A later release may add variants at the
//! end of an enum, but must not change these bytes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftcart_core::*;

const PROBE: &str = "0148515e44f1ad25e4ef70c26c9354f393000a010007b03b000c0cffffffffffffffffff01630200000a010007b03b000a010007bf3b000a010007b043000a010007ac43056e6f72746580d8c1a28c34000107626f6f6b696e67000a010007b4430b160201fa0101000a010007b13b0701";
const PUSH: &str = "01122a406d0f38024320d999eb5c440fe2000a010007b03b05000a0100070143030575e6cbb6212023b98e2063f961dc95417799c83133057284e08795cc2becd71f0101112f2f612e6578616d706c652f637265772f07626f6f6b696e670101050000";
const FEED_REQUEST: &str = "014021a4dba73745206a3b1fe264fca9cb000a010007b03b0009";
const MEMBERS_REQUEST: &str = "01bf27480d2bab470611bda92e37104f1b000a010007b03b0103010203";
const SNAPSHOT_REPLY: &str = "010eac72f4adf735a6092d17e159614680000a010007b03b000305020007626f6f6b696e670000000001112f2f612e6578616d706c652f637265772f07626f6f6b696e67010501112f2f612e6578616d706c652f637265772f0102dc0bf4030100";
const MEMBERS_REPLY: &str = "010a6ca15287e16ae3a1469ef197deab50000a010007b03b0101000a010007b03b000a010007bf3b000a010007b043000a010007ac43056e6f72746580d8c1a28c34000107626f6f6b696e67000a010007b4430b160201fa01";
const BUSY_REPLY: &str = "01b9cba44cfe8735c9e5eb512e914d6656000a010007b03b0228";
const DELTAS_REPLY: &str = "011400b20cd6cc152d8360ccf3633baf27000a010007b03b000401030575e6cbb6212023b98e2063f961dc95417799c83133057284e08795cc2becd71f0101112f2f612e6578616d706c652f637265772f07626f6f6b696e670101050000";

fn node(port: u16) -> NodeId {
    NodeId(SocketAddr::from(([10, 1, 0, 7], port)))
}

fn key() -> MeshKey {
    MeshKey::from_secret("a key of two releases, 32 letters")
}

fn member() -> Member {
    Member {
        id: node(7600),
        sync: node(7615).0,
        peer: node(8624).0,
        admin: node(8620).0,
        domain: FailureDomain::new("norte"),
        incarnation: Incarnation(1_790_000_000_000),
        liveness: Liveness::Alive,
        backend: Some(Backend {
            service: ServiceName::new("booking"),
            addr: node(8628).0,
            slots: 11,
            connections: 22,
            readiness: Readiness::Draining,
        }),
        pace: Some(Pace(250)),
    }
}

fn snapshot(version: u64) -> Snapshot {
    let table = Table::new()
        .with_service("booking", Limits::default())
        .with_route("//a.example/crew/", "booking", version as u32);
    let policy = Policy {
        class: RequestClass::NonIdempotent,
        attempts: 2,
        timeout_ms: 1_500,
        target_ms: 500,
        priority: Priority(1),
    };
    let policies = Policies::from([("//a.example/crew/".to_owned(), policy)]);
    Snapshot::new(Version(version), table).with_policies(policies)
}

fn delta() -> Delta {
    let (old, new) = (snapshot(3), snapshot(5));
    let digest = new.digest();
    Delta::between(&old, &new, digest)
}

fn probe() -> Datagram {
    let status = Status {
        id: node(7601),
        incarnation: Incarnation(7),
        liveness: Liveness::Suspect,
    };
    Datagram::Probe {
        seq: 12,
        beat: Heartbeat {
            head: Head {
                position: 12,
                digest: u64::MAX,
            },
            hash: 99,
            news: vec![MemberUpdate::Entry(member()), MemberUpdate::Status(status)],
        },
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).unwrap());
    digits
        .map(|pair| u8::from_str_radix(pair, 16).unwrap())
        .collect()
}

#[rstest]
#[case::probe(probe(), PROBE)]
#[case::push(Datagram::Push { origin: node(1), entries: postcard::to_stdvec(&delta()).unwrap() }, PUSH)]
fn datagrams_are_compatible_with_the_previous_release(
    #[case] datagram: Datagram,
    #[case] recorded: &str,
) {
    let sealed = seal(&datagram, node(7600), &key()).unwrap();
    assert_eq!(
        hex(&sealed),
        recorded,
        "the previous release must be able to read the message"
    );
    assert_eq!(open(&bytes(recorded), &key()), Ok((node(7600), datagram)));
}

#[rstest]
#[case::members(SyncReply::Members(vec![member()]), MEMBERS_REPLY)]
#[case::snapshot(
    SyncReply::Feed(PullAnswer::Snapshot(Arc::new(snapshot(5)))),
    SNAPSHOT_REPLY
)]
#[case::deltas(SyncReply::Feed(PullAnswer::Deltas(vec![Arc::new(delta())])), DELTAS_REPLY)]
#[case::busy(SyncReply::Busy { retry_ms: 40 }, BUSY_REPLY)]
fn sync_replies_are_compatible_with_the_previous_release(
    #[case] reply: SyncReply,
    #[case] recorded: &str,
) {
    assert_compatible(reply, recorded);
}

#[rstest]
#[case::feed(SyncRequest::Feed { from: Offset(9) }, FEED_REQUEST)]
#[case::members(SyncRequest::Members { buckets: vec![1, 2, 3] }, MEMBERS_REQUEST)]
fn sync_requests_are_compatible_with_the_previous_release(
    #[case] request: SyncRequest,
    #[case] recorded: &str,
) {
    assert_compatible(request, recorded);
}

fn assert_compatible<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    message: T,
    recorded: &str,
) {
    let sealed = seal_sync(&message, node(7600), &key()).unwrap();
    assert_eq!(
        hex(&sealed),
        recorded,
        "the previous release must be able to read the message"
    );
    let (from, opened) = open_sync::<T>(&bytes(recorded), &key()).unwrap();
    assert_eq!((from, opened), (node(7600), message));
}
