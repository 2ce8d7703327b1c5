//! The search of one request for a guard that has a place.

use crate::{NodeId, Patience, Payload, Pick, PickRule, Reason};

/// Guards that are asked for a place before the request waits at one of them. Of three that
/// are chosen by their load, one has a place as long as a tenth of the slots are free.
const MOST_ASKED: usize = 3;

/// Tells how far the search is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Guards are asked whether they have a place.
    Ask,
    /// None of those asked had one: the request waits at one guard after the other.
    Wait,
    /// A long body has waited in vain: the other guards are asked before it is refused.
    Rest,
}

/// Decides which guards one request asks, and at which ones it waits.
///
/// What a node knows of the load elsewhere is as old as its last answer from there. So it
/// asks guards that are believed to have a place instead of waiting at the first one: one
/// without a place says so at once, and another one often has one. When none is believed to
/// have one any more, the request waits; under overload it does so from the start.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{SlotSearch, Payload, NodeId, Patience, Pick, PickRule, Reason};
///
/// let guard = |n| NodeId(([10, 0, 0, n], 7000).into());
/// let pick = |n| Pick { id: guard(n), peer: guard(n).0, rule: PickRule::Near, free: true };
/// let mut slot_search = SlotSearch::new(2, Payload::Light);
/// for n in 1..=2 {
///     assert!(!slot_search.switch_to_queueing(Some(&pick(n))));
///     assert_eq!(slot_search.patience(), Patience::Short);
///     slot_search.failed(guard(n), Reason::Overloaded);
/// }
/// assert!(slot_search.switch_to_queueing(None), "nobody is left to ask");
/// assert_eq!((slot_search.patience(), slot_search.excluded()), (Patience::Full, &[][..]));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotSearch {
    stage: Stage,
    payload: Payload,
    /// The guards that the request was sent to and that are not to be asked again.
    excluded: Vec<NodeId>,
    /// Those of them that only had no place.
    full: Vec<NodeId>,
}

impl SlotSearch {
    /// Starts the search among `candidates` guards; a single one is not asked twice.
    #[must_use]
    pub const fn new(candidates: usize, payload: Payload) -> Self {
        Self {
            stage: match candidates {
                0 | 1 => Stage::Wait,
                _ => Stage::Ask,
            },
            payload,
            excluded: Vec::new(),
            full: Vec::new(),
        }
    }

    /// Waits at the first guard, for requests of routes without a policy.
    #[must_use]
    pub const fn queueing() -> Self {
        Self {
            stage: Stage::Wait,
            payload: Payload::Light,
            excluded: Vec::new(),
            full: Vec::new(),
        }
    }

    /// Tells how long the next guard may let the request wait.
    #[must_use]
    pub const fn patience(&self) -> Patience {
        match self.stage {
            Stage::Ask | Stage::Rest => Patience::Short,
            Stage::Wait => Patience::Full,
        }
    }

    /// Returns the guards that are left out of the choice of the next one.
    #[must_use]
    pub fn excluded(&self) -> &[NodeId] {
        &self.excluded
    }

    /// Tells whether the request is to wait now, instead of asking at `next`; the choice is
    /// then made anew, among those that had no place as well.
    pub fn switch_to_queueing(&mut self, next: Option<&Pick>) -> bool {
        let heavy = self.payload == Payload::Heavy;
        let asked = match next {
            None => !self.full.is_empty(),
            Some(pick) if !pick.free || self.full.len() >= MOST_ASKED => true,
            Some(pick) => {
                let stays = heavy && pick.rule == PickRule::Spill || pick.rule == PickRule::Remote;
                stays && !self.full.is_empty()
            }
        };
        let switch_to_queueing = self.stage == Stage::Ask && asked;
        if switch_to_queueing {
            self.stage = Stage::Wait;
            let full = std::mem::take(&mut self.full);
            self.excluded.retain(|id| !full.contains(id));
        }
        switch_to_queueing
    }

    /// Waits from now on, for a request that may go to no other guard than before.
    pub const fn settle(&mut self) {
        self.stage = Stage::Wait;
    }

    /// Notes that the try at `guard` failed for `reason`.
    pub fn failed(&mut self, guard: NodeId, reason: Reason) {
        self.excluded.push(guard);
        let full = matches!(
            reason,
            Reason::QueueFull | Reason::LinkBusy | Reason::Overloaded | Reason::Throttled
        );
        match (self.stage, self.payload) {
            (Stage::Ask, _) if full => self.full.push(guard),
            (Stage::Wait, Payload::Heavy) if full => self.stage = Stage::Rest,
            _ => {}
        }
    }
}
