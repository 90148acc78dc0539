import type { DaemonPorts } from './daemon-ports.js'
import type { MachineLimits } from './machine-limits.js'

interface SettingsOptions {
  readonly name: string
  readonly ports: DaemonPorts
  /** Address of the store, HOST:PORT. */
  readonly store: string
  /** What the settings say of the daemon's machine; nothing by default. */
  readonly machine?: MachineLimits
}

/** Formats the settings file of a daemon as the users' platform writes it, with ports on loopback. */
export function formatSettings ({ name, ports, store, machine }: SettingsOptions): string {
  return `node = "${name}"
ip = "127.0.0.1"
zone = "a"
region = "north"
internal_ports = [${ports.metrics}, ${ports.metrics + 1}]
seeds = []
[listen]
front = "127.0.0.1:${ports.front}"
readiness = "127.0.0.1:${ports.readiness}"
control = "127.0.0.1:${ports.control}"
directory = "127.0.0.1:${ports.directory}"
[bounds]
grace_s = 8
status_s = 120
ttl_max_s = 5
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
[platform]
addr = "${store}"
${machine === undefined ? '' : `[limits]\nmemory_mb = ${machine.memory}\nmax_fds = ${machine.descriptors}\n`}`
}
