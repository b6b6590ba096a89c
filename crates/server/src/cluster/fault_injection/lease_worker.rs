//! A task that acts under a lease and reports the beginning and end of each operation to a history
//! recorder, which checks that no two processes act at the same time.

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

/// The pause between two operations, and between two attempts to acquire a guard.
const OPERATION_PAUSE: Duration = Duration::from_millis(10);
/// The time limit for the recorder to acknowledge a report.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The recorder's reply to a report whose fencing token is the latest.
const ACKNOWLEDGED: &str = "taken";
/// The minimum duration of an operation, as a fraction of its maximum duration.
const MIN_OPERATION_FRACTION: f64 = 0.2;
/// Nanoseconds in a second.
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
/// The maximum random addition to the minimum duration, as a fraction of the maximum duration.
const MAX_OPERATION_JITTER: f64 = 0.4;

/// Why a report was not acknowledged. The worker releases its guard and acquires another.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    /// The recorder can't be reached, or did not respond in time.
    #[error("the history recorder can't be reached: {0}")]
    Connection(#[from] io::Error),
    /// The recorder has seen a later fencing token.
    #[error("the fencing token is stale")]
    StaleToken,
}

/// An event of an operation under the lease.
#[derive(Clone, Copy)]
enum OperationEvent {
    Begin,
    End,
}

/// Writes the words of the recorder's protocol.
impl fmt::Display for OperationEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OperationEvent::Begin => "begin",
            OperationEvent::End => "end",
        })
    }
}

/// A task that acts under one lease for the life of the process. It owns the connection to the
/// recorder.
pub(crate) struct LeaseWorker {
    leases: LeaseHandle,
    lease: TestLease,
    local_name: Name,
    recorder: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// The folder with the file that names the step at which the process pauses.
    fault_folder: Option<PathBuf>,
}

/// An operation for which the lease was checked.
#[derive(Clone, Copy)]
struct CheckedOperation {
    token: FencingToken,
    /// The time just before the check, by the machine's monotonic clock.
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
            // The worker requests the lease each time, because an operator may have released it.
            self.leases
                .acquire(&self.lease.name, spec, self.lease.max_operation);
            if let Ok(guard) = self.leases.acquire_guard(&self.lease.name) {
                self.run_operations(&guard);
            }
            std::thread::sleep(OPERATION_PAUSE);
        }
    }

    /// Carries out operations until the lease is lost or a report is not acknowledged.
    fn run_operations(&mut self, guard: &ScopedGuard) {
        while let Ok(operation) = self.check(guard) {
            self.pause_if_armed(PauseStep::Checked);
            if self.report(OperationEvent::Begin, operation).is_err() {
                return;
            }
            self.pause_if_armed(PauseStep::UnderWay);
            let fraction = MIN_OPERATION_FRACTION + MAX_OPERATION_JITTER * fastrand::f64();
            std::thread::sleep(self.lease.max_operation.mul_f64(fraction));
            self.pause_if_armed(PauseStep::BeforeEnd);
            if self.report(OperationEvent::End, operation).is_err() {
                return;
            }
            std::thread::sleep(OPERATION_PAUSE);
        }
    }

    /// Checks that the lease is held for one operation that begins now.
    fn check(&self, guard: &ScopedGuard) -> Result<CheckedOperation, StaleGuard> {
        self.pause_if_armed(PauseStep::BeforeCheck);
        let checked_at = clock_gettime(ClockId::Monotonic);
        let token = guard.fencing_token()?;
        Ok(CheckedOperation { token, checked_at })
    }

    fn pause_if_armed(&self, step: PauseStep) {
        if let Some(folder) = &self.fault_folder {
            pause_if_armed(folder, step);
        }
    }

    /// Sends a report and waits for the acknowledgement. The connection is kept unless it fails.
    fn report(
        &mut self,
        event: OperationEvent,
        operation: CheckedOperation,
    ) -> Result<(), ReportError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        let CheckedOperation { token, checked_at } = operation;
        let checked_at_ns = checked_at.tv_sec * NANOSECONDS_PER_SECOND + checked_at.tv_nsec;
        let line = format!(
            "{event} {} {token} {} {checked_at_ns}\n",
            self.lease.name, self.local_name
        );
        connection.get_mut().write_all(line.as_bytes())?;
        if let OperationEvent::Begin = event {
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
