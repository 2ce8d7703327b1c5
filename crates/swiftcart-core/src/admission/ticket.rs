//! What becomes of a request that is offered to a guard.

use crate::Refusal;

/// Names one request inside one [`Admission`](crate::Admission).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Tells what becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admit {
    /// It is handed over now.
    Run(Ticket),
    /// It waits until its ticket is returned as started or as refused.
    Queue(Ticket),
    /// It is answered at once.
    Refuse(Refusal),
}

/// Names a waiting request that is refused after all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refused {
    /// The request.
    pub ticket: Ticket,
    /// What it is answered.
    pub refusal: Refusal,
}
