import test from 'ava'
import { SlotLedger } from '../../src/placement/slot-ledger.js'

test('the age of the counts is the age of the oldest report that is not empty', t => {
  const ledger = new SlotLedger()
  t.is(ledger.readAge(1_000), 0)
  ledger.put('a', [['s', 1, 0]], 0, 1_000)
  ledger.put('b', [['s', 2, 0]], 0, 1_400)
  ledger.put('idle', [], 0, 500)
  t.is(ledger.readAge(1_500), 500)
  ledger.put('a', [['s', 1, 0]], 0, 1_600)
  t.is(ledger.readAge(1_700), 300)
  ledger.drop('b')
  t.is(ledger.readAge(1_700), 100)
  ledger.dropExpired(10_000)
  t.is(ledger.readAge(10_000), 0)
})

test('the age of an unacknowledged grant counts from its recording', t => {
  const ledger = new SlotLedger()
  const n = ledger.record('a', { at: 2_000, server: 's', online: 1, batch: 0 })
  t.is(ledger.readAge(2_050), 50)
  ledger.put('a', [['s', 1, 0]], n, 2_060)
  t.is(ledger.readAge(2_100), 40)
})
