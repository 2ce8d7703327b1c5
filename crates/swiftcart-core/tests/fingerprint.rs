//! Tests of the fingerprints by which repeated requests are recognised.

use rstest::rstest;
use swiftcart_core::{BodyHash, HeadFields, HeadHash};

const FIELDS: HeadFields<'_> = HeadFields {
    credentials: [b"Bearer one", b""],
    method: b"GET",
    host: b"a.example",
    target: b"/pump/7?x=1",
};

#[test]
fn equal_fields_have_equal_hashes() {
    assert_eq!(HeadHash::new(&FIELDS), HeadHash::new(&FIELDS));
}

#[rstest]
#[case::other_credentials(HeadFields { credentials: [b"Bearer two", b""], ..FIELDS })]
#[case::credentials_in_another_header(HeadFields { credentials: [b"", b"Bearer one"], ..FIELDS })]
#[case::other_method(HeadFields { method: b"POST", ..FIELDS })]
#[case::other_host(HeadFields { host: b"b.example", ..FIELDS })]
#[case::other_path(HeadFields { target: b"/pump/8?x=1", ..FIELDS })]
#[case::other_query(HeadFields { target: b"/pump/7?x=2", ..FIELDS })]
#[case::other_field_boundaries(HeadFields { host: b"a.exampl", target: b"e/pump/7?x=1", ..FIELDS })]
fn different_fields_have_different_hashes(#[case] other: HeadFields<'_>) {
    assert_ne!(HeadHash::new(&FIELDS), HeadHash::new(&other));
}

#[test]
fn a_body_hash_does_not_depend_on_chunk_boundaries() {
    let whole = BodyHash::new([b"water on".as_slice()]);
    assert_eq!(whole, BodyHash::new([b"water".as_slice(), b" on"]));
    assert_ne!(whole, BodyHash::new([b"water off".as_slice()]));
    assert_eq!(BodyHash::new([b"".as_slice()]), BodyHash::default());
}
