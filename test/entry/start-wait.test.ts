import test from 'ava'
import { StartWait } from '../../src/entry/start-wait.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

interface Case { readonly name: string, readonly knownAt: number, readonly comesAt: number, readonly outcome: { readonly known: boolean, readonly at: number } }

const cases: readonly Case[] = [
  { name: 'the state loads within the startup time: the request waits for it', knownAt: 90, comesAt: 10, outcome: { known: true, at: 90 } },
  { name: 'the state has loaded: no wait', knownAt: 90, comesAt: 200, outcome: { known: true, at: 200 } },
  { name: 'the store is unavailable: the request is refused at the end of the startup time', knownAt: Infinity, comesAt: 100, outcome: { known: false, at: 600 } },
  { name: 'the startup time has passed: the request is refused at once', knownAt: Infinity, comesAt: 2_000, outcome: { known: false, at: 2_000 } }
]

// Guards against refusing requests that arrive before the state of a process has loaded, and against holding them during an outage.
for (const { name, knownAt, comesAt, outcome } of cases) {
  test(name, async t => {
    const clock = new VirtualClock()
    const listeners = new Set<() => void>()
    let known = false
    const subscribe = (listener: () => void): () => void => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    }
    const wait = new StartWait({ clock, isLoaded: () => known, subscribe })
    if (knownAt < Infinity) {
      clock.after(knownAt, () => {
        known = true
        for (const listener of [...listeners]) listener()
      })
    }
    let seen: unknown
    clock.after(comesAt, () => { void wait.wait().then(known => { seen = { known, at: clock.now() } }) })
    await clock.advance(5_000)
    t.deepEqual(seen, outcome)
    t.is(listeners.size, 0)
  })
}

// Guards against callers that use up their retries during an outage because they are told to retry too soon.
for (const [after, retryAfter] of [[10, 300], [700, 700], [5_000, 2_000]] as const) {
  test(`${after} ms after the start the retry delay is ${retryAfter} ms`, async t => {
    const clock = new VirtualClock()
    const wait = new StartWait({ clock, isLoaded: () => false, subscribe: () => () => {} })
    await clock.advance(after)
    t.is(wait.retryAfter, retryAfter)
  })
}
