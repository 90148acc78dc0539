import test from 'ava'
import fc from 'fast-check'
import { buildChangeBatch } from '../../src/fleet/build-change-batch.js'
import { StoreMirror } from '../../src/store/store-mirror.js'
import type { WatchBatch } from '../../src/store/watch-batch.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'

const KIND = 'k'
const RUNS = 3_000

/** A daemon that follows the table and publishes its changes. */
class Daemon {
  readonly mirror = new StoreMirror<number>()
  private published = -1

  /** Reads the changes of the table and returns the batch to publish. */
  follow (table: ObjectTable, isWhole: boolean): WatchBatch<number> {
    const since = isWhole ? -1 : this.mirror.cursor
    const names = this.mirror.apply({ revision: table.revision, ...table.changesSince(KIND, since), whole: since < 0 } as WatchBatch<number>)
    const batch = buildChangeBatch(this.mirror.copySince(KIND, this.published), names)
    this.published = this.mirror.completeRevision
    return batch
  }
}

type Step =
  | { readonly type: 'write' | 'delete', readonly name: string }
  | { readonly type: 'other kind' }
  | { readonly type: 'follow', readonly watcher: number, readonly isWhole: boolean, readonly reaches: readonly boolean[] }
  | { readonly type: 'ask', readonly from: number }

const name = fc.constantFrom('a', 'b')
const isMostly = (value: boolean): fc.Arbitrary<boolean> => fc.nat(4).map(drawn => drawn === 0 ? !value : value)
const steps = fc.array(fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constantFrom('write' as const, 'write' as const, 'delete' as const), name }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('other kind' as const) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('follow' as const), watcher: fc.nat(1), isWhole: isMostly(false), reaches: fc.array(isMostly(true), { minLength: 3, maxLength: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('ask' as const), from: fc.nat(1) }) }
), { minLength: 20, maxLength: 40 })

function runStep (step: Step, table: ObjectTable, daemons: readonly Daemon[]): void {
  switch (step.type) {
    case 'write': table.write(KIND, step.name, table.revision, table.read(KIND, step.name)?.version ?? 0); break
    case 'delete': table.remove(KIND, step.name, table.read(KIND, step.name)?.version ?? 0); break
    case 'other kind': table.write('other', `${table.revision}`, 0, 0); break
    case 'follow': {
      const batch = daemons[step.watcher]!.follow(table, step.isWhole)
      for (const [i, { mirror }] of daemons.entries()) if (step.reaches[i] === true && i !== step.watcher) mirror.merge(batch)
      break
    }
    case 'ask': {
      const { mirror } = daemons[2]!
      mirror.merge(daemons[step.from]!.mirror.copySince(KIND, mirror.completeRevision))
    }
  }
}

/** Lists the objects that haven't changed since a revision. */
function listUnchanged (table: ObjectTable, revision: number): readonly (readonly [string, number])[] {
  return table.list(KIND, '', '', Infinity).filter(({ version }) => version <= revision).map(({ name, value }) => [name, value as number])
}

// Guards against a daemon that considers itself up to date although it has lost a change.
test('a daemon that is complete up to a revision lacks no change up to it', t => {
  fc.assert(fc.property(steps, all => {
    const table = new ObjectTable()
    const daemons = [new Daemon(), new Daemon(), new Daemon()]
    for (const step of all) {
      runStep(step, table, daemons)
      for (const { mirror } of daemons) {
        const known = mirror.list()
        for (const [name, value] of listUnchanged(table, mirror.completeRevision)) if (known.get(name) !== value) return false
        for (const object of known.keys()) if (table.read(KIND, object) === undefined && !isDeletedAfter(table, object, mirror.completeRevision)) return false
      }
    }
    return true
  }), { numRuns: RUNS })
  t.pass()
})

// Guards against a response to a request for missing changes that omits an object or a deletion.
test('one response restores every lost change', t => {
  fc.assert(fc.property(steps, all => {
    const table = new ObjectTable()
    const daemons = [new Daemon(), new Daemon(), new Daemon()]
    for (const step of all) runStep(step, table, daemons)
    daemons[0]!.follow(table, false)
    const { mirror } = daemons[2]!
    mirror.merge(daemons[0]!.mirror.copySince(KIND, mirror.completeRevision))
    const present = table.list(KIND, '', '', Infinity).map(({ name, value }) => [name, value])
    return mirror.completeRevision === table.revision && JSON.stringify([...mirror.list()].sort()) === JSON.stringify(present)
  }), { numRuns: RUNS })
  t.pass()
})

function isDeletedAfter (table: ObjectTable, name: string, revision: number): boolean {
  return table.changesSince(KIND, Math.max(0, revision)).deleted.includes(name)
}

// Guards against a daemon that never received a deleted object and adds it from another daemon's outdated response.
test('an outdated response does not restore a deleted object', t => {
  const table = new ObjectTable()
  const daemons = [new Daemon(), new Daemon(), new Daemon()]
  const all: readonly Step[] = [
    { type: 'write', name: 'a' },
    { type: 'follow', watcher: 1, isWhole: true, reaches: [true, false, false] },
    { type: 'delete', name: 'a' },
    { type: 'follow', watcher: 1, isWhole: true, reaches: [false, false, false] },
    { type: 'ask', from: 1 },
    { type: 'ask', from: 0 }
  ]
  for (const step of all) runStep(step, table, daemons)
  t.deepEqual([...daemons[2]!.mirror.list().keys()], [])
})
