//! Stand-ins for what surrounds swiftcart: the platform's log, backend servers and callers.
//!
//! Tests, the demo and the bench use them; they are never shipped. Each one runs inside a
//! test's own process (port 0, faults set directly) or as one of three small programs that
//! print `listening addr=IP:PORT` when they are ready.
//!
//! | stand-in | library | program |
//! |---|---|---|
//! | the platform's append-only log | [`Log`] | `swiftcart-standin-platform` |
//! | a backend server | [`BackendServer`] | `swiftcart-standin-backend` |
//! | the callers | [`Load`] | `swiftcart-standin-load` |
//!
//! A handle that is dropped closes its listener and every connection at once, like a
//! process that is killed.
//!
//! # Examples
//!
//! ```
//! use swiftcart_standin::{BackendServer, BackendSettings, Load, Log, Shape};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), swiftcart_standin::Error> {
//! let any = "127.0.0.1:0".parse().expect("an address");
//! let log = Log::start(any).await?;
//! assert_eq!(log.append("config", "{}")?, 0);
//!
//! let backend = BackendServer::start(any, BackendSettings::default()).await?;
//! let report = Load::new(vec![backend.addr()])
//!     .with_rate(200.0)
//!     .with_duration_ms(50)
//!     .with_shape(Shape::read("/moisture"), 1)
//!     .run()
//!     .await?;
//! assert_eq!(report.good, 10);
//! # Ok(())
//! # }
//! ```

mod args;
mod backend;
mod client;
mod content;
mod error;
mod load;
mod log;
mod serve;

pub use args::*;
pub use backend::*;
pub use error::*;
pub use load::*;
pub use log::*;
