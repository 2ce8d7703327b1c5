//! Selection as a spill plan advises.

use rand::Rng;

use super::{CandidateState, Choice, Selection};
use crate::{Payload, PickRule, ServiceEntry, SpillAdvice, SpillCause, SpillTarget};

/// Minimum time, in multiples of the target latency, that another failure domain has to save while
/// a spill plan equalizes the usage.
const MIN_SAVING: f64 = 0.5;

impl<'a> Selection<'a> {
    /// Returns the advice of the service's spill plan, or `None` if the request has no draw or the
    /// plan lacks fresh reports.
    pub(super) fn spill_advice(&self, entry: &ServiceEntry) -> Option<SpillAdvice> {
        let draw = self.requirements.spill?;
        let plan = self.balancer.plan(entry)?;
        let unreachable = &self.balancer.unreachable;
        plan.advise(self.now, draw, |domain| {
            !unreachable.is_unreachable(domain, self.now)
        })
    }

    /// Selects a candidate as the spill plan advises.
    ///
    /// `near` is the best candidate of the own failure domain, and `here` is the choice of that
    /// domain unless it is believed full.
    pub(super) fn planned<R: Rng + ?Sized>(
        &self,
        advice: SpillAdvice,
        here: Option<Choice<'a>>,
        near: CandidateState<'a>,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Choice<'a> {
        let cause = self.leave_cause(advice, here, entry);
        let far = cause.and_then(|_| self.best_at(advice.target, entry, rng));
        let far = far.filter(|far| !self.is_full(*far));
        match (here, cause, far) {
            (_, Some(cause), Some(far)) => Choice::spill(far, cause),
            (Some(here), _, _) => match self.much_faster(here.state, entry, rng) {
                Some(far) => Choice::spill(far, SpillCause::Faster),
                None => here,
            },
            (None, _, _) => Choice::near(near, PickRule::Near),
        }
    }

    /// Returns the cause for which the request leaves its failure domain, or `None` if it stays.
    fn leave_cause(
        &self,
        advice: SpillAdvice,
        here: Option<Choice<'_>>,
        entry: &ServiceEntry,
    ) -> Option<SpillCause> {
        let is_tried = |id| self.exclude.contains(&id);
        let refusals = || entry.near().iter().filter(|c| is_tried(c.id)).count();
        match here.map(|here| here.rule) {
            _ if self.requirements.crossing() == Payload::Heavy => None,
            Some(PickRule::Own) => None,
            None => Some(SpillCause::GuardsFull),
            Some(_) if advice.leaves.is_some() => advice.leaves,
            Some(_) => {
                let leaves = advice.max_refusals.is_some_and(|max| refusals() >= max);
                leaves.then_some(SpillCause::GuardsFull)
            }
        }
    }

    /// Returns the best of a few candidates in the advised failure domain.
    fn best_at<R: Rng + ?Sized>(
        &self,
        target: SpillTarget,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        match target {
            SpillTarget::Nowhere => None,
            SpillTarget::Any => self.best(entry.far(), rng),
            SpillTarget::Domain(domain) => {
                let domain = Some(domain);
                Selection { domain, ..*self }.best(entry.far(), rng)
            }
        }
    }

    /// Returns a candidate of another failure domain that is faster than `here` by at least
    /// [`MIN_SAVING`].
    fn much_faster<R: Rng + ?Sized>(
        &self,
        here: CandidateState<'a>,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        let saving = self.requirements.crossing().penalty().max(MIN_SAVING);
        self.expected(here).filter(|here| *here > saving)?;
        let far = self.best(entry.far(), rng)?;
        self.outweighs_detour(far, here, saving).then_some(far)
    }
}
