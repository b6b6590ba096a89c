//! The configuration of a process: its `config.json` and its `settings.hcl`.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use super::addresses::AddressBlock;
use super::process::MemberProcess;
use crate::plan::{MemberIndex, Plan, PlannedLease, seed_members};

/// The file with the shared key, in a run's directory.
const KEY_FILE: &str = "key";
/// The key that the processes of each run share. It is not secret.
const KEY: &[u8] = b"of this run alone, and no secret";

/// Writes the key that the processes of a run share.
pub(super) fn write_key(run_directory: &Path) -> io::Result<()> {
    fs::create_dir_all(run_directory)?;
    fs::write(run_directory.join(KEY_FILE), KEY)
}

/// Writes the configuration of one process into its directory.
pub(super) fn write_configuration(
    plan: &Plan,
    processes: &[MemberProcess],
    index: MemberIndex,
    addresses: &AddressBlock,
    run_directory: &Path,
) -> io::Result<()> {
    let process = &processes[index];
    fs::create_dir_all(&process.directory)?;
    let (listen, executor) = (addresses.frontend(index), addresses.executor(index));
    fs::write(
        process.config_file(),
        config_json(&process.member.name, listen, executor),
    )?;
    let settings = ProcessSettings {
        plan,
        processes,
        index,
        addresses,
        key: &run_directory.join(KEY_FILE),
    };
    fs::write(process.settings_file(), settings.to_hcl())
}

/// The JSON configuration that a platform passes to a process, in the format of the platform's
/// pages.
fn config_json(name: &str, listen: SocketAddr, executor: SocketAddr) -> String {
    format!(
        r#"{{"name":{name:?},"listen":"{listen}","kernel":"{executor}","seed":"1","stop_ms":1000,
        "limits":{{"memory_mb":192,"sockets":256}},"settings":{{
        "classes":[{{"name":"page","objective":10000.0,"deadline":20000.0,"worth":1.0,"effect":"side_effect"}}],
        "family_info":{{"below":"shared","calls_out":20.0,"share_span":5000.0,"stays_for":100.0,"blowup":4.0,"cores":4,
        "class_calls":[false],"class_skip_worth":[0.5],"halt":"drop","idle":9000.0,"mem_limit_kb":9000.0,"say":"weight",
        "own_stats":["core_use","on_cores","heap_share","links"]}},
        "limits":{{"max_retry_after":1000.0,"retry_after":true}},"tenants":[{{"name":"acme","allowance_per_s":40.0}}],
        "rules":{{"cold_from":0.3,"drain_grace":100.0,"fall":2000.0,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":1000.0}}}}}}"#
    )
}

/// The settings of a process: its cluster, the recorder of its operations, and its injected faults.
struct ProcessSettings<'a> {
    plan: &'a Plan,
    processes: &'a [MemberProcess],
    /// The index of the process.
    index: MemberIndex,
    addresses: &'a AddressBlock,
    /// The file with the shared key.
    key: &'a Path,
}

impl ProcessSettings<'_> {
    fn to_hcl(&self) -> String {
        let process = &self.processes[self.index];
        format!(
            r#"cluster {{
  name = "rig"
  member = {name:?}
  listen = "{listen}"
  region = {region:?}
  zone = {zone:?}
  key = {key:?}
  seeds = [{seeds}]
  voters = [{voters}]
  folder = {journal:?}
  control = {control:?}
  drain {{
    at_once = 1
  }}
{fault_injection}}}
"#,
            name = process.member.name,
            listen = self.addresses.peer(self.index),
            region = process.member.region,
            zone = process.member.zone,
            key = self.key.display().to_string(),
            seeds = self.seeds(),
            voters = quoted_list(self.plan.voters.iter().cloned()),
            journal = process.journal().display().to_string(),
            control = process.control_socket().display().to_string(),
            fault_injection = self.fault_injection_block(),
        )
    }

    /// Returns the block that configures the recorder of operations and the injected faults.
    fn fault_injection_block(&self) -> String {
        let MemberProcess {
            directory,
            clock_rate,
            ..
        } = &self.processes[self.index];
        format!(
            r#"  trial {{
    witness = "{history}"
    leases = [{leases}]
    routes = [{routes}]
    clock_rate = {clock_rate}
    disk_trouble = {directory:?}
  }}
"#,
            history = self.addresses.history(),
            leases = self.leases(),
            routes = self.routes(),
            directory = directory.display().to_string(),
        )
    }

    fn seeds(&self) -> String {
        let members: Vec<_> = self
            .processes
            .iter()
            .map(|process| process.member.clone())
            .collect();
        quoted_list(seed_members(&members).map(|seed| self.addresses.peer(seed).to_string()))
    }

    /// The leases that the plan makes the process want.
    fn leases(&self) -> String {
        let member = &self.processes[self.index].member;
        let leases = self.plan.leases.iter();
        let wanted = leases.filter(|lease| member.matches(&lease.target));
        quoted_list(wanted.map(lease_setting))
    }

    /// The address of each other process with the address of the proxy for the link to it.
    fn routes(&self) -> String {
        let others = (0..self.processes.len()).filter(|&other| other != self.index);
        quoted_list(others.map(|other| {
            let proxy = self.addresses.proxy(self.index, other);
            format!("{}={proxy}", self.addresses.peer(other))
        }))
    }
}

/// Returns a lease as the settings write it: `NAME TTL_MS CAPACITY MAX_OPERATION_MS`.
fn lease_setting(lease: &PlannedLease) -> String {
    let milliseconds = |seconds: f64| (seconds * 1000.0).round() as u64;
    let PlannedLease {
        name,
        ttl,
        capacity,
        max_operation,
        ..
    } = lease;
    format!(
        "{name} {} {capacity} {}",
        milliseconds(*ttl),
        milliseconds(*max_operation)
    )
}

fn quoted_list(values: impl Iterator<Item = String>) -> String {
    values
        .map(|value| format!("{value:?}"))
        .collect::<Vec<_>>()
        .join(", ")
}
