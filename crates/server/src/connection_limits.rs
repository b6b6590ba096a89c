//! The limits on client connections that follow from the configuration.

use std::time::Duration;

use tulipgap_admission::{Part, Terms, WhenFull};
use tulipgap_config::{Admitting, Cap};

use crate::config::ServerConfig;
use crate::net::clients::{IDLE_MORE, KEPT, MESSAGE_MOST};

/// How long a client's standing takes to lose half of its value, where that is not configured.
const DEFAULT_HALF_LIFE: Duration = Duration::from_secs(600);
/// The limits of an address, where they are not configured, are for at least so many callers.
const MIN_CALLERS: u32 = 4;
/// The connections that an address may have at least, where that is not configured.
const MIN_CONNECTIONS_PER_ADDRESS: usize = 4;
/// The connections that an address may open at once at least, where that is not configured.
const MIN_CONNECTION_RATE: u32 = 8;

/// The limits of this server. Without the block `admission`, new connections wait in the backlog for a place and none
/// is limited by its address. What the block leaves out follows from the places and the number of callers.
pub(crate) fn terms(config: &ServerConfig, store_connections: usize, admission: Option<&Admitting>) -> Terms {
    let store_connections = store_connections.min(config.sockets.saturating_sub(KEPT + 1));
    let default = Terms {
        descriptors: config.sockets,
        reserves: vec![(Part::Own, KEPT), (Part::Store, store_connections)],
        caps: None,
        when_full: WhenFull::Wait,
        listed: Vec::new(),
        half_life: DEFAULT_HALF_LIFE,
        message: MESSAGE_MOST,
        idle: config.controller.idle_timeout.saturating_add(IDLE_MORE),
        cold_part: 1.0,
        warm_up: Duration::ZERO,
    };
    match admission.filter(|admission| admission.enabled) {
        Some(admission) => {
            configured_terms(config, config.sockets - KEPT - store_connections, admission, default)
        }
        None => default,
    }
}

fn configured_terms(config: &ServerConfig, places: usize, admission: &Admitting, default: Terms) -> Terms {
    // As many as all callers could have each, with room for twice that; never all of it.
    let share = 2 * places / config.controller.callers.max(MIN_CALLERS) as usize;
    let all_but_one = places.max(MIN_CONNECTIONS_PER_ADDRESS + 1) - 1;
    let per_address = share.clamp(MIN_CONNECTIONS_PER_ADDRESS, all_but_one) as u32;
    let per_network = (places as u32).max(1);
    let mut reserves = default.reserves;
    reserves.push((Part::KnownClients, (places as f64 * admission.known_part) as usize));
    Terms {
        reserves,
        caps: Some([
            cap(&admission.address, per_address),
            cap(&admission.network, per_network),
            cap(&admission.wide, per_network),
        ]),
        when_full: if admission.when_full == "wait" { WhenFull::Wait } else { WhenFull::Refuse },
        // They were checked when the file was read.
        listed: admission.known.iter().filter_map(|network| network.parse().ok()).collect(),
        half_life: admission.half_life,
        cold_part: admission.cold_part,
        warm_up: if config.controller.starts_cold { config.controller.warm_up } else { Duration::ZERO },
        ..default
    }
}

fn cap(configured: &Cap, default_open: u32) -> tulipgap_admission::Cap {
    let open = configured.open.unwrap_or(default_open);
    let rate = configured.rate.unwrap_or(open.max(MIN_CONNECTION_RATE));
    tulipgap_admission::Cap { open, rate }
}

/// Whether connections beyond the limits are refused, instead of waiting in the backlog.
pub(crate) fn refuses(terms: &Terms) -> bool {
    terms.when_full == WhenFull::Refuse
}
