//! Tests of the reader that follows the framing of requests.

use proptest::prelude::*;
use rstest::rstest;
use swiftcart_core::{HeadKind, RequestFraming};

/// Text of a request, as a body or a part of one.
const INNER: &str = "GET /inner HTTP/1.1\r\nhost: mesh\r\n\r\n";

/// Reads `pieces` one after the other, and returns the heads with their kinds.
fn heads<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<(String, HeadKind)> {
    let mut framing = RequestFraming::default();
    let mut found = Vec::new();
    for mut piece in pieces {
        while let Some(head) = framing.next_head(&mut piece) {
            found.push((String::from_utf8_lossy(&head.bytes).into_owned(), head.kind));
        }
        assert!(piece.is_empty(), "all bytes are read");
    }
    found
}

fn head(path: &str, fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: mesh\r\n{fields}\r\n")
}

#[rstest]
#[case::without_a_body("", "", HeadKind::Plain)]
#[case::empty_length("content-length: 0\r\n", "", HeadKind::Plain)]
#[case::length("content-length: 35\r\n", INNER, HeadKind::WithBody)]
#[case::one_chunk(
    "transfer-encoding: chunked\r\n",
    "23\r\nGET /inner HTTP/1.1\r\nhost: mesh\r\n\r\n\r\n0\r\n\r\n",
    HeadKind::WithBody
)]
#[case::chunks(
    "Transfer-Encoding: Chunked\r\n",
    "2\r\n0\r\r\n002\r\n\n0\r\n0\r\n\r\n",
    HeadKind::WithBody
)]
#[case::closing("connection: keep-alive, Close\r\n", "", HeadKind::Last)]
fn a_head_behind_a_body_is_found_in_pieces_of_any_length(
    #[case] fields: &str,
    #[case] body: &str,
    #[case] kind: HeadKind,
    #[values(1, 2, 3, 7, 1000)] piece: usize,
) {
    let (first, second) = (head("/first", fields), head("/second", ""));
    let stream = [&first, body, &second].concat();
    let expected = vec![(first, kind), (second, HeadKind::Plain)];
    assert_eq!(heads(stream.as_bytes().chunks(piece)), expected);
}

/// Guards against a body that is read as requests because the reader guesses where it ends.
#[rstest]
#[case::expects_an_answer_first(&head("/x", "content-length: 35\r\nexpect: 100-continue\r\n"))]
#[case::two_lengths(&head("/x", "content-length: 35\r\ncontent-length: 35\r\n"))]
#[case::signed_length(&head("/x", "content-length: +35\r\n"))]
#[case::length_and_chunks(&head("/x", "content-length: 35\r\ntransfer-encoding: chunked\r\n"))]
#[case::unknown_coding(&head("/x", "transfer-encoding: gzip, chunked\r\n"))]
#[case::long_head(&head("/x", &format!("long: {}\r\n", "x".repeat(9000))))]
#[case::many_fields(&head("/x", &"a: b\r\n".repeat(70)))]
#[case::no_head("\x01\x02\r\n\r\n")]
#[case::old_version("GET /x HTTP/1.0\r\n\r\n")]
#[case::tunnel("CONNECT host:80 HTTP/1.1\r\nhost: mesh\r\n\r\n")]
#[case::upgrade(&head("/x", "connection: upgrade\r\nupgrade: websocket\r\n"))]
#[case::chunk_extension(&(head("/x", "transfer-encoding: chunked\r\n") + "23;a=b\r\n"))]
#[case::trailer(&(head("/x", "transfer-encoding: chunked\r\n") + "0\r\na: b\r\n\r\n"))]
#[case::chunk_without_length(&(head("/x", "transfer-encoding: chunked\r\n") + "\r\n"))]
#[case::huge_chunk(&(head("/x", "transfer-encoding: chunked\r\n") + "123456789\r\n"))]
#[case::bare_line_feed(&(head("/x", "transfer-encoding: chunked\r\n") + "23\n"))]
#[case::data_beyond_its_chunk(&(head("/x", "transfer-encoding: chunked\r\n") + "1\r\nab\r\n"))]
fn nothing_is_read_as_a_head_behind(#[case] doubtful: &str, #[values(1, 5, 4096)] piece: usize) {
    let first = head("/first", "");
    let stream = [&first, doubtful, INNER, INNER].concat();
    let found = heads(stream.as_bytes().chunks(piece));
    assert_eq!(found[0], (first, HeadKind::Plain));
    assert!(
        found.iter().all(|(head, _)| !head.contains("/inner")),
        "{found:?}"
    );
}

/// Request with its bytes, as a caller sends it.
#[derive(Debug, Clone)]
struct Sent {
    head: String,
    bytes: Vec<u8>,
    has_body: bool,
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    let text = prop_oneof![
        Just(INNER.as_bytes().to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(text, 0..6).prop_map(|texts| texts.concat())
}

fn sent() -> impl Strategy<Value = Sent> {
    let with_length = body().prop_map(|body| {
        let head = head("/length", &format!("content-length: {}\r\n", body.len()));
        let bytes = [head.as_bytes(), &body].concat();
        Sent {
            head,
            bytes,
            has_body: !body.is_empty(),
        }
    });
    let in_chunks = (body(), 1..50_usize, any::<bool>()).prop_map(|(body, len, upper)| {
        let head = head("/chunks", "transfer-encoding: chunked\r\n");
        let mut bytes = head.clone().into_bytes();
        for chunk in body.chunks(len) {
            let length = match upper {
                true => format!("{:X}\r\n", chunk.len()),
                false => format!("{:04x}\r\n", chunk.len()),
            };
            bytes.extend([length.as_bytes(), chunk, b"\r\n"].concat());
        }
        bytes.extend(b"0\r\n\r\n");
        Sent {
            head,
            bytes,
            has_body: true,
        }
    });
    let without = Just(Sent {
        head: head("/plain", ""),
        bytes: head("/plain", "").into_bytes(),
        has_body: false,
    });
    prop_oneof![without, with_length, in_chunks]
}

proptest! {
    /// Whatever the bodies hold and however the bytes are cut, the heads are those that were sent.
    #[test]
    fn the_heads_are_those_that_were_sent(
        requests in prop::collection::vec(sent(), 1..8),
        cuts in prop::collection::vec(1..60_usize, 1..20),
    ) {
        let stream: Vec<u8> = requests.iter().flat_map(|sent| sent.bytes.clone()).collect();
        let mut pieces = Vec::new();
        let mut rest = &stream[..];
        for len in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*len).min(rest.len()));
            pieces.push(piece);
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        let kind = |sent: &Sent| match sent.has_body {
            true => HeadKind::WithBody,
            false => HeadKind::Plain,
        };
        let expected: Vec<_> = requests.iter().map(|sent| (sent.head.clone(), kind(sent))).collect();
        prop_assert_eq!(heads(pieces), expected);
    }
}
