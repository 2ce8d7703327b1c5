//! Admission state of a guard.

/// State of a guard that determines the treatment of new and queued requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdmissionState {
    /// New requests are admitted.
    #[default]
    Open,
    /// The backend server is starting. New and queued requests are refused.
    Warming,
    /// The backend server accepts no new requests. Queued requests are refused, too, since the
    /// backend server has not received them yet.
    Draining,
    /// The node is stopping. New requests are refused. Queued requests were accepted and still run.
    Stopping,
}
