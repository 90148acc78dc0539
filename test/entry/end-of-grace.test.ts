import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { Agent } from 'node:http'
import { connect } from 'node:net'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { callOnce } from '../helpers/call-once.js'
import { callUntilGone, type SeenCall } from '../helpers/call-until-gone.js'
import { startMachines } from '../helpers/start-machines.js'

/** Callers use a cached address for this long after the SIGTERM, ms; what they send by then is served. */
const CACHED = 3_000
/** Requests of 1 s that come up to here, ms after the SIGTERM, end well before the process must (8 s). */
const SHORT_SERVED = 5_000
/** Longest time until a refusal, ms. */
const PROMPT = 250
const MAX_RETRY_AFTER = 1 // s
const PAUSE = 100 // ms, between two events
const LONG = 30 // events
const SHORT = 10
const BEFORE = 4_500 // ms, of calls before the SIGTERM: in calm a daemon knows how long its routes' requests last
const HELD = 500 // ms, until a request that can't run has come to where it waits
const LATE = 4_500 // ms after the SIGTERM, when the latest short requests are sent
const PERIOD = 40 // ms, between two calls
const BEYOND = 200 // events, of a run that lasts longer than the daemon
const LONGEST = 30_000 // ms, that callers of such runs wait

/** Paths of streams and whole answers of 3 s and of 1 s, that may run once only or again. */
const PATHS = ['/streams/long/', '/streams/short/', '/resumable/long/', '/resumable/short/', '/unsafe/long/', '/unsafe/short/', '/safe/long/', '/safe/short/']

function createRoutes (): readonly object[] {
  const route = { host: 'desk.example', timeout_ms: LONGEST, slo_ms: 4_000, priority: 0, service: 'helm' }
  return [
    { ...route, name: 'streams', path_prefix: '/streams/', kind: 'streaming', resumable: false, attempts: 1 },
    { ...route, name: 'resumable', path_prefix: '/resumable/', kind: 'streaming', resumable: true, attempts: 2 },
    { ...route, name: 'unsafe', path_prefix: '/unsafe/', kind: 'unsafe', attempts: 1 },
    { ...route, name: 'safe', path_prefix: '/safe/', kind: 'safe', attempts: 2 }
  ].flatMap(({ path_prefix: prefix, ...others }) => ['long/', 'short/', 'beyond/'].map(length => ({ ...others, name: others.name + length, path_prefix: prefix + length })))
}

function openEngine (id: string): EventEngine {
  const plan = (path: string): ReturnType<NonNullable<ConstructorParameters<typeof EventEngine>[0]['plan']>> => ({ events: path.includes('/long/') ? LONG : path.includes('/beyond/') ? BEYOND : SHORT, isWhole: path.includes('safe/') })
  return new EventEngine({ id, pause: PAUSE, plan })
}

/** Sends a short request of each kind behind a long stream on its connection, so that it comes 4.5 s after the SIGTERM. */
async function callLate (port: number): Promise<readonly Awaited<ReturnType<typeof callOnce>>[]> {
  await new Promise(resolve => setTimeout(resolve, LATE - LONG * PAUSE))
  return await Promise.all(PATHS.filter(path => path.includes('/short/')).map(async path => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const [, late] = await Promise.all([callOnce(port, '/streams/long/before' + path, agent), callOnce(port, path + 'late', agent)])
    agent.destroy()
    return late
  }))
}

const show = ({ path, at, took, outcome, status }: SeenCall): string => `${path} ${status} ${outcome} at ${Math.round(at)} took ${Math.round(took)}`

// A daemon that ends takes requests until late, and cuts those that haven't ended by then: those that may run once only are lost.
// Guards as well against refusals that come late or sooner than needed, and against a refused request that ran.
test.serial('requests that come until a daemon has ended are answered whole, or refused at once where they would be cut', async t => {
  const engines = Array.from({ length: 12 }, (_, i) => openEngine(`i-${i}`))
  const fleet = await startMachines(2, engines, {}, { routes: createRoutes() })
  t.teardown(async () => await fleet.stop())
  const { ports, child } = fleet.daemons[0]!
  let start = 0
  let gone = 0
  void child!.waitForExit().then(() => { gone = performance.now() })
  const called = callUntilGone({ port: ports.front, paths: PATHS, period: PERIOD, findStart: () => start, isGone: () => gone > 0 })
  await new Promise(resolve => setTimeout(resolve, BEFORE))
  start = performance.now()
  child!.signal('SIGTERM')
  const lateCalls = callLate(ports.front)
  const calls = await called
  const ran = new Set(engines.flatMap(({ runs }) => runs.map(({ id }) => id)))
  const refused = calls.filter(({ status }) => status === 503)
  t.log({ all: calls.length, ended: Math.round(gone - start), unreached: calls.filter(({ outcome }) => outcome === 'unreached').length, refused: refused.length, late: calls.filter(({ status, at }) => status === 200 && at > CACHED).length })
  t.deepEqual(calls.filter(({ id, outcome }) => outcome === 'cut' && ran.has(id)).map(show), [], 'cut after they had begun')
  t.deepEqual(calls.filter(({ outcome, status }) => outcome === 'answered' && status !== 200 && status !== 503).map(show), [])
  t.deepEqual(refused.filter(({ id, took, retryAfter = Infinity }) => ran.has(id) || took > PROMPT || retryAfter > MAX_RETRY_AFTER).map(show), [], 'refused late, without when to retry, or run')
  t.deepEqual(refused.filter(({ path, at }) => at < (path.includes('/short/') ? SHORT_SERVED : CACHED)).map(show), [], 'refused sooner than needed')
  t.true(refused.length > 0)
  const late = await lateCalls
  t.deepEqual(late.map(({ path, status, outcome, sentAt, took }) => ({ path, status, outcome, isLate: sentAt + took - start > SHORT_SERVED })), late.map(({ path }) => ({ path, status: 200, outcome: 'answered', isLate: true })), 'short requests are still served late')
})

/** Sends the bytes of a request and resolves with those of its answer once the connection has ended, cut or not. */
async function sendRaw (port: number, bytes: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let answer = ''
  socket.on('data', chunk => { answer += String(chunk) })
  socket.on('error', () => {})
  socket.write(bytes)
  await once(socket, 'close')
  return answer
}

const buildBytes = (path: string, id: string, { length = 2, body = '{}' } = {}): string => `POST ${path} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: ${id}\r\nx-deadline-ms: ${LONGEST}\r\ncontent-length: ${length}\r\n\r\n${body}`

/** Sends a request to a daemon of its own that gets SIGTERM once the request is held; returns the first line of its answer and whether it ran. */
async function hold (t: ExecutionContext, bytes: string, { isFull = false, runs = 0 } = {}): Promise<{ readonly line: string | undefined, readonly ran: boolean, readonly retryAfter: boolean }> {
  const engine = openEngine('i-0')
  const fleet = await startMachines(1, [engine], {}, { routes: createRoutes() })
  t.teardown(async () => await fleet.stop())
  const { ports, child } = fleet.daemons[0]!
  engine.isFull = isFull
  const answered = sendRaw(ports.front, bytes)
  await new Promise(resolve => setTimeout(resolve, HELD))
  await fleet.waitUntil('it runs', () => engine.runs.length === runs)
  child!.signal('SIGTERM')
  const answer = await answered
  await child!.waitForExit()
  return { line: answer.split('\r\n')[0], ran: engine.runs.length > 0, retryAfter: /retry-after:/i.test(answer) }
}

// A request that still waits for a slot when its daemon ends is cut, though it could be promised that it hasn't run.
test.serial('a request that waits for a slot is refused as not run before its daemon ends', async t => {
  t.deepEqual(await hold(t, buildBytes('/unsafe/beyond/1', 'waits'), { isFull: true }), { line: 'HTTP/1.1 503 Service Unavailable', ran: false, retryAfter: true })
})

// A caller that is still sending its body when the daemon ends can't tell whether it may go elsewhere.
test.serial('a request whose body is not whole is refused as not run before its daemon ends', async t => {
  t.deepEqual(await hold(t, buildBytes('/unsafe/beyond/1', 'sends', { length: 20 })), { line: 'HTTP/1.1 503 Service Unavailable', ran: false, retryAfter: true })
})

// A request without a byte of its answer when its daemon ends is cut, so that its caller can't tell an end from a lost connection.
test.serial('a request that runs without an answer yet gets one that promises nothing before its daemon ends', async t => {
  t.deepEqual(await hold(t, buildBytes('/unsafe/beyond/1', 'runs'), { runs: 1 }), { line: 'HTTP/1.1 502 Bad Gateway', ran: true, retryAfter: false })
})
