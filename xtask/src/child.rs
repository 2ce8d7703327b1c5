//! Child processes that end with their handle, on every way out.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child as Process, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::Error;

/// Time that a child has between SIGTERM and SIGKILL when its handle is dropped.
const GRACE: Duration = Duration::from_millis(1500);

/// Gap between two looks at a child that is ending.
const LOOK: Duration = Duration::from_millis(5);

/// Runs one process; dropping it ends the process by its id.
#[derive(Debug)]
pub struct Child {
    name: String,
    log: PathBuf,
    process: Process,
}

impl Child {
    /// Starts `command`; both of its outputs are appended to `dir/NAME.log`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the log file or the process cannot be made.
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

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns what the process has written.
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

    /// Returns how the process ended, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process cannot be waited for.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, Error> {
        let ended = self.process.try_wait();
        ended.map_err(|e| Error::Program(self.name.clone(), e))
    }

    /// Fails when the process has ended, with the last line that it wrote.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ended`] when the process has ended.
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

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        // Both fail only when the process has ended already.
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

    /// Makes it stand still until [`resume`](Self::resume).
    ///
    /// # Errors
    ///
    /// Its state cannot be asked.
    pub fn pause(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGSTOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// Its state cannot be asked.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(libc::SIGCONT)
    }

    fn signal(&mut self, signal: libc::c_int) -> Result<(), Error> {
        if self.ended()?.is_none() {
            send(self.process.id(), signal);
        }
        Ok(())
    }

    fn wait_until(&mut self, end: Instant) -> bool {
        while Instant::now() < end {
            if !matches!(self.process.try_wait(), Ok(None)) {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if matches!(self.process.try_wait(), Ok(None)) {
            // A process that stands still ends only once it goes on.
            send(self.process.id(), libc::SIGTERM);
            send(self.process.id(), libc::SIGCONT);
        }
        if !self.wait_until(Instant::now() + GRACE) {
            self.kill();
        }
    }
}

/// Ends many children together, so that their grace times run side by side.
pub fn end_all(children: &mut [&mut Child]) {
    for child in children.iter_mut() {
        // A child that cannot be asked is killed below.
        let _ = child.terminate();
    }
    let end = Instant::now() + GRACE;
    for child in children.iter_mut() {
        if !child.wait_until(end) {
            child.kill();
        }
    }
}

/// Empties `dir`, or makes it.
///
/// # Errors
///
/// Returns an [`Error`] when the folder cannot be made.
pub fn fresh_dir(dir: &Path) -> Result<(), Error> {
    if dir.exists() {
        fs::remove_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))?;
    }
    fs::create_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))
}

/// Sends SIGTERM to a child that has not been waited for.
#[expect(unsafe_code, reason = "the standard library can only send SIGKILL")]
fn send(id: u32, signal: libc::c_int) {
    let Ok(id) = libc::pid_t::try_from(id) else {
        return;
    };
    // SAFETY: `kill` takes no pointers. The id is that of a child of ours which was
    // not waited for, so it cannot have been given to another process.
    unsafe {
        libc::kill(id, signal);
    }
}
