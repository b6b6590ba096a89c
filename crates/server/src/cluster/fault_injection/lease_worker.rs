//! A task that acts under a lease and reports each step to a history recorder, which checks that no
//! two processes act at the same time.

use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use tulipgap_config::TestLease;
use tulipgap_leases::{FencingToken, LeaseSpec, Name, StaleGuard};

use crate::cluster::fault_injection::pause_step::{PauseStep, pause_if_armed};
use crate::cluster::lease_handle::{LeaseHandle, ScopedGuard};

/// The pause between two steps, and between two attempts to acquire a guard.
const PAUSE: Duration = Duration::from_millis(10);
/// How long the recorder may take to acknowledge a report.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// What the recorder sends for a report whose fencing token is the latest.
const ACKNOWLEDGED: &str = "taken";
/// A step takes this part of its longest time, or up to [`STEP_SPREAD`] more.
const MIN_STEP_FRACTION: f64 = 0.2;
/// Nanoseconds in a second.
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
/// How much longer a step may take at random, as a part of its longest time.
const STEP_SPREAD: f64 = 0.4;

/// Why a report was not acknowledged. The worker gives its guard back and acquires another.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    /// The recorder can't be reached, or did not respond in time.
    #[error("the history recorder can't be reached: {0}")]
    Connection(#[from] io::Error),
    /// The recorder has seen a later fencing token.
    #[error("the fencing token is stale")]
    StaleToken,
}

/// A moment of a step.
#[derive(Clone, Copy)]
enum StepEvent {
    Begin,
    End,
}

/// The words of the recorder's protocol.
impl fmt::Display for StepEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepEvent::Begin => "begin",
            StepEvent::End => "end",
        })
    }
}

/// A task that wants one lease for ever. It owns the connection to the recorder.
pub(crate) struct LeaseWorker {
    leases: LeaseHandle,
    lease: TestLease,
    local_name: Name,
    recorder: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// Where the process finds the step at which it is to pause.
    fault_folder: Option<PathBuf>,
}

/// A step that the lease was checked for.
#[derive(Clone, Copy)]
struct CheckedStep {
    token: FencingToken,
    /// Just before the check, by the machine's monotonic clock.
    checked_at: Timespec,
}

impl LeaseWorker {
    /// A worker that reports to the recorder at that address.
    pub(crate) fn new(
        leases: LeaseHandle,
        lease: TestLease,
        local_name: Name,
        recorder: SocketAddr,
        fault_folder: Option<PathBuf>,
    ) -> Self {
        LeaseWorker {
            leases,
            lease,
            local_name,
            recorder,
            connection: None,
            fault_folder,
        }
    }

    /// Acts under the lease whenever this process holds it.
    pub(crate) fn run(mut self) -> ! {
        let spec = LeaseSpec {
            ttl: self.lease.ttl,
            capacity: self.lease.capacity,
        };
        loop {
            // Requested each time, as an operator may have released it.
            self.leases
                .acquire(&self.lease.name, spec, self.lease.max_operation);
            if let Ok(guard) = self.leases.acquire_guard(&self.lease.name) {
                self.act_under(&guard);
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Takes steps until the lease is lost or a report is not acknowledged.
    fn act_under(&mut self, guard: &ScopedGuard) {
        while let Ok(step) = self.check(guard) {
            self.pause_if_armed(PauseStep::Checked);
            if self.report(StepEvent::Begin, step).is_err() {
                return;
            }
            self.pause_if_armed(PauseStep::UnderWay);
            let fraction = MIN_STEP_FRACTION + STEP_SPREAD * fastrand::f64();
            std::thread::sleep(self.lease.max_operation.mul_f64(fraction));
            self.pause_if_armed(PauseStep::BeforeEnd);
            if self.report(StepEvent::End, step).is_err() {
                return;
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Checks that the lease is held for one step that begins now.
    fn check(&self, guard: &ScopedGuard) -> Result<CheckedStep, StaleGuard> {
        self.pause_if_armed(PauseStep::BeforeCheck);
        let checked_at = clock_gettime(ClockId::Monotonic);
        let token = guard.fencing_token()?;
        Ok(CheckedStep { token, checked_at })
    }

    fn pause_if_armed(&self, step: PauseStep) {
        if let Some(folder) = &self.fault_folder {
            pause_if_armed(folder, step);
        }
    }

    /// Sends a report and waits for the acknowledgement. The connection is kept unless it fails.
    fn report(&mut self, event: StepEvent, step: CheckedStep) -> Result<(), ReportError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        let CheckedStep { token, checked_at } = step;
        let checked_at_ns = checked_at.tv_sec * NANOSECONDS_PER_SECOND + checked_at.tv_nsec;
        let line = format!(
            "{event} {} {token} {} {checked_at_ns}\n",
            self.lease.name, self.local_name
        );
        connection.get_mut().write_all(line.as_bytes())?;
        if let StepEvent::Begin = event {
            self.pause_if_armed(PauseStep::BeginSent);
        }
        let mut response = String::new();
        if connection.read_line(&mut response)? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        self.connection = Some(connection);
        if response.trim() == ACKNOWLEDGED {
            Ok(())
        } else {
            Err(ReportError::StaleToken)
        }
    }

    fn connect(&self) -> io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.recorder)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))?;
        Ok(BufReader::new(stream))
    }
}
