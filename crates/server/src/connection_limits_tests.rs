use std::io::Write;

use tulipgap_connection_limits::Limiter;

use super::limiter_config;
use crate::config::{MIN_SOCKETS, ServerConfig};

/// The configuration of a backend with `sockets` descriptors.
fn server_config(sockets: usize) -> ServerConfig {
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","kernel":"127.0.0.1:2","announce":null,"store":null,
        "seed":"1","stop_ms":1000,"limits":{{"memory_mb":64,"sockets":{sockets}}},"settings":{{
        "classes":[{{"name":"page","objective":1e3,"deadline":2e3,"worth":1.0,"effect":"pure"}}],
        "family_info":{{"below":"silent","blowup":4.0,"cores":2,"halt":"drop","idle":9e3,
        "mem_limit_kb":9e3,"say":"weight"}},"limits":{{}},"rules":{{"cold_from":0.3,
        "drain_grace":1e3,"fall":2e3,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9e3}}}}}}"#
    );
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    ServerConfig::read(Some(file.path())).unwrap()
}

/// Guards against a backend that binds its address and then cannot start, because the limits that
/// follow from an accepted configuration are invalid.
#[test]
fn limits_that_follow_from_the_configuration_are_valid() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(b"admission {\n}\n").unwrap();
    let product = tulipgap_config::read(file.path()).unwrap();
    let mut admission = product.admission.expect("the block is there");
    for sockets in (MIN_SOCKETS..80).chain([1024, 65_535]) {
        let config = server_config(sockets);
        for store_connections in [0, 1, sockets / 8, sockets, usize::MAX] {
            let without_block = limiter_config(&config, store_connections, None);
            Limiter::new(without_block, 1).unwrap();
            for known_part in [0.0, 0.1, 0.5, 0.9] {
                admission.known_part = known_part;
                let limits = limiter_config(&config, store_connections, Some(&admission));
                Limiter::new(limits, 1).unwrap();
            }
        }
    }
}
