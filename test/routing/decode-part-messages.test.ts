import test from 'ava'
import { decodePasses } from '../../src/routing/blame/decode-passes.js'
import { decodeRefusedPart } from '../../src/routing/blame/decode-refused-part.js'
import { decodeServerLoss } from '../../src/routing/blame/decode-server-loss.js'

const NOW = 10_000

// Guards against a daemon that a malformed message of another release ends or misleads.
test('malformed messages about parts are no evidence', t => {
  const run = { parts: ['a'], ago: 120 }
  for (const message of [{}, { server: 's' }, { server: 's', daemon: 'd', ago: 'x', runs: [] }, { server: 's', daemon: 'd', ago: 1, runs: [run, {}] }, { server: 1, daemon: 'd', ago: 1, runs: [run] }]) t.is(decodeServerLoss(message, NOW), undefined)
  for (const message of [undefined, {}, { part: 'a', left: NaN, beside: [], losses: [] }, { part: 'a', left: 1, beside: 'b', losses: [] }, { part: 'a', left: 1, beside: [] }]) t.is(decodeRefusedPart(message, NOW), undefined)
  for (const message of [{}, { passes: null, total: 1 }, { passes: { a: 'x' }, total: 1 }, { passes: {}, total: undefined }]) t.is(decodePasses(message), undefined)
})

test('messages about parts are read with times on the own clock', t => {
  t.deepEqual(decodeServerLoss({ server: 's', daemon: 'd', ago: 20, runs: [{ parts: ['a', 'b'], ago: 120 }] }, NOW), { server: 's', daemon: 'd', at: 9_980, runs: [{ parts: ['a', 'b'], began: 9_880 }] })
  t.deepEqual(decodeRefusedPart({ part: 'a', left: 500, beside: ['b'], losses: [{ server: 's', ago: 20 }, {}] }, NOW), { part: 'a', until: 10_500, beside: ['b'], losses: [{ server: 's', at: 9_980 }] })
  t.deepEqual(decodePasses({ passes: { a: 3 }, total: 9 }), { passes: { a: 3 }, total: 9 })
  t.deepEqual(decodePasses({ passes: { a: 3 }, total: 9, times: { a: 700 }, time: 5_000 }), { passes: { a: 3 }, total: 9, times: { a: 700 }, totalTime: 5_000 })
})
