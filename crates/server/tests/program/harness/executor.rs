//! A stub of the executor.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use super::EXECUTOR_PORT;

/// A stub of the executor. The body of a request selects what its run does:
/// - `run` ends at once with a result that contains the id; `large` ends at once with a result of
///   4,000 bytes;
/// - `hang` ends when the backend cancels it or the test ends it;
/// - `call` makes one call, and ends with the result `richer` after a reply or `poorer` if the
///   backend skips the call;
/// - `unknown` is reported as an invalid id.
#[derive(Default)]
pub(crate) struct ExecutorStub {
    /// All numbered notices so far, also notices for which the stub had no link. The first one has
    /// number 1.
    pub(crate) notices: Vec<Vec<u8>>,
    /// Runs that have not ended, and how often each was started.
    pub(crate) runs: HashMap<String, u32>,
    /// How often the run of each request has ended.
    pub(crate) ends: HashMap<String, u32>,
    /// The current link; `None` while the backend is not connected.
    pub(crate) link: Option<TcpStream>,
    /// The number of links that were opened.
    pub(crate) link_count: u32,
    /// The stub closes the link when the next reply to a call arrives, and drops the reply.
    pub(crate) should_lose_link_at_reply: bool,
    /// The stub closes the link when the next run with the body `hang` starts. The run ends right
    /// after the first reply to a query of the gauges on the next link, and the notice of its end
    /// is sent only when the next command arrives.
    pub(crate) should_cut_link_at_start: bool,
    /// The number of starts that the stub loses from now on: it reads them, replies to the next
    /// query of the gauges, and then closes the link.
    pub(crate) starts_to_lose: u32,
    /// A start was lost on the current link.
    pub(crate) has_lost_start: bool,
    /// The stub does not reply to queries of the gauges.
    pub(crate) should_ignore_queries: bool,
    /// The id of the run that ends after the next reply to a query of the gauges.
    pub(crate) ending_run: Option<String>,
    /// The notice that is delayed until the next command.
    pub(crate) delayed_notice: Vec<u8>,
    /// The replies to calls that were received.
    pub(crate) replies: Vec<Vec<u8>>,
}

/// The result of a run whose body is `large`.
pub(crate) fn large_result(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(4000).collect()
}

pub(crate) type SharedExecutor = Arc<Mutex<ExecutorStub>>;

impl ExecutorStub {
    /// Sends a numbered notice and keeps it, so that it can be sent again over a later link.
    pub(crate) fn send_notice(&mut self, word: &str, rest: String, body: &[u8]) {
        let head = format!(
            "{word} {} {rest} {}\r\n",
            self.notices.len() + 1,
            body.len()
        );
        let bytes = [head.as_bytes(), body, b"\r\n"].concat();
        if let Some(link) = &mut self.link {
            let _ = link.write_all(&bytes);
        }
        self.notices.push(bytes);
    }

    /// Sends a remark and keeps it, so that it can be sent again over a later link.
    pub(crate) fn send_remark(&mut self, text: &[u8]) {
        let head = format!("DMESG {} ", self.notices.len() + 1);
        self.send_unnumbered_notice(&[head.as_bytes(), text, b"\r\n"].concat());
    }

    /// Sends bytes in place of the next notice, and keeps them like a notice.
    pub(crate) fn send_unnumbered_notice(&mut self, bytes: &[u8]) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(bytes);
        }
        self.notices.push(bytes.to_owned());
    }

    /// Ends a run with this outcome and result, unless it has ended already.
    pub(crate) fn end_run(&mut self, id: &str, end: &str, result: &[u8]) {
        if self.runs.remove(id).is_some() {
            *self.ends.entry(id.to_owned()).or_default() += 1;
            self.send_notice("REAP", format!("{id} {end} 1.5"), result);
        }
    }

    /// Sends a line unchanged; it may be invalid.
    pub(crate) fn send_line(&mut self, line: String) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(line.as_bytes());
        }
    }

    /// Executes a command of the backend.
    pub(crate) fn handle_command(&mut self, words: &[&str], body: Vec<u8>) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(&std::mem::take(&mut self.delayed_notice));
        }
        match words {
            ["SCHED", id, "page", _] if body == b"unknown" => {
                self.send_line(format!("EINVAL SCHED {id}\r\n"))
            }
            ["SCHED", _, "page", _] if self.starts_to_lose > 0 => {
                self.starts_to_lose -= 1;
                self.has_lost_start = true;
            }
            ["SCHED", id, "page", _] => {
                let id = id.to_string();
                let starts = self.runs.entry(id.clone()).or_default();
                *starts += 1;
                match &body[..] {
                    b"run" => self.end_run(&id, "success", format!("page \0 {id}").as_bytes()),
                    b"large" => self.end_run(&id, "success", &large_result(&id)),
                    b"call" if *starts == 1 => self.send_notice("IOREQ", id, b"call body"),
                    _ if std::mem::take(&mut self.should_cut_link_at_start) => {
                        let _ = self.link.take().unwrap().shutdown(Shutdown::Both);
                        self.ending_run = Some(id);
                    }
                    _ => {}
                }
            }
            ["PREEMPT", id] => self.end_run(id, "interrupted", b""),
            ["NOIO", id, _] => self.end_run(id, "success", b"poorer"),
            ["IODONE", ..] if std::mem::take(&mut self.should_lose_link_at_reply) => {
                let _ = self.link.take().unwrap().shutdown(Shutdown::Both);
            }
            ["IODONE", id, _] => {
                self.replies.push(body);
                self.end_run(id, "success", b"richer");
            }
            ["SYSINFO", _] if self.should_ignore_queries => {}
            ["SYSINFO", tag] => {
                self.send_line(format!("INFO {tag} 0.1 0 0 1\r\n"));
                if std::mem::take(&mut self.has_lost_start)
                    && let Some(link) = self.link.take()
                {
                    let _ = link.shutdown(Shutdown::Both);
                }
                if self.link.is_some()
                    && let Some(id) = self.ending_run.take()
                {
                    let link = self.link.take();
                    self.end_run(&id, "success", b"ended in resynchronisation");
                    (self.link, self.delayed_notice) = (link, self.notices.last().unwrap().clone());
                }
            }
            ["POST", tag] => self.send_line(format!("POSTED {tag} success\r\n")),
            other => panic!("invalid command: {other:?}"),
        }
    }
}

/// Starts a thread that serves the stub on the executor's port of this host.
pub(crate) fn serve_executor(executor: SharedExecutor, host: &str) -> SharedExecutor {
    let (shared, listener) = (
        executor.clone(),
        TcpListener::bind((host, EXECUTOR_PORT)).unwrap(),
    );
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let executor = shared.clone();
            std::thread::spawn(move || serve_executor_link(&executor, stream));
        }
    });
    executor
}

/// Reads commands from one link until it is closed or replaced.
pub(crate) fn serve_executor_link(executor: &SharedExecutor, stream: TcpStream) {
    // Without TCP_NODELAY a notice waits for the acknowledgement of the notice before it, which the
    // backend's system sends with the next query of the gauges, 25 ms later.
    stream.set_nodelay(true).unwrap();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    let mut link_number = 0;
    loop {
        line.clear();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut body = Vec::new();
        if matches!(words[0], "SCHED" | "IODONE") {
            body.resize(words.last().unwrap().parse::<usize>().unwrap() + 2, 0);
            if input.read_exact(&mut body).is_err() {
                return;
            }
            assert!(body.ends_with(b"\r\n"));
            body.truncate(body.len() - 2);
        }
        let mut executor = executor.lock().unwrap();
        if let ["OPEN", last] = words[..] {
            executor.link = Some(stream.try_clone().unwrap());
            executor.link_count += 1;
            link_number = executor.link_count;
            executor
                .send_line("BOOTED steady 1000.0\r\nDMESG 0 a remark of no meaning\r\n".to_owned());
            // The stub repeats the last notice that the backend has already read. The backend must
            // not handle that notice twice.
            let from = last.parse::<usize>().unwrap().saturating_sub(1);
            let missed = executor.notices[from..].concat();
            let _ = executor.link.as_ref().unwrap().write_all(&missed);
        } else if executor.link_count == link_number {
            executor.handle_command(&words, body);
        } else {
            // A newer link has replaced this one. The backend has sent the commands in the buffers
            // of this link again over the newer link, so they would run twice.
            return;
        }
    }
}
