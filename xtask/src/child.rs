//! Child processes that are terminated when their handle is dropped.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::Error;

/// Time between SIGTERM and SIGKILL when the handle of a child is dropped.
const GRACE_PERIOD: Duration = Duration::from_millis(1500);

/// Interval between two checks of whether a child has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a child process; dropping the handle terminates the process by its id.
#[derive(Debug)]
pub struct Child {
    name: String,
    log: PathBuf,
    process: Process,
}

impl Child {
    /// Starts `command` and appends its stdout and stderr to `dir/NAME.log`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the log file cannot be opened or the process cannot be
    /// started.
    pub fn spawn(name: &str, dir: &Path, mut command: Command) -> Result<Self, Error> {
        let log = dir.join(format!("{name}.log"));
        let file = |e| Error::File(log.clone(), e);
        let out = File::options().create(true).append(true).open(&log);
        let out = out.map_err(file)?;
        let err = out.try_clone().map_err(file)?;
        let process = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|e| Error::Program(name.to_owned(), e))?;
        Ok(Self {
            name: name.to_owned(),
            log,
            process,
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the output of the process so far.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the log file cannot be read.
    pub fn log(&self) -> Result<String, Error> {
        let mut bytes = Vec::new();
        File::open(&self.log)
            .and_then(|mut file| file.read_to_end(&mut bytes))
            .map_err(|e| Error::File(self.log.clone(), e))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Returns the exit status of the process, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process cannot be waited for.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, Error> {
        let ended = self.process.try_wait();
        ended.map_err(|e| Error::Program(self.name.clone(), e))
    }

    /// Fails with the last line of the output when the process has exited.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] when the process has exited.
    pub fn check(&mut self) -> Result<(), Error> {
        match self.ended()? {
            None => Ok(()),
            Some(status) => {
                let log = self.log().unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                Err(Error::Ended(self.name.clone(), status, last.to_owned()))
            }
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        // Both calls fail only when the process has exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process cannot be waited for.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGTERM)
    }

    /// Suspends the process (SIGSTOP) until [`resume`](Self::resume).
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the status of the process cannot be read.
    pub fn pause(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGSTOP)
    }

    /// Resumes the suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the status of the process cannot be read.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGCONT)
    }

    fn signal(&mut self, signal: libc::c_int) -> Result<(), Error> {
        if self.ended()?.is_none() {
            send_signal(self.process.id(), signal);
        }
        Ok(())
    }

    fn wait_for_exit(&mut self, end: Instant) -> bool {
        while Instant::now() < end {
            if !matches!(self.process.try_wait(), Ok(None)) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if matches!(self.process.try_wait(), Ok(None)) {
            // A suspended process handles SIGTERM only after SIGCONT.
            send_signal(self.process.id(), libc::SIGTERM);
            send_signal(self.process.id(), libc::SIGCONT);
        }
        if !self.wait_for_exit(Instant::now() + GRACE_PERIOD) {
            self.kill();
        }
    }
}

/// Terminates many children concurrently, so that their grace periods overlap.
pub fn terminate_all(children: &mut [&mut Child]) {
    for child in children.iter_mut() {
        // A child whose status cannot be read is killed below.
        let _ = child.terminate();
    }
    let end = Instant::now() + GRACE_PERIOD;
    for child in children.iter_mut() {
        if !child.wait_for_exit(end) {
            child.kill();
        }
    }
}

/// Creates `dir` as an empty directory and removes its previous contents.
///
/// # Errors
///
/// Returns an [`Error`] when the directory cannot be removed or created.
pub fn fresh_dir(dir: &Path) -> Result<(), Error> {
    if dir.exists() {
        fs::remove_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))?;
    }
    fs::create_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))
}

/// Sends `signal` to a child that has not been waited for.
#[expect(unsafe_code, reason = "the standard library can only send SIGKILL")]
fn send_signal(id: u32, signal: libc::c_int) {
    let Ok(id) = libc::pid_t::try_from(id) else {
        return;
    };
    // SAFETY: `kill` takes no pointers. The id belongs to a child of this process that has not
    // been waited for, so the system cannot have reused the id for another process.
    unsafe {
        libc::kill(id, signal);
    }
}
