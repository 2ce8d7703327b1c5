//! At most once: claims in the platform's log decide which attempt may run.
//!
//! The model is that of idempotency keys (Forge ORM, *Idempotency keys*): the caller picks
//! a key for each piece of work, the request's hash is compared before a replay (422 on
//! a difference), a retry that meets a running attempt gets 409, and the stored status
//! is replayed whatever it was. The paper rests on a unique index; here the lowest
//! offset in a stream of the platform's log takes its place.
//!
//! 1. [`Claimant::offer`] answers from the [`ClaimLedger`] or queues a claim.
//! 2. The claim is appended, in a batch. An append whose answer is lost is repeated:
//!    the same attempt twice is harmless.
//! 3. The claimant follows the stream past its own claim. Only when no record blocked the
//!    key at the claim's offset does it return [`ClaimAction::Run`].
//! 4. Right before the hand-over [`Claimant::try_start`] compares the claim's age with
//!    window - margin on the monotonic clock, counted from before the claim was sent.
//! 5. [`Claimant::record_result`] appends the answer, for replay.
//!
//! # Time
//!
//! A claim blocks its key until a record is more than window + margin younger by the
//! platform's time. Its holder starts within window - margin of a moment before the
//! platform took the claim. Two starts of one key are thus at least two margins apart,
//! less what the clocks differ over one window; and after that long the key counts as
//! new work, as the paper's expiry has it. Callers must not retry for longer than the window.
//!
//! # Claims that are given up
//!
//! A caller may be told `not-run` while the fate of its claim's append is unknown: the
//! ticket is gone, so that this process cannot hand the request over any more. But the
//! claim may stand in the log, or come to stand there later, and would block the key for
//! a whole window. Its holder therefore appends an [`AbandonRecord`], which frees the key.
//!
//! * Only the claimant whose ticket was never handed over writes it. Nobody else can know:
//!   a paused holder looks just like a dead one.
//! * It counts whichever of the two records comes first, and it names the attempt: a late
//!   repeat of the claim neither wins nor blocks.
//! * Until it is in the log, later attempts get 409 with `Retry-After`. A holder that dies
//!   before leaves the key blocked: `unknown` after [`ClaimSettings::patience`].
//! * *Weighed:* a lease that lapses frees the key also for a dead holder, but hands it to
//!   a second attempt while a paused first one still believes that it holds it, and the
//!   backend server has no fencing token to compare. A claim without an answer
//!   therefore never lapses within the window.
//! * Losing claims are abandoned as well; see [`ClaimLedger`] for why they block at all.
//!
//! # What following costs
//!
//! A follower reads each record of a partition once and keeps one long poll open. If every
//! one of 970 nodes followed the 8 partitions of one service, the platform would hold
//! 7760 long polls and send each record 970 times. With [`rank_guards`] requests for a partition
//! go to the same few guards: with 2 followers for each partition it is 16 long polls and
//! each record is sent twice, however many nodes there are. The number of partitions is
//! the same on all nodes of a service; another number would part claims of one key.
//! The example `claim_cost` measured 192 bytes of memory for each key that is claimed and
//! 640 for each that is answered, without the answer's own bytes. The default bounds of
//! 65 536 marks and 8 MiB of answers thus come to about 30 MB for each partition that a
//! node follows.

mod claimant;
mod decision;
mod ledger;
mod marks;
mod outbox;
mod place;
mod record;
mod settings;

pub use claimant::*;
pub use decision::*;
pub use ledger::*;
pub use marks::*;
pub use place::*;
pub use record::*;
pub use settings::*;
