//! How often an operator's command is sent to a voter while it waits.

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Duration;

use tulipgap_leases::{Incarnation, RequestId};
use tulipgap_peer_protocol::{FrameCodec, Message};

use super::super::input::Input;
use super::super::message_router::MessageRouter;
use super::super::peer_links::{PeerLinks, PeerLinksConfig};
use super::{ID_BASE, MAX_REDIRECTS_PER_ATTEMPT, PendingRequests, RETRY_INTERVAL};

const CLUSTER_KEY: &[u8] = b"a key of more than sixteen bytes";
const LOCAL_NAME: &str = "a-1";

/// A router of a process that is the only voter, and the messages that it sends to itself.
fn local_router() -> (MessageRouter, Receiver<Input>) {
    let listen = ([127, 0, 0, 1], 0).into();
    let (received, _) = sync_channel(1);
    let links = PeerLinks::open(
        PeerLinksConfig {
            listen,
            codec: FrameCodec::new("tests", CLUSTER_KEY).unwrap(),
            local_name: LOCAL_NAME.into(),
            incarnation: Incarnation(1),
            routes: HashMap::new(),
        },
        received,
    );
    let (inputs, queued) = sync_channel(4096);
    let router = MessageRouter::new(links.unwrap(), LOCAL_NAME.into(), listen, inputs);
    (router, queued)
}

/// Guards against a command that is sent without a pause until it fails after 5 s: a leader with
/// too many pending reads answers that it does not lead, and reports itself as the leader.
#[test]
fn redirects_to_a_leader_that_reports_itself_are_bounded() {
    let (router, sent) = local_router();
    let mut requests = PendingRequests::new(vec![LOCAL_NAME.into()]);
    let (reply, _result) = sync_channel(1);
    requests.submit(Duration::ZERO, &router, reply, |request| {
        Message::ReadLeases {
            request,
            lease: None,
        }
    });
    let id = RequestId(ID_BASE.0 + 1);
    let leader = LOCAL_NAME.into();
    let count = || sent.try_iter().count() as u32;
    assert_eq!(count(), 1);
    for _ in 0..100 {
        requests.redirect(Duration::ZERO, &router, id, &leader);
    }
    assert_eq!(count(), MAX_REDIRECTS_PER_ATTEMPT);
    // After the next attempt, the command is redirected again.
    requests.retry_due(RETRY_INTERVAL, &router);
    requests.redirect(RETRY_INTERVAL, &router, id, &leader);
    assert_eq!(count(), 2);
}
