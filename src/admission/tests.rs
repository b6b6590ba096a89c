//! Tests of memory, quotas and idempotency keys at their thresholds.

use std::time::Duration;

use super::idempotency::{coalescing_failure, key_expiry, must_coalesce};
use super::memory::Memory;
use super::quota::{RecentArrivals, TenantQuotas};
use crate::action::Reason;
use crate::config::{Idempotency, TenantConfig};
use crate::handlers::handler_profiles;
use crate::tests::{config, handler};

/// Of 1,000 kB, 900 are usable and 450 are usable by the queue; a run takes four times the queued
/// size.
fn memory() -> Memory {
    let mut config = config();
    config.memory_kb = 1_000.0;
    config.running_memory_factor = 4.0;
    config.key_kb = 10.0;
    Memory::new(&config)
}

#[test]
fn queued_requests_take_at_most_half_of_the_usable_memory() {
    let mut memory = memory();
    memory.add_queued(450.0);
    assert!(memory.has_room_to_queue(true));
    memory.add_queued(0.1);
    assert!(!memory.has_room_to_queue(false));
    memory.remove_queued(0.1);
    assert!(memory.has_room_to_queue(false));
}

#[test]
fn a_keyed_request_needs_room_for_its_key() {
    let mut memory = memory();
    // The run of a 200 kB request takes 800 kB, and 95 kB are queued.
    memory.add_queued(200.0);
    memory.start_running(200.0);
    memory.add_queued(95.0);
    assert!(memory.has_room_to_queue(false));
    assert!(!memory.has_room_to_queue(true));
    assert!(!memory.is_exceeded());
    memory.add_queued(5.1);
    assert!(memory.is_exceeded());
}

#[test]
fn a_request_starts_only_where_its_run_fits() {
    let mut memory = memory();
    memory.add_queued(225.0);
    assert!(memory.has_room_to_run(225.0));
    memory.add_queued(0.1);
    assert!(!memory.has_room_to_run(225.0));
}

#[test]
fn memory_is_free_after_all_requests_and_keys_are_removed() {
    let mut memory = memory();
    memory.add_queued(100.0);
    memory.start_running(100.0);
    memory.remember_key(Duration::from_secs(1));
    memory.remember_key(Duration::from_secs(2));
    memory.remove_running(100.0);
    memory.forget_key(Duration::from_secs(2));
    memory.expire_keys(Duration::from_secs(1));
    memory.add_queued(450.0);
    assert!(memory.has_room_to_queue(true));
    assert!(memory.has_room_to_run(150.0) && !memory.has_room_to_run(150.1));
}

#[test]
fn the_size_of_a_request_is_counted_within_bounds() {
    let memory = memory();
    assert_eq!(memory.countable_kb(-1.0), 0.0);
    assert_eq!(memory.countable_kb(f64::INFINITY), 1_800.0);
}

fn quotas(servers: u32) -> TenantQuotas {
    let mut config = config();
    config.servers = servers;
    config.tenants = [30.0, 10.0]
        .map(|rate_quota_per_s| TenantConfig { rate_quota_per_s })
        .into();
    TenantQuotas::new(&config)
}

fn arrivals(requests: f64, retries: f64) -> RecentArrivals {
    RecentArrivals {
        requests,
        retries,
        age: Duration::from_secs(100),
    }
}

#[test]
fn no_tenant_is_over_quota_while_first_attempts_stay_within_all_quotas() {
    let mut quotas = quotas(2);
    for _ in 0..100 {
        quotas.charge(Some(1));
    }
    // Two servers share 40 requests a second, so 100 requests in five seconds are within the quotas
    // for one server.
    assert!(!quotas.is_over_quota(Some(1), &arrivals(100.0, 0.0)));
    assert!(!quotas.is_over_quota(Some(1), &arrivals(150.0, 50.0)));
    assert!(quotas.is_over_quota(Some(1), &arrivals(101.0, 0.0)));
    assert!(!quotas.is_over_quota(Some(0), &arrivals(101.0, 0.0)));
}

#[test]
fn a_tenant_is_over_quota_by_its_fraction_if_the_number_of_servers_is_unknown() {
    let mut quotas = quotas(0);
    assert!(!quotas.is_over_quota(Some(1), &arrivals(1.0, 0.0)));
    quotas.charge(Some(1));
    assert!(quotas.is_over_quota(Some(1), &arrivals(1.0, 0.0)));
    assert!(!quotas.is_over_quota(None, &arrivals(1.0, 0.0)));
    assert!(!quotas.is_over_quota(Some(7), &arrivals(1.0, 0.0)));
    quotas.charge(Some(0));
    quotas.charge(Some(0));
    quotas.charge(Some(0));
    assert!(!quotas.is_over_quota(Some(1), &arrivals(1.0, 0.0)));
}

#[test]
fn only_duplicates_that_must_not_run_again_are_coalesced() {
    let mut config = config();
    config.handlers = vec![
        handler(Idempotency::Idempotent),
        handler(Idempotency::Keyed),
        handler(Idempotency::NonIdempotent),
    ];
    let (handlers, _) = handler_profiles(&config);
    let coalesced = |is_duplicate| {
        let coalesces = |handler| must_coalesce(is_duplicate, handler);
        handlers.iter().map(coalesces).collect::<Vec<bool>>()
    };
    assert_eq!(coalesced(true), [false, true, true]);
    assert_eq!(coalesced(false), [false, false, false]);
}

#[test]
fn a_key_outlives_its_retention_by_a_margin() {
    let ms = Duration::from_millis;
    assert_eq!(key_expiry(ms(1_000), ms(2_000), ms(1_100)), ms(3_250));
    assert_eq!(key_expiry(ms(1_000), ms(2_000), ms(4_000)), ms(4_000));
}

#[test]
fn a_token_bucket_falls_by_at_most_one_burst() {
    let mut quotas = quotas(0);
    for _ in 0..100 {
        quotas.charge(Some(1));
    }
    // The tenant is five tokens short, and gains a quarter of a token with each request of the
    // other tenant.
    for _ in 0..23 {
        quotas.charge(Some(0));
    }
    assert!(quotas.is_over_quota(Some(1), &arrivals(1.0, 0.0)));
    quotas.charge(Some(0));
    assert!(!quotas.is_over_quota(Some(1), &arrivals(1.0, 0.0)));
}

#[test]
fn the_rate_of_a_new_process_is_computed_over_one_second() {
    let mut quotas = quotas(2);
    for _ in 0..100 {
        quotas.charge(Some(1));
    }
    let over_quota = |requests| {
        let arrivals = RecentArrivals {
            age: Duration::from_millis(100),
            ..arrivals(requests, 0.0)
        };
        quotas.is_over_quota(Some(1), &arrivals)
    };
    assert!(!over_quota(20.0));
    assert!(over_quota(21.0));
}

#[test]
fn a_duplicate_fails_during_termination_or_beyond_the_memory_limit() {
    assert_eq!(coalescing_failure(false, false), None);
    assert_eq!(coalescing_failure(false, true), Some(Reason::MemoryLimit));
    assert_eq!(coalescing_failure(true, true), Some(Reason::Terminating));
}
