import test from 'ava'
import { summarizeIdle } from '../../bench/summarize-idle.js'
import type { RunRecord } from '../../stand-ins/engine/run-record.js'

const OPTIONS = { since: 0, until: 1_000, stepBase: 10, stepPerSequence: 0, full: 2, allowed: 2 }

function run (requestId: string, at: number, endedAt: number, tokens = 0): RunRecord {
  return { requestId, at, firstTokenAt: at, endedAt, tokens, body: '', outcome: 'finished' }
}

test('lost and generated tokens add up to the possible ones', t => {
  const account = summarizeIdle([run('load-1', 0, 200), run('item-1', 250, 1_000, 75), run('item-2', 300, 600, 30), run('item-3', 700, 1_000, 30)], OPTIONS)
  t.is(account.idle, 800)
  t.is(account.possible, 160)
  t.is(account.given, 135)
  t.is(account.lateStart, 10)
  t.is(account.refill, 5)
  t.is(account.replacing, 10)
  t.is(account.headroom, 0)
  t.is(account.steps, 0)
})

test('free slots count as headroom, and tokens beside online requests are counted separately', t => {
  const account = summarizeIdle([run('item-1', 0, 1_000, 100), run('load-1', 500, 1_000)], { ...OPTIONS, allowed: 1 })
  t.is(account.given, 50)
  t.is(account.beside, 50)
  t.is(account.headroom, 50)
  t.is(account.possible - account.given - account.headroom, 0)
})
