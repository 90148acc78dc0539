import { Err, Ok, type Result } from 'ts-results'
import { RetryBudget } from '../../src/coordination/retry-budget.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import type { Timeline } from '../../src/observe/timeline/timeline.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import type { BackendServer } from '../../src/routing/servers/backend-server.js'
import { Delivery } from '../../src/routing/delivery.js'
import type { OpenExchange } from '../../src/routing/exchanges/open-exchange.js'
import { Quarantine } from '../../src/routing/quarantine/quarantine.js'
import type { SendFailure } from '../../src/routing/exchanges/send-failure.js'
import type { Sender } from '../../src/routing/exchanges/sender.js'
import type { ServerRequest } from '../../src/routing/exchanges/server-request.js'
import type { Servers } from '../../src/routing/servers/servers.js'
import { Trials } from '../../src/routing/quarantine/trials.js'
import { VirtualClock } from './virtual-clock.js'

interface Options {
  readonly seed: number
  readonly daemons?: number
  readonly engines?: number
  /** Share of frames between daemons that are lost. */
  readonly lost?: number
  /** Longest time for which a daemon processes nothing, ms. */
  readonly busy?: number
  /** Whether, for the first two seconds, one daemon lacks another among those that may grant trials. */
  readonly disagree?: boolean
  /** Probability that a run of the crashing request crashes its engine. */
  readonly crashes?: number
  /** Times, ms, at which the crashing request is sent again after six initial copies. */
  readonly later?: readonly number[]
}

export interface CrashOutcome { /** Engines that crashed. */ readonly ended: number, /** Refusals of harmless requests. */ readonly refused: readonly string[], readonly slowest: number }

interface PendingSend { readonly daemon: number, readonly onLost: () => void }

const CRASHING_BODY = 'crash'
const FRAME_LATENCY = 2
/** How long a connection still seems open after its server crashed, ms. */
const STALE_PERIOD = 10

/** Simulates, on virtual time and without sockets, daemons and engines that one kind of request crashes. */
export async function simulateCrashes (options: Options): Promise<CrashOutcome> {
  const { seed, daemons = 4, engines = 4, lost = 0, busy = 0, disagree = false, crashes = 1, later = [1_500, 4_000, 9_000] } = options
  const random = new Random(seed)
  const clock = new VirtualClock()
  const pendingSends = new Map(Array.from({ length: engines }, (_, i) => [`engine-${i}`, new Set<PendingSend>()]))
  const names = Array.from({ length: daemons }, (_, i) => `entry-${i}`)
  const busyPeriods = names.map(() => random.next() < 0.5 ? { begin: 40 + random.below(300), length: random.below(busy + 1) } : { begin: 0, length: 0 })
  const [viewer, hidden] = [random.below(daemons), random.below(daemons)]
  const handlers = new Map<string, (message: PeerMessage, from: string) => void>()
  const lastArrivals = new Map<string, number>()

  /** Returns the time at which the daemon processes what reaches it in `delay` ms. */
  const findDue = (daemon: number, delay: number): number => {
    const { begin, length } = busyPeriods[daemon]!
    const at = clock.now() + delay
    return at >= begin && at < begin + length ? begin + length : at
  }
  const deliver = (daemon: number, delay: number, task: () => void): void => { clock.after(findDue(daemon, delay) - clock.now(), task) }

  const create = (daemon: number): (request: ServerRequest) => Promise<Result<OpenExchange, unknown>> => {
    const name = names[daemon]!
    const links = {
      send: (to: string, message: PeerMessage) => {
        if (random.next() < lost) return
        const due = Math.max(lastArrivals.get(`${name} ${to}`) ?? 0, findDue(names.indexOf(to), FRAME_LATENCY + random.below(3)))
        lastArrivals.set(`${name} ${to}`, due)
        clock.after(due - clock.now(), () => handlers.get(to)!(message, name))
      }
    } as unknown as PeerLinks
    const members = {
      all: () => names.map(instance => ({ instance: { name: instance }, state: 'alive' })),
      owners: () => disagree && daemon === viewer && clock.now() < 2_000 ? names.filter((_, i) => i !== hidden) : names
    } as unknown as Members
    const settings = { instance: name } as unknown as Settings
    const quarantine = new Quarantine(members, links, { record: () => {} } as unknown as Timeline, settings, clock, { write: () => {} })
    void quarantine.start()
    const trials = new Trials(quarantine, members, links, settings, clock)
    void trials.start()
    const points = [...quarantine.extensions, ...trials.extensions].map(({ value }) => value as { readonly type: string, readonly handle: (message: PeerMessage, from: string) => void })
    handlers.set(name, (message, from) => { for (const point of points) if (point.type === message.type) point.handle(message, from) })

    const ejected = new Set<string>()
    const counts = new Map<string, number>()
    const inPool = (): readonly BackendServer[] => [...pendingSends.keys()].map((server): BackendServer => {
      const inFlight = counts.get(server) ?? 0
      return { name: server, pool: 'p', failureDomain: server, version: '', url: server, leaving: false, inFlight, load: inFlight, limit: ejected.has(server) ? 0 : 64 }
    })
    const servers = {
      inPool,
      find: (server: string) => inPool().find(other => other.name === server),
      waitForRelease: async (time: number) => await new Promise<void>(resolve => clock.after(Math.min(time, 20), resolve))
    } as unknown as Servers
    const send = async (server: BackendServer, request: ServerRequest): Promise<Result<OpenExchange, SendFailure>> => await new Promise(resolve => {
      let sent = false
      const end = quarantine.begin(String(fingerprintOf(request)), server.name, () => sent)
      counts.set(server.name, (counts.get(server.name) ?? 0) + 1)
      const finish = (result: Result<OpenExchange, SendFailure>): void => {
        end()
        counts.set(server.name, counts.get(server.name)! - 1)
        resolve(result)
      }
      const lose = (): void => {
        ejected.add(server.name)
        quarantine.onServerLost(server.name)
        finish(Err({ why: 'cut', sent: true, detail: '' }))
      }
      clock.after(1, () => {
        const pending = pendingSends.get(server.name)!
        // A kept-alive connection accepts writes until the daemon receives the server's close.
        sent = !isDown(server.name) || clock.now() - crashedAt.get(server.name)! < STALE_PERIOD
        if (!sent) {
          ejected.add(server.name)
          return deliver(daemon, 1, () => finish(Err({ why: 'unreachable', sent: false, detail: '' })))
        }
        if (isDown(server.name)) return deliver(daemon, 1, lose)
        const pendingSend: PendingSend = { daemon, onLost: lose }
        pending.add(pendingSend)
        const crash = String(request.body) === CRASHING_BODY && random.next() < crashes
        clock.after(crash ? 1 + random.below(30) : 1_500 + random.below(2_500), () => {
          if (!pending.delete(pendingSend)) return
          if (!crash) return deliver(daemon, 1, () => finish(Ok({} as OpenExchange)))
          crashedAt.set(server.name, clock.now())
          for (const other of [pendingSend, ...pending]) deliver(other.daemon, 1 + random.below(10), other.onLost)
          pending.clear()
        })
      })
    })
    const sender = { send, waitIfServerLost: async ({ name }: BackendServer) => { if (isDown(name)) await quarantine.waitForLossReports(name) } } as unknown as Sender
    const fingerprintOf = (request: ServerRequest): string => fingerprints.get(request)!
    const fingerprints = new Map<ServerRequest, string>()
    return async request => {
      const delivery = new Delivery(request, { servers, sender, quarantine, trials, clock, random, budget: new RetryBudget() }, { getTimeout: left => left, retryWait: 500 })
      fingerprints.set(request, (delivery as unknown as { fingerprint: string }).fingerprint)
      const answer = await delivery.open(request.body ?? null)
      if (answer.ok) delivery.end(true)
      return answer
    }
  }
  const crashedAt = new Map<string, number>()
  const isDown = (server: string): boolean => crashedAt.has(server)
  const sends = names.map((_, daemon) => create(daemon))
  const refused: string[] = []
  let slowest = 0
  const ask = (daemon: number, at: number, body: string): void => {
    deliver(daemon, at, () => {
      const begin = clock.now()
      const request: ServerRequest = { id: body, caller: 'c', service: 's', pool: 'p', work: 'online', method: 'POST', path: '/', headers: {}, body: Buffer.from(body), idempotent: true, deadline: begin + 30_000, limit: 64 }
      void sends[daemon]!(request).then(answer => {
        if (body === CRASHING_BODY) return
        slowest = Math.max(slowest, clock.now() - begin)
        if (answer.err) refused.push(`${body}: ${JSON.stringify(answer.val)}`)
      })
    })
  }
  for (let i = 0; i < 12; i++) ask(i % daemons, random.below(20), `bystander ${i}`)
  for (let i = 0; i < 6; i++) ask(random.below(daemons), 50 + random.below(20), CRASHING_BODY)
  for (const at of later) ask(random.below(daemons), at, CRASHING_BODY)
  await clock.advance(45_000)
  return { ended: crashedAt.size, refused, slowest }
}
