//! Acceptance rules of row kinds, and validation of client accounts, access rows, cold starts and
//! allowed regions.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::*;

fn publish(key: RowKey, row: Row) -> Body {
    let row = Some(row);
    Body::Publish(Publish {
        edits: vec![Edit { key, row }],
        ..Publish::default()
    })
}

fn service() -> ServiceName {
    ServiceName::new("booking")
}

fn homes(regions: &[&str]) -> Homes {
    regions.iter().copied().map(Region::new).collect()
}

#[rstest]
#[case::service(RowKey::Service(service()), Row::Service(Limits::default()), 1)]
#[case::route(RowKey::Route("/book".into(), service()), Row::Route(1), 1)]
#[case::account(
    RowKey::Account(AccountName::new("harbour")),
    Row::Account(Account::new()),
    2
)]
#[case::access(RowKey::Access("/book".into()), Row::Access(Access::Public), 2)]
#[case::cold_start(RowKey::ColdStart(service()), Row::ColdStart(ColdStart::default()), 2)]
#[case::regions_of_a_prefix(RowKey::PrefixHomes("/book".into()), Row::Homes(homes(&["east"])), 3)]
#[case::regions_of_an_account(
    RowKey::AccountHomes(AccountName::new("harbour")),
    Row::Homes(homes(&["east"])),
    3
)]
fn publish_carries_the_rule_of_its_row_kind(
    #[case] key: RowKey,
    #[case] row: Row,
    #[case] rule: u16,
) {
    let envelope = Envelope::new(publish(key, row));
    assert_eq!(envelope.rule, rule);
    assert_eq!(Envelope::decode(&envelope.encode()).unwrap(), envelope);
}

#[rstest]
#[case::two_accounts_with_the_same_key(
    &[("ferry", Account::new().with_key(KeyHash::of(b"k"))), ("harbour", Account::new().with_key(KeyHash::of(b"k")))],
    Violation::SharedKey(AccountName::new("ferry"), AccountName::new("harbour"))
)]
#[case::quota_rate_of_0(
    &[("harbour", Account::new().with_quota(Quota { rate: 0, burst: 5 }))],
    Violation::Quota(AccountName::new("harbour"))
)]
#[case::quota_burst_of_0(
    &[("harbour", Account::new().with_quota(Quota { rate: 5, burst: 0 }))],
    Violation::Quota(AccountName::new("harbour"))
)]
#[case::account_name_with_a_space(
    &[("the harbour", Account::new())],
    Violation::AccountName(AccountName::new("the harbour"))
)]
fn invalid_accounts_are_rejected(
    #[case] accounts: &[(&str, Account)],
    #[case] expected: Violation,
) {
    let table = accounts
        .iter()
        .fold(Table::new(), |table, (name, account)| {
            table.with_account(*name, account.clone())
        });
    assert_eq!(check(&table), [expected]);
}

#[test]
fn access_requires_a_route_and_cold_start_requires_a_service() {
    let table = Table::new()
        .with_access("/book", Access::Public)
        .with_cold_start(
            "booking",
            ColdStart {
                rate: 5,
                lasts_ms: 3000,
            },
        );
    let expected = [
        Violation::Access("/book".into()),
        Violation::ColdStart(service()),
    ];
    assert_eq!(check(&table), expected);
}

#[test]
fn key_change_of_one_account_edits_one_row() {
    let table = |key: &[u8]| {
        let account = Account::new().with_key(KeyHash::of(key));
        let table = Table::new().with_account("harbour", account);
        table.with_account("ferry", Account::new())
    };
    let (old, new) = (
        Snapshot::new(Version(3), table(b"a")),
        Snapshot::new(Version(5), table(b"b")),
    );
    let delta = Delta::between(&old, &new, new.digest());
    assert_eq!(delta.edits(), 1);
    assert_eq!(delta.apply(&old).unwrap(), new);
    assert_eq!(CompactSnapshot::new(&new).unwrap().expand().unwrap(), new);
}

#[rstest]
#[case::existing_route("/book", &["east"], None)]
#[case::missing_route("/crew", &["east"], Some(Violation::Homeless(prefix_homes("/crew"))))]
#[case::empty_region_list("/book", &[], Some(Violation::NoHomes(prefix_homes("/book"))))]
#[case::invalid_region_name("/book", &["East"], Some(Violation::Region(prefix_homes("/book"), Region::new("East").into())))]
fn allowed_regions_of_a_prefix_are_validated(
    #[case] route: &str,
    #[case] regions: &[&str],
    #[case] expected: Option<Violation>,
) {
    let table = Table::new()
        .with_service("booking", Limits::default())
        .with_route("/book", "booking", 1)
        .with_prefix_homes(route, homes(regions));
    assert_eq!(check(&table), Vec::from_iter(expected));
}

#[test]
fn allowed_regions_require_an_existing_account() {
    let table = Table::new().with_account_homes("harbour", homes(&["east"]));
    let key = RowKey::AccountHomes(AccountName::new("harbour"));
    assert_eq!(check(&table), [Violation::Homeless(key)]);
    assert!(check(&table.with_account("harbour", Account::new())).is_empty());
}

fn prefix_homes(prefix: &str) -> RowKey {
    RowKey::PrefixHomes(prefix.into())
}
