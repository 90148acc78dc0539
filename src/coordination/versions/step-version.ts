import type { VersionEffect } from './version-effect.js'
import type { VersionEvent } from './version-event.js'
import type { VersionHead } from './version-head.js'
import type { VersionMessage } from './version-message.js'
import type { VersionState } from './version-state.js'

/** How parts are identified and measured, and the timing of the exchange. Times in ms, sizes in bytes. */
interface VersionOptions<Part> {
  /** Content hash of a part. A part without a requested hash is dropped. */
  readonly hash: (part: Part) => string
  readonly size: (part: Part) => number
  /** Time without an answer after which a request is repeated, alternately to the same holder and another. */
  readonly askTimeout?: number
  /**
   * How often the version is sent to the sampled peers. Ticks may be more frequent, so that requests are repeated
   * sooner.
   */
  readonly digestPeriod?: number
  /** Most bytes of parts in one message; at least one part is sent. */
  readonly messageBytes?: number
  /** A holder that reads a head from the store fetches up to this many missing parts there, and more from its peers. */
  readonly storeParts?: number
}

type Step<Part> = { readonly state: VersionState<Part>, readonly effects: ReadonlyArray<VersionEffect<Part>> }

type Options<Part> = Required<VersionOptions<Part>>

const ASK_TIMEOUT = 200 // ms
const DIGEST_PERIOD = 1_000 // ms
const MESSAGE_BYTES = 400_000
const STORE_PARTS = 8
const MAX_ASKED_PARTS = 200

/**
 * Distributes a versioned configuration: a head, swapped in a store by conditional update, and content-addressed parts.
 * The version acted on never decreases, whatever the order, repetition or age of messages and reads, and a version is
 * acted on only when all its parts are present with the right hashes. While ticks continue and some holder of the
 * highest version can be reached, every other holder reaches that version; a lost message costs one tick.
 *
 * It has no errors: unusable input is dropped, and requested again at a later tick. `now` is monotonic ms.
 *
 * Source: rumour mongering with anti-entropy, Demers et al., "Epidemic algorithms for replicated database maintenance",
 * 1987.
 *
 * @example
 * let state = createVersionState<string>()
 * const step = stepVersion(state, { type: 'read head', head: { version: 7, parts: ['h1'], body: {} } }, now, { hash, size })
 * state = step.state // and carry out step.effects: here { type: 'read parts', hashes: ['h1'] }
 */
export function stepVersion<Part> (state: VersionState<Part>, event: VersionEvent<Part>, now: number, options: VersionOptions<Part>): Step<Part> {
  const all = { askTimeout: ASK_TIMEOUT, digestPeriod: DIGEST_PERIOD, messageBytes: MESSAGE_BYTES, storeParts: STORE_PARTS, ...options }
  switch (event.type) {
    case 'message': return handleMessage(state, event.from, event.message, now, all)
    case 'read head': return handleHead(state, event.head, { parts: event.parts }, now, all)
    case 'read parts': return handleParts(state, event.parts, undefined, now, all)
    case 'tick': return handleTick({ ...state, peers: event.peers }, now, all)
  }
}

function handleMessage<Part> (state: VersionState<Part>, from: string, message: VersionMessage<Part>, now: number, options: Options<Part>): Step<Part> {
  const send = (answer: VersionMessage<Part>): Step<Part> => ({ state, effects: [{ type: 'send', to: from, message: answer }] })
  switch (message.type) {
    case 'digest': return handleDigest(state, from, message.version, now, options)
    case 'ask head': return state.head === undefined ? createStep(state) : send({ type: 'head', head: state.head })
    case 'head': return handleHead(state, message.head, { from }, now, options)
    case 'ask parts': return send({ type: 'parts', parts: chooseParts(state, message.hashes, options) })
    case 'parts': return handleParts(state, message.parts, from, now, options)
  }
}

function createStep<Part> (state: VersionState<Part>): Step<Part> {
  return { state, effects: [] }
}

/**
 * Handles a peer's version. A peer with an older one gets this holder's in return, so that one that was paused catches
 * up by its first message.
 */
function handleDigest<Part> (state: VersionState<Part>, from: string, version: number, now: number, { askTimeout }: Options<Part>): Step<Part> {
  const own = state.head?.version ?? 0
  if (version < own) return { state, effects: [{ type: 'send', to: from, message: { type: 'digest', version: own } }] }
  if (version <= (state.target?.version ?? own)) return createStep(state)
  if (version <= state.asked.version && now - state.asked.at < askTimeout) return createStep(state)
  return { state: { ...state, asked: { version, from, at: now } }, effects: [{ type: 'send', to: from, message: { type: 'ask head' } }] }
}

/** Handles a head. A version that isn't higher than the known one, from an old read or a late message, is ignored. */
function handleHead<Part> (state: VersionState<Part>, head: VersionHead, { from, parts = [] }: { readonly from?: string, readonly parts?: readonly Part[] }, now: number, options: Options<Part>): Step<Part> {
  if (head.version <= (state.target?.version ?? state.head?.version ?? 0)) return createStep(state)
  const known = new Map([...parts.map(part => [options.hash(part), part] as const), ...state.parts])
  const next: VersionState<Part> = { ...state, parts: known, target: head, fetched: { at: now, tries: 0 } }
  const missing = listMissing(next)
  if (missing.length === 0) return applyTarget(next)
  const peer = from ?? (missing.length > options.storeParts ? state.peers[0] : undefined)
  return { state: next, effects: [askForParts(missing, peer)] }
}

function handleParts<Part> (state: VersionState<Part>, parts: readonly Part[], from: string | undefined, now: number, { hash }: Options<Part>): Step<Part> {
  const missing = new Set(listMissing(state))
  const wanted = parts.map(part => [hash(part), part] as const).filter(([key]) => missing.has(key))
  if (wanted.length === 0) return createStep(state)
  const next: VersionState<Part> = { ...state, parts: new Map([...state.parts, ...wanted]), fetched: { at: now, tries: 0 } }
  const left = listMissing(next)
  return left.length === 0 ? applyTarget(next) : { state: next, effects: [askForParts(left, from)] }
}

/** Sends the version to the sampled peers and repeats unanswered requests. */
function handleTick<Part> (state: VersionState<Part>, now: number, { askTimeout, digestPeriod }: Options<Part>): Step<Part> {
  const isDigestDue = now - state.digestSentAt >= digestPeriod
  const version = state.head?.version ?? 0
  const digests = isDigestDue ? state.peers.map(to => ({ type: 'send' as const, to, message: { type: 'digest' as const, version } })) : []
  const next = isDigestDue ? { ...state, digestSentAt: now } : state
  const again = state.target === undefined ? askHeadAgain(next, now, askTimeout) : askPartsAgain(next, now, askTimeout)
  return { state: again.state, effects: [...digests, ...again.effects] }
}

/** Repeats a lost request for the head, or one whose answer was lost. */
function askHeadAgain<Part> (state: VersionState<Part>, now: number, askTimeout: number): Step<Part> {
  const { version, from, at } = state.asked
  if (version <= (state.head?.version ?? 0) || from === undefined || now - at < askTimeout) return createStep(state)
  const tries = state.fetched.tries + 1
  const to = tries % 2 === 1 ? from : state.peers[0] ?? from
  return { state: { ...state, asked: { version, from, at: now }, fetched: { ...state.fetched, tries } }, effects: [{ type: 'send', to, message: { type: 'ask head' } }] }
}

function askPartsAgain<Part> (state: VersionState<Part>, now: number, askTimeout: number): Step<Part> {
  if (now - state.fetched.at < askTimeout) return createStep(state)
  const tries = state.fetched.tries + 1
  const fetch = askForParts<Part>(listMissing(state), tries % 2 === 1 ? state.asked.from ?? state.peers[0] : tries % 4 === 0 ? undefined : state.peers[0])
  return { state: { ...state, fetched: { at: now, tries } }, effects: [fetch] }
}

function applyTarget<Part> (state: VersionState<Part>): Step<Part> {
  const head = state.target!
  const parts = head.parts.map(hash => state.parts.get(hash)!)
  return {
    state: { ...state, head, target: undefined, parts: new Map(head.parts.map((hash, i) => [hash, parts[i]!])) },
    effects: [{ type: 'act', head, parts }, { type: 'spread', message: { type: 'digest', version: head.version } }]
  }
}

function listMissing<Part> ({ target, parts }: VersionState<Part>): readonly string[] {
  return target === undefined ? [] : target.parts.filter(hash => !parts.has(hash))
}

function askForParts<Part> (missing: readonly string[], peer: string | undefined): VersionEffect<Part> {
  const hashes = missing.slice(0, MAX_ASKED_PARTS)
  return peer === undefined ? { type: 'read parts', hashes } : { type: 'send', to: peer, message: { type: 'ask parts', hashes } }
}

/** Returns the requested parts that are present, as many as fit into one message; the peer requests the rest again. */
function chooseParts<Part> (state: VersionState<Part>, hashes: readonly string[], { size, messageBytes }: Options<Part>): readonly Part[] {
  const chosen: Part[] = []
  let bytes = 0
  for (const hash of hashes) {
    const part = state.parts.get(hash)
    if (part === undefined) continue
    bytes += size(part)
    if (bytes > messageBytes && chosen.length > 0) break
    chosen.push(part)
  }
  return chosen
}
