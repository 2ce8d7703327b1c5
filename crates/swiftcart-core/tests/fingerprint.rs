//! Which requests count as the same one, come again.

use rstest::rstest;
use swiftcart_core::{BodyHash, HeadFields, HeadHash};

const FIELDS: HeadFields<'_> = HeadFields {
    credentials: [b"Bearer one", b""],
    method: b"GET",
    host: b"a.example",
    target: b"/pump/7?x=1",
};

#[test]
fn the_same_fields_are_the_same_request() {
    assert_eq!(HeadHash::new(&FIELDS), HeadHash::new(&FIELDS));
}

#[rstest]
#[case::another_account(HeadFields { credentials: [b"Bearer two", b""], ..FIELDS })]
#[case::the_account_elsewhere(HeadFields { credentials: [b"", b"Bearer one"], ..FIELDS })]
#[case::another_method(HeadFields { method: b"POST", ..FIELDS })]
#[case::another_host(HeadFields { host: b"b.example", ..FIELDS })]
#[case::another_path(HeadFields { target: b"/pump/8?x=1", ..FIELDS })]
#[case::another_query(HeadFields { target: b"/pump/7?x=2", ..FIELDS })]
#[case::parts_cut_elsewhere(HeadFields { host: b"a.exampl", target: b"e/pump/7?x=1", ..FIELDS })]
fn other_fields_are_another_request(#[case] other: HeadFields<'_>) {
    assert_ne!(HeadHash::new(&FIELDS), HeadHash::new(&other));
}

#[test]
fn a_body_counts_by_its_bytes_and_not_by_its_pieces() {
    let whole = BodyHash::new([b"water on".as_slice()]);
    assert_eq!(whole, BodyHash::new([b"water".as_slice(), b" on"]));
    assert_ne!(whole, BodyHash::new([b"water off".as_slice()]));
    assert_eq!(BodyHash::new([b"".as_slice()]), BodyHash::default());
}
