use super::{idle_connection, ms, silent_connection};
use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::descriptor_owner::DescriptorOwner;
use crate::event::ConnectionId;
use crate::eviction::{Eviction, EvictionQueues, Urgency};

const FOR_NEW_CLIENT: Urgency = Urgency::Gradual {
    for_known_client: false,
};
const FOR_KNOWN_CLIENT: Urgency = Urgency::Gradual {
    for_known_client: true,
};

/// The eviction queues and the table of these connections, whose ids count from zero.
fn queued(connections: Vec<Connection>) -> (EvictionQueues, ConnectionTable) {
    let mut queues = EvictionQueues::new();
    let mut table = ConnectionTable::default();
    for (index, connection) in connections.into_iter().enumerate() {
        queues.update(ConnectionId(index), &connection);
        table.insert(ConnectionId(index), connection);
    }
    (queues, table)
}

#[test]
fn silent_connection_is_evicted_after_its_grace_and_immediately_if_urgent() {
    let (queues, table) = queued(vec![silent_connection()]);
    let choose = |at, urgency| queues.choose(&table, ms(at), urgency);
    let evicted = Some(Eviction::Close(ConnectionId(0)));
    assert_eq!(choose(500, FOR_NEW_CLIENT), None);
    assert_eq!(choose(501, FOR_NEW_CLIENT), evicted);
    assert_eq!(choose(0, Urgency::Immediate), evicted);
}

#[test]
fn partial_message_is_never_evicted_within_its_grace() {
    let partial = Connection {
        partial_message_since: Some(ms(0)),
        ..silent_connection()
    };
    let (queues, table) = queued(vec![partial]);
    let choose = |at| queues.choose(&table, ms(at), Urgency::Immediate);
    assert_eq!(choose(500), None);
    assert_eq!(choose(501), Some(Eviction::Close(ConnectionId(0))));
}

#[test]
fn idle_connection_of_a_new_client_is_asked_to_close_after_its_grace() {
    let (queues, table) = queued(vec![idle_connection(DescriptorOwner::NewClients)]);
    let choose = |at, urgency| queues.choose(&table, ms(at), urgency);
    let id = ConnectionId(0);
    assert_eq!(choose(250, FOR_NEW_CLIENT), None);
    assert_eq!(
        choose(251, FOR_NEW_CLIENT),
        Some(Eviction::RequestClose(id))
    );
    assert_eq!(
        choose(0, Urgency::Immediate),
        Some(Eviction::RequestCloseAndClose(id))
    );
}

#[test]
fn idle_connection_of_a_known_client_is_evicted_only_for_known_clients() {
    let (queues, table) = queued(vec![idle_connection(DescriptorOwner::KnownClients)]);
    let choose = |at, urgency| queues.choose(&table, ms(at), urgency);
    assert_eq!(choose(60_000, FOR_NEW_CLIENT), None);
    assert_eq!(choose(1000, FOR_KNOWN_CLIENT), None);
    assert_eq!(
        choose(1001, FOR_KNOWN_CLIENT),
        Some(Eviction::RequestClose(ConnectionId(0)))
    );
}

#[test]
fn connection_with_a_request_in_flight_is_not_evicted() {
    let busy = Connection {
        open_requests: 1,
        ..idle_connection(DescriptorOwner::NewClients)
    };
    let (queues, table) = queued(vec![busy]);
    assert_eq!(queues.choose(&table, ms(60_000), Urgency::Immediate), None);
    assert_eq!(queues.choose(&table, ms(60_000), Urgency::Backlog), None);
}

/// Guards against the eviction of a client whose first message is in transit: while a flood of
/// connections waited in the backlog, the oldest silent connection was evicted immediately.
#[test]
fn silent_connection_is_not_evicted_while_its_first_message_may_be_in_transit() {
    for silent_connections in [1, 2, 40] {
        let silent = (0..silent_connections).map(|_| silent_connection());
        let (queues, table) = queued(silent.collect());
        let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
        assert_eq!(choose(0), None);
        assert_eq!(choose(60), None);
        assert_eq!(choose(61), Some(Eviction::Close(ConnectionId(0))));
    }
}

/// Guards against the eviction of a client that was answered immediately before a new connection
/// arrived in the backlog.
#[test]
fn recently_used_connection_is_not_evicted_while_others_wait_in_the_backlog() {
    for owner in [DescriptorOwner::NewClients, DescriptorOwner::KnownClients] {
        let (queues, table) = queued(vec![idle_connection(owner)]);
        let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
        assert_eq!(choose(0), None);
        assert_eq!(choose(60), None);
        let evicted = Some(Eviction::RequestCloseAndClose(ConnectionId(0)));
        assert_eq!(choose(61), evicted);
    }
}

/// Guards against silent connections that displace all idle ones: with one silent connection the
/// next in the backlog displaces an idle one; with two it waits until a silent one has sent a
/// message or may be evicted itself.
#[test]
fn backlog_displaces_no_idle_connection_while_several_are_silent() {
    let silent = || Connection {
        accepted_at: ms(1000),
        ..silent_connection()
    };
    let idle = || idle_connection(DescriptorOwner::NewClients);
    let evicted_at = |connections: Vec<Connection>, at| {
        let (queues, table) = queued(connections);
        queues.choose(&table, ms(at), Urgency::Backlog)
    };
    assert_eq!(
        evicted_at(vec![idle(), silent()], 1000),
        Some(Eviction::RequestCloseAndClose(ConnectionId(0)))
    );
    let connections = || vec![idle(), silent(), silent()];
    assert_eq!(evicted_at(connections(), 1060), None);
    assert_eq!(
        evicted_at(connections(), 1061),
        Some(Eviction::Close(ConnectionId(1)))
    );
}

/// A connection with an incomplete message that started at time zero.
fn partial_message() -> Connection {
    Connection {
        has_sent_message: true,
        partial_message_since: Some(ms(0)),
        ..silent_connection()
    }
}

/// Guards against the loss of requests in the backlog at a shutdown: connections kept their
/// descriptors for longer than a message is in transit, and the process ended before it accepted
/// the connections in the backlog.
#[test]
fn grace_periods_are_60_ms_after_the_shutdown_notice_and_zero_during_a_drain() {
    let close = Some(Eviction::Close(ConnectionId(0)));
    let request_close = Some(Eviction::RequestCloseAndClose(ConnectionId(0)));
    for (connection, evicted) in [
        (silent_connection(), close),
        (partial_message(), close),
        (idle_connection(DescriptorOwner::NewClients), request_close),
        (
            idle_connection(DescriptorOwner::KnownClients),
            request_close,
        ),
    ] {
        let (queues, table) = queued(vec![connection]);
        let choose = |at, urgency| queues.choose(&table, ms(at), urgency);
        assert_eq!(choose(60, Urgency::ShutdownBacklog), None);
        assert_eq!(choose(61, Urgency::ShutdownBacklog), evicted);
        assert_eq!(choose(0, Urgency::DrainBacklog), evicted);
    }
}

/// Guards against a backlog that is accepted one connection at a time during a shutdown, which is
/// too slow: the whole backlog has to be accepted before the process ends.
#[test]
fn backlog_displaces_idle_connections_despite_silent_ones_after_the_shutdown_notice() {
    let silent = (0..3).map(|_| Connection {
        accepted_at: ms(1000),
        ..silent_connection()
    });
    let idle = idle_connection(DescriptorOwner::NewClients);
    let (queues, table) = queued(std::iter::once(idle).chain(silent).collect());
    let choose = |urgency| queues.choose(&table, ms(1000), urgency);
    assert_eq!(choose(Urgency::Backlog), None);
    assert_eq!(
        choose(Urgency::ShutdownBacklog),
        Some(Eviction::RequestCloseAndClose(ConnectionId(0)))
    );
}

/// A connection whose requests are rejected, the last one at this time.
fn rejected_connection(owner: DescriptorOwner, at: u64) -> Connection {
    Connection {
        last_used_at: ms(at),
        last_rejected_at: Some(ms(at)),
        ..idle_connection(owner)
    }
}

/// Guards against clients that keep all descriptors by sending a request again after each
/// rejection: each use renewed the grace period of their connections.
#[test]
fn rejected_connection_in_constant_use_is_evicted_before_an_idle_one() {
    for owner in [DescriptorOwner::NewClients, DescriptorOwner::KnownClients] {
        let (queues, table) = queued(vec![idle_connection(owner), rejected_connection(owner, 61)]);
        let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
        assert_eq!(choose(60), None);
        let evicted = Some(Eviction::RequestCloseAndClose(ConnectionId(1)));
        assert_eq!(choose(61), evicted);
        let full = |at| queues.choose(&table, ms(at), FOR_KNOWN_CLIENT);
        assert_eq!(full(250), None);
        assert_eq!(full(1001), Some(Eviction::RequestClose(ConnectionId(1))));
    }
}

/// Guards against clients of an overloaded server that lose their connections because some of
/// their requests are rejected.
#[test]
fn connection_with_a_request_served_within_2_s_counts_as_idle() {
    for (rejected_at, evicted) in [(2000, 0), (2001, 1)] {
        let used = Connection {
            last_served_at: Some(ms(0)),
            ..rejected_connection(DescriptorOwner::NewClients, rejected_at)
        };
        let idle = idle_connection(DescriptorOwner::NewClients);
        let (queues, table) = queued(vec![idle, used]);
        assert_eq!(
            queues.choose(&table, ms(rejected_at), Urgency::Backlog),
            Some(Eviction::RequestCloseAndClose(ConnectionId(evicted)))
        );
    }
}

/// Guards against silent connections that protect those whose requests are all rejected.
#[test]
fn backlog_displaces_a_rejected_connection_while_several_are_silent() {
    let silent = || Connection {
        accepted_at: ms(1000),
        ..silent_connection()
    };
    let rejected = rejected_connection(DescriptorOwner::NewClients, 1000);
    let (queues, table) = queued(vec![silent(), silent(), rejected]);
    assert_eq!(
        queues.choose(&table, ms(1000), Urgency::Backlog),
        Some(Eviction::RequestCloseAndClose(ConnectionId(2)))
    );
}

/// Guards against idle connections of served clients that are evicted in favour of clients whose
/// requests are rejected.
#[test]
fn backlog_displaces_no_idle_connection_while_a_rejected_one_is_open() {
    let rejected = Connection {
        accepted_at: ms(1000),
        ..rejected_connection(DescriptorOwner::NewClients, 1000)
    };
    let idle = idle_connection(DescriptorOwner::NewClients);
    let (queues, table) = queued(vec![idle, rejected]);
    let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
    assert_eq!(choose(1060), None);
    let evicted = Some(Eviction::RequestCloseAndClose(ConnectionId(1)));
    assert_eq!(choose(1061), evicted);
}

/// Guards against a request that is cut off while it is received: when others waited in the
/// backlog, a connection was closed immediately after its client was asked to close it, although a
/// message could be in transit.
#[test]
fn connection_that_was_asked_to_close_is_not_evicted_while_a_message_may_be_in_transit() {
    let asked = Connection {
        close_requested_at: Some(ms(0)),
        ..idle_connection(DescriptorOwner::NewClients)
    };
    let (queues, table) = queued(vec![asked]);
    let evicted = Some(Eviction::Close(ConnectionId(0)));
    for urgency in [Urgency::Backlog, Urgency::ShutdownBacklog, FOR_NEW_CLIENT] {
        assert_eq!(queues.choose(&table, ms(60), urgency), None, "{urgency:?}");
        assert_eq!(queues.choose(&table, ms(61), urgency), evicted);
    }
    for urgency in [Urgency::Immediate, Urgency::DrainBacklog] {
        assert_eq!(queues.choose(&table, ms(0), urgency), evicted);
    }
}
