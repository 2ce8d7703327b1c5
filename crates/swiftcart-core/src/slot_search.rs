//! Search of one request for a guard with a free slot.

use crate::{NodeId, Payload, Pick, PickRule, QueueWait, Reason};

/// Maximum number of guards that are asked for a free slot before the request queues at one. Of
/// three guards selected by load, one has a free slot as long as a tenth of all slots are free.
const MAX_ASKED_GUARDS: usize = 3;

/// Stage of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Guards are asked for a free slot, without queueing.
    Ask,
    /// None of the guards asked had a free slot. The request queues at one guard after another.
    Queue,
    /// A request with a long body has queued without success. The remaining guards are asked before
    /// the request is refused.
    AskRemaining,
}

/// Search of one request for a guard with a free slot.
///
/// A node learns the load of a guard from the guard's last response, which may be out of date. The
/// request therefore first asks guards that are believed to have a free slot, without queueing at
/// them. A guard without a free slot refuses at once, and another one often has a free slot. When
/// no more guards are believed to have one, the request queues. Under overload it queues from the
/// start.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, QueueWait, Payload, Pick, PickRule, Reason, SlotSearch};
///
/// let guard = |n| NodeId(([10, 0, 0, n], 7000).into());
/// let pick = |n| Pick { id: guard(n), peer: guard(n).0, rule: PickRule::Near, cause: None, free: true };
/// let mut slot_search = SlotSearch::new(2, Payload::Light);
/// for n in 1..=2 {
///     assert!(!slot_search.switch_to_queueing(Some(&pick(n))));
///     assert_eq!(slot_search.queue_wait(), QueueWait::Short);
///     slot_search.failed(guard(n), Reason::Overloaded);
/// }
/// assert!(slot_search.switch_to_queueing(None), "no guard is left to ask");
/// assert_eq!((slot_search.queue_wait(), slot_search.excluded()), (QueueWait::Full, &[][..]));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotSearch {
    stage: Stage,
    payload: Payload,
    /// Guards that have failed and are not asked again.
    excluded: Vec<NodeId>,
    /// Guards among `excluded` that refused only because they were full.
    full: Vec<NodeId>,
    /// Guard that refused last because it was full.
    refused_by: Option<NodeId>,
    /// Number of full guards that refused although the request could queue.
    full_refusals: u8,
}

impl SlotSearch {
    /// Creates a search among `candidates` guards.
    ///
    /// A single candidate is not asked twice, so the request queues at it from the start.
    #[must_use]
    pub const fn new(candidates: usize, payload: Payload) -> Self {
        Self {
            stage: match candidates {
                0 | 1 => Stage::Queue,
                _ => Stage::Ask,
            },
            payload,
            excluded: Vec::new(),
            full: Vec::new(),
            refused_by: None,
            full_refusals: 0,
        }
    }

    /// Creates a search that queues at the first guard, for requests of routes without a policy.
    #[must_use]
    pub const fn queueing() -> Self {
        Self::new(1, Payload::Light)
    }

    /// Returns how long the request may queue at the next guard.
    #[must_use]
    pub const fn queue_wait(&self) -> QueueWait {
        match self.stage {
            Stage::Ask | Stage::AskRemaining => QueueWait::Short,
            Stage::Queue => QueueWait::Full,
        }
    }

    /// Returns the guards to exclude from the selection of the next one.
    #[must_use]
    pub fn excluded(&self) -> &[NodeId] {
        &self.excluded
    }

    /// Switches from asking to queueing if `next` is not worth asking, and returns `true` if so.
    ///
    /// The guard then has to be selected again, because the full guards are no longer excluded.
    pub fn switch_to_queueing(&mut self, next: Option<&Pick>) -> bool {
        let has_asked = !self.full.is_empty();
        let exhausted = match next {
            None => has_asked,
            Some(pick) if !pick.free || self.full.len() >= MAX_ASKED_GUARDS => true,
            Some(pick) => match (pick.rule, self.payload) {
                (PickRule::Remote, _) | (PickRule::Spill, Payload::Heavy) => has_asked,
                _ => false,
            },
        };
        let switches = self.stage == Stage::Ask && exhausted;
        if switches {
            self.queue_now();
        }
        switches
    }

    /// Switches to queueing. Full guards are no longer excluded.
    pub fn queue_now(&mut self) {
        self.stage = Stage::Queue;
        let full = std::mem::take(&mut self.full);
        self.excluded.retain(|id| !full.contains(id));
    }

    /// Returns `true` while guards are asked for a free slot before the request queues.
    #[must_use]
    pub fn is_asking(&self) -> bool {
        self.stage == Stage::Ask
    }

    /// Returns the guard that refused last because it was full.
    #[must_use]
    pub const fn refused_by(&self) -> Option<NodeId> {
        self.refused_by
    }

    /// Returns the number of full guards that refused although the request could queue.
    #[must_use]
    pub const fn full_refusals(&self) -> u8 {
        self.full_refusals
    }

    /// Switches to queueing while full guards stay excluded, for a request that may only be sent to
    /// the same guards again.
    pub const fn settle(&mut self) {
        self.stage = Stage::Queue;
    }

    /// Records that the attempt at `guard` failed for `reason`.
    pub fn failed(&mut self, guard: NodeId, reason: Reason) {
        self.excluded.push(guard);
        let full = reason.lacks_room() || reason == Reason::LinkBusy;
        let queued = self.queue_wait() == QueueWait::Full;
        if full {
            self.refused_by = Some(guard);
        }
        self.full_refusals = self.full_refusals.saturating_add((full && queued).into());
        match (self.stage, self.payload) {
            (Stage::Ask, _) if full => self.full.push(guard),
            (Stage::Queue, Payload::Heavy) if full => self.stage = Stage::AskRemaining,
            _ => {}
        }
    }
}
