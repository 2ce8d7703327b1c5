//! At-most-once execution of requests with an idempotency key.
//!
//! Attempts compete for a key by appending claims to a stream of the platform's log. The claim
//! with the lowest offset wins, and only its attempt may run.
//!
//! The protocol follows the common model of idempotency keys (Forge ORM, *Idempotency keys*). The
//! caller picks a key for each piece of work. The request's hash is compared before a replay, and
//! a difference gives 422. A retry that meets a running attempt gives 409. The stored status is
//! replayed whatever it is. That paper relies on a unique index in a database; here the lowest
//! offset in the stream takes the place of the index.
//!
//! 1. [`Claimant::offer`] answers from the [`ClaimLedger`] or queues a claim.
//! 2. The claim is appended as part of a batch. An append without an answer is repeated: readers
//!    ignore a second record of the same attempt.
//! 3. The claimant reads the stream past its own claim. It returns [`ClaimAction::Run`] only if no
//!    record blocked the key at the claim's offset.
//! 4. Immediately before the request is dispatched, [`Claimant::try_start`] compares the claim's
//!    age with window - margin. The age is counted on the monotonic clock from before the claim
//!    was sent.
//! 5. [`Claimant::record_result`] appends the answer, for replay.
//!
//! # Time
//!
//! A claim blocks its key for all records that are at most window + margin younger by the
//! platform's clock. The claimant notes the time before it sends a claim. The winning attempt
//! starts less than window - margin after that time, which precedes the platform's acceptance of
//! the claim. Two starts of one key are therefore at least two margins apart, less the clock drift
//! over one window. After window + margin the key counts as new work, like an expired key in the
//! paper. Callers must not retry for longer than the window.
//!
//! # Abandoned claims
//!
//! A caller can be answered `not-run` while the result of its claim's append is unknown. The
//! claim's ticket is removed, so this process can no longer dispatch the request. The claim can
//! still be in the log, or reach the log later, and would block the key for window + margin. The
//! claimant therefore appends an [`AbandonRecord`], which frees the key.
//!
//! * Only the claimant that made the claim writes the record, because only this claimant knows that
//!   the attempt did not run. No other process can tell a paused claimant from a crashed one.
//! * The record takes effect whether it precedes or follows the claim in the log, because it names
//!   the attempt: a late repeat of the claim neither wins nor blocks.
//! * Until the record is in the log, later attempts get 409 with `Retry-After`. If the claimant
//!   crashes before that, the key stays blocked, and later attempts get `unknown` after
//!   [`ClaimSettings::pending_timeout`].
//! * A lease that expires would also free the keys of crashed claimants. But a paused claimant
//!   could still believe that it holds the lease while a second attempt runs, and the backend
//!   server has no fencing token to compare. A claim without an answer therefore never expires
//!   within the window.
//! * Losing claims are abandoned as well; [`ClaimLedger`] explains why they block the key.
//!
//! # Cost of reading the stream
//!
//! A reader reads each record of a partition once and keeps one long poll open. If each of 970
//! nodes read the 8 partitions of one service, the platform would hold 7760 long polls and send
//! each record 970 times. [`rank_guards`] sends the requests of a partition to the same few guards.
//! With 2 readers for each partition the platform holds 16 long polls and sends each record twice,
//! regardless of the number of nodes. The number of partitions must be the same on all nodes of a
//! service; otherwise claims of one key would go to different streams.
//!
//! The example `claim_cost` measures 192 bytes of memory for each claimed key and 640 bytes for
//! each answered key, without the answer itself. The default limits of 65 536 events and 8 MiB of
//! answers therefore take about 30 MB for each partition that a node reads.

mod append_queue;
mod claimant;
mod decision;
mod key_history;
mod ledger;
mod partition;
mod record;
mod settings;

pub use claimant::*;
pub use decision::*;
pub use key_history::*;
pub use ledger::*;
pub use partition::*;
pub use record::*;
pub use settings::*;
