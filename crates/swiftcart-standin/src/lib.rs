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
//! # Programs
//!
//! Each takes `--settings` with JSON or a file that holds it ([`LogSettings`],
//! [`BackendSettings`], [`Load`]; unknown keys are refused). The first two take `--addr`
//! and print the line `listening addr=IP:PORT`. SIGTERM stops them; the backend server
//! drains for three seconds first, and a second signal stops it at once. The load prints
//! its [`Report`], or a [`Comparison`] when `others` is set, and exits.
//!
//! # HTTP
//!
//! | stand-in | request | answer |
//! |---|---|---|
//! | log | `POST /v1/streams/{name}`, `GET /v1/streams/{name}?from&limit&wait` | see `docs/design.md` |
//! | backend server | `GET` of any path `?bytes=N` | a body of N bytes that starts with `id=ID\n`; `X-Standin-Digest` has its BLAKE3 hash |
//! | backend server | `POST`, `PUT` of any path | `{"id","bytes","digest"}` of the body that was taken |
//! | backend server | `GET /health`, `GET /load` | 200 or 503; 0 to 100 |
//! | backend server | `GET /standin/executions?id=`, `?key=`, or neither | [`ExecutionCounts`]; without either the [`Ledger`] |
//! | both | `GET /standin/stats` | [`LogStats`], [`BackendStats`] |
//! | both | `GET`, `PUT /standin/faults` | [`LogFaults`], [`BackendFaults`] |
//!
//! `ID` is the caller's `X-Request-Id`, else the node's `Swiftcart-Request-Id`. Answers to
//! work carry `Swiftcart-Load`; refusals and failures carry `X-Standin-Reason`: `slots` and
//! `deadline` with status 503 did not run.
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
mod headers;
mod load;
mod log;
mod serve;

pub use args::*;
pub use backend::*;
pub use error::*;
pub use load::*;
pub use log::*;
