//! Test doubles for the systems around swiftcart: the platform's log, backend servers and callers.
//!
//! Tests, the demo and the bench use these stand-ins; they are not part of a release. Each
//! stand-in runs inside the test process (port 0 selects a free port, faults are set directly) or
//! as a separate program.
//!
//! | stand-in | library | program |
//! |---|---|---|
//! | the platform's append-only log | [`Log`] | `swiftcart-standin-platform` |
//! | a backend server | [`BackendServer`] | `swiftcart-standin-backend` |
//! | the callers | [`Load`] | `swiftcart-standin-load` |
//!
//! Dropping a handle closes its listener and all its connections at once, as if the process
//! had been killed.
//!
//! # Programs
//!
//! Each program takes `--settings` with JSON or the path of a JSON file ([`LogSettings`],
//! [`BackendSettings`], [`Load`]). Unknown keys are rejected. The log and the backend server also
//! take `--addr`, and print the line `listening addr=IP:PORT` when they accept connections.
//! SIGTERM and SIGINT stop them. The backend server drains for three seconds first, and a second
//! signal stops it at once. The load program prints its [`Report`], or a [`Comparison`] when
//! `others` is set, and exits.
//!
//! # HTTP
//!
//! | stand-in | request | response |
//! |---|---|---|
//! | log | `POST /v1/streams/{name}`, `GET /v1/streams/{name}?from&limit&wait` | see `docs/design.md` |
//! | backend server | `GET` of any path `?bytes=N` | a body of N bytes that starts with `id=ID\n`; `X-Standin-Digest` has its BLAKE3 hash |
//! | backend server | `POST`, `PUT` of any path | `{"id","bytes","digest"}` of the received body |
//! | backend server | `GET /health`, `GET /load` | 200 or 503; 0 to 100 |
//! | backend server | `GET /standin/executions?id=`, `?key=`, or neither | [`ExecutionCounts`]; without either the [`Ledger`] |
//! | both | `GET /standin/stats` | [`LogStats`], [`BackendStats`] |
//! | both | `GET`, `PUT /standin/faults` | [`LogFaults`], [`BackendFaults`] |
//!
//! `ID` is the caller's `X-Request-Id`, or else the node's `Swiftcart-Request-Id`. Responses of the
//! backend server carry `Swiftcart-Load`, except those of `/health`, `/load` and `/standin`.
//! Rejections and failures carry `X-Standin-Reason`. A request that is rejected with status 503 and
//! the reason `slots` or `deadline` was not executed.
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
