import '../parts.js'
import { Kernel } from '../kernel/kernel.js'
import { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { SystemClock } from '../kernel/system-clock.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { HttpObjectStore } from '../store/http-object-store.js'

/** Creates a daemon with its settings, clock and platform client, ready to start. */
export function createDaemon (settings: Settings, log: LogSink): Kernel {
  const kernel = new Kernel()
  kernel.container.registerInstance(tokens.settings, settings)
  const clock = new SystemClock()
  const random = new Random(process.pid ^ Date.now())
  kernel.container.registerInstance(tokens.clock, clock)
  kernel.container.registerInstance(tokens.random, random)
  kernel.container.registerInstance(tokens.store, new HttpObjectStore(settings.platform, { clock, random, metrics: kernel.container.resolve(Metrics) }))
  kernel.container.registerInstance(tokens.log, log)
  return kernel
}
