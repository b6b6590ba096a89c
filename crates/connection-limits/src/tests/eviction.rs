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

/// A table with these connections, numbered from zero, and the queues of their classes.
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
fn silent_connection_is_evicted_after_its_grace_and_at_once_where_it_is_urgent() {
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
fn idle_connection_of_a_known_client_gives_way_to_known_clients_only() {
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

/// Guards against a client whose first message is in transit while a flood of silent connections
/// waits in the backlog: the oldest silent connection was evicted at once.
#[test]
fn silent_connection_is_spared_while_its_first_message_may_be_in_transit() {
    for silent_connections in [1, 2, 40] {
        let silent = (0..silent_connections).map(|_| silent_connection());
        let (queues, table) = queued(silent.collect());
        let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
        assert_eq!(choose(0), None);
        assert_eq!(choose(60), None);
        assert_eq!(choose(61), Some(Eviction::Close(ConnectionId(0))));
    }
}

/// Guards against a client that was answered a moment ago and loses its connection to a newcomer.
#[test]
fn idle_connection_is_spared_after_its_use_while_others_wait_in_the_backlog() {
    for owner in [DescriptorOwner::NewClients, DescriptorOwner::KnownClients] {
        let (queues, table) = queued(vec![idle_connection(owner)]);
        let choose = |at| queues.choose(&table, ms(at), Urgency::Backlog);
        assert_eq!(choose(0), None);
        assert_eq!(choose(60), None);
        let evicted = Some(Eviction::RequestCloseAndClose(ConnectionId(0)));
        assert_eq!(choose(61), evicted);
    }
}

/// One newcomer displaces an idle connection. Behind it the next one waits until the first has sent
/// a message, or has been silent for too long.
#[test]
fn newcomers_that_have_sent_nothing_give_way_to_one_another() {
    let newcomer = || Connection {
        accepted_at: ms(1000),
        ..silent_connection()
    };
    let idle = || idle_connection(DescriptorOwner::NewClients);
    let evicted_at = |connections: Vec<Connection>, at| {
        let (queues, table) = queued(connections);
        queues.choose(&table, ms(at), Urgency::Backlog)
    };
    assert_eq!(
        evicted_at(vec![idle(), newcomer()], 1000),
        Some(Eviction::RequestCloseAndClose(ConnectionId(0)))
    );
    let connections = || vec![idle(), newcomer(), newcomer()];
    assert_eq!(evicted_at(connections(), 1060), None);
    assert_eq!(
        evicted_at(connections(), 1061),
        Some(Eviction::Close(ConnectionId(1)))
    );
}

/// A connection of which a message began at time zero.
fn partial_message() -> Connection {
    Connection {
        has_sent_message: true,
        partial_message_since: Some(ms(0)),
        ..silent_connection()
    }
}

/// Guards against connections that keep their places at a shutdown for longer than a message
/// crosses, while whole requests wait in the backlog and are lost when the process ends.
#[test]
fn nothing_is_spared_beyond_a_crossing_from_the_shutdown_notice_on() {
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

/// Guards against newcomers that displace idle connections one at a time: at a shutdown the backlog
/// has to be gone through.
#[test]
fn newcomers_do_not_give_way_from_the_shutdown_notice_on() {
    let newcomers = (0..3).map(|_| Connection {
        accepted_at: ms(1000),
        ..silent_connection()
    });
    let idle = idle_connection(DescriptorOwner::NewClients);
    let (queues, table) = queued(std::iter::once(idle).chain(newcomers).collect());
    let choose = |urgency| queues.choose(&table, ms(1000), urgency);
    assert_eq!(choose(Urgency::Backlog), None);
    assert_eq!(
        choose(Urgency::ShutdownBacklog),
        Some(Eviction::RequestCloseAndClose(ConnectionId(0)))
    );
}
