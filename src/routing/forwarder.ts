import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { PlacementQueue } from '../placement/placement-queue.js'
import { ServerLoads } from '../placement/server-loads.js'
import { PartBlame } from './blame/part-blame.js'
import { Ending } from './ending/ending.js'
import type { AnswerSink } from './exchanges/answer-sink.js'
import { Forwarding } from './forwarding.js'
import { Quarantine } from './quarantine/quarantine.js'
import type { RoutedRequest } from './routed-request.js'
import { Sender } from './exchanges/sender.js'
import type { ServerDialect } from './exchanges/server-dialect.js'
import { Servers } from './servers/servers.js'
import { StreamOrigins } from './origins/stream-origins.js'

/** Forwards routed requests to the servers of a service. */
@scoped(Lifecycle.ContainerScoped)
export class Forwarder {
  constructor (
    @inject(tokens.clock) readonly clock: Clock,
    @inject(tokens.random) readonly random: Random,
    @inject(tokens.log) readonly log: LogSink,
    @inject(tokens.serverDialect) readonly dialect: ServerDialect,
    @inject(Metrics) readonly metrics: Metrics,
    @inject(Sender) readonly sender: Sender,
    @inject(Servers) readonly servers: Servers,
    @inject(Quarantine) readonly quarantine: Quarantine,
    @inject(PartBlame) readonly blame: PartBlame,
    @inject(PlacementQueue) readonly queue: PlacementQueue,
    @inject(ServerLoads) readonly loads: ServerLoads,
    @inject(StreamOrigins) readonly origins: StreamOrigins,
    @inject(Ending) readonly ending: Ending
  ) {}

  /** Resolves when the caller has its final answer. */
  async forward (request: RoutedRequest, service: string, sink: AnswerSink): Promise<void> {
    await new Forwarding(request, service, sink, this).run()
  }
}

partRegistry.register({ name: 'forwarder', part: Forwarder, needs: ['servers', 'quarantine', 'part blame', 'place queue', 'stream origins'] })
