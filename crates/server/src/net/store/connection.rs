//! The coroutine of one connection to the store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use may::net::TcpStream;

use super::StoreClient;
use super::pool::ConnectionId;
use super::protocol::{self, LINE_FORMAT};
use crate::log::LogLimit;
use crate::net::connect::connect;
use crate::net::lines::{Line, MAX_BODY_BYTES, MAX_LINE_BYTES};
use crate::net::stream::{BufferedStream, protocol_error};
use crate::requests::Bytes;

/// The size of the buffer of each direction of a connection, in bytes: one call or one reply, and
/// the same size again for stray replies.
const MAX_BUFFER_BYTES: usize = 2 * (MAX_LINE_BYTES + MAX_BODY_BYTES);
/// The number of consecutive stray replies that are ignored; the next one closes the connection.
const MAX_STRAY_REPLIES: usize = 8;

static CONNECTION_FAILURES: LogLimit = LogLimit::new();
static STRAY_REPLIES: LogLimit = LogLimit::new();

impl StoreClient {
    /// Opens the connection with this id, serves its calls until it ends, and then reports a call
    /// that was lost.
    pub(super) fn run(self: &Arc<Self>, address: SocketAddr, id: ConnectionId) {
        // The connection is no longer wanted once its call is abandoned or the store has moved.
        let is_wanted = || self.pool.lock().is_wanted(id) && self.address.get() == Some(address);
        let stream = connect(address, is_wanted);
        match &stream {
            Ok(_) => self.health_check_succeeded(),
            Err(_) if is_wanted() => _ = self.consecutive_refusals.fetch_add(1, Ordering::Relaxed),
            Err(_) => {}
        }
        let end = stream.and_then(|stream| self.serve(stream, id));
        let failed_call = {
            let mut pool = self.pool.lock();
            let failed_call = pool.remove(id);
            // The pool has room for another connection: open one for a queued call.
            if let Some(address) = self.address.get()
                && let Some(call) = pool.pop_queued()
            {
                self.open(&mut pool, address, call);
            }
            failed_call
        };
        if let Some((request, outcome)) = failed_call {
            self.report(&request, outcome, Bytes::default());
        }
        if let Err(error) = end
            && let Some(count) = CONNECTION_FAILURES.count_event()
        {
            log::warn!("store connection failed error=\"{error}\" count={count}");
        }
    }

    fn serve(&self, stream: TcpStream, id: ConnectionId) -> io::Result<()> {
        let mut link = BufferedStream::new(stream, MAX_BUFFER_BYTES, MAX_BUFFER_BYTES);
        self.pool.lock().handle_opened(id, &link.output);
        let mut stray_replies = 0;
        loop {
            let end = link.read_lines(LINE_FORMAT, |line| {
                self.handle_reply(line, id, &mut stray_replies)
            });
            let mut pool = self.pool.lock();
            if !pool.is_wanted(id) {
                return Ok(());
            }
            if let Err(error) = end {
                return if pool.mark_failed(id) {
                    Ok(())
                } else {
                    Err(error)
                };
            }
            drop(pool);
            link.wait();
        }
    }

    fn handle_reply(
        &self,
        line: &Line,
        id: ConnectionId,
        stray_replies: &mut usize,
    ) -> io::Result<()> {
        let (request, outcome) = protocol::decode_reply(line).map_err(protocol_error)?;
        let ended_request = self
            .pool
            .lock()
            .handle_reply(id, request, self.address.get());
        match ended_request {
            Some(request) => {
                *stray_replies = 0;
                self.report(&request, outcome, Bytes::from(line.body));
            }
            None => {
                *stray_replies += 1;
                if let Some(count) = STRAY_REPLIES.count_event() {
                    log::warn!("store reply ignored reason=no_such_call count={count}");
                }
                if *stray_replies > MAX_STRAY_REPLIES {
                    return Err(protocol_error("too many stray replies"));
                }
            }
        }
        Ok(())
    }
}
