//! Compares what callers were told with what the backend servers counted.

use swiftcart_standin::{BackendStats, Ledger, Report};

use super::figures::Figures;
use crate::Error;
use crate::fleet::Fleet;

/// Requests that broke a promise which are named one by one.
const SHOWN: usize = 8;

/// Returns the executions of all backend servers that run.
pub(crate) async fn ledger(fleet: &Fleet) -> Result<Ledger, Error> {
    let mut sum = Ledger::default();
    for instance in fleet.instances.iter().filter(|i| i.backend.is_some()) {
        let addr = instance.addrs.backend;
        let own: Ledger = fleet.client.json(addr, "/standin/executions").await?;
        sum.merge(&own);
    }
    Ok(sum)
}

/// Returns what a backend server has counted.
pub(crate) async fn stats(fleet: &Fleet, i: usize) -> Result<BackendStats, Error> {
    let addr = fleet.instances[i].addrs.backend;
    fleet.client.json(addr, "/standin/stats").await
}

/// Checks the promises that hold for every call, whatever fails meanwhile.
pub(crate) fn check(figures: &mut Figures, reports: &[&Report], ledger: &Ledger) {
    let told = || reports.iter().flat_map(|report| &report.told);
    let count = |verdict: &str| told().filter(|t| t.verdict == verdict).count();
    let wrong = count("foreign") + count("corrupt");
    figures.guarantee(
        "a caller gets the whole answer to its own request",
        format!(
            "{} whole, {wrong} foreign or corrupt, {} broken off",
            count("good"),
            count("broken")
        ),
        wrong == 0,
    );
    let claims = || told().filter(|t| t.outcome.as_deref() == Some("not-run") && t.retries == 0);
    let ran = |id: &str| ledger.callers.get(id).is_some_and(|runs| runs.started > 0);
    let false_ids: Vec<_> = claims().filter(|t| ran(&t.id)).map(|t| &t.id).collect();
    for id in false_ids.iter().take(SHOWN) {
        println!("    told not-run, but it ran: {id}");
    }
    let false_claims = false_ids.len();
    figures.guarantee(
        "told not-run, it did not run",
        format!("{} told, {false_claims} of them ran", claims().count()),
        false_claims == 0,
    );
    let missing = told().filter(|t| t.verdict == "good" && t.key.is_some());
    let missing = missing.filter(|t| {
        t.key
            .as_deref()
            .is_some_and(|k| ledger.by_key(k).finished == 0)
    });
    let missing = missing.count();
    figures.guarantee(
        "keyed work that was confirmed did run",
        format!("{missing} did not"),
        missing == 0,
    );
}

/// Checks that no request without a key was executed twice.
pub(crate) fn check_once(figures: &mut Figures, report: &Report, ledger: &Ledger) {
    let runs = |id: &str| ledger.callers.get(id).map_or(0, |runs| runs.started);
    let most = report
        .told
        .iter()
        .map(|told| runs(&told.id))
        .max()
        .unwrap_or(0);
    figures.guarantee(
        "work without a key runs at most once",
        format!(
            "{} requests, at most {most} execution of one",
            report.told.len()
        ),
        most <= 1 && ledger.forgotten == 0,
    );
}

/// Checks that backend servers got no more than they said of themselves in their answers.
pub(crate) async fn check_notices(figures: &mut Figures, fleet: &Fleet) -> Result<(), Error> {
    let (mut beyond, mut late) = (0, 0);
    for i in 0..fleet.instances.len() {
        let stats = stats(fleet, i).await?;
        beyond += stats.beyond_rate;
        late += stats.after_leaving;
    }
    figures.guarantee(
        "backend servers get no more than the rate that they name",
        format!("{beyond} requests beyond it"),
        beyond == 0,
    );
    figures.guarantee(
        "backend servers that leave get nothing new",
        format!("{late} requests afterwards"),
        late == 0,
    );
    Ok(())
}

/// Checks that no key was executed twice.
pub(crate) fn check_keys(figures: &mut Figures, ledger: &Ledger) {
    let most = ledger
        .keys
        .values()
        .map(|runs| runs.started)
        .max()
        .unwrap_or(0);
    figures.guarantee(
        "keyed work runs at most once",
        format!(
            "{} keys, at most {most} execution of one",
            ledger.keys.len()
        ),
        most <= 1 && ledger.forgotten == 0,
    );
}

/// Checks that every call of an undisturbed load had a good answer.
pub(crate) fn check_all_good(figures: &mut Figures, what: &str, report: &Report) {
    let lost = report.offered - report.good;
    figures.guarantee(
        what,
        format!("{lost} of {} without", report.offered),
        lost == 0,
    );
}
