import test from 'ava'
import { findOwnerStatus } from '../../src/jobs/find-owner-status.js'

// Guards against a process that may still run and is taken for ended, and against waiting for one that has ended.
for (const [name, process, latestRun, status] of [
  ['released', { owner: '', run: 0 }, undefined, 'ended'],
  ['its daemon has a later process', { owner: 'd', run: 3 }, 4, 'ended'],
  ['dead or leaving', { owner: 'd', run: 3 }, 3, 'lost'],
  ['an earlier process of its daemon is known', { owner: 'd', run: 3 }, 2, 'unknown'],
  ['only listed', { owner: 'd', run: 3 }, 0, 'unknown'],
  ['no process of its daemon is known', { owner: 'd', run: 3 }, undefined, 'unknown']
] as const) {
  test(`a process that owns a job: ${name}`, t => t.is(findOwnerStatus(process, latestRun), status))
}
