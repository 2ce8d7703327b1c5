//! Whether a guard takes new work.

/// Tells whether new work is taken.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdmissionState {
    /// New work is taken.
    #[default]
    Open,
    /// The backend server is starting.
    Warming,
    /// The backend server takes no new work; what waits is refused, since it is new to it.
    Draining,
    /// The node is stopping; what waits was accepted and is still run.
    Stopping,
}
