import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { LogSink } from '../observe/log-sink.js'
import type { Metrics } from '../observe/metrics.js'
import type { PlacementQueue } from '../placement/placement-queue.js'
import type { ServerLoads } from '../placement/server-loads.js'
import type { PartBlame } from './blame/part-blame.js'
import type { Ending } from './ending/ending.js'
import type { Sender } from './exchanges/sender.js'
import type { ServerDialect } from './exchanges/server-dialect.js'
import type { StreamOrigins } from './origins/stream-origins.js'
import type { Quarantine } from './quarantine/quarantine.js'
import type { Servers } from './servers/servers.js'

/** The parts that all forwardings of one daemon use. */
export interface ForwardingTools {
  readonly clock: Clock
  readonly random: Random
  readonly log: LogSink
  readonly metrics: Metrics
  readonly dialect: ServerDialect
  readonly sender: Sender
  readonly servers: Servers
  readonly quarantine: Quarantine
  readonly blame: PartBlame
  readonly queue: PlacementQueue
  readonly loads: ServerLoads
  readonly origins: StreamOrigins
  readonly ending: Ending
}
