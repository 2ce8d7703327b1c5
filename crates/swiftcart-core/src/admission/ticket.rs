//! Tickets of requests, and the results of admission.

use crate::Refusal;

/// Identifier of a request within one [`Admission`](crate::Admission).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Result of offering a request to admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admit {
    /// The request is forwarded to the backend server now.
    Run(Ticket),
    /// The request is queued until its ticket is returned as started or as refused.
    Queue(Ticket),
    /// The request is refused at once.
    Refuse(Refusal),
}

/// A queued request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refused {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Refusal to send to the caller.
    pub refusal: Refusal,
}
